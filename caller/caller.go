// Package caller serves the HTTP API for the callers: the programs that submit requests
// and jobs for a client account.
//
// # Usage
//
//	c := caller.New(caller.Options{Quick: router, Texts: holder, Tokens: secrets, Counters: counters})
//	mux.Handle("/v1/requests", c)
//
// POST /v1/requests submits a request, GET /v1/requests/{key} returns its outcome,
// DELETE /v1/requests/{key} cancels it. The bearer token determines the account.
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

const maxBodyBytes = 256 << 10 // bytes

var errTrailingData = errors.New("there is more after the request")

// Submitter runs or accepts the requests of one kind, quick requests or jobs, and looks up
// the outcomes of earlier requests.
type Submitter interface {
	Submit(ctx context.Context, s job.Spec) outcome.Outcome
	Query(ctx context.Context, account, key string) outcome.Outcome
}

// Jobs accepts the requests that the scheduler places.
type Jobs interface {
	Submitter
	Cancel(ctx context.Context, account, key string) outcome.Outcome
}

// Texts provides the cluster text in force, which lists the accounts and services.
type Texts interface {
	Now() config.Snapshot
}

// Options configures a Handler.
type Options struct {
	// Quick takes the requests for which job.Spec.IsQuick returns true.
	Quick Submitter
	// Jobs takes all other requests. If Jobs is nil, they are refused.
	Jobs     Jobs
	Texts    Texts
	Tokens   *token.Secrets
	Counters *counters.Counters
	Log      *logrus.Entry
}

// Handler serves the callers' API. It is safe for concurrent use.
type Handler struct {
	opts Options
	http http.Handler
}

// request is the body of a submission. Fields left out get the values of the service. The
// name of the type appears in the JSON decoder's errors, which the caller receives.
type request struct {
	Service    string     `json:"service"`
	Key        string     `json:"key"`
	Class      job.Class  `json:"class"`
	DeclaredMs int64      `json:"declared_ms"`
	DeadlineMs int64      `json:"deadline_ms"`
	Shape      *job.Shape `json:"shape"`
	Payload    []byte     `json:"payload"`
	// Resubmitted says that the key may have been submitted before; see job.Spec.
	Resubmitted bool `json:"again"`
}

type accountKey struct{}

// New returns a handler of the callers' API.
func New(opts Options) *Handler {
	h := &Handler{opts: opts}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/requests", h.submit)
	mux.HandleFunc("GET /v1/requests/{key}", h.queryOutcome)
	mux.HandleFunc("DELETE /v1/requests/{key}", h.cancel)
	h.http = alice.New(h.authorize).Then(mux)
	return h
}

// ServeHTTP checks the bearer token and answers one call.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.http.ServeHTTP(w, r) }

func (h *Handler) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		account, ok := h.opts.Tokens.Check(token.Caller, token.Bearer(r.Header.Get("Authorization")))
		if !ok {
			h.writeOutcome(w, outcome.Refuse("", outcome.Unauthorized, 0, "the bearer token is missing or wrong"))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), accountKey{}, account)))
	})
}

func (h *Handler) submit(w http.ResponseWriter, r *http.Request) {
	in, err := decodeRequest(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		reason := outcome.BadRequest
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			reason = outcome.TooLarge
		}
		h.writeOutcome(w, outcome.Refuse("", reason, 0, err.Error()))
		return
	}
	account, _ := r.Context().Value(accountKey{}).(string)
	s, refusal := h.buildSpec(account, in)
	if refusal != nil {
		if in.Resubmitted && job.IsName(in.Key) {
			if o := h.findOutcome(r.Context(), account, in.Key); o.Reason != outcome.UnknownKey {
				refusal = &o
			}
		}
		h.writeOutcome(w, *refusal)
		return
	}
	h.writeOutcome(w, h.route(r.Context(), s))
}

// decodeRequest reads a body that consists of one JSON object. It returns an error for an
// unknown field and for data after the object.
func decodeRequest(body io.Reader) (in request, err error) {
	dec := json.NewDecoder(body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&in); err != nil {
		return in, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		if err == nil {
			err = errTrailingData
		}
		return in, err
	}
	return in, nil
}

// buildSpec returns the specification of a request, completed with the values of its service
// in the cluster text in force, or the refusal of a request that is not valid.
func (h *Handler) buildSpec(account string, in request) (job.Spec, *outcome.Outcome) {
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
	s.Declared, s.Deadline = millis(in.DeclaredMs), millis(in.DeadlineMs)
	s.Resubmitted = in.Resubmitted
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

func (h *Handler) writeOutcome(w http.ResponseWriter, o outcome.Outcome) {
	if o.Kind == outcome.NotRun || o.Kind == outcome.Unknown {
		h.opts.Counters.Refused(o.Reason)
	}
	w.Header().Set("Content-Type", "application/json")
	if o.Retry > 0 {
		w.Header().Set("Retry-After", retryAfterSeconds(o.Retry))
	}
	w.WriteHeader(Status(o))
	if err := json.NewEncoder(w).Encode(o); err != nil {
		h.opts.Log.WithError(err).Debug("caller: could not write the response")
	}
}
