package queue_test

import (
	"math"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/queue"
	"github.com/chestnutsail/chestnutsail/suite"
)

func TestQueue(t *testing.T) { suite.Run(t, "queue") }

var _ = Describe("the rank of a job", func() {
	const now = 1_800_000_000_000 * clock.Millisecond

	// Guards against a sum or product that overflows, by which the longest job goes first.
	DescribeTable("follows that of a job which is declared to take a minute, if it is declared to take",
		func(declared clock.Millis, observed ...clock.Millis) {
			var h queue.History
			for _, runTime := range observed {
				h.Observe("a", "s", clock.Minute, runTime)
			}
			for _, class := range []job.Class{job.Quick, job.Batch, job.Sweep} {
				rank := func(declared clock.Millis) queue.Rank {
					expected := h.ExpectedRunTime("a", "s", declared)
					return queue.Rank{Tier: queue.TierOf(class, expected), Time: queue.RankTime(class, now, expected, clock.Hour)}
				}
				Expect(rank(declared).Compare(rank(clock.Minute))).To(BeNumerically(">", 0), "%s", class)
			}
		},
		Entry("an hour", clock.Hour),
		Entry("the longest time", clock.Millis(math.MaxInt64)),
		Entry("the longest time, after a job that ran as declared", clock.Millis(math.MaxInt64), clock.Minute),
		Entry("the longest time, after one that ran for far longer", clock.Millis(math.MaxInt64), 1000*clock.Hour),
	)
})
