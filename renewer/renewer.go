// Package renewer keeps the leases of running gangs alive. The workers of a domain
// are spread over its live entries; each entry renews all gangs of a worker with
// one call, which the worker's agent holds until a task changes or the period ends.
// Renewals go on while no scheduler leads and while the store is down, and they
// create nothing: a worker renews only tasks whose whole gang was seen running.
//
// # Usage
//
//	r := renewer.New(renewer.Options{Name: "e1", Workers: workers, Entries: live, Term: term, Line: line})
//	r.Stop(ctx)
package renewer

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/gang"
	"github.com/chestnutsail/chestnutsail/worker"
)

// Defaults of the times in milliseconds.
const (
	DefaultPeriod = 15 * clock.Second
	DefaultGrace  = 30 * clock.Second
)

const (
	pause = clock.Second
	slack = 2 * clock.Second
)

// Agent is what renewals need of the agent of a worker.
type Agent interface {
	Renew(ctx context.Context, r worker.Renewal) (worker.Report, error)
	Stop(ctx context.Context, s worker.Stop) (worker.Task, error)
}

// Target is a worker whose leases are renewed.
type Target struct {
	Name  string
	Agent Agent
}

// Event tells what a renewal has shown of one worker.
type Event struct {
	Worker string `json:"worker"`
	// Term is the term that the worker was renewed under.
	Term int64 `json:"term"`
	// Lost tells that the worker could not be asked until its leases had ended.
	Lost bool `json:"lost,omitempty"`
	// Tasks are the gang tasks that changed, without their results.
	Tasks []worker.Task `json:"tasks,omitempty"`
}

// Notice asks the entries of a domain to stop parts of gangs that are no longer whole.
type Notice struct {
	// ID and Attempt name a gang; they are empty in a notice about a worker.
	ID      string `json:"id,omitempty"`
	Attempt int    `json:"attempt,omitempty"`
	// Worker names a lost worker: every gang with a part there is stopped.
	Worker string       `json:"worker,omitempty"`
	Grace  clock.Millis `json:"grace_ms,omitempty"`
	// After is the time in milliseconds to wait before the stop.
	After clock.Millis `json:"after_ms,omitempty"`
}

// Line carries what renewals show to where it is needed.
type Line interface {
	// Deliver brings an event to the scheduler of the domain.
	Deliver(ctx context.Context, e Event) error
	// Spread brings a notice to every entry of the domain, this one included.
	Spread(ctx context.Context, n Notice)
}

// Options configures a Renewer.
type Options struct {
	// Name is this entry's name.
	Name string
	// Workers returns the workers of the domain.
	Workers func() []Target
	// Entries returns the names of the other live entries of the domain.
	Entries func() []string
	// Term returns the highest term known; nothing is renewed while it is 0.
	Term func() int64
	Line Line
	// Period is the time in milliseconds between two renewals of a worker; 0 means 15 s.
	Period clock.Millis
	// Lease is the lease asked for in milliseconds; 0 means gang.DefaultLease.
	Lease clock.Millis
	// Grace is the longest grace of a stop in milliseconds; 0 means 30 s.
	Grace clock.Millis
	Clock *clock.Clock
	Log   *logrus.Entry
}

// Renewer renews the leases of this entry's share of the workers. It is safe for
// concurrent use.
type Renewer struct {
	opts   Options
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu    sync.Mutex
	share map[string]*share
}

// New returns a renewer that works until Stop.
func New(opts Options) *Renewer {
	if opts.Period == 0 {
		opts.Period = DefaultPeriod
	}
	if opts.Lease == 0 {
		opts.Lease = gang.DefaultLease
	}
	if opts.Grace == 0 {
		opts.Grace = DefaultGrace
	}
	if opts.Clock == nil {
		opts.Clock = clock.New()
	}
	if opts.Log == nil {
		opts.Log = logrus.NewEntry(logrus.StandardLogger())
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Renewer{opts: opts, cancel: cancel, share: make(map[string]*share)}
	r.done.Go(func() {
		for {
			r.divide(ctx)
			if !clock.Sleep(ctx, min(pause, opts.Period)) {
				return
			}
		}
	})
	return r
}

// Stop ends the renewals.
func (r *Renewer) Stop(context.Context) error {
	r.cancel()
	r.done.Wait()
	return nil
}

// Owner returns the entry that renews a worker: the one with the highest hash of both names.
func Owner(name string, entries []string) string {
	var owner string
	var best uint64
	for _, e := range entries {
		h := fnv.New64a()
		_, _ = h.Write([]byte(e + "\x00" + name))
		// FNV changes little in the high bits at the last bytes; this spreads them.
		sum := h.Sum64()
		sum ^= sum >> 33
		sum *= 0xff51afd7ed558ccd
		sum ^= sum >> 33
		if sum > best || owner == "" || (sum == best && e > owner) {
			owner, best = e, sum
		}
	}
	return owner
}

// divide begins and ends the renewal of workers as the entries come and go.
func (r *Renewer) divide(ctx context.Context) {
	entries := append(r.opts.Entries(), r.opts.Name)
	own := make(map[string]Target)
	for _, t := range r.opts.Workers() {
		if Owner(t.Name, entries) == r.opts.Name {
			own[t.Name] = t
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, s := range r.share {
		// A worker that is no longer listed is renewed until its leases must have ended.
		if t, ok := own[name]; (!ok && r.listed(name)) || (ok && t.Agent != s.target.Agent) || s.over() {
			s.cancel()
			delete(r.share, name)
		}
	}
	for name, t := range own {
		if r.share[name] != nil {
			continue
		}
		s := newShare(ctx, r, t)
		r.share[name] = s
		r.done.Go(func() { s.run() })
	}
}

func (r *Renewer) listed(name string) bool {
	return slices.ContainsFunc(r.opts.Workers(), func(t Target) bool { return t.Name == name })
}

// Heed stops the parts of gangs that a notice names on the workers of this entry's
// share. It returns once the notice will not be forgotten.
func (r *Renewer) Heed(n Notice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.share {
		s.heed(n)
	}
}
