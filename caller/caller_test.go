package caller_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/caller"
	"github.com/chestnutsail/chestnutsail/config"
	"github.com/chestnutsail/chestnutsail/counters"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/suite"
	"github.com/chestnutsail/chestnutsail/text"
	"github.com/chestnutsail/chestnutsail/token"
)

func TestCaller(t *testing.T) { suite.Run(t, "caller") }

const clusterText = `
firm: test
fleet:
  - {domain: a, racks: 1, workers: 2, cores: 32, memory: 65536, accels: 8, slots: 8, conns: 64}
accounts:
  - name: kulhar
  - name: perth
services:
  - {name: refund, account: kulhar, class: quick, shape: {slots: 1}}
  - {name: sweep, account: kulhar, class: sweep, shape: {slots: 1}}
  - {name: reconcile, account: kulhar, shape: {tasks: 2, accels: 8}}
  - {name: wipe, account: perth, class: quick, shape: {slots: 1}}
`

var secrets = token.New("a-secret-for-tests-only")

// fakeSubmitter records the specifications of submitted requests by account and key and
// answers every request as done, or with refusal if that is set.
type fakeSubmitter struct {
	name    string
	specs   map[string]job.Spec
	refusal *outcome.Outcome
}

func (f *fakeSubmitter) Submit(_ context.Context, s job.Spec) outcome.Outcome {
	if f.refusal != nil {
		return *f.refusal
	}
	f.specs[s.ID()] = s
	return outcome.Outcome{Kind: outcome.Done, Account: s.Account, Key: s.Key}.WithBody([]byte(f.name))
}

func (f *fakeSubmitter) Query(_ context.Context, account, key string) outcome.Outcome {
	if _, ok := f.specs[account+"/"+key]; !ok {
		return outcome.Outcome{Kind: outcome.Unknown, Reason: outcome.UnknownKey, Key: key}
	}
	return outcome.Outcome{Kind: outcome.Done, Account: account, Key: key}.WithBody([]byte(f.name))
}

func (f *fakeSubmitter) Cancel(_ context.Context, account, key string) outcome.Outcome {
	o := f.Query(context.Background(), account, key)
	delete(f.specs, account+"/"+key)
	return o
}

type fixedText struct{ text *text.Text }

func (f fixedText) Now() config.Snapshot { return config.Snapshot{Revision: 1, Text: f.text} }

func newHandler() (h *caller.Handler, quick, jobs *fakeSubmitter) {
	t, err := text.Parse([]byte(clusterText))
	if err != nil {
		panic(err)
	}
	quick = &fakeSubmitter{name: "quick", specs: make(map[string]job.Spec)}
	jobs = &fakeSubmitter{name: "jobs", specs: make(map[string]job.Spec)}
	h = caller.New(caller.Options{
		Quick: quick, Jobs: jobs, Texts: fixedText{t}, Tokens: secrets, Counters: counters.New(),
		Log: logrus.NewEntry(logrus.New()),
	})
	return h, quick, jobs
}

func call(h http.Handler, account, method, path string, body []byte) (*httptest.ResponseRecorder, outcome.Outcome) {
	r := httptest.NewRequest(method, path, bytes.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+secrets.Mint(token.Caller, account))
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	var o outcome.Outcome
	_ = json.Unmarshal(w.Body.Bytes(), &o)
	return w, o
}

