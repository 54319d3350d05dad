// Package operator serves the HTTP API of those who run the cluster.
//
// # Usage
//
//	o := operator.New(operator.Options{Config: holder, Tokens: secrets})
//	mux.Handle("/v1/text", o)
//
// GET /v1/text returns the text in force with its revision in the ETag header;
// PUT /v1/text with If-Match replaces the revision named there.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/justinas/alice"

	"github.com/chestnutsail/chestnutsail/config"
	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/token"
)

const maxText = platform.MaxValue / 2 // bytes

// Config is what the handler needs of the text in force.
type Config interface {
	Now() config.Snapshot
	Apply(ctx context.Context, base uint64, raw []byte) (uint64, error)
}

// Options configures a Handler.
type Options struct {
	Config Config
	Tokens *token.Secrets
}

// Handler serves the API. It is safe for concurrent use.
type Handler struct {
	opts Options
	http http.Handler
}

type applied struct {
	Revision uint64 `json:"revision"`
}

type problem struct {
	Error string `json:"error"`
	// Revision and Current are set on a conflict.
	Revision uint64 `json:"revision,omitempty"`
	Current  string `json:"current,omitempty"`
}

// New returns the handler of the API.
func New(opts Options) *Handler {
	h := &Handler{opts: opts}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/text", h.get)
	mux.HandleFunc("PUT /v1/text", h.put)
	h.http = alice.New(h.authorize).Then(mux)
	return h
}

// ServeHTTP answers one call.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.http.ServeHTTP(w, r) }

func (h *Handler) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, ok := h.opts.Tokens.Check(token.Operator, token.Bearer(r.Header.Get("Authorization"))); !ok {
			answer(w, http.StatusUnauthorized, problem{Error: "the bearer token is missing or wrong"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (h *Handler) get(w http.ResponseWriter, _ *http.Request) {
	s := h.opts.Config.Now()
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(s.Revision, 10)))
	w.Header().Set("Content-Type", "application/yaml")
	_, _ = w.Write(s.Raw)
}

func (h *Handler) put(w http.ResponseWriter, r *http.Request) {
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
	var store *platform.Error
	switch {
	case err == nil:
		answer(w, http.StatusOK, applied{revision})
	case errors.As(err, &conflict):
		answer(w, http.StatusPreconditionFailed, problem{err.Error(), conflict.Current.Revision, string(conflict.Current.Raw)})
	case errors.As(err, &store) && store.Kind == platform.Ambiguous:
		answer(w, http.StatusGatewayTimeout, problem{Error: "the text may have been accepted: " + err.Error()})
	case errors.As(err, &store):
		answer(w, http.StatusServiceUnavailable, problem{Error: "the text was not accepted: " + err.Error()})
	default:
		answer(w, http.StatusBadRequest, problem{Error: err.Error()})
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
