package caller

import (
	"context"
	"net/http"

	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/outcome"
)

const noJobs = "this entry takes quick requests only"

// route hands a request to the part that serves its kind. What may have been
// submitted before, while its service was of the other kind, is looked up there.
func (h *Handler) route(ctx context.Context, s job.Spec) outcome.Outcome {
	if h.opts.Jobs == nil {
		if s.IsQuick() {
			return h.opts.Quick.Submit(ctx, s)
		}
		return outcome.Refuse(s.Key, outcome.NotReady, 0, noJobs)
	}
	part, other := Submitter(h.opts.Jobs), h.opts.Quick
	if s.IsQuick() {
		part, other = other, part
	}
	if s.Again && !s.Idempotent {
		if o := other.Ask(ctx, s.Account, s.Key); o.Reason != outcome.UnknownKey && o.Kind != outcome.NotRun {
			return o
		}
	}
	return part.Submit(ctx, s)
}

// known returns the outcome recorded under a key, of whichever kind of request.
func (h *Handler) known(ctx context.Context, account, key string) outcome.Outcome {
	o := h.opts.Quick.Ask(ctx, account, key)
	if h.opts.Jobs != nil && o.Reason == outcome.UnknownKey {
		o = h.opts.Jobs.Ask(ctx, account, key)
	}
	return o
}

func (h *Handler) ask(w http.ResponseWriter, r *http.Request) {
	account, key, ok := h.named(w, r)
	if ok {
		h.answer(w, h.known(r.Context(), account, key))
	}
}

// named returns the account and key of a call, or answers it when the key is malformed.
func (h *Handler) named(w http.ResponseWriter, r *http.Request) (account, key string, ok bool) {
	account, _ = r.Context().Value(accountKey{}).(string)
	key = r.PathValue("key")
	if !job.IsName(key) {
		h.answer(w, outcome.Refuse("", outcome.BadRequest, 0, "the key is malformed"))
		return "", "", false
	}
	return account, key, true
}

func (h *Handler) cancel(w http.ResponseWriter, r *http.Request) {
	account, key, ok := h.named(w, r)
	if !ok {
		return
	}
	if h.opts.Jobs == nil {
		h.answer(w, outcome.Outcome{Kind: outcome.Unknown, Reason: outcome.UnknownKey, Key: key, Detail: noJobs})
		return
	}
	h.answer(w, h.opts.Jobs.Cancel(r.Context(), account, key))
}
