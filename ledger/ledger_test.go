package ledger_test

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/consul"
	"github.com/chestnutsail/chestnutsail/consultest"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/ledger"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/suite"
)

func TestLedger(t *testing.T) { suite.Run(t, "ledger") }

func newStore() (*consultest.Server, func(ledger.Options) *ledger.Ledger) {
	store := consultest.New(consultest.Options{})
	server := httptest.NewServer(store)
	DeferCleanup(server.Close)
	return store, func(o ledger.Options) *ledger.Ledger {
		o.Store = consul.New(consul.Config{Address: server.URL, Timeout: 500})
		if o.Domain == "" {
			o.Domain = "a"
		}
		l := ledger.New(o)
		DeferCleanup(l.Stop, context.Background())
		return l
	}
}

func spec(key, payload string) job.Spec {
	return job.Spec{Account: "kulhar", Service: "reconcile", Key: key, Class: job.Batch, Payload: []byte(payload)}
}

func bg() context.Context { return context.Background() }

func parallelSeeds(n int, f func(seed int)) {
	var wg sync.WaitGroup
	for seed := range n {
		wg.Go(func() {
			defer GinkgoRecover()
			f(seed)
		})
	}
	wg.Wait()
}

var _ = Describe("a job's key", func() {
	It("identifies one job in the whole firm and refuses another payload", func() {
		_, newLedger := newStore()
		a, b := newLedger(ledger.Options{Domain: "a"}), newLedger(ledger.Options{Domain: "b"})
		Expect(a.Submit(bg(), spec("k", "1")).Kind).To(Equal(outcome.Accepted))
		Expect(b.Submit(bg(), spec("k", "1")).Kind).To(Equal(outcome.Accepted))
		Expect(b.Submit(bg(), spec("k", "2")).Reason).To(Equal(outcome.KeyReused))
		Expect(b.Live(bg(), "b")).To(BeEmpty())
		Expect(b.Live(bg(), "a")).To(HaveLen(1))
		Expect(b.Query(bg(), "perth", "k").Reason).To(Equal(outcome.UnknownKey))
	})

	// Guards against a version conflict that fails the other writes which share its store call.
	It("fails alone in a version conflict, while the other records of its call are written", func() {
		store, newLedger := newStore()
		l := newLedger(ledger.Options{MaxCalls: 1})
		for i := range 20 {
			Expect(l.Submit(bg(), spec(fmt.Sprint("k", i), "1")).Kind).To(Equal(outcome.Accepted))
		}
		entries, err := l.Live(bg(), "a")
		Expect(err).NotTo(HaveOccurred())
		entries[7].Version--
		store.SetFaults(consultest.Faults{Slow: 100})
		var wg sync.WaitGroup
		for i, e := range entries {
			wg.Go(func() {
				defer GinkgoRecover()
				_, err := l.Write(bg(), e)
				if i == 7 {
					Expect(kv.KindOf(err)).To(Equal(kv.Conflict))
				} else {
					Expect(err).NotTo(HaveOccurred())
				}
			})
		}
		wg.Wait()
	})

	// Guards against a job that runs after its caller was told that it does not: the response to
	// the write is lost, and the store is down when the ledger retries.
	It("is not reported as refused when the write took effect and the store then became unreachable", func() {
		parallelSeeds(10, func(int) {
			store, newLedger := newStore()
			l := newLedger(ledger.Options{})
			store.SetFaults(consultest.Faults{LoseAnswers: 1})
			var wg sync.WaitGroup
			wg.Go(func() {
				for len(store.Keys("job/")) == 0 {
					time.Sleep(time.Millisecond)
				}
				store.SetFaults(consultest.Faults{Down: true})
			})
			ctx, cancel := context.WithTimeout(bg(), 300*time.Millisecond)
			defer cancel()
			Expect(l.Submit(ctx, spec("k", "1")).Kind).To(Equal(outcome.Unknown))
			wg.Wait()
			store.SetFaults(consultest.Faults{})
			Expect(l.Submit(bg(), spec("k", "1")).Kind).To(Equal(outcome.Accepted))
		})
	})

	It("can be used again once the retention of the ended job has passed", func() {
		_, newLedger := newStore()
		c := clock.NewManual(clock.Hour)
		l := newLedger(ledger.Options{Clock: c, Retention: 10 * clock.Hour})
		Expect(l.Submit(bg(), spec("k", "1")).Kind).To(Equal(outcome.Accepted))
		Expect(l.Cancel(bg(), "kulhar", "k").Reason).To(Equal(outcome.Canceled))
		c.Advance(9 * clock.Hour)
		Expect(l.Sweep(bg(), "a")).To(Succeed())
		Expect(l.Submit(bg(), spec("k", "1")).Reason).To(Equal(outcome.Canceled))
		c.Advance(3 * clock.Hour)
		Expect(l.Sweep(bg(), "a")).To(Succeed())
		Expect(l.Submit(bg(), spec("k", "2")).Kind).To(Equal(outcome.Accepted))
	})
})

