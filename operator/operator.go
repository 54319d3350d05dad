// Package operator serves the HTTP API for the operators of the cluster. Every call
// needs an operator's bearer token.
//
// # Usage
//
//	o := operator.New(operator.Options{Config: holder, Mesh: mesh, Workers: directory, Tokens: secrets})
//	o.Mount(mux)
//
//	GET  /v1/text            the cluster text in force, with its revision in the ETag header
//	PUT  /v1/text            replaces the revision of the text that If-Match names
//	GET  /v1/text/spread     the revision of the text that is in force at each live entry
//	GET  /v1/instances       the live entries, and the workers of this failure domain
//	POST /v1/drain           takes this entry, ?entry=NAME or ?worker=NAME out of service
//	GET  /v1/status          the status of the scheduler of this failure domain
//	GET  /v1/trace           the scheduler's latest steps, one JSON value per line
package operator

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/justinas/alice"
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/config"
	"github.com/chestnutsail/chestnutsail/instances"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/peer"
	"github.com/chestnutsail/chestnutsail/scheduler"
	"github.com/chestnutsail/chestnutsail/token"
)

const maxTextBytes = kv.MaxValue / 2 // half of the size limit of a value in the store

// Config provides and replaces the cluster text in force; config.Holder implements it.
type Config interface {
	Now() config.Snapshot
	Apply(ctx context.Context, base uint64, raw []byte) (uint64, error)
}

// Mesh knows this entry and the other live entries and calls them; peer.Mesh implements it.
type Mesh interface {
	Self() peer.Peer
	Peers() []peer.Peer
	Call(ctx context.Context, name, method string, in []byte) ([]byte, error)
	Handle(method string, f peer.Handler)
}

// Workers is the directory of the workers of this failure domain; instances.Directory
// implements it.
type Workers interface {
	Workers() []*instances.Worker
	Worker(name string) (*instances.Worker, bool)
	ListAge() (clock.Millis, bool)
	MarkLeaving(name string)
}

// Platform marks workers as leaving in the platform's list of instances.
type Platform interface {
	MarkLeaving(ctx context.Context, name string, leaving bool) error
}

// Scheduler returns the status and the trace of the failure domain's scheduler.
type Scheduler interface {
	Status(ctx context.Context) (scheduler.Status, error)
	Trace(ctx context.Context) ([]byte, error)
}

// Options configures a Handler. Config and Tokens are required. A call whose handler needs
// another field that is nil is answered with status 501, except that Platform may be nil: a
// drained worker is then not marked in the platform's list.
type Options struct {
	Config    Config
	Tokens    *token.Secrets
	Mesh      Mesh
	Workers   Workers
	Platform  Platform
	Scheduler Scheduler
	// BeginDrain starts to drain this entry and returns at once.
	BeginDrain func()
	// Log defaults to the standard logger of logrus.
	Log *logrus.Entry
}

// Handler serves the operators' API. It is safe for concurrent use.
type Handler struct {
	opts Options
	http http.Handler
}

// errorResponse is the body of every response with an error status.
type errorResponse struct {
	Error string `json:"error"`
	// Revision and Current are set after a conflict: the revision of the text in force and
	// that text.
	Revision uint64 `json:"revision,omitempty"`
	Current  string `json:"current,omitempty"`
}

// New returns a handler of the operators' API. If the options contain a mesh, New also
// registers the handlers of calls from other entries.
func New(opts Options) *Handler {
	if opts.Log == nil {
		opts.Log = logrus.NewEntry(logrus.StandardLogger())
	}
	h := &Handler{opts: opts}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/text", h.getText)
	mux.HandleFunc("PUT /v1/text", h.putText)
	mux.HandleFunc("GET /v1/text/spread", requireService(opts.Mesh != nil, h.getSpread))
	mux.HandleFunc("GET /v1/instances", requireService(opts.Mesh != nil && opts.Workers != nil, h.instances))
	mux.HandleFunc("POST /v1/drain", requireService(opts.Mesh != nil && opts.BeginDrain != nil, h.drain))
	mux.HandleFunc("GET /v1/status", requireService(opts.Scheduler != nil, h.status))
	mux.HandleFunc("GET /v1/trace", requireService(opts.Scheduler != nil, h.trace))
	h.http = alice.New(h.authorize).Then(mux)
	if opts.Mesh != nil && opts.BeginDrain != nil {
		h.handlePeerDrains()
	}
	return h
}

// Mount registers the handler for all paths of the API.
func (h *Handler) Mount(mux *http.ServeMux) {
	for _, path := range []string{"/v1/text", "/v1/text/spread", "/v1/instances", "/v1/drain", "/v1/status", "/v1/trace"} {
		mux.Handle(path, h)
	}
}

// ServeHTTP checks the bearer token and answers one call.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.http.ServeHTTP(w, r) }

func (h *Handler) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, ok := h.opts.Tokens.Check(token.Operator, token.Bearer(r.Header.Get("Authorization"))); !ok {
			writeJSON(w, http.StatusUnauthorized, errorResponse{Error: "the bearer token is missing or wrong"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func requireService(available bool, handler http.HandlerFunc) http.HandlerFunc {
	if available {
		return handler
	}
	return func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusNotImplemented, errorResponse{Error: "this entry was composed without the part that answers"})
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
