package client_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/client"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/suite"
)

func TestClient(t *testing.T) { suite.Run(t, "client") }

var doneOutcome = outcome.Outcome{Kind: outcome.Done, Key: "r-1", Attempt: 1}.WithBody([]byte("20 rupees paid"))

// newTestClient returns a client of a test server that answers each call with the next of
// the answers and all further calls with the last one.
func newTestClient(answers ...http.HandlerFunc) *client.Client {
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler := answers[min(calls, len(answers)-1)]
		calls++
		handler(w, r)
	}))
	DeferCleanup(server.Close)
	return client.New(client.Options{Address: server.URL})
}

func answerWith(o outcome.Outcome) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(o) }
}

// cutAnswer sends the first half of a response and closes the connection.
func cutAnswer(w http.ResponseWriter, _ *http.Request) {
	body, _ := json.Marshal(doneOutcome)
	w.Header().Set("Content-Length", "4096")
	_, _ = w.Write(body[:len(body)/2])
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

var _ = DescribeTable("an incomplete response is returned as ErrIncomplete",
	func(f http.HandlerFunc) {
		_, err := newTestClient(f).Submit(context.Background(), client.Request{Service: "refund", Key: "r-1"})
		Expect(errors.Is(err, client.ErrIncomplete)).To(BeTrue(), "%v", err)
	},
	Entry("cut off in the middle", http.HandlerFunc(cutAnswer)),
	Entry("with a body that does not match its hash", answerWith(func() outcome.Outcome {
		o := doneOutcome
		o.Body = []byte("40 rupees paid")
		return o
	}())),
	Entry("with a body that is shorter than its length", answerWith(func() outcome.Outcome {
		o := doneOutcome
		o.Body = o.Body[:5]
		return o
	}())),
	Entry("empty", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})),
	Entry("without an outcome", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) })),
)

var _ = Describe("waiting", func() {
	accepted := answerWith(outcome.Outcome{Kind: outcome.Accepted, Key: "r-1"})

	It("retries after lost responses until the final outcome", func() {
		progressCalls := 0
		o, err := newTestClient(accepted, cutAnswer, accepted, answerWith(doneOutcome)).Wait(context.Background(), "r-1", func(outcome.Outcome, error) { progressCalls++ })
		Expect(err).NotTo(HaveOccurred())
		Expect(o).To(Equal(doneOutcome))
		Expect(progressCalls).To(Equal(3))
	})

	It("returns the last outcome when the context ends", func() {
		ctx, cancel := context.WithCancel(context.Background())
		o, err := newTestClient(accepted).Wait(ctx, "r-1", func(outcome.Outcome, error) { cancel() })
		Expect(err).NotTo(HaveOccurred())
		Expect(o.Kind).To(Equal(outcome.Accepted))
	})

	It("returns an outcome that further polls can't change", func() {
		answerLost := outcome.Outcome{Kind: outcome.Unknown, Reason: outcome.AnswerLost, Key: "r-1"}
		o, err := newTestClient(answerWith(answerLost)).Wait(context.Background(), "r-1", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(o).To(Equal(answerLost))
	})
})

var _ = It("returns the text in force when another change was applied first", func() {
	c := newTestClient(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_, _ = w.Write([]byte(`{"error":"moved on","revision":7,"current":"firm: x"}`))
	})
	_, err := c.Apply(context.Background(), 6, []byte("firm: y"))
	Expect(err).To(Equal(&client.Error{Status: 412, Message: "moved on", Revision: 7, Current: "firm: x"}))
})
