package operator

import "net/http"

func (h *Handler) status(w http.ResponseWriter, r *http.Request) {
	s, err := h.opts.Scheduler.Status(r.Context())
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, errorResponse{Error: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, s)
}

func (h *Handler) trace(w http.ResponseWriter, r *http.Request) {
	raw, err := h.opts.Scheduler.Trace(r.Context())
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, errorResponse{Error: err.Error()})
		return
	}
	w.Header().Set("Content-Type", "application/jsonl")
	_, _ = w.Write(raw)
}
