// Package quick serves quick requests: those that need one slot of a worker and no
// accelerator. They go straight from the entry to a worker.
//
// # Usage
//
//	r := quick.New(quick.Options{Workers: directory, Claims: book, Counters: counters})
//	o := r.Submit(ctx, spec)
package quick

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/claim"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/counters"
	"github.com/chestnutsail/chestnutsail/instances"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/worker"
)

const (
	defaultDeadline = 10 * clock.Second
	retryAfter      = 500 * clock.Millisecond
	maxTries        = 4
)

// Workers lists the workers that requests can be sent to.
type Workers interface {
	Workers() []*instances.Worker
	Worker(name string) (*instances.Worker, bool)
}

// Options configures a Router.
type Options struct {
	Workers  Workers
	Claims   *claim.Book
	Counters *counters.Counters
	Log      *logrus.Entry
}

// Router sends quick requests to workers. It is safe for concurrent use.
type Router struct {
	opts Options

	mu       sync.Mutex
	inFlight map[string]int
}

// New returns a router.
func New(opts Options) *Router {
	return &Router{opts: opts, inFlight: make(map[string]int)}
}

// Submit runs a quick request and returns its outcome.
func (r *Router) Submit(ctx context.Context, s job.Spec) outcome.Outcome {
	deadline := s.Deadline
	if deadline == 0 {
		deadline = defaultDeadline
	}
	ctx, cancel := context.WithTimeout(ctx, deadline.Duration())
	defer cancel()
	if s.Idempotent {
		return r.runIdempotent(ctx, s)
	}
	return r.runOnce(ctx, s)
}

// runIdempotent tries workers until one runs the request.
func (r *Router) runIdempotent(ctx context.Context, s job.Spec) outcome.Outcome {
	tried := make(map[string]bool)
	for try := 1; try <= maxTries && ctx.Err() == nil; try++ {
		w, ok := r.pick(tried)
		if !ok {
			break
		}
		tried[w.Name] = true
		t, err := r.send(ctx, w, s, try)
		if err == nil {
			return ended(s, w.Name, t)
		}
		r.opts.Counters.Retried(retryReason(err))
	}
	if ctx.Err() != nil {
		return outcome.Outcome{Kind: outcome.Unknown, Reason: outcome.DeadlineExceeded, Key: s.Key}
	}
	if len(tried) == 0 {
		return outcome.Refuse(s.Key, outcome.NoWorker, retryAfter, "no worker of this failure domain is listed")
	}
	return outcome.Refuse(s.Key, outcome.WorkersBusy, retryAfter, "every worker tried was full")
}

// runOnce claims the request, sends it to one worker and records how it ended.
func (r *Router) runOnce(ctx context.Context, s job.Spec) outcome.Outcome {
	w, ok := r.pick(nil)
	if !ok {
		return outcome.Refuse(s.Key, outcome.NoWorker, retryAfter, "no worker of this failure domain is listed")
	}
	c := claim.Claim{Account: s.Account, Key: s.Key, Hash: Hash(s), Worker: w.Name, Attempt: 1}
	c, err := r.opts.Claims.Take(ctx, c)
	switch platform.KindOf(err) {
	case platform.OK:
	case platform.Refused:
		return outcome.Refuse(s.Key, outcome.StoreUnreachable, retryAfter, "the request could not be claimed")
	default:
		return outcome.Outcome{Kind: outcome.Unknown, Reason: outcome.ClaimUnclear, Key: s.Key, Retry: retryAfter}
	}
	if c.Hash != Hash(s) {
		return outcome.Refuse(s.Key, outcome.KeyReused, 0, "the key was used for another request")
	}
	if !c.Own {
		return r.standing(ctx, s.Key, c)
	}
	t, err := r.send(ctx, w, s, c.Attempt)
	return r.conclude(ctx, s, c, t, err)
}

