package caller_test

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/chestnutsail/chestnutsail/outcome"
)

// FuzzRequest submits arbitrary bodies. The answer must be an outcome without a 5xx status,
// and a request that reaches a submitter must be valid and of the caller's own account.
func FuzzRequest(f *testing.F) {
	for _, seed := range []string{
		`{"service":"refund","key":"r-1"}`,
		`{"service":"reconcile","key":"n","shape":{"tasks":2,"accels":8,"adjacent":"rack"}}`,
		`{"service":"refund","key":"r","payload":"eyJlY2hvIjoicGFpZCJ9","deadline_ms":1,"again":true}`,
		`{"service":"refund","key":"../wipe"}`,
		`{"service":"refund","key":"r","shape":{"tasks":-9223372036854775808}}`,
		`{"service":"refund","key":"r","declared_ms":1e400}`,
		`{"service":"wipe","key":"w"}`, `{"service":`, ``, `{"service":"refund","key":"r","deadline_ms":-1}`,
		`{"service":null,"key":{}}`, `null`, `[]`, `"`, `{"key":"\u0000"}`, "\xff\xfe", `{}{}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		h, quick, jobs := newHandler()
		w, _ := call(h, "kulhar", http.MethodPost, "/v1/requests", body)
		var o outcome.Outcome
		if err := json.Unmarshal(w.Body.Bytes(), &o); err != nil {
			t.Fatalf("the answer is not an outcome: %v", err)
		}
		if w.Code >= http.StatusInternalServerError {
			t.Fatalf("status %d for %q", w.Code, body)
		}
		if submitted := len(quick.specs) + len(jobs.specs); (submitted == 1) != (o.Kind == outcome.Done) {
			t.Fatalf("%q reached a submitter %d times and was answered %s %s", body, submitted, o.Kind, o.Reason)
		}
		for _, submitter := range []*fakeSubmitter{quick, jobs} {
			for _, s := range submitter.specs {
				if err := s.Check(); err != nil || s.Account != "kulhar" || s.Service == "wipe" {
					t.Fatalf("an invalid request reached a submitter: %+v: %v", s, err)
				}
			}
		}
	})
}
