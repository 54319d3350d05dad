package quick

import (
	"context"
	"math/rand/v2"

	"github.com/chestnutsail/chestnutsail/claim"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/worker"
)

const (
	// fenceGrace is how long other entries wait for a claimed request to reach its worker
	// before they fence it. The entry that claimed it may still be about to send it.
	fenceGrace      = 300 * clock.Millisecond
	minPollInterval = 5 * clock.Millisecond
	maxPollInterval = 200 * clock.Millisecond
	pollsPerReread  = 4
)

// attemptState is the state of an attempt as found by a query of its worker.
type attemptState int

const (
	attemptUnreachable attemptState = iota
	attemptRunning
	attemptEnded
	// attemptFenced means that the attempt did not run and the worker will not start it.
	attemptFenced
	// attemptUnseen means that the worker has not received the attempt yet.
	attemptUnseen
	attemptStopped
	attemptWorkerReplaced
	// attemptSuperseded means that the worker has a later attempt than the claim names.
	attemptSuperseded
)

// resolveOptions configures Router.resolveClaim.
type resolveOptions struct {
	// fenceAfter is the time in milliseconds after which an attempt is fenced that the
	// worker has not received; 0 fences it with the first query.
	fenceAfter clock.Millis
	// waitForEnd says whether to wait for the end of an attempt that is running.
	waitForEnd bool
}

// Query returns the outcome of the request with the given key. The outcome is unknown while
// the request runs, when its claim can't be read, and when no claim exists for the key.
func (r *Router) Query(ctx context.Context, account, key string) outcome.Outcome {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout.Duration())
	defer cancel()
	c, err := r.opts.Claims.Find(ctx, account, key)
	switch kv.KindOf(err) {
	case kv.OK:
		return r.confirmedOutcome(ctx, r.resolveClaim(ctx, c, resolveOptions{fenceAfter: fenceGrace}))
	case kv.Missing:
		return outcome.Outcome{
			Kind: outcome.Unknown, Reason: outcome.UnknownKey, Account: account, Key: key,
			Detail: "no request is recorded under this key; one that is on its way may still appear",
		}
	default:
		return unknownOutcome(account, key, "", outcome.StoreUnreachable, "the claim of the request can't be read")
	}
}

// claimOutcome returns the outcome recorded in a claim, or unknown if there is none yet.
func claimOutcome(c claim.Claim) outcome.Outcome {
	if c.Outcome != nil {
		return *c.Outcome
	}
	return unknownOutcome(c.Account, c.Key, c.Worker, outcome.InProgress, "the request was claimed and its end is not known yet")
}

// confirmedOutcome returns the outcome recorded in a claim, or unknown if there is none
// yet. A tombstone that this process only read may be stale: the request may have been
// claimed again and run since. The outcome is notrun only if the store confirms that the
// tombstone is current.
func (r *Router) confirmedOutcome(ctx context.Context, c claim.Claim) outcome.Outcome {
	if !c.Tombstone() || c.Own {
		return claimOutcome(c)
	}
	ctx, cancel := cleanupContext(ctx)
	defer cancel()
	current, err := r.opts.Claims.Confirm(ctx, c)
	if err == nil || current.Version != 0 && !current.Tombstone() {
		return claimOutcome(current)
	}
	return unknownOutcome(c.Account, c.Key, c.Worker, outcome.ClaimUnclear, "the store did not confirm that the request has not run; ask by key")
}

// resolveClaim polls the worker that a claim names until the claim has an outcome or ctx
// ends, and returns the claim in its latest known state. Unless options.waitForEnd is set,
// it also returns when the worker reports that the attempt is running.
func (r *Router) resolveClaim(ctx context.Context, c claim.Claim, options resolveOptions) claim.Claim {
	started := r.opts.Clock.Now()
	for try := 1; c.Outcome == nil; try++ {
		fence := r.opts.Clock.Now()-started >= options.fenceAfter
		task, state := r.queryAttempt(ctx, c, fence)
		if state == attemptRunning && !options.waitForEnd {
			return c
		}
		next := r.applyState(ctx, c, task, state, try)
		if next.Version != c.Version || next.Outcome != nil {
			c = next
			continue
		}
		if !clock.Sleep(ctx, pollDelay(try)) {
			return c
		}
	}
	return c
}

