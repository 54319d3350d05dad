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

type applied struct {
	Revision uint64 `json:"revision"`
}

// spread tells how far the text in force here has come.
type spread struct {
	Revision uint64 `json:"revision"`
	// Everywhere tells that every live entry runs this revision or a higher one.
	Everywhere bool      `json:"everywhere"`
	Entries    []running `json:"entries"`
}

// running is the revision at one entry, as heard Age milliseconds ago.
type running struct {
	Name     string       `json:"name"`
	Domain   string       `json:"domain"`
	Revision uint64       `json:"revision"`
	Age      clock.Millis `json:"age_ms"`
}

func (h *Handler) text(w http.ResponseWriter, _ *http.Request) {
	s := h.opts.Config.Now()
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(s.Revision, 10)))
	w.Header().Set("Content-Type", "application/yaml")
	_, _ = w.Write(s.Raw)
}

func (h *Handler) apply(w http.ResponseWriter, r *http.Request) {
	base, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		answer(w, http.StatusPreconditionRequired, problem{Error: "If-Match must name the revision to replace; 0 for none"})
		return
	}
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxText))
	if err != nil {
		answer(w, http.StatusRequestEntityTooLarge, problem{Error: err.Error()})
		return
	}
	revision, err := h.opts.Config.Apply(r.Context(), base, raw)
	var conflict *config.ConflictError
	var refused *config.RefusedError
	var unclear *config.UnclearError
	switch {
	case err == nil:
		answer(w, http.StatusOK, applied{revision})
	case errors.As(err, &conflict):
		answer(w, http.StatusPreconditionFailed, problem{err.Error(), conflict.Current.Revision, string(conflict.Current.Raw)})
	case errors.As(err, &refused):
		answer(w, http.StatusServiceUnavailable, problem{Error: err.Error()})
	case errors.As(err, &unclear):
		answer(w, http.StatusGatewayTimeout, problem{Error: err.Error()})
	default:
		answer(w, http.StatusBadRequest, problem{Error: err.Error()})
	}
}

func (h *Handler) spread(w http.ResponseWriter, _ *http.Request) {
	out := spread{Revision: h.opts.Config.Now().Revision, Everywhere: true}
	for _, p := range append([]peer.Peer{h.opts.Mesh.Self()}, h.opts.Mesh.Peers()...) {
		out.Entries = append(out.Entries, running{p.Name, p.Domain, p.Revision, p.Age})
		out.Everywhere = out.Everywhere && p.Revision >= out.Revision
	}
	answer(w, http.StatusOK, out)
}
