package quick

import (
	"context"
	"errors"

	"github.com/chestnutsail/chestnutsail/claim"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/worker"
)

// nonIdempotentRequest is one submission of a request that must not run twice.
type nonIdempotentRequest struct {
	router       *Router
	ticket       *ticket
	spec         job.Spec
	hash         string
	triedWorkers map[string]bool
	sends        int
	// claimRead is set once the claim of the key has been made or read.
	claimRead bool
}

// runNonIdempotent claims the request, sends it to one worker and records the outcome in
// the claim. A request that was claimed before is answered from its claim. Another
// attempt is made only once the previous one was refused by the worker, or was fenced
// and its claim became a tombstone, which records that the request did not run.
func (r *Router) runNonIdempotent(ctx context.Context, t *ticket) outcome.Outcome {
	req := &nonIdempotentRequest{router: r, ticket: t, spec: t.spec, hash: Hash(t.spec), triedWorkers: make(map[string]bool)}
	var c claim.Claim
	for {
		target, place, reason := req.acquire(ctx)
		if target == nil {
			return req.refuseNoWorker(ctx, c, reason)
		}
		taken, err := req.takeClaim(ctx, c, place)
		if err != nil {
			target.releaseUnused()
			return req.claimErrorOutcome(c, err)
		}
		c = taken
		req.claimRead = true
		if c.Hash != req.hash {
			target.releaseUnused()
			return outcome.Refuse(req.spec.Key, outcome.KeyReused, 0, "the key was used for another request")
		}
		if c.Own {
			c = req.sendClaimed(ctx, c, target)
		} else {
			target.releaseUnused()
			delete(req.triedWorkers, target.Name)
			c = req.waitForOutcome(ctx, c)
		}
		if !c.Tombstone() || !req.mayRetry(ctx, c) {
			return r.confirmedOutcome(ctx, c)
		}
	}
}

// acquire reserves a connection to an available worker and returns it with the place to
// be named in the claim. Without a worker the connection is nil and the reason is set.
func (req *nonIdempotentRequest) acquire(ctx context.Context) (*workerConn, claim.Place, outcome.Reason) {
	for ctx.Err() == nil {
		target, ok := req.router.workers.acquire(req.triedWorkers)
		if !ok {
			return nil, claim.Place{}, outcome.WorkersBusy
		}
		req.triedWorkers[target.Name] = true
		incarnation, err := target.incarnation(ctx)
		if err == nil {
			return target, claim.Place{Worker: target.Name, Address: target.Address, Incarnation: incarnation}, ""
		}
		target.release(req.spec.Service, worker.Task{}, err)
	}
	return nil, claim.Place{}, outcome.DeadlineExceeded
}

// acquireWithRetry reserves a connection to a worker that was not tried yet. If there is
// none, it waits as the retry budget says and then accepts any worker.
func (req *nonIdempotentRequest) acquireWithRetry(ctx context.Context) (*workerConn, claim.Place) {
	target, place, _ := req.acquire(ctx)
	if target != nil || !clock.Sleep(ctx, req.router.opts.Budget.Wait(req.sends)) {
		return target, place
	}
	clear(req.triedWorkers)
	target, place, _ = req.acquire(ctx)
	return target, place
}

// takeClaim claims the request for a worker, or claims it anew if c is a tombstone. If
// another entry was first, it returns the claim of that entry.
func (req *nonIdempotentRequest) takeClaim(ctx context.Context, c claim.Claim, place claim.Place) (claim.Claim, error) {
	claims := req.router.opts.Claims
	if !c.Tombstone() {
		return claims.Take(ctx, claim.Claim{
			Account: req.spec.Account, Key: req.spec.Key, Hash: req.hash, Attempt: 1,
			Worker: place.Worker, Address: place.Address, Incarnation: place.Incarnation,
		})
	}
	current, err := claims.Retake(ctx, c, place)
	if kv.KindOf(err) == kv.Conflict && current.Version != 0 {
		return current, nil
	}
	return current, err
}

