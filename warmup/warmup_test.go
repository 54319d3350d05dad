package warmup_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/suite"
	"github.com/chestnutsail/chestnutsail/warmup"
)

func TestWarmup(t *testing.T) { suite.Run(t, "warmup") }

var _ = Describe("the worth of a worker", func() {
	// observe records a remaining time of 4 s at 1 s, and then the given ones, one a second.
	observe := func(later ...clock.Millis) *warmup.State {
		s := &warmup.State{}
		for i, remaining := range append([]clock.Millis{4000}, later...) {
			s.Observe(clock.Millis(1000*(i+1)), remaining)
		}
		return s
	}

	DescribeTable("is", func(s *warmup.State, at clock.Millis, want float64) {
		Expect(s.Worth(at)).To(BeNumerically("~", want, 0.001))
	},
		Entry("all while it was never cold", &warmup.State{}, clock.Millis(0), 1.0),
		Entry("half at first", observe(), clock.Millis(1000), 0.5),
		Entry("more in between", observe(), clock.Millis(3000), 0.75),
		Entry("all at the end", observe(), clock.Millis(5000), 1.0),
		Entry("not less for a report that agrees", observe(3000), clock.Millis(3000), 0.75),
		Entry("all after the worker said that it is warm", observe(0), clock.Millis(2000), 1.0),
		Entry("half again when it turns cold again", observe(0, 2000), clock.Millis(3000), 0.5),
	)
})
