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

var done = outcome.Outcome{Kind: outcome.Done, Key: "r-1", Attempt: 1}.Seal([]byte("20 rupees paid"))

// serve answers the calls one after the other, the last one for ever.
func serve(answers ...http.HandlerFunc) *client.Client {
	n := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := answers[min(n, len(answers)-1)]
		n++
		f(w, r)
	}))
	DeferCleanup(server.Close)
	return client.New(client.Options{Address: server.URL})
}

func answer(o outcome.Outcome) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(o) }
}

// cut sends the first half of an answer and closes the connection.
func cut(w http.ResponseWriter, _ *http.Request) {
	body, _ := json.Marshal(done)
	w.Header().Set("Content-Length", "4096")
	_, _ = w.Write(body[:len(body)/2])
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

var _ = DescribeTable("an answer that is not whole is never taken for one",
	func(f http.HandlerFunc) {
		_, err := serve(f).Submit(context.Background(), client.Request{Service: "refund", Key: "r-1"})
		Expect(errors.Is(err, client.ErrIncomplete)).To(BeTrue(), "%v", err)
	},
	Entry("cut in the middle", http.HandlerFunc(cut)),
	Entry("with another body than its hash", answer(func() outcome.Outcome {
		o := done
		o.Body = []byte("40 rupees paid")
		return o
	}())),
	Entry("with a shorter body than its length", answer(func() outcome.Outcome {
		o := done
		o.Body = o.Body[:5]
		return o
	}())),
	Entry("empty", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})),
	Entry("without an outcome", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) })),
)

var _ = Describe("waiting", func() {
	accepted := answer(outcome.Outcome{Kind: outcome.Accepted, Key: "r-1"})

	It("goes on through lost answers to the end", func() {
		steps := 0
		o, err := serve(accepted, cut, accepted, answer(done)).Wait(context.Background(), "r-1", func(outcome.Outcome, error) { steps++ })
		Expect(err).NotTo(HaveOccurred())
		Expect(o).To(Equal(done))
		Expect(steps).To(Equal(3))
	})

	It("returns the last outcome when the context ends", func() {
		ctx, cancel := context.WithCancel(context.Background())
		o, err := serve(accepted).Wait(ctx, "r-1", func(outcome.Outcome, error) { cancel() })
		Expect(err).NotTo(HaveOccurred())
		Expect(o.Kind).To(Equal(outcome.Accepted))
	})

	It("ends at an outcome that waiting can't change", func() {
		lost := outcome.Outcome{Kind: outcome.Unknown, Reason: outcome.AnswerLost, Key: "r-1"}
		o, err := serve(answer(lost)).Wait(context.Background(), "r-1", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(o).To(Equal(lost))
	})
})

var _ = It("shows the text that stands after a lost race", func() {
	c := serve(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_, _ = w.Write([]byte(`{"error":"moved on","revision":7,"current":"firm: x"}`))
	})
	_, err := c.Apply(context.Background(), 6, []byte("firm: y"))
	Expect(err).To(Equal(&client.Error{Status: 412, Message: "moved on", Revision: 7, Current: "firm: x"}))
})
