package intake

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// withdrawalTTL is the time in milliseconds after which the store deletes a withdrawal: the longest lease
// that the platform's store grants. A submission that is under way is written within seconds.
const withdrawalTTL = 600 * clock.Second

// withdraw records the cancellation of a job that the store does not hold, and answers that there is no
// such job. A submission of it may still be under way, since a write that got no answer may be carried out
// seconds later. The job is then accepted as cancelled.
func (h *Handler) withdraw(ctx context.Context, g Grant) Answer {
	lease, err := h.withdrawalLease(ctx)
	if err != nil {
		return Answer{Verdict: Busy, RetryAfter: retryAfter, Reason: err.Error()}
	}
	entry := kv.Entry{Key: board.WithdrawalKey(g.ID, h.token()), Value: workflow.Encode(g.owner())}
	version, kind, err := h.create(ctx, entry, lease)
	switch kind {
	case kv.OK, kv.Conflict:
		entry.Version = version
		h.opts.Board.Add(entry)
		h.opts.Log.WithFields(logrus.Fields{"job": g.ID, "account": g.Account.Name, "queue": g.Queue.Name}).Info("intake: cancellation recorded of a job that does not exist")
		return *noJob()
	case kv.Ambiguous:
		return Answer{Verdict: Unsure, RetryAfter: retryAfter, Reason: err.Error()}
	case kv.Missing:
		h.forgetWithdrawalLease(lease)
	}
	return Answer{Verdict: Busy, RetryAfter: retryAfter, Reason: err.Error()}
}

// withdrawalLease returns a lease of the store that lasts for at least half of withdrawalTTL.
func (h *Handler) withdrawalLease(ctx context.Context) (uint64, error) {
	h.leaseLock.Lock()
	defer h.leaseLock.Unlock()
	now := h.opts.Clock.Now()
	if h.lease != 0 && now < h.leaseRenewAt {
		return h.lease, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	lease, ttl, err := h.opts.Store.Grant(ctx, withdrawalTTL)
	if err != nil {
		return 0, err
	}
	h.lease, h.leaseRenewAt = lease, now+ttl/2
	return lease, nil
}

// forgetWithdrawalLease has the next withdrawal ask for a new lease in place of one that the store has lost.
func (h *Handler) forgetWithdrawalLease(lease uint64) {
	h.leaseLock.Lock()
	defer h.leaseLock.Unlock()
	if h.lease == lease {
		h.lease = 0
	}
}
