// Package renewer renews the leases of running gangs. The workers of a domain are
// distributed over its live instances. An instance renews all gangs of a worker with one
// call. The worker's agent delays the response until a task changes or the period ends.
// Renewals continue while no scheduler leads and while the store is down. They start
// nothing: a worker renews only tasks whose whole gang was confirmed as running.
//
// # Usage
//
//	r := renewer.New(renewer.Options{
//		Name: "e1", Workers: workers, Entries: liveEntries, Term: term, Publisher: dispatcher,
//	})
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

// Default interval and grace in milliseconds.
const (
	DefaultPeriod = 15 * clock.Second
	DefaultGrace  = 30 * clock.Second
)

const (
	retryInterval = clock.Second
	callMargin    = 2 * clock.Second
)

// Agent is the part of a worker agent's API that renewals use.
type Agent interface {
	Renew(ctx context.Context, r worker.Renewal) (worker.Report, error)
	Stop(ctx context.Context, s worker.Stop) (worker.Task, error)
}

// Target is a worker whose leases are renewed.
type Target struct {
	Name  string
	Agent Agent
}

// Event is the result of the renewal of one worker: changed tasks, or the loss of the worker.
type Event struct {
	Worker string `json:"worker"`
	// Term is the term of the renewal.
	Term int64 `json:"term"`
	// Lost is set when the worker did not answer until its leases had ended.
	Lost bool `json:"lost,omitempty"`
	// Tasks holds the gang tasks that changed, without their results.
	Tasks []worker.Task `json:"tasks,omitempty"`
}

// Notice asks the instances of a domain to stop the remaining members of gangs that have
// lost a member.
type Notice struct {
	// ID and Attempt identify a gang; they are empty in a notice about a worker.
	ID      string `json:"id,omitempty"`
	Attempt int    `json:"attempt,omitempty"`
	// Worker is the name of a lost worker: every gang with a member there is stopped.
	Worker string       `json:"worker,omitempty"`
	Grace  clock.Millis `json:"grace_ms,omitempty"`
	// After is the delay in milliseconds before the stop.
	After clock.Millis `json:"after_ms,omitempty"`
}

// Publisher sends the results of renewals to the scheduler and to the other instances.
type Publisher interface {
	// Deliver sends an event to the scheduler of the domain.
	Deliver(ctx context.Context, e Event) error
	// Broadcast sends a notice to every instance of the domain, including this one.
	Broadcast(ctx context.Context, n Notice)
}

// Options configures a Renewer.
type Options struct {
	// Name is the name of this instance.
	Name string
	// Workers returns the workers of the domain.
	Workers func() []Target
	// Entries returns the names of the other live instances of the domain.
	Entries func() []string
	// Term returns the highest known term; nothing is renewed while it is 0.
	Term      func() int64
	Publisher Publisher
	// Period is the time in milliseconds between two renewals of a worker; 0 means 15 s.
	Period clock.Millis
	// Lease is the duration in milliseconds of the leases that a renewal requests; 0 means
	// gang.DefaultLease.
	Lease clock.Millis
	// Grace is the longest grace of a stop in milliseconds; 0 means 30 s. When a task was
	// stopped, the other members of its gang are stopped after this time.
	Grace clock.Millis
	Clock *clock.Clock
	Log   *logrus.Entry
}

// Renewer renews the leases on the workers that are assigned to this instance. It is safe
// for concurrent use.
type Renewer struct {
	opts       Options
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu       sync.Mutex
	byWorker map[string]*workerRenewer
}

// New returns a renewer that runs until Stop.
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
	r := &Renewer{opts: opts, cancel: cancel, byWorker: make(map[string]*workerRenewer)}
	r.goroutines.Go(func() {
		for {
			r.assignWorkers(ctx)
			if !clock.Sleep(ctx, min(retryInterval, opts.Period)) {
				return
			}
		}
	})
	return r
}

// Stop ends the renewals. The returned error is always nil.
func (r *Renewer) Stop(context.Context) error {
	r.cancel()
	r.goroutines.Wait()
	return nil
}

// Owner returns the name of the instance that renews a worker. It is the instance with the
// highest hash of its own and the worker's name (rendezvous hashing), so that a change of
// the instances moves as few workers as possible.
func Owner(name string, entries []string) string {
	var owner string
	var highest uint64
	for _, e := range entries {
		h := fnv.New64a()
		_, _ = h.Write([]byte(e + "\x00" + name))
		// The last bytes of the input change the high bits of an FNV hash only little. The
		// following steps mix all bits.
		sum := h.Sum64()
		sum ^= sum >> 33
		sum *= 0xff51afd7ed558ccd
		sum ^= sum >> 33
		if sum > highest || owner == "" || (sum == highest && e > owner) {
			owner, highest = e, sum
		}
	}
	return owner
}

// assignWorkers starts and ends the renewal of workers when the live instances or the listed
// workers have changed.
func (r *Renewer) assignWorkers(ctx context.Context) {
	entries := append(r.opts.Entries(), r.opts.Name)
	own := make(map[string]Target)
	for _, t := range r.opts.Workers() {
		if Owner(t.Name, entries) == r.opts.Name {
			own[t.Name] = t
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, s := range r.byWorker {
		// The renewal of a worker that is no longer listed continues until its leases must
		// have ended.
		if t, ok := own[name]; (!ok && r.listed(name)) || (ok && t.Agent != s.target.Agent) || s.isFinished() {
			s.cancel()
			delete(r.byWorker, name)
		}
	}
	for name, t := range own {
		if r.byWorker[name] != nil {
			continue
		}
		s := newWorkerRenewer(ctx, r, t)
		r.byWorker[name] = s
		r.goroutines.Go(func() { s.run() })
	}
}

func (r *Renewer) listed(name string) bool {
	return slices.ContainsFunc(r.opts.Workers(), func(t Target) bool { return t.Name == name })
}

// HandleNotice records the stops that a notice requests on the workers assigned to this
// instance. It returns before the stops are carried out. A stop is retried until the worker
// responds.
func (r *Renewer) HandleNotice(n Notice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.byWorker {
		s.handleNotice(n)
	}
}
