package quick

import (
	"context"
	"errors"

	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/worker"
)

// errCrossed means that an answer was for another request or attempt, or not whole.
var errCrossed = errors.New("quick: the answer does not belong to the request")

// send sends one attempt to the worker of a conn and gives the conn back.
func (r *Router) send(ctx context.Context, at *conn, service string, t worker.Task) (worker.Task, error) {
	started := r.opts.Clock.Now()
	out, err := at.Client.Run(ctx, t)
	if err == nil && !answers(t, out) {
		r.opts.Counters.Counter(crossedAnswers).Inc()
		err = &worker.Error{Op: "run", Address: at.Address, Sent: true, Err: errCrossed}
	}
	at.release(service, out, err)
	if err == nil {
		r.opts.Budget.Succeed()
		r.paces.note(service, r.opts.Clock.Now()-started)
	}
	return out, err
}

// answers reports whether out is the whole answer to the call t.
func answers(t, out worker.Task) bool {
	return out.ID == t.ID && out.Attempt == t.Attempt && whole(out)
}

func whole(t worker.Task) bool { return t.Hash == outcome.Hash(t.Result) }

// task returns the call that runs a request.
func task(s job.Spec, id string, attempt int) worker.Task {
	needs := s.Shape.Resources(1)
	needs.Slots = max(needs.Slots, 1)
	return worker.Task{ID: id, Attempt: attempt, Tasks: 1, Needs: needs, Payload: s.Payload}
}

// taskID returns the identity of a claimed request on its worker.
func taskID(account, key string) string { return "quick/" + account + "/" + key }

// ended returns the outcome of a task that ran to its end.
func ended(account, key, name string, t worker.Task) outcome.Outcome {
	o := outcome.Outcome{Kind: outcome.Done, Account: account, Key: key, Attempt: t.Attempt, Worker: name}
	if t.State == worker.Failed {
		o.Kind = outcome.Failed
	}
	return o.Seal(t.Result)
}

func lost(account, key, name string, reason outcome.Reason, detail string) outcome.Outcome {
	return outcome.Outcome{
		Kind: outcome.Unknown, Reason: reason, Account: account, Key: key,
		Worker: name, Retry: retryAfter, Detail: detail,
	}
}

// canceled reports whether a call ended because the entry gave it up.
func canceled(err error) bool {
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
