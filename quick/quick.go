// Package quick serves quick requests: those that need one slot of a worker and no
// accelerator. The entry sends them directly to a worker, without the scheduler.
//
// A request waits in the queue of its account and class until its class has a free
// slot, and is then sent to the less loaded of two random workers. An idempotent
// request may be retried, and may be sent to two workers at a time (hedged). A request
// that is not idempotent is first claimed in the platform's store. The claim names the
// process of the worker, and the request is sent once, to that process only.
//
// # Usage
//
//	r := quick.New(quick.Options{Workers: directory, Claims: claims, Counters: counters})
//	o := r.Submit(ctx, spec)
package quick

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/admission"
	"github.com/chestnutsail/chestnutsail/budget"
	"github.com/chestnutsail/chestnutsail/claim"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/counters"
	"github.com/chestnutsail/chestnutsail/instances"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/slots"
)

const (
	defaultDeadline   = 10 * clock.Second
	maxDeadline       = 10 * clock.Minute
	defaultEntries    = 9
	defaultQueueLimit = 256
	minRetryAfter     = 100 * clock.Millisecond
	retryAfter        = 500 * clock.Millisecond
	maxRetryAfter     = 10 * clock.Second
	// lookupTimeout bounds a query for the outcome of a request by its key.
	lookupTimeout = 2 * clock.Second
	// cleanupTimeout bounds the update of a request's claim in the store, which may go on
	// past the deadline of the request.
	cleanupTimeout = 500 * clock.Millisecond
)

// The floors of quick and urgent requests, in percent of the connections that this entry may
// use, and the ceiling of sweeps, in percent of the slots of the workers.
const (
	quickFloorPercent   = 50
	urgentFloorPercent  = 10
	sweepCeilingPercent = 50
)

// Workers lists the workers that requests can be sent to and finds one by name.
type Workers interface {
	Workers() []*instances.Worker
	Worker(name string) (*instances.Worker, bool)
}

// Options configures a Router. Workers and Claims are required.
type Options struct {
	Workers Workers
	Claims  *claim.Registry
	// Counters counts refusals and retries; nil means a new set.
	Counters *counters.Counters
	// Budget bounds the retries of the process; nil means a new default budget.
	Budget *budget.Budget
	// Entries returns the number of live entries, which share the workers'
	// connections; nil means 9.
	Entries func() int
	// Weight returns the relative weight of an account in the queue; nil means equal weights.
	Weight func(account string) int
	// Queue is the number of requests of one account and class that may wait; default 256.
	Queue int
	// Hedge is the time in milliseconds after which an idempotent request is sent to a
	// second worker; 0 derives it from the answer times of the service, and a negative
	// value turns hedging off.
	Hedge clock.Millis
	// Undivided turns off the floors and ceilings of the classes, so that every class may
	// use all slots.
	Undivided bool
	// Transport carries calls to workers of other failure domains; nil means a new transport.
	Transport http.RoundTripper
	// Clock defaults to the system clock.
	Clock *clock.Clock
	Log   *logrus.Entry
}

// Router sends quick requests to workers. It is safe for concurrent use.
type Router struct {
	opts      Options
	queue     *admission.Queue[queueKey]
	slots     *slots.Pool[job.Class]
	workers   *workerPool
	recorder  *recorder
	latencies *latencyTracker
}

// queueKey identifies one queue: requests of one account and class wait together.
type queueKey struct {
	account string
	class   job.Class
}

// New returns a router. It records outcomes in the background until Stop is called.
func New(opts Options) *Router {
	opts = opts.withDefaults()
	opts.registerCounters()
	r := &Router{opts: opts, workers: newWorkerPool(opts), latencies: newLatencyTracker(opts.Hedge)}
	slotOptions := slots.Options[job.Class]{Total: r.workers.totalConnShare}
	if !opts.Undivided {
		slotOptions.Floor = map[job.Class]int{job.Quick: quickFloorPercent, job.Urgent: urgentFloorPercent}
		slotOptions.Ceiling = r.classCeiling
	}
	r.slots = slots.New(slotOptions)
	r.queue = admission.New(admission.Options[queueKey]{
		Acquire: func(k queueKey) bool { return r.slots.Acquire(k.class) },
		Release: func(k queueKey) { r.slots.Release(k.class) },
		Weight:  func(k queueKey) int { return opts.Weight(k.account) },
		Limit:   opts.Queue, Clock: opts.Clock,
	})
	r.recorder = newRecorder(opts, r.workerClient)
	return r
}