// sendClaimed sends a claimed request to the target worker. If that worker certainly did
// not run it, the claim is moved to another worker and the request is sent there. It
// returns the claim with the outcome, or without one if ctx ended before the outcome
// was known.
func (req *nonIdempotentRequest) sendClaimed(ctx context.Context, c claim.Claim, target *workerConn) claim.Claim {
	r := req.router
	for {
		req.sends++
		task := newTask(req.spec, taskID(c.Account, c.Key), c.Attempt)
		task.Incarnation, task.KeepResult = c.Incarnation, true
		answer, err := r.send(ctx, target, req.spec.Service, task)
		switch {
		case err == nil && (answer.State == worker.Finished || answer.State == worker.Failed):
			return r.recordOutcome(ctx, c, completedOutcome(c.Account, c.Key, c.Worker, answer))
		case !worker.NotSent(err):
			return r.resolveClaim(ctx, c, resolveOptions{waitForEnd: true})
		case req.sends >= maxAttempts || ctx.Err() != nil || !r.opts.Budget.Take():
			return req.endNotRun(ctx, c)
		}
		r.opts.Counters.Retried(retryReason(err))
		next, place := req.acquireWithRetry(ctx)
		if next == nil {
			return req.endNotRun(ctx, c)
		}
		moved, err := r.opts.Claims.Move(ctx, c, place)
		if err != nil {
			next.releaseUnused()
			return req.afterFailedWrite(ctx, c, moved, err)
		}
		c, target = moved, next
	}
}

// endNotRun ends the claim of a request that no worker accepted, which makes the claim a
// tombstone.
func (req *nonIdempotentRequest) endNotRun(ctx context.Context, c claim.Claim) claim.Claim {
	reason, detail := outcome.WorkersBusy, "no worker took the request"
	if ctx.Err() != nil {
		reason, detail = outcome.DeadlineExceeded, "the deadline ended before a worker took the request"
	}
	ctx, cancel := cleanupContext(ctx)
	defer cancel()
	ended, err := req.router.opts.Claims.End(ctx, c, notRunOutcome(c, reason, detail))
	if err != nil {
		return req.afterFailedWrite(ctx, c, ended, err)
	}
	return ended
}

// afterFailedWrite handles an error of a write of the claim. After a conflict it waits
// for the outcome of the current claim; after any other error the outcome is unknown.
func (req *nonIdempotentRequest) afterFailedWrite(ctx context.Context, c, current claim.Claim, err error) claim.Claim {
	if kv.KindOf(err) == kv.Conflict && current.Version != 0 {
		return req.waitForOutcome(ctx, current)
	}
	unknown := unknownOutcome(c.Account, c.Key, c.Worker, outcome.ClaimUnclear, "the claim could not be settled in the store; ask by key")
	c.Outcome = &unknown
	return c
}

// waitForOutcome waits for the outcome of a claim that another submission made. The
// request's capacity is released for that time.
func (req *nonIdempotentRequest) waitForOutcome(ctx context.Context, c claim.Claim) claim.Claim {
	if c.Outcome != nil {
		return c
	}
	req.ticket.release()
	return req.router.resolveClaim(ctx, c, resolveOptions{fenceAfter: fenceGrace, waitForEnd: true})
}

// mayRetry reports whether to claim a request anew that has not run. It waits for
// admission if the request's capacity was released meanwhile.
func (req *nonIdempotentRequest) mayRetry(ctx context.Context, c claim.Claim) bool {
	if c.Own && (req.sends >= maxAttempts || !req.router.opts.Budget.Take()) {
		return false
	}
	if ctx.Err() != nil {
		return false
	}
	if !req.ticket.admitted {
		return req.ticket.wait(ctx) == nil
	}
	return true
}

// refuseNoWorker returns the outcome of a request for which no worker was available.
func (req *nonIdempotentRequest) refuseNoWorker(ctx context.Context, c claim.Claim, reason outcome.Reason) outcome.Outcome {
	if c.Tombstone() {
		return req.router.confirmedOutcome(ctx, c)
	}
	return refuseBeforeClaim(req.spec, reason, retryAfter, "no worker could be asked in time")
}

// claimErrorOutcome returns the outcome of a request whose claim could not be made or read.
// The previous claim is the tombstone that was to be replaced, or the zero claim.
func (req *nonIdempotentRequest) claimErrorOutcome(previous claim.Claim, err error) outcome.Outcome {
	s := req.spec
	if errors.Is(err, claim.ErrOtherKind) {
		return outcome.Refuse(s.Key, outcome.KeyReused, 0, "the key was used for a job")
	}
	switch kv.KindOf(err) {
	case kv.Refused:
		switch {
		case !req.claimRead:
			return refuseBeforeClaim(s, outcome.StoreUnreachable, retryAfter, "the request could not be claimed")
		case previous.Own:
			return outcome.Refuse(s.Key, outcome.StoreUnreachable, retryAfter, "the request could not be claimed again")
		default:
			return unknownOutcome(s.Account, s.Key, "", outcome.StoreUnreachable, "the request was claimed before and could not be claimed again; ask by key")
		}
	case kv.Conflict:
		return unknownOutcome(s.Account, s.Key, "", outcome.StoreUnreachable, "the key was claimed before and its claim can't be read")
	default:
		return unknownOutcome(s.Account, s.Key, "", outcome.ClaimUnclear, "it is not known whether the claim was made; ask by key")
	}
}
