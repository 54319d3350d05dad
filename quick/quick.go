// Package quick serves quick requests: those that need one slot of a worker and no
// accelerator. They go straight from the entry to a worker.
//
// A request waits for its turn in a queue of its account and class, takes a slot
// of its class, and goes to the less loaded of two random workers. An idempotent
// request may be sent again, and twice at a time. Any other is claimed in the
// store first, naming the worker's process, and sent there once.
//
// # Usage
//
//	r := quick.New(quick.Options{Workers: directory, Claims: book, Counters: counters})
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
	defaultDeadline = 10 * clock.Second
	maxDeadline     = 10 * clock.Minute
	defaultEntries  = 9
	defaultLimit    = 256
	minRetryAfter   = 100 * clock.Millisecond
	retryAfter      = 500 * clock.Millisecond
	maxRetryAfter   = 10 * clock.Second
	// askTime bounds how long Ask looks for the outcome of a request.
	askTime = 2 * clock.Second
	// closingTime is how long past its deadline a request may take to settle its claim.
	closingTime = 500 * clock.Millisecond
)

// Shares of the slots in percent.
const (
	quickFloor   = 50
	urgentFloor  = 10
	sweepCeiling = 50
)

// Workers lists the workers that requests can be sent to.
type Workers interface {
	Workers() []*instances.Worker
	Worker(name string) (*instances.Worker, bool)
}

// Options configures a Router. Workers and Claims have to be set.
type Options struct {
	Workers Workers
	Claims  *claim.Book
	// Counters counts refusals and retries; nil means a set of its own.
	Counters *counters.Counters
	// Budget bounds the retries of the process; nil means one of its own.
	Budget *budget.Budget
	// Entries returns the number of live entries, which share the workers'
	// connections; nil means 9.
	Entries func() int
	// Weight returns the weight of an account against others; nil means equal weights.
	Weight func(account string) int
	// Queue is the number of requests of one account and class that may wait; default 256.
	Queue int
	// Hedge is the time in milliseconds after which an idempotent request is sent to a
	// second worker; 0 follows the answer times of the service, below 0 never.
	Hedge clock.Millis
	// Undivided lets every class take every slot.
	Undivided bool
	// Transport carries calls to workers of other failure domains; nil means one of its own.
	Transport http.RoundTripper
	// Clock defaults to the machine's.
	Clock *clock.Clock
	Log   *logrus.Entry
}

// Router sends quick requests to workers. It is safe for concurrent use.
type Router struct {
	opts     Options
	queue    *admission.Queue[line]
	slots    *slots.Pool[job.Class]
	fleet    *fleet
	recorder *recorder
	paces    *paces
}

// line is what requests queue by.
type line struct {
	account string
	class   job.Class
}

// New returns a router that records outcomes in the background until Stop.
func New(opts Options) *Router {
	opts = opts.complete()
	opts.showCounters()
	r := &Router{opts: opts, fleet: newFleet(opts), paces: newPaces(opts.Hedge)}
	divided := slots.Options[job.Class]{Total: r.fleet.share}
	if !opts.Undivided {
		divided.Floor = map[job.Class]int{job.Quick: quickFloor, job.Urgent: urgentFloor}
		divided.Ceiling = r.ceiling
	}
	r.slots = slots.New(divided)
	r.queue = admission.New(admission.Options[line]{
		Take:   func(l line) bool { return r.slots.Take(l.class) },
		Give:   func(l line) { r.slots.Give(l.class) },
		Weight: func(l line) int { return opts.Weight(l.account) },
		Limit:  opts.Queue, Clock: opts.Clock,
	})
	r.recorder = newRecorder(opts, r.agent)
	return r
}

func (o Options) complete() Options {
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
		o.Queue = defaultLimit
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

// Stop ends the recording of outcomes, after a last try of each that is left.
func (r *Router) Stop(ctx context.Context) error { return r.recorder.stop(ctx) }

// Submit runs a quick request and returns its outcome, within the deadline of the
// request or of ctx, whichever is earlier.
func (r *Router) Submit(ctx context.Context, s job.Spec) outcome.Outcome {
	deadline := min(s.Deadline, maxDeadline)
	if deadline <= 0 {
		deadline = defaultDeadline
	}
	ctx, cancel := context.WithTimeout(ctx, deadline.Duration())
	defer cancel()
	p := &pass{router: r, spec: s}
	if refused := p.enter(ctx); refused != nil {
		return *refused
	}
	defer p.leave()
	if s.Idempotent {
		return r.runIdempotent(ctx, s)
	}
	return r.runOnce(ctx, p)
}

// pass is a request's place past the queue.
type pass struct {
	router *Router
	spec   job.Spec
	inside bool
}

// enter waits for the request's turn and returns nil, or the refusal.
func (p *pass) enter(ctx context.Context) *outcome.Outcome {
	s, q := p.spec, p.router.queue
	if len(p.router.opts.Workers.Workers()) == 0 {
		o := refuseUnread(s, outcome.NoWorker, retryAfter, "no worker of this failure domain is listed")
		return &o
	}
	err := q.Enter(ctx, line{s.Account, s.Class})
	switch {
	case err == nil:
		p.inside = true
		return nil
	case errors.Is(err, admission.ErrFull):
		delay := min(max(q.Delay(), minRetryAfter), maxRetryAfter)
		o := refuseUnread(s, outcome.QueueFull, delay, "too many requests of the account wait in this class")
		return &o
	default:
		o := refuseUnread(s, outcome.DeadlineExceeded, retryAfter, "the deadline ended before the request's turn")
		return &o
	}
}

func (p *pass) leave() {
	if p.inside {
		p.router.queue.Leave(line{p.spec.Account, p.spec.Class})
		p.inside = false
	}
}

// ceiling returns the most slots that a class may hold at this entry, so that all
// entries together leave the rest of the workers' slots to other classes.
func (r *Router) ceiling(c job.Class) int {
	if c != job.Sweep {
		return r.fleet.share()
	}
	return max(1, r.fleet.slots()*sweepCeiling/100/max(r.opts.Entries(), 1))
}

// refuseUnread refuses a request before its claim was looked at. What may have
// been submitted before under the same key may have run, so that is unknown.
func refuseUnread(s job.Spec, reason outcome.Reason, retry clock.Millis, detail string) outcome.Outcome {
	o := outcome.Refuse(s.Key, reason, retry, detail)
	o.Account = s.Account
	if s.Again && !s.Idempotent {
		o.Kind = outcome.Unknown
	}
	return o
}

// Hash returns the hash that tells a repeated request from another one.
func Hash(s job.Spec) string {
	s.Deadline, s.Declared, s.Again = 0, 0, false
	body, _ := json.Marshal(s)
	return outcome.Hash(body)
}
