package quick

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/worker"
)

const maxTries = 4

// volley is one idempotent request with its attempts, two of which may be under
// way at a time.
type volley struct {
	router  *Router
	spec    job.Spec
	id      string
	tried   map[string]bool
	answers chan answer
	tries   int
	flying  int
	// failed is the first answer that the request failed of its own.
	failed *answer
	// unsure is set once an attempt may have run without an answer.
	unsure bool
}

type answer struct {
	worker string
	task   worker.Task
	err    error
}

// runIdempotent tries workers until one runs the request.
func (r *Router) runIdempotent(ctx context.Context, s job.Spec) outcome.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	v := &volley{
		router: r, spec: s, id: taskID(s.Account, s.Key) + "/" + rand.Text()[:8],
		tried: make(map[string]bool), answers: make(chan answer, maxTries),
	}
	hedge := v.hedge()
	if !v.launch(ctx) {
		return outcome.Refuse(s.Key, outcome.WorkersBusy, retryAfter, "this entry's share of every worker is in use")
	}
	for {
		select {
		case <-ctx.Done():
			return v.expired()
		case <-hedge:
			if v.flying == 1 && v.router.opts.Budget.Take() && v.launch(ctx) {
				r.opts.Counters.Retried(outcome.RetryHedge)
			}
		case a := <-v.answers:
			v.flying--
			if o, over := v.settle(ctx, a); over {
				return o
			}
		}
	}
}

func (v *volley) hedge() <-chan time.Time {
	wait := v.router.paces.hedge(v.spec.Service)
	if wait < 0 {
		return nil
	}
	return time.After(wait.Duration())
}

// launch sends the next attempt and reports whether a worker was found for it.
func (v *volley) launch(ctx context.Context) bool {
	at, ok := v.router.fleet.acquire(v.tried)
	if !ok {
		return false
	}
	v.tries++
	v.flying++
	v.tried[at.Name] = true
	t := task(v.spec, v.id, v.tries)
	if end, ok := ctx.Deadline(); ok {
		t.Lease = max(clock.FromDuration(time.Until(end)), 1)
	}
	go func() {
		out, err := v.router.send(ctx, at, v.spec.Service, t)
		if err == nil && ctx.Err() != nil {
			v.router.opts.Counters.Counter(lateAnswers).Inc()
		}
		v.answers <- answer{at.Name, out, err}
	}()
	return true
}

// settle takes one answer and reports whether the request is over.
func (v *volley) settle(ctx context.Context, a answer) (outcome.Outcome, bool) {
	if a.err == nil && a.task.State == worker.Finished {
		return v.end(a), true
	}
	if a.err == nil && a.task.State == worker.Failed && v.failed == nil {
		v.failed = &a
	}
	if v.failed == nil && !worker.NotSent(a.err) {
		v.unsure = true
	}
	if v.flying > 0 {
		return outcome.Outcome{}, false
	}
	if v.again(ctx, a) {
		return outcome.Outcome{}, false
	}
	if v.failed != nil {
		return v.end(*v.failed), true
	}
	if ctx.Err() != nil {
		return v.expired(), true
	}
	if !v.unsure {
		return outcome.Refuse(v.spec.Key, outcome.WorkersBusy, retryAfter, "every worker tried was full or not reached"), true
	}
	return lost(v.spec.Account, v.spec.Key, a.worker, outcome.AnswerLost, "the answers of the workers tried were lost"), true
}

// again sends the request to a further worker if the tries and the retry budget
// allow. A failure of the request's own is tried once more, in case it is the worker's.
func (v *volley) again(ctx context.Context, a answer) bool {
	r := v.router
	failures := a.err == nil && v.tries > 1
	if v.tries >= maxTries || failures || !r.opts.Budget.Take() {
		return false
	}
	if a.err != nil && !clock.Sleep(ctx, r.opts.Budget.Wait(v.tries)) {
		return false
	}
	if !v.launch(ctx) {
		clear(v.tried)
		if !v.launch(ctx) {
			return false
		}
	}
	reason := outcome.RetryTaskFailed
	if a.err != nil {
		reason = retryReason(a.err)
	}
	r.opts.Counters.Retried(reason)
	return true
}

func (v *volley) end(a answer) outcome.Outcome {
	return ended(v.spec.Account, v.spec.Key, a.worker, a.task)
}

// expired is the outcome at the deadline, when an attempt may still run.
func (v *volley) expired() outcome.Outcome {
	if v.flying == 0 && !v.unsure {
		return outcome.Refuse(v.spec.Key, outcome.DeadlineExceeded, retryAfter, "the deadline ended before a worker took the request")
	}
	return lost(v.spec.Account, v.spec.Key, "", outcome.DeadlineExceeded, "the deadline ended before an answer")
}
