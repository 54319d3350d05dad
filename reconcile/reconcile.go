// Package reconcile keeps the services of the cluster text running. It starts the replicas
// of a service once the services it depends on are ready, stops them in the reverse order,
// replaces them one at a time when their specification changes, and restarts replicas that
// end. Each replica is an ordinary job. The leading entry of one failure domain starts and
// stops it; the replicas of a service are distributed over the failure domains of the fleet.
//
// # Usage
//
//	r := reconcile.New(reconcile.Options{
//		Domain: "a", Leads: func() bool { return election.Now().Leads },
//		Texts: holder, Jobs: jobs, Store: store,
//	})
//	defer r.Stop(ctx)
//
// The last job of each replica is recorded in the store, under one key per service and
// failure domain, before the job is submitted. The key of the job is derived from that
// record, so a step that was interrupted, or that another leader repeats, submits the same
// job.
package reconcile

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/config"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/text"
)

const (
	keyPrefix     = "replica/"
	defaultPeriod = 2 * clock.Second
	passTimeout   = 10 * clock.Second
	minBackoff    = clock.Second
	maxBackoff    = clock.Minute
	maxDoublings  = 8
	hashLength    = 12
)

// Jobs submits and cancels jobs and looks up their states and outcomes.
type Jobs interface {
	Submit(ctx context.Context, s job.Spec) outcome.Outcome
	Cancel(ctx context.Context, account, key string) outcome.Outcome
	// State returns the state of a live job of a failure domain, or an error of kind
	// kv.Missing when no live job has the key.
	State(ctx context.Context, domain, account, key string) (job.State, error)
	// Query returns the outcome of a job. It returns the outcome Unknown with the reason
	// UnknownKey if no job was ever submitted under the key.
	Query(ctx context.Context, account, key string) outcome.Outcome
}

// Store stores the placements: the last job of each replica.
type Store interface {
	Put(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
	List(ctx context.Context, prefix string) ([]kv.Entry, uint64, error)
}

// Texts provides the cluster text in force.
type Texts interface{ Now() config.Snapshot }

// Options configures a Reconciler.
type Options struct {
	Domain string
	// Leads reports whether this entry leads its failure domain at this moment.
	Leads func() bool
	Texts Texts
	Jobs  Jobs
	Store Store
	// Period is the time between two passes in milliseconds; 0 means 2 s.
	Period clock.Millis
	// Clock defaults to the machine's clock.
	Clock *clock.Clock
	// Log defaults to the standard logger of logrus.
	Log *logrus.Entry
}

// Reconciler keeps the services of one failure domain running while its entry leads.
type Reconciler struct {
	opts   Options
	cancel context.CancelFunc
	done   chan struct{}
	// backoffs has an entry for each replica that was started. It delays the next start of a
	// replica whose start failed or whose job ended soon after the start.
	backoffs map[string]*backoff
}

type backoff struct {
	doublings int
	notBefore clock.Millis
}

// placement is the value stored for one service in one failure domain: the last jobs of its
// replicas, and what is needed to stop them after the service was removed from the cluster
// text.
type placement struct {
	Account  string   `json:"account"`
	After    []string `json:"after,omitempty"`
	Replicas []record `json:"replicas"`

	version uint64
}

// record identifies the last job of one replica.
type record struct {
	Hash       string `json:"hash,omitempty"`
	Generation int    `json:"generation,omitempty"`
}

// New returns a reconciler that runs a pass at every period until Stop is called.
func New(opts Options) *Reconciler {
	if opts.Period == 0 {
		opts.Period = defaultPeriod
	}
	if opts.Clock == nil {
		opts.Clock = clock.New()
	}
	if opts.Log == nil {
		opts.Log = logrus.NewEntry(logrus.StandardLogger())
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Reconciler{opts: opts, cancel: cancel, done: make(chan struct{}), backoffs: make(map[string]*backoff)}
	go func() {
		defer close(r.done)
		for clock.Sleep(ctx, opts.Period) {
			if !opts.Leads() {
				continue
			}
			if err := r.runPass(ctx); err != nil && ctx.Err() == nil {
				opts.Log.WithError(err).Warn("reconcile: pass stopped by an error; the next pass retries")
			}
		}
	}()
	return r
}

// Stop ends the passes and waits for the current one. The services keep running.
func (r *Reconciler) Stop(context.Context) error {
	r.cancel()
	<-r.done
	return nil
}

// runPass reads the state of all services once and executes the planned steps. It stops
// early without an error when this entry no longer leads the failure domain.
func (r *Reconciler) runPass(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, passTimeout.Duration())
	defer cancel()
	now := r.opts.Texts.Now()
	if now.Revision == 0 {
		return nil
	}
	entries, _, err := r.opts.Store.List(ctx, keyPrefix)
	if err != nil {
		return err
	}
	placements := make(map[string]placement)
	for _, e := range entries {
		p := placement{version: e.Version}
		if err := json.Unmarshal(e.Value, &p); err == nil {
			placements[e.Key] = p
		}
	}
	v := view{reconciler: r, text: now.Text, domains: domains(now.Text), placements: placements}
	for _, step := range Plan(v.services(ctx)) {
		if !r.opts.Leads() {
			return nil
		}
		if err := v.execute(ctx, step); err != nil {
			return err
		}
	}
	return nil
}

// inBackoff reports whether the next start of a replica is still delayed.
func (r *Reconciler) inBackoff(name string) bool {
	b := r.backoffs[name]
	return b != nil && r.opts.Clock.Now() < b.notBefore
}

// startBackoff is called at each start of a replica. It delays the replica's next start,
// counted from this one, by a time that doubles with each start up to maxBackoff.
func (r *Reconciler) startBackoff(name string) {
	b := r.backoffs[name]
	if b == nil {
		b = &backoff{}
		r.backoffs[name] = b
	}
	b.notBefore = r.opts.Clock.Now() + min(minBackoff<<b.doublings, maxBackoff)
	b.doublings = min(b.doublings+1, maxDoublings)
}

// domains returns the failure domains of the fleet, sorted and without duplicates.
func domains(t *text.Text) []string {
	var list []string
	for _, p := range t.Fleet {
		list = append(list, p.Domain)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

func storeKey(domain, service string) string { return keyPrefix + domain + "/" + service }

// jobKey returns the key of a replica's job. With an empty record the key identifies the
// replica itself.
func jobKey(service string, index int, rec record) string {
	return fmt.Sprintf("replica:%s:%s:%d:%d", service, rec.Hash, index, rec.Generation)
}

// specHash returns a hash that identifies the specification of a service's replicas. It does
// not cover their number and the dependencies of the service.
func specHash(s text.Service) string {
	s.Replicas, s.After = 0, nil
	raw, _ := json.Marshal(s)
	return outcome.Hash(raw)[:hashLength]
}

func splitStoreKey(key string) (domain, service string) {
	domain, service, _ = strings.Cut(strings.TrimPrefix(key, keyPrefix), "/")
	return domain, service
}
