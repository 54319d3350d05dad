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

const maxAttempts = 4

// idempotentRequest is one submission of an idempotent request. Up to two of its attempts
// may be in flight at a time.
type idempotentRequest struct {
	router       *Router
	spec         job.Spec
	id           string
	triedWorkers map[string]bool
	results      chan attemptResult
	attempts     int
	inFlight     int
	// firstFailure is the first answer in which a worker reports that the task itself failed.
	firstFailure *attemptResult
	// mayHaveRun is set once an attempt was sent and no answer says how it ended.
	mayHaveRun bool
}

type attemptResult struct {
	worker string
	task   worker.Task
	err    error
}

// runIdempotent sends the request to a worker, and to further workers as retry allows. A
// request that is not answered within the hedge delay is sent to a second worker as well.
func (r *Router) runIdempotent(ctx context.Context, s job.Spec) outcome.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req := &idempotentRequest{
		router: r, spec: s, id: taskID(s.Account, s.Key) + "/" + rand.Text()[:8],
		triedWorkers: make(map[string]bool), results: make(chan attemptResult, maxAttempts),
	}
	hedgeAfter := req.hedgeAfter()
	if !req.startAttempt(ctx) {
		return outcome.Refuse(s.Key, outcome.WorkersBusy, retryAfter, "this entry's share of every worker is in use")
	}
	for {
		select {
		case <-ctx.Done():
			return req.deadlineOutcome()
		case <-hedgeAfter:
			if req.inFlight == 1 && req.router.opts.Budget.Take() && req.startAttempt(ctx) {
				r.opts.Counters.Retried(outcome.RetryHedge)
			}
		case result := <-req.results:
			req.inFlight--
			if o, done := req.handleResult(ctx, result); done {
				return o
			}
		}
	}
}

func (req *idempotentRequest) hedgeAfter() <-chan time.Time {
	delay := req.router.latencies.hedgeAfter(req.spec.Service)
	if delay < 0 {
		return nil
	}
	return time.After(delay.Duration())
}

// startAttempt sends the next attempt in the background and reports whether a worker
// was available for it. The result arrives on req.results.
func (req *idempotentRequest) startAttempt(ctx context.Context) bool {
	target, ok := req.router.workers.acquire(req.triedWorkers)
	if !ok {
		return false
	}
	req.attempts++
	req.inFlight++
	req.triedWorkers[target.Name] = true
	task := newTask(req.spec, req.id, req.attempts)
	if deadline, ok := ctx.Deadline(); ok {
		task.Lease = max(clock.FromDuration(time.Until(deadline)), 1)
	}
	go func() {
		answer, err := req.router.send(ctx, target, req.spec.Service, task)
		if err == nil && ctx.Err() != nil {
			req.router.opts.Counters.Counter(lateAnswers).Inc()
		}
		req.results <- attemptResult{target.Name, answer, err}
	}()
	return true
}

// handleResult processes the result of one attempt. It returns the outcome and true if
// the request has ended, and false while an attempt is in flight.
func (req *idempotentRequest) handleResult(ctx context.Context, result attemptResult) (outcome.Outcome, bool) {
	if result.err == nil && result.task.State == worker.Finished {
		return req.resultOutcome(result), true
	}
	if result.err == nil && result.task.State == worker.Failed && req.firstFailure == nil {
		req.firstFailure = &result
	}
	if req.firstFailure == nil && !worker.NotSent(result.err) {
		req.mayHaveRun = true
	}
	if req.inFlight > 0 {
		return outcome.Outcome{}, false
	}
	if req.retry(ctx, result) {
		return outcome.Outcome{}, false
	}
	if req.firstFailure != nil {
		return req.resultOutcome(*req.firstFailure), true
	}
	if ctx.Err() != nil {
		return req.deadlineOutcome(), true
	}
	if !req.mayHaveRun {
		return outcome.Refuse(req.spec.Key, outcome.WorkersBusy, retryAfter, "every worker tried was full or not reached"), true
	}
	return unknownOutcome(req.spec.Account, req.spec.Key, result.worker, outcome.AnswerLost, "the answers of the workers tried were lost"), true
}

// retry starts another attempt if maxAttempts and the retry budget allow, and reports
// whether it did. A task that failed by itself is retried, in case the worker was at
// fault, only if that was the request's only attempt.
func (req *idempotentRequest) retry(ctx context.Context, result attemptResult) bool {
	r := req.router
	failedAgain := result.err == nil && req.attempts > 1
	if req.attempts >= maxAttempts || failedAgain || !r.opts.Budget.Take() {
		return false
	}
	if result.err != nil && !clock.Sleep(ctx, r.opts.Budget.Wait(req.attempts)) {
		return false
	}
	if !req.startAttempt(ctx) {
		clear(req.triedWorkers)
		if !req.startAttempt(ctx) {
			return false
		}
	}
	reason := outcome.RetryTaskFailed
	if result.err != nil {
		reason = retryReason(result.err)
	}
	r.opts.Counters.Retried(reason)
	return true
}

func (req *idempotentRequest) resultOutcome(result attemptResult) outcome.Outcome {
	return completedOutcome(req.spec.Account, req.spec.Key, result.worker, result.task)
}

// deadlineOutcome returns the outcome of a request whose deadline has passed: notrun if
// no attempt can have run, otherwise unknown.
func (req *idempotentRequest) deadlineOutcome() outcome.Outcome {
	if req.inFlight == 0 && !req.mayHaveRun {
		return outcome.Refuse(req.spec.Key, outcome.DeadlineExceeded, retryAfter, "the deadline ended before a worker took the request")
	}
	return unknownOutcome(req.spec.Account, req.spec.Key, "", outcome.DeadlineExceeded, "the deadline ended before an answer")
}
