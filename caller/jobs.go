package caller

import (
	"context"
	"net/http"

	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/outcome"
)

const noJobs = "this entry takes quick requests only"

// route hands a request to the part that serves its kind.
func (h *Handler) route(ctx context.Context, s job.Spec) outcome.Outcome {
	if s.IsQuick() {
		return h.opts.Quick.Submit(ctx, s)
	}
	if h.opts.Jobs == nil {
		return outcome.Refuse(s.Key, outcome.NotReady, 0, noJobs)
	}
	return h.opts.Jobs.Submit(ctx, s)
}

// ask answers from the quick requests, or from the jobs when no quick request is
// known under the key.
func (h *Handler) ask(w http.ResponseWriter, r *http.Request) {
	account, _ := r.Context().Value(accountKey{}).(string)
	key := r.PathValue("key")
	o := h.opts.Quick.Ask(r.Context(), account, key)
	if h.opts.Jobs != nil && o.Reason == outcome.UnknownKey {
		o = h.opts.Jobs.Ask(r.Context(), account, key)
	}
	h.answer(w, o)
}

func (h *Handler) cancel(w http.ResponseWriter, r *http.Request) {
	account, _ := r.Context().Value(accountKey{}).(string)
	key := r.PathValue("key")
	if h.opts.Jobs == nil {
		h.answer(w, outcome.Outcome{Kind: outcome.Unknown, Reason: outcome.UnknownKey, Key: key, Detail: noJobs})
		return
	}
	h.answer(w, h.opts.Jobs.Cancel(r.Context(), account, key))
}