// applyState updates the claim in the store to match the reported state of its attempt.
// It returns the current claim, or c if nothing changed or the store failed.
func (r *Router) applyState(ctx context.Context, c claim.Claim, task worker.Task, state attemptState, try int) claim.Claim {
	switch state {
	case attemptEnded:
		return r.recordOutcome(ctx, c, completedOutcome(c.Account, c.Key, c.Worker, task))
	case attemptFenced:
		r.opts.Counters.Counter(fencedClaims).Inc()
		return r.endClaim(ctx, c, notRunOutcome(c, outcome.Abandoned, "the request was claimed but not sent"))
	case attemptStopped:
		return r.endClaim(ctx, c, unknownOutcome(c.Account, c.Key, c.Worker, outcome.WorkerStopped, "the request was stopped after it had begun"))
	case attemptWorkerReplaced:
		return r.endClaim(ctx, c, unknownOutcome(c.Account, c.Key, c.Worker, outcome.WorkerReplaced, "the worker's process that may have run the request is gone"))
	case attemptSuperseded:
		return r.rereadClaim(ctx, c)
	case attemptUnreachable:
		if try%pollsPerReread == 0 {
			return r.rereadClaim(ctx, c)
		}
	}
	return c
}

// endClaim ends a claim with an outcome. It returns the current claim, which another
// entry may have changed first, or c if the store failed.
func (r *Router) endClaim(ctx context.Context, c claim.Claim, o outcome.Outcome) claim.Claim {
	ctx, cancel := cleanupContext(ctx)
	defer cancel()
	current, err := r.opts.Claims.End(ctx, c, o)
	if err == nil || kv.KindOf(err) == kv.Conflict && current.Version != 0 {
		return current
	}
	return c
}

func (r *Router) rereadClaim(ctx context.Context, c claim.Claim) claim.Claim {
	current, err := r.opts.Claims.Find(ctx, c.Account, c.Key)
	if err != nil || current.Version <= c.Version {
		return c
	}
	return current
}

// queryAttempt queries the worker that a claim names for the state of the claimed
// attempt. With fence, an attempt that the worker has not received can no longer start
// there; an attempt that it has received is not affected.
func (r *Router) queryAttempt(ctx context.Context, c claim.Claim, fence bool) (worker.Task, attemptState) {
	workerClient, id := r.workerClient(c), taskID(c.Account, c.Key)
	var task worker.Task
	var err error
	if fence {
		task, err = workerClient.Stop(ctx, worker.Stop{ID: id, Attempt: c.Attempt, FenceOnly: true, Incarnation: c.Incarnation})
	} else {
		task, err = workerClient.Task(ctx, id)
	}
	switch {
	case worker.RefusalOf(err) == worker.Replaced:
		return task, attemptWorkerReplaced
	case worker.RefusalOf(err) == worker.Absent:
		return task, attemptUnseen
	case err != nil:
		return task, attemptUnreachable
	case task.ID != id || !hashMatches(task):
		r.opts.Counters.Counter(mismatchedAnswers).Inc()
		return task, attemptUnreachable
	case task.Incarnation != c.Incarnation:
		return task, attemptWorkerReplaced
	case task.Attempt > c.Attempt:
		return task, attemptSuperseded
	case task.Attempt < c.Attempt:
		return task, attemptUnseen
	}
	return task, attemptStateOf(task)
}

func attemptStateOf(task worker.Task) attemptState {
	switch {
	case task.State.HoldsResources():
		return attemptRunning
	case task.State == worker.Finished || task.State == worker.Failed:
		return attemptEnded
	case task.Ran:
		return attemptStopped
	default:
		return attemptFenced
	}
}

func notRunOutcome(c claim.Claim, reason outcome.Reason, detail string) outcome.Outcome {
	o := outcome.Refuse(c.Key, reason, retryAfter, detail)
	o.Account, o.Attempt = c.Account, c.Attempt
	return o
}

// pollDelay returns a random delay in milliseconds between half of a bound and the bound,
// which doubles with each try up to maxPollInterval.
func pollDelay(try int) clock.Millis {
	bound := min(minPollInterval<<min(try, 10), maxPollInterval)
	return bound/2 + rand.N(bound/2+1)
}

// cleanupContext returns a context that ignores the deadline of the request and ends
// after cleanupTimeout, so that the claim can be updated past the deadline.
func cleanupContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout.Duration())
}