// conclude records how a claimed request ended.
func (r *Router) conclude(ctx context.Context, s job.Spec, c claim.Claim, t worker.Task, err error) outcome.Outcome {
	var o outcome.Outcome
	switch {
	case err == nil:
		o = ended(s, c.Worker, t)
	case worker.NotSent(err):
		o = outcome.Refuse(s.Key, outcome.WorkersBusy, 0, "the worker did not take the request")
	default:
		return outcome.Outcome{Kind: outcome.Unknown, Reason: outcome.AnswerLost, Key: s.Key, Worker: c.Worker, Retry: retryAfter}
	}
	c.Outcome = &o
	if _, err := r.opts.Claims.Update(ctx, c); err != nil {
		r.opts.Log.WithError(err).Warn("quick: outcome not recorded")
	}
	return o
}

// Ask returns the outcome of a request by its key.
func (r *Router) Ask(ctx context.Context, account, key string) outcome.Outcome {
	c, err := r.opts.Claims.Find(ctx, account, key)
	switch platform.KindOf(err) {
	case platform.OK:
		return r.standing(ctx, key, c)
	case platform.Missing:
		return outcome.Outcome{
			Kind: outcome.Unknown, Reason: outcome.UnknownKey, Key: key,
			Detail: "no request is recorded under this key; one that is on its way may still appear",
		}
	default:
		return outcome.Outcome{Kind: outcome.Unknown, Reason: outcome.StoreUnreachable, Key: key, Retry: retryAfter}
	}
}

// standing answers from a claim that was made before.
func (r *Router) standing(ctx context.Context, key string, c claim.Claim) outcome.Outcome {
	if c.Outcome != nil {
		return *c.Outcome
	}
	lost := outcome.Outcome{Kind: outcome.Unknown, Reason: outcome.InProgress, Key: key, Worker: c.Worker, Retry: retryAfter}
	w, ok := r.opts.Workers.Worker(c.Worker)
	if !ok {
		return lost
	}
	t, err := w.Client.Task(ctx, c.Account+"/"+c.Key)
	if err != nil || t.State.Holds() {
		return lost
	}
	o := ended(job.Spec{Key: key}, c.Worker, t)
	c.Outcome = &o
	if _, err := r.opts.Claims.Update(ctx, c); err != nil {
		r.opts.Log.WithError(err).Warn("quick: outcome not recorded")
	}
	return o
}

func (r *Router) send(ctx context.Context, w *instances.Worker, s job.Spec, attempt int) (worker.Task, error) {
	r.count(w.Name, 1)
	defer r.count(w.Name, -1)
	needs := s.Shape.Resources(1)
	needs.Slots = max(needs.Slots, 1)
	return w.Client.Run(ctx, worker.Task{ID: s.ID(), Attempt: attempt, Tasks: 1, Needs: needs, Payload: s.Payload})
}

// pick takes the less loaded of two random workers that were not tried.
func (r *Router) pick(tried map[string]bool) (*instances.Worker, bool) {
	var open []*instances.Worker
	for _, w := range r.opts.Workers.Workers() {
		if !w.Leaving && !tried[w.Name] {
			open = append(open, w)
		}
	}
	if len(open) == 0 {
		return nil, false
	}
	a, b := open[rand.IntN(len(open))], open[rand.IntN(len(open))]
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight[b.Name] < r.inFlight[a.Name] {
		return b, true
	}
	return a, true
}

func (r *Router) count(name string, d int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight[name] += d
	if r.inFlight[name] == 0 {
		delete(r.inFlight, name)
	}
}

// Hash returns the hash that tells a repeated request from another one.
func Hash(s job.Spec) string {
	s.Deadline = 0
	body, _ := json.Marshal(s)
	return outcome.Hash(body)
}

func ended(s job.Spec, name string, t worker.Task) outcome.Outcome {
	o := outcome.Outcome{Account: s.Account, Key: s.Key, Attempt: t.Attempt, Worker: name}
	switch t.State {
	case worker.Finished:
		o.Kind = outcome.Done
	case worker.Failed:
		o.Kind = outcome.Failed
	default:
		return outcome.Refuse(s.Key, outcome.Canceled, 0, "the request was stopped before it ran")
	}
	return o.Seal(t.Result)
}

func retryReason(err error) outcome.Retry {
	switch {
	case worker.RefusalOf(err) == worker.Full:
		return outcome.RetryWorkerFull
	case worker.RefusalOf(err) != "":
		return outcome.RetryWorkerRefused
	default:
		return outcome.RetryWorkerLost
	}
}