// operation is one call of a client. Its output in the history is the returned outcome.
type operation struct {
	name    string
	payload string
}

// keyState is the state of one key in the model.
type keyState struct {
	payload  string
	canceled bool
}

// keyModel is the allowed behaviour of one key of the ledger: the key is accepted for one
// payload, refused for any other payload, and never live again after its end. A call with
// an unknown outcome may have taken effect or not.
var keyModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{keyState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(keyState), input.(operation), output.(outcome.Outcome)
		next := s
		switch in.name {
		case "submit":
			if s.payload == "" {
				next.payload = in.payload
			}
		case "cancel":
			next.canceled = s.payload != ""
		}
		if out.Kind == outcome.Unknown && out.Reason != outcome.UnknownKey {
			return []any{s, next}
		}
		var want outcome.Outcome
		switch {
		case in.name == "submit" && (out.Reason == outcome.StoreUnreachable || out.Reason == outcome.StoreOverBudget):
			// This submission wrote nothing. An earlier one may have written the key.
			return []any{s}
		case in.name == "submit" && next.payload != in.payload:
			want = outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.KeyReused}
		case s.payload == "" && in.name != "submit":
			want = outcome.Outcome{Kind: outcome.Unknown, Reason: outcome.UnknownKey}
		case next.canceled:
			want = outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.Canceled}
		default:
			want = outcome.Outcome{Kind: outcome.Accepted, Reason: outcome.InProgress}
		}
		if out.Kind != want.Kind || out.Reason != want.Reason {
			return nil
		}
		return []any{next}
	},
}

func formatHistory(history []porcupine.Operation) string {
	var out strings.Builder
	slices.SortFunc(history, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	for _, op := range history {
		o := op.Output.(outcome.Outcome)
		fmt.Fprintf(&out, "%d-%d client %d %v: %s %s\n", op.Call, op.Return, op.ClientId, op.Input, o.Kind, o.Reason)
	}
	return out.String()
}

var _ = Describe("the history of a key", func() {
	DescribeTable("is linearizable under concurrent clients of several instances", func(faults consultest.Faults) {
		const clients, calls, seeds = 4, 10, 4
		for seed := range uint64(seeds) {
			store, newLedger := newStore()
			ledgers := []*ledger.Ledger{newLedger(ledger.Options{}), newLedger(ledger.Options{Domain: "b"})}
			store.SetFaults(faults)
			var mu sync.Mutex
			var history []porcupine.Operation
			var wg sync.WaitGroup
			start := time.Now()
			for c := range clients {
				rnd := rand.New(rand.NewPCG(seed, uint64(c)))
				wg.Go(func() {
					for range calls {
						in := operation{[]string{"submit", "ask", "ask", "cancel"}[rnd.IntN(4)], fmt.Sprint(rnd.IntN(2))}
						l := ledgers[rnd.IntN(2)]
						called := time.Since(start)
						var out outcome.Outcome
						switch in.name {
						case "submit":
							out = l.Submit(bg(), spec("k", in.payload))
						case "ask":
							out = l.Query(bg(), "kulhar", "k")
						case "cancel":
							out = l.Cancel(bg(), "kulhar", "k")
						}
						returned := int64(time.Since(start))
						if out.Kind == outcome.Unknown && out.Reason != outcome.UnknownKey {
							returned = math.MaxInt64
						}
						mu.Lock()
						if in.name == "submit" && out.Reason == outcome.Canceled {
							// The record was written by this call, then canceled by another client,
							// then read by this call. In the history these are two operations.
							written := outcome.Outcome{Kind: outcome.Unknown, Reason: outcome.ClaimUnclear}
							history = append(history, porcupine.Operation{
								ClientId: c, Input: in, Call: int64(called), Output: written, Return: returned,
							})
							in.name = "ask"
						}
						history = append(history, porcupine.Operation{
							ClientId: c, Input: in, Call: int64(called), Output: out, Return: returned,
						})
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			ok := porcupine.CheckOperations(keyModel.ToModel(), history)
			Expect(ok).To(BeTrue(), func() string { return fmt.Sprintf("seed %d:\n%s", seed, formatHistory(history)) })
		}
	},
		Entry("without faults", consultest.Faults{}),
		Entry("with responses lost after the write", consultest.Faults{LoseAnswers: 5}),
		Entry("with writes that take effect late", consultest.Faults{LateWrites: 3, LateBy: 60}),
		Entry("with a store that is alternately up and down", consultest.Faults{Flap: 40}),
	)
})
