package caller

import (
	"context"
	"net/http"

	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/outcome"
)

// Jobs accepts the requests that go through the scheduler.
type Jobs interface {
	Submitter
	Cancel(ctx context.Context, account, key string) outcome.Outcome
}

// submitter returns what serves a request.
func (h *Handler) submitter(s job.Spec) Submitter {
	if s.IsQuick() || h.opts.Jobs == nil {
		return h.opts.Quick
	}
	return h.opts.Jobs
}

// find asks for a request among the jobs, then among the quick requests.
func (h *Handler) find(ctx context.Context, account, key string) outcome.Outcome {
	if h.opts.Jobs != nil {
		o := h.opts.Jobs.Ask(ctx, account, key)
		if o.Kind != outcome.NotRun || o.Reason != outcome.NotReady {
			return o
		}
	}
	return h.opts.Quick.Ask(ctx, account, key)
}

// cancel asks for the end of a job.
func (h *Handler) cancel(w http.ResponseWriter, r *http.Request) {
	account, _ := r.Context().Value(accountKey{}).(string)
	if h.opts.Jobs == nil {
		h.answer(w, outcome.Refuse(r.PathValue("key"), outcome.NotReady, 0, "no jobs are taken here"))
		return
	}
	h.answer(w, h.opts.Jobs.Cancel(r.Context(), account, r.PathValue("key")))
}
