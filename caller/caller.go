// Package caller serves the HTTP API of those who submit work.
//
// # Usage
//
//	c := caller.New(caller.Options{Quick: router, Texts: holder, Tokens: secrets, Counters: counters})
//	mux.Handle("/v1/requests", c)
//
// POST /v1/requests submits a request, GET /v1/requests/{key} asks for its
// outcome, DELETE /v1/requests/{key} cancels it. The account is the one of the
// bearer token.
package caller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/justinas/alice"
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/config"
	"github.com/chestnutsail/chestnutsail/counters"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/token"
)

const maxBody = 256 << 10 // bytes

var errTrailing = errors.New("there is more after the request")

// Submitter runs or accepts requests of one kind.
type Submitter interface {
	Submit(ctx context.Context, s job.Spec) outcome.Outcome
	Ask(ctx context.Context, account, key string) outcome.Outcome
}

// Jobs accepts the requests that go through the scheduler.
type Jobs interface {
	Submitter
	Cancel(ctx context.Context, account, key string) outcome.Outcome
}

// Texts tells which accounts and services exist.
type Texts interface {
	Now() config.Snapshot
}

// Options configures a Handler.
type Options struct {
	// Quick takes the requests whose Spec.IsQuick holds.
	Quick Submitter
	// Jobs takes all others; nil refuses them.
	Jobs     Jobs
	Texts    Texts
	Tokens   *token.Secrets
	Counters *counters.Counters
	Log      *logrus.Entry
}

// Handler serves the API. It is safe for concurrent use.
type Handler struct {
	opts Options
	http http.Handler
}

// request is the body of a submission. Fields left out come from the service.
type request struct {
	Service  string     `json:"service"`
	Key      string     `json:"key"`
	Class    job.Class  `json:"class"`
	Declared int64      `json:"declared_ms"`
	Deadline int64      `json:"deadline_ms"`
	Shape    *job.Shape `json:"shape"`
	Payload  []byte     `json:"payload"`
	// Again is as in job.Spec.
	Again bool `json:"again"`
}

type accountKey struct{}

// New returns the handler of the API.
func New(opts Options) *Handler {
	h := &Handler{opts: opts}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/requests", h.submit)
	mux.HandleFunc("GET /v1/requests/{key}", h.ask)
	mux.HandleFunc("DELETE /v1/requests/{key}", h.cancel)
	h.http = alice.New(h.authorize).Then(mux)
	return h
}

// ServeHTTP answers one call.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.http.ServeHTTP(w, r) }

func (h *Handler) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		account, ok := h.opts.Tokens.Check(token.Caller, token.Bearer(r.Header.Get("Authorization")))
		if !ok {
			h.answer(w, outcome.Refuse("", outcome.Unauthorized, 0, "the bearer token is missing or wrong"))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), accountKey{}, account)))
	})
}

func (h *Handler) submit(w http.ResponseWriter, r *http.Request) {
	in, err := decode(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		reason := outcome.BadRequest
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			reason = outcome.TooLarge
		}
		h.answer(w, outcome.Refuse("", reason, 0, err.Error()))
		return
	}
	account, _ := r.Context().Value(accountKey{}).(string)
	s, refused := h.spec(account, in)
	if refused != nil {
		if in.Again && job.IsName(in.Key) {
			if o := h.known(r.Context(), account, in.Key); o.Reason != outcome.UnknownKey {
				refused = &o
			}
		}
		h.answer(w, *refused)
		return
	}
	h.answer(w, h.route(r.Context(), s))
}

// decode reads one JSON object with known fields only and nothing after it.
func decode(body io.Reader) (in request, err error) {
	dec := json.NewDecoder(body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&in); err != nil {
		return in, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		if err == nil {
			err = errTrailing
		}
		return in, err
	}
	return in, nil
}

// spec completes a request from the text in force and checks it.
func (h *Handler) spec(account string, in request) (job.Spec, *outcome.Outcome) {
	refuse := func(reason outcome.Reason, detail string) (job.Spec, *outcome.Outcome) {
		o := outcome.Refuse(in.Key, reason, 0, detail)
		return job.Spec{}, &o
	}
	t := h.opts.Texts.Now().Text
	if _, ok := t.Account(account); !ok {
		return refuse(outcome.UnknownAccount, "the text in force has no account "+account)
	}
	if !job.IsName(in.Service) || !job.IsName(in.Key) {
		in.Key = ""
		return refuse(outcome.BadRequest, "service and key: want "+job.AllowedName)
	}
	service, ok := t.Service(in.Service)
	if !ok || service.Account != account {
		return refuse(outcome.UnknownService, "the account has no service "+in.Service)
	}
	s := service.Spec(in.Key, in.Payload)
	s.Declared, s.Deadline = millis(in.Declared), millis(in.Deadline)
	s.Again = in.Again
	if in.Class != "" {
		s.Class = in.Class
	}
	if in.Shape != nil {
		s.Shape = *in.Shape
	}
	if err := s.Check(); err != nil {
		return refuse(outcome.BadRequest, err.Error())
	}
	return s, nil
}

func (h *Handler) answer(w http.ResponseWriter, o outcome.Outcome) {
	if o.Kind == outcome.NotRun || o.Kind == outcome.Unknown {
		h.opts.Counters.Refused(o.Reason)
	}
	w.Header().Set("Content-Type", "application/json")
	if o.Retry > 0 {
		w.Header().Set("Retry-After", retryAfter(o.Retry))
	}
	w.WriteHeader(Status(o))
	if err := json.NewEncoder(w).Encode(o); err != nil {
		h.opts.Log.WithError(err).Debug("caller: answer not delivered")
	}
}