var _ = Describe("the callers' API", func() {
	DescribeTable("refuses with an outcome that has a reason",
		func(account, body string, status int, reason outcome.Reason) {
			h, quick, jobs := newHandler()
			w, o := call(h, account, http.MethodPost, "/v1/requests", []byte(body))
			Expect(w.Code).To(Equal(status), o.Detail)
			Expect(o.Kind).To(Equal(outcome.NotRun))
			Expect(o.Reason).To(Equal(reason))
			Expect(len(o.Detail)+len(o.Key)).To(BeNumerically("<", 512), "the refusal repeats the input")
			Expect(quick.specs).To(BeEmpty())
			Expect(jobs.specs).To(BeEmpty())
		},
		Entry("an empty body", "kulhar", ``, 400, outcome.BadRequest),
		Entry("a body cut short", "kulhar", `{"service":"refund","key":"r`, 400, outcome.BadRequest),
		Entry("data after the request", "kulhar", `{"service":"refund","key":"r-1"}{}`, 400, outcome.BadRequest),
		Entry("a field of the wrong type", "kulhar", `{"service":7,"key":"r-1"}`, 400, outcome.BadRequest),
		Entry("an unknown field", "kulhar", `{"service":"refund","key":"r-1","account":"perth"}`, 400, outcome.BadRequest),
		Entry("an oversized body", "kulhar", `{"service":"refund","key":"`+strings.Repeat("x", 300<<10)+`"}`, 413, outcome.TooLarge),
		Entry("an oversized payload", "kulhar", `{"service":"refund","key":"r","payload":"`+strings.Repeat("QUJD", 25<<10)+`"}`, 400, outcome.BadRequest),
		Entry("a long service", "kulhar", `{"service":"`+strings.Repeat("x", 200<<10)+`","key":"r"}`, 400, outcome.BadRequest),
		Entry("a long key", "kulhar", `{"service":"refund","key":"`+strings.Repeat("x", 200<<10)+`"}`, 400, outcome.BadRequest),
		Entry("more accelerators than a task may have", "kulhar", `{"service":"refund","key":"r","shape":{"accels":65}}`, 400, outcome.BadRequest),
		Entry("no key", "kulhar", `{"service":"refund"}`, 400, outcome.BadRequest),
		Entry("a key with a path traversal", "kulhar", `{"service":"refund","key":"../x"}`, 400, outcome.BadRequest),
		Entry("an unknown class", "kulhar", `{"service":"refund","key":"r","class":"first"}`, 400, outcome.BadRequest),
		Entry("negative tasks", "kulhar", `{"service":"reconcile","key":"r","shape":{"tasks":-1}}`, 400, outcome.BadRequest),
		Entry("more tasks than any cluster holds", "kulhar", `{"service":"reconcile","key":"r","shape":{"tasks":99999999}}`, 400, outcome.BadRequest),
		Entry("a number that overflows", "kulhar", `{"service":"refund","key":"r","deadline_ms":99999999999999999999}`, 400, outcome.BadRequest),
		Entry("a negative deadline", "kulhar", `{"service":"refund","key":"r","deadline_ms":-5}`, 400, outcome.BadRequest),
		Entry("an unknown service", "kulhar", `{"service":"gift","key":"r"}`, 404, outcome.UnknownService),
		Entry("the service of another account", "kulhar", `{"service":"wipe","key":"r"}`, 404, outcome.UnknownService),
		Entry("an account that is not in the text", "leith", `{"service":"refund","key":"r"}`, 403, outcome.UnknownAccount),
	)

	It("lets no account read or cancel the requests of another", func() {
		h, _, jobs := newHandler()
		_, o := call(h, "kulhar", http.MethodPost, "/v1/requests", []byte(`{"service":"reconcile","key":"r-1"}`))
		Expect(o.Kind).To(Equal(outcome.Done))
		for _, path := range []string{"r-1", "kulhar%2Fr-1", "..%2Fkulhar%2Fr-1", "..%2F..%2F0001%2Fkulhar%2Fr-1"} {
			for _, method := range []string{http.MethodGet, http.MethodDelete} {
				_, o := call(h, "perth", method, "/v1/requests/"+path, nil)
				want := outcome.UnknownKey
				if path != "r-1" {
					want = outcome.BadRequest
				}
				Expect(o.Reason).To(Equal(want), "%s %s", method, path)
			}
		}
		Expect(jobs.specs).To(HaveKey("kulhar/r-1"))
		_, o = call(h, "kulhar", http.MethodDelete, "/v1/requests/r-1", nil)
		Expect(o.Kind).To(Equal(outcome.Done))
	})

	DescribeTable("rejects a call",
		func(header string) {
			h, quick, _ := newHandler()
			r := httptest.NewRequest(http.MethodPost, "/v1/requests", strings.NewReader(`{"service":"refund","key":"r"}`))
			r.Header.Set("Authorization", header)
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			Expect(w.Code).To(Equal(http.StatusUnauthorized))
			Expect(quick.specs).To(BeEmpty())
		},
		Entry("without a token", ""),
		Entry("with another scheme", "Basic a3VsaGFy"),
		Entry("with an operator's token", "Bearer "+secrets.Mint(token.Operator, "kulhar")),
		Entry("with a peer's token", "Bearer "+secrets.Mint(token.Peer, "kulhar")),
		Entry("with a token of another secret", "Bearer "+token.New("another-secret-entirely").Mint(token.Caller, "kulhar")),
		Entry("with another account before the signature",
			"Bearer "+strings.Replace(secrets.Mint(token.Caller, "perth"), "perth.", "kulhar.", 1)),
	)

	DescribeTable("routes a request by its kind",
		func(service, submitter string) {
			h, _, _ := newHandler()
			_, o := call(h, "kulhar", http.MethodPost, "/v1/requests", []byte(`{"service":"`+service+`","key":"k"}`))
			Expect(string(o.Body)).To(Equal(submitter))
		},
		Entry("a quick request", "refund", "quick"),
		Entry("a sweep of one slot", "sweep", "quick"),
		Entry("a gang", "reconcile", "jobs"),
	)

	It("does not run a resubmitted key again when its service changed its kind or was removed", func() {
		h, quick, jobs := newHandler()
		quick.specs["kulhar/k"] = job.Spec{}
		for _, service := range []string{"reconcile", "gone"} {
			_, o := call(h, "kulhar", http.MethodPost, "/v1/requests", []byte(`{"service":"`+service+`","key":"k","again":true}`))
			Expect(string(o.Body)).To(Equal("quick"), service)
		}
		Expect(jobs.specs).To(BeEmpty())
	})

	It("sets Retry-After in whole seconds, rounded up", func() {
		h, quick, _ := newHandler()
		o := outcome.Refuse("k", outcome.QueueFull, 1001, "")
		quick.refusal = &o
		w, _ := call(h, "kulhar", http.MethodPost, "/v1/requests", []byte(`{"service":"refund","key":"k"}`))
		Expect(w.Code).To(Equal(http.StatusTooManyRequests))
		Expect(w.Header().Get("Retry-After")).To(Equal("2"))
	})
})
