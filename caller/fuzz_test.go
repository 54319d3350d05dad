package caller_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/caller"
	"github.com/chestnutsail/chestnutsail/config"
	"github.com/chestnutsail/chestnutsail/counters"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/text"
	"github.com/chestnutsail/chestnutsail/token"
)

// taker accepts every request and remembers what it was handed.
type taker struct{ specs []job.Spec }

func (t *taker) Submit(_ context.Context, s job.Spec) outcome.Outcome {
	t.specs = append(t.specs, s)
	return outcome.Outcome{Kind: outcome.Accepted, Key: s.Key}
}

func (t *taker) Ask(_ context.Context, _, key string) outcome.Outcome {
	return outcome.Outcome{Kind: outcome.Unknown, Reason: outcome.UnknownKey, Key: key}
}

func (t *taker) Cancel(_ context.Context, _, key string) outcome.Outcome {
	return outcome.Outcome{Kind: outcome.Unknown, Reason: outcome.UnknownKey, Key: key}
}

// texts holds a text that never changes.
type texts struct{ t *text.Text }

func (t texts) Now() config.Snapshot { return config.Snapshot{Revision: 1, Text: t.t} }

var sample = &text.Text{
	Fleet:    []text.Pool{{Domain: "a", Racks: 1, Workers: 8, Cores: 32, Memory: 65536, Accels: 8, Slots: 8}},
	Accounts: []text.Account{{Name: "kulhar"}, {Name: "perth"}},
	Services: []text.Service{
		{Name: "refund", Account: "kulhar", Class: job.Quick, Shape: job.Shape{Slots: 1}},
		{Name: "wipe", Account: "perth", Class: job.Quick, Shape: job.Shape{Slots: 1}},
	},
}

var secrets = token.New("a-secret-for-tests-only")

func newHandler(quick, jobs *taker) *caller.Handler {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return caller.New(caller.Options{
		Quick: quick, Jobs: jobs, Texts: texts{sample}, Tokens: secrets,
		Counters: counters.New(), Log: logrus.NewEntry(log),
	})
}

// submit posts a body as an account and returns the status and the outcome.
func submit(h http.Handler, account, body string) (int, outcome.Outcome, error) {
	r := httptest.NewRequest(http.MethodPost, "/v1/requests", strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+secrets.Mint(token.Caller, account))
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	var o outcome.Outcome
	err := json.Unmarshal(w.Body.Bytes(), &o)
	return w.Code, o, err
}

// FuzzRequest checks that every body is answered by an outcome, and that only a
// request that passes its own check is handed on, once, for the token's account.
func FuzzRequest(f *testing.F) {
	for _, seed := range []string{
		`{"service":"refund","key":"r-1","payload":"e30="}`,
		`{"service":"refund","key":"r-1","shape":{"tasks":-1}}`,
		`{"service":"refund","key":"r-1","shape":{"tasks":9223372036854775807,"accels":9223372036854775807}}`,
		`{"service":"refund","key":"r-1","deadline_ms":-1}`,
		`{"service":"refund","key":"../r","class":"urgent"}`,
		`{"service":"wipe","key":"w"}`, `{"account":"perth"}`, `{"service":`, `null`, `[]`, ``, `{"key":"\u0000"}`, `{}{}`,
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, body string) {
		quick, jobs := &taker{}, &taker{}
		_, o, err := submit(newHandler(quick, jobs), "kulhar", body)
		if err != nil || o.Kind == "" {
			t.Fatalf("no outcome for %q: %v", body, err)
		}
		handed := slices.Concat(quick.specs, jobs.specs)
		if (len(handed) == 1) != (o.Kind == outcome.Accepted) {
			t.Fatalf("%q was handed on %d times and answered %s %s", body, len(handed), o.Kind, o.Reason)
		}
		for _, s := range handed {
			if s.Check() != nil || s.Account != "kulhar" || s.Service != "refund" {
				t.Fatalf("%q was handed on as %+v", body, s)
			}
		}
	})
}