func (o Options) withDefaults() Options {
	if o.Counters == nil {
		o.Counters = counters.New()
	}
	if o.Budget == nil {
		o.Budget = budget.New(budget.Options{})
	}
	if o.Entries == nil {
		o.Entries = func() int { return defaultEntries }
	}
	if o.Weight == nil {
		o.Weight = func(string) int { return 1 }
	}
	if o.Queue == 0 {
		o.Queue = defaultQueueLimit
	}
	if o.Transport == nil {
		o.Transport = &http.Transport{MaxIdleConnsPerHost: 2}
	}
	if o.Clock == nil {
		o.Clock = clock.New()
	}
	if o.Log == nil {
		o.Log = logrus.NewEntry(logrus.StandardLogger())
	}
	return o
}

// Stop ends the recording of outcomes in the background. It makes one last attempt to
// record each outcome that is still queued, and returns the error of ctx if ctx ends
// first.
func (r *Router) Stop(ctx context.Context) error { return r.recorder.stop(ctx) }

// Submit runs a quick request and returns its outcome by the deadline of the request or
// of ctx, whichever is earlier.
func (r *Router) Submit(ctx context.Context, s job.Spec) outcome.Outcome {
	deadline := min(s.Deadline, maxDeadline)
	if deadline <= 0 {
		deadline = defaultDeadline
	}
	ctx, cancel := context.WithTimeout(ctx, deadline.Duration())
	defer cancel()
	t := &ticket{router: r, spec: s}
	if refused := t.wait(ctx); refused != nil {
		return *refused
	}
	defer t.release()
	if s.Idempotent {
		return r.runIdempotent(ctx, s)
	}
	return r.runNonIdempotent(ctx, t)
}

// ticket is the admission of one request: while admitted, the request holds a slot of
// its class.
type ticket struct {
	router   *Router
	spec     job.Spec
	admitted bool
}

// wait waits until the request is admitted and returns nil, or returns the outcome of a
// request that is refused.
func (t *ticket) wait(ctx context.Context) *outcome.Outcome {
	s, q := t.spec, t.router.queue
	if len(t.router.opts.Workers.Workers()) == 0 {
		o := refuseBeforeClaim(s, outcome.NoWorker, retryAfter, "no worker of this failure domain is listed")
		return &o
	}
	err := q.Enter(ctx, queueKey{s.Account, s.Class})
	switch {
	case err == nil:
		t.admitted = true
		return nil
	case errors.Is(err, admission.ErrFull):
		delay := min(max(q.Delay(), minRetryAfter), maxRetryAfter)
		o := refuseBeforeClaim(s, outcome.QueueFull, delay, "too many requests of the account wait in this class")
		return &o
	default:
		o := refuseBeforeClaim(s, outcome.DeadlineExceeded, retryAfter, "the deadline ended before the request's turn")
		return &o
	}
}

func (t *ticket) release() {
	if t.admitted {
		t.router.queue.Leave(queueKey{t.spec.Account, t.spec.Class})
		t.admitted = false
	}
}

// classCeiling returns the largest number of slots that a class may hold at this entry.
// For sweeps it is this entry's share of sweepCeilingPercent of the workers' slots, so
// that all entries together leave the rest to other classes. For the other classes it is
// this entry's share of the workers' connections, which is all that the entry may use.
func (r *Router) classCeiling(class job.Class) int {
	if class != job.Sweep {
		return r.workers.totalConnShare()
	}
	return max(1, r.workers.totalSlots()*sweepCeilingPercent/100/max(r.opts.Entries(), 1))
}

// refuseBeforeClaim refuses a request whose claim has not been read. The outcome is
// notrun for an idempotent request or a first submission of the key. For a resubmitted
// request that is not idempotent it is unknown, as an earlier submission may have run.
func refuseBeforeClaim(spec job.Spec, reason outcome.Reason, retry clock.Millis, detail string) outcome.Outcome {
	o := outcome.Refuse(spec.Key, reason, retry, detail)
	o.Account = spec.Account
	if spec.Resubmitted && !spec.Idempotent {
		o.Kind = outcome.Unknown
	}
	return o
}

// Hash returns the hash of a request, which is equal for resubmissions of the same
// request and differs for another request under the same key. The deadline and the
// declared run time may change between resubmissions, so they are not included.
func Hash(spec job.Spec) string {
	spec.Deadline, spec.Declared, spec.Resubmitted = 0, 0, false
	body, _ := json.Marshal(spec)
	return outcome.Hash(body)
}
