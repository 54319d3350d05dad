package budget_test

import (
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/budget"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/suite"
)

func TestBudget(t *testing.T) { suite.Run(t, "budget") }

var _ = Describe("a retry budget", func() {
	DescribeTable("allows a fraction of the successes and a minimum rate",
		func(successes int, wait clock.Millis, want int) {
			c := clock.NewManual(0)
			b := budget.New(budget.Options{Percent: 10, Floor: 2, Cap: 50, Clock: c})
			for b.Take() {
			}
			for range successes {
				b.Succeed()
			}
			c.Advance(wait)
			made := 0
			for b.Take() {
				made++
			}
			Expect(made).To(Equal(want))
		},
		Entry("none without successes or time", 0, 0*clock.Second, 0),
		Entry("a tenth of the successes", 101, 0*clock.Second, 10),
		Entry("the minimum rate during an outage of 10 s", 0, 10*clock.Second, 20),
		Entry("no more than the cap after a long time without failures", 100_000, clock.Hour, 50),
	)

	It("spreads the waits over the whole range below the bound", func() {
		b := budget.New(budget.Options{Base: 100, Max: 300})
		var low, high clock.Millis = 1000, 0
		for range 2000 {
			w := b.Wait(2)
			low, high = min(low, w), max(high, w)
			Expect(b.Wait(60)).To(BeNumerically("<=", 300))
		}
		Expect(low).To(BeNumerically("<", 20))
		Expect(high).To(And(BeNumerically(">", 180), BeNumerically("<=", 200)))
	})

	It("does not retry once the context has ended", func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		b := budget.New(budget.Options{})
		Expect(b.Retry(ctx, 1)).To(BeFalse())
		made, _ := b.Stats()
		Expect(made).To(BeZero())
	})
})
