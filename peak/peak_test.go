package peak_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/peak"
	"github.com/chestnutsail/chestnutsail/suite"
)

func TestPeak(t *testing.T) { suite.Run(t, "peak") }

var _ = Describe("a peak", func() {
	const start = 1_000_000 * clock.Millisecond

	DescribeTable("after a value of 100", func(later clock.Millis, v, want float64) {
		p := peak.New(clock.Second)
		p.Observe(start, 100)
		p.Observe(start+later, v)
		Expect(p.Value()).To(BeNumerically("~", want, 0.01))
	},
		Entry("keeps its value while the quantity does", clock.Second, 100.0, 100.0),
		Entry("rises immediately with the quantity", clock.Millisecond, 250.0, 250.0),
		Entry("falls by half within its half-life", clock.Second, 0.0, 50.0),
		Entry("never falls below the quantity", 4*clock.Second, 40.0, 40.0),
		Entry("does not fall while no time passes", clock.Millis(0), 0.0, 100.0),
	)
})
