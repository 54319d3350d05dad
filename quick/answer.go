package quick

import (
	"context"
	"errors"

	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/worker"
)

// errAnswerMismatch means that a worker's answer belongs to another request or
// attempt, or that its result does not match its hash.
var errAnswerMismatch = errors.New("quick: the answer of the worker does not match the request")

// send sends one attempt of a request to the target worker, waits for the answer
// and releases the connection.
func (r *Router) send(ctx context.Context, target *workerConn, service string, task worker.Task) (worker.Task, error) {
	started := r.opts.Clock.Now()
	answer, err := target.Client.Run(ctx, task)
	if err == nil && !answerMatches(task, answer) {
		r.opts.Counters.Counter(mismatchedAnswers).Inc()
		err = &worker.Error{Op: "run", Address: target.Address, Sent: true, Err: errAnswerMismatch}
	}
	target.release(service, answer, err)
	if err == nil {
		r.opts.Budget.Succeed()
		r.latencies.observe(service, r.opts.Clock.Now()-started)
	}
	return answer, err
}

// answerMatches reports whether answer has the ID and attempt of call and a result
// that matches its hash.
func answerMatches(call, answer worker.Task) bool {
	return answer.ID == call.ID && answer.Attempt == call.Attempt && hashMatches(answer)
}

func hashMatches(t worker.Task) bool { return t.Hash == outcome.Hash(t.Result) }

// newTask returns the task that a worker is called with to run one attempt of a request.
func newTask(s job.Spec, id string, attempt int) worker.Task {
	needs := s.Shape.Resources(1)
	needs.Slots = max(needs.Slots, 1)
	return worker.Task{ID: id, Attempt: attempt, Tasks: 1, Needs: needs, Payload: s.Payload}
}

// taskID returns the ID under which a worker knows a claimed request.
func taskID(account, key string) string { return "quick/" + account + "/" + key }

// completedOutcome returns the outcome of a task that the worker reports as finished
// or failed. The name is that of the worker.
func completedOutcome(account, key, name string, t worker.Task) outcome.Outcome {
	o := outcome.Outcome{Kind: outcome.Done, Account: account, Key: key, Attempt: t.Attempt, Worker: name}
	if t.State == worker.Failed {
		o.Kind = outcome.Failed
	}
	return o.WithBody(t.Result)
}

func unknownOutcome(account, key, name string, reason outcome.Reason, detail string) outcome.Outcome {
	return outcome.Outcome{
		Kind: outcome.Unknown, Reason: reason, Account: account, Key: key,
		Worker: name, Retry: retryAfter, Detail: detail,
	}
}

// isCanceled reports whether a call ended because this entry canceled the call or the
// deadline of the call passed.
func isCanceled(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
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
