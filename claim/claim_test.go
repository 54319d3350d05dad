package claim_test

import (
	"context"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/breaker"
	"github.com/chestnutsail/chestnutsail/budget"
	"github.com/chestnutsail/chestnutsail/claim"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/consul"
	"github.com/chestnutsail/chestnutsail/consultest"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/suite"
)

func TestClaim(t *testing.T) { suite.Run(t, "claim") }

// hangingStore is a store whose writes block until the context of the caller ends.
type hangingStore struct{ claim.Store }

func (hangingStore) Commit(ctx context.Context, ops []kv.Op) ([]uint64, error) {
	<-ctx.Done()
	return nil, &kv.Error{Op: "commit", Key: ops[0].Key, Kind: kv.Ambiguous, Err: ctx.Err()}
}

var _ = Describe("a registry of claims", func() {
	var (
		store    *consultest.Server
		clk      *clock.Clock
		registry *claim.Registry
		ctx      = context.Background()
	)
	refund := claim.Claim{Account: "kulhar", Key: "refund-1", Hash: "h", Worker: "a-1", Attempt: 1}
	BeforeEach(func() {
		store = consultest.New(consultest.Options{})
		server := httptest.NewServer(store)
		DeferCleanup(server.Close)
		clk = clock.NewManual(clock.Hour)
		registry = claim.New(claim.Options{
			Store: consul.New(consul.Config{Address: server.URL}), Clock: clk,
			Budget: budget.New(budget.Options{Floor: 100, Base: 1, Max: 5}),
		})
	})

	DescribeTable("makes a claim for the first of two callers",
		func(f consultest.Faults) {
			store.SetFaults(f)
			c, err := registry.Take(ctx, refund)
			Expect(err).NotTo(HaveOccurred())
			Expect(c.Own).To(BeTrue())
			other, err := registry.Take(ctx, refund)
			Expect(err).NotTo(HaveOccurred())
			Expect(other.Own).To(BeFalse())
			Expect(other.Token).To(Equal(c.Token))
		},
		Entry("without faults", consultest.Faults{}),
		Entry("when the answer to the write is lost", consultest.Faults{LoseAnswers: 1}),
		Entry("when the answers to two writes are lost", consultest.Faults{LoseAnswers: 2}),
		Entry("when the write is delayed and its retry takes effect first", consultest.Faults{LateWrites: 1, LateBy: 100}),
	)

	It("returns an error of kind refused when the store is down", func() {
		store.SetFaults(consultest.Faults{Down: true})
		_, err := registry.Take(ctx, refund)
		Expect(kv.KindOf(err)).To(Equal(kv.Refused))
	})

	It("stops calling the store, except for probes, while it is down", func() {
		store.SetFaults(consultest.Faults{Down: true})
		for range 100 {
			_, err := registry.Take(ctx, refund)
			Expect(kv.KindOf(err)).To(Equal(kv.Refused))
		}
		calls := 0
		for _, c := range store.Calls() {
			calls += c.Writes + c.Reads
		}
		Expect(calls).To(BeNumerically("<=", 7), "5 failures open the breaker, then one probe a second")
	})

	It("opens the breaker for a store that does not answer, although callers cancel before its timeout", func() {
		hanging := claim.New(claim.Options{
			Store: hangingStore{}, Budget: budget.New(budget.Options{}),
			Breaker: breaker.New(breaker.Options{Failures: 2, Open: clock.Minute}),
		})
		takeWithin := func(wait clock.Millis) error {
			c, cancel := context.WithTimeout(ctx, wait.Duration())
			defer cancel()
			_, err := hanging.Take(c, refund)
			return err
		}
		for range 3 {
			Expect(kv.KindOf(takeWithin(5))).To(Equal(kv.Ambiguous), "short calls do not count as failures of the store")
		}
		for range 2 {
			Expect(kv.KindOf(takeWithin(320))).To(Equal(kv.Ambiguous))
		}
		Expect(kv.KindOf(takeWithin(clock.Minute))).To(Equal(kv.Refused))
	})

	It("rejects a delayed write of an older state after a tombstone was written", func() {
		c, err := registry.Take(ctx, refund)
		Expect(err).NotTo(HaveOccurred())
		ended, err := registry.End(ctx, c, outcome.Refuse(c.Key, outcome.Abandoned, 0, ""))
		Expect(err).NotTo(HaveOccurred())
		_, err = registry.Move(ctx, c, claim.Place{Worker: "a-2"})
		Expect(kv.KindOf(err)).To(Equal(kv.Conflict))
		retaken, err := registry.Retake(ctx, ended, claim.Place{Worker: "a-2"})
		Expect(err).NotTo(HaveOccurred())
		Expect(retaken).To(And(HaveField("Attempt", 2), HaveField("Outcome", BeNil())))
	})

	It("never changes a final outcome", func() {
		c, err := registry.Take(ctx, refund)
		Expect(err).NotTo(HaveOccurred())
		done, err := registry.End(ctx, c, outcome.Outcome{Kind: outcome.Done})
		Expect(err).NotTo(HaveOccurred())
		Expect(func() { _, _ = registry.End(ctx, done, outcome.Refuse("", outcome.Abandoned, 0, "")) }).To(Panic())
		Expect(func() { _, _ = registry.Retake(ctx, done, claim.Place{}) }).To(Panic())
		Expect(func() { _, _ = registry.Move(ctx, done, claim.Place{}) }).To(Panic())
	})

	DescribeTable("expires claims",
		func(o *outcome.Outcome, age clock.Millis, kept int) {
			c, err := registry.Take(ctx, refund)
			Expect(err).NotTo(HaveOccurred())
			if o != nil {
				_, err = registry.End(ctx, c, *o)
				Expect(err).NotTo(HaveOccurred())
			}
			clk.Advance(age)
			for bucket := range claim.Buckets {
				_, _, err = registry.Expire(ctx, bucket)
				Expect(err).NotTo(HaveOccurred())
			}
			Expect(store.Keys("claim/")).To(HaveLen(kept))
		},
		Entry("kept: done, within the retention", &outcome.Outcome{Kind: outcome.Done}, claim.Retention, 1),
		Entry("deleted: done, past the retention", &outcome.Outcome{Kind: outcome.Done}, claim.Retention+1, 0),
		Entry("kept: in progress, past the retention", nil, claim.Retention+1, 1),
		Entry("kept: unknown, past the retention", &outcome.Outcome{Kind: outcome.Unknown}, claim.Retention+1, 1),
		Entry("deleted: unknown for longer than a week", &outcome.Outcome{Kind: outcome.Unknown}, 8*24*clock.Hour, 0),
	)
})
