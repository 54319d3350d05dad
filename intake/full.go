package intake

import (
	"context"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/stored"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// fullRetryAfter is the time after which a caller should retry a submission for which its account has no room. Jobs
// make room some time after they have ended.
const fullRetryAfter = 5 * clock.Second

// reserve takes memory for a job that is about to be stored, until release is called. It reports false if the account
// may not store the job. Jobs that other instances are storing are counted once this one has seen their records.
func (h *Handler) reserve(r *workflow.Record, size int) (release func(), ok bool) {
	bytes := stored.JobBytes(stored.Job{Record: size, Parts: r.Spec.Parts()})
	h.reservedLock.Lock()
	defer h.reservedLock.Unlock()
	own := h.opts.Board.Stored(r.Account) + h.reserved.Of(r.Account)
	total := h.opts.Board.StoredTotal() + h.reserved.Total()
	// Callers of public queues without a key are one more account.
	accounts := len(h.opts.Config().Accounts) + 1
	if !h.opts.Stored().Allows(own, total, accounts, bytes) {
		return nil, false
	}
	h.reserved.Add(r.Account, bytes)
	return func() {
		h.reservedLock.Lock()
		defer h.reservedLock.Unlock()
		h.reserved.Add(r.Account, -bytes)
	}, true
}

// refuseFull answers a submission for which its account has no room. The job may have been accepted before, at another
// instance.
func (h *Handler) refuseFull(ctx context.Context, g Grant, spec workflow.Spec) Answer {
	view, answer := h.lookUp(ctx, g)
	switch {
	case answer == nil:
		return h.answerDuplicate(g, view.Record, spec, "recorded before")
	case answer.Verdict != NoJob:
		return *answer
	}
	return Answer{Verdict: Full, RetryAfter: fullRetryAfter, Reason: "the account's stored jobs take all of its memory"}
}
