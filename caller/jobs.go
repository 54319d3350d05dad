package caller

import (
	"context"
	"net/http"

	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/outcome"
)

const jobsUnsupported = "this entry takes quick requests only"

// route passes a request to the submitter of its kind. A resubmitted request that is not
// idempotent is first looked up at the submitter of the other kind, because its service may
// have been of that kind when the request was submitted before.
func (h *Handler) route(ctx context.Context, s job.Spec) outcome.Outcome {
	if h.opts.Jobs == nil {
		if s.IsQuick() {
			return h.opts.Quick.Submit(ctx, s)
		}
		return outcome.Refuse(s.Key, outcome.NotReady, 0, jobsUnsupported)
	}
	target, other := Submitter(h.opts.Jobs), h.opts.Quick
	if s.IsQuick() {
		target, other = other, target
	}
	if s.Resubmitted && !s.Idempotent {
		if o := other.Query(ctx, s.Account, s.Key); o.Reason != outcome.UnknownKey && o.Kind != outcome.NotRun {
			return o
		}
	}
	return target.Submit(ctx, s)
}

// findOutcome returns the outcome recorded under a key, whether the key belongs to a quick
// request or to a job.
func (h *Handler) findOutcome(ctx context.Context, account, key string) outcome.Outcome {
	o := h.opts.Quick.Query(ctx, account, key)
	if h.opts.Jobs != nil && o.Reason == outcome.UnknownKey {
		o = h.opts.Jobs.Query(ctx, account, key)
	}
	return o
}

func (h *Handler) queryOutcome(w http.ResponseWriter, r *http.Request) {
	account, key, ok := h.accountAndKey(w, r)
	if ok {
		h.writeOutcome(w, h.findOutcome(r.Context(), account, key))
	}
}

// accountAndKey returns the account and the key of a call. If the key is malformed, it
// answers the call with a refusal and returns ok == false.
func (h *Handler) accountAndKey(w http.ResponseWriter, r *http.Request) (account, key string, ok bool) {
	account, _ = r.Context().Value(accountKey{}).(string)
	key = r.PathValue("key")
	if !job.IsName(key) {
		h.writeOutcome(w, outcome.Refuse("", outcome.BadRequest, 0, "the key is malformed"))
		return "", "", false
	}
	return account, key, true
}

func (h *Handler) cancel(w http.ResponseWriter, r *http.Request) {
	account, key, ok := h.accountAndKey(w, r)
	if !ok {
		return
	}
	if h.opts.Jobs == nil {
		h.writeOutcome(w, outcome.Outcome{Kind: outcome.Unknown, Reason: outcome.UnknownKey, Key: key, Detail: jobsUnsupported})
		return
	}
	h.writeOutcome(w, h.opts.Jobs.Cancel(r.Context(), account, key))
}
