package operator

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/config"
	"github.com/chestnutsail/chestnutsail/peer"
)

type applyResponse struct {
	Revision uint64 `json:"revision"`
}

// spreadResponse shows which revision of the cluster text is in force at each live entry.
// Revision is the one in force at this entry.
type spreadResponse struct {
	Revision uint64 `json:"revision"`
	// Everywhere reports whether Revision or a higher one is in force at every live entry.
	Everywhere bool            `json:"everywhere"`
	Entries    []entryRevision `json:"entries"`
}

// entryRevision is the revision of the text in force at one entry. Age is the time in
// milliseconds since that entry last reported it.
type entryRevision struct {
	Name     string       `json:"name"`
	Domain   string       `json:"domain"`
	Revision uint64       `json:"revision"`
	Age      clock.Millis `json:"age_ms"`
}

func (h *Handler) getText(w http.ResponseWriter, _ *http.Request) {
	s := h.opts.Config.Now()
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(s.Revision, 10)))
	w.Header().Set("Content-Type", "application/yaml")
	_, _ = w.Write(s.Raw)
}

func (h *Handler) putText(w http.ResponseWriter, r *http.Request) {
	base, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		writeJSON(w, http.StatusPreconditionRequired, errorResponse{Error: "If-Match must name the revision to replace; 0 for none"})
		return
	}
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxTextBytes))
	if err != nil {
		writeJSON(w, http.StatusRequestEntityTooLarge, errorResponse{Error: err.Error()})
		return
	}
	revision, err := h.opts.Config.Apply(r.Context(), base, raw)
	var conflict *config.ConflictError
	var refused *config.RefusedError
	var unclear *config.UnclearError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, applyResponse{revision})
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusPreconditionFailed, errorResponse{err.Error(), conflict.Current.Revision, string(conflict.Current.Raw)})
	case errors.As(err, &refused):
		writeJSON(w, http.StatusServiceUnavailable, errorResponse{Error: err.Error()})
	case errors.As(err, &unclear):
		writeJSON(w, http.StatusGatewayTimeout, errorResponse{Error: err.Error()})
	default:
		writeJSON(w, http.StatusBadRequest, errorResponse{Error: err.Error()})
	}
}

func (h *Handler) getSpread(w http.ResponseWriter, _ *http.Request) {
	out := spreadResponse{Revision: h.opts.Config.Now().Revision, Everywhere: true}
	for _, p := range append([]peer.Peer{h.opts.Mesh.Self()}, h.opts.Mesh.Peers()...) {
		out.Entries = append(out.Entries, entryRevision{p.Name, p.Domain, p.Revision, p.Age})
		out.Everywhere = out.Everywhere && p.Revision >= out.Revision
	}
	writeJSON(w, http.StatusOK, out)
}
