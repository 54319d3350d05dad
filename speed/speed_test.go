package speed_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/speed"
	"github.com/chestnutsail/chestnutsail/suite"
)

func TestSpeed(t *testing.T) { suite.Run(t, "speed") }

var _ = Describe("the speed of a worker", func() {
	DescribeTable("after samples",
		func(add func(*speed.Mean), low, high float64) {
			var m speed.Mean
			add(&m)
			Expect(m.Value()).To(And(BeNumerically(">=", low), BeNumerically("<=", high)))
		},
		Entry("none", func(*speed.Mean) {}, 1.0, 1.0),
		Entry("of impossible times", func(m *speed.Mean) { m.Add(0, 5, 1); m.Add(5, -1, 1) }, 1.0, 1.0),
		Entry("one member of a gang that is slower", func(m *speed.Mean) { m.Add(1000, 1250, speed.MemberWeight) }, 0.80, 0.85),
		Entry("one task that took longer, which says little", func(m *speed.Mean) { m.Add(1000, 1250, speed.TaskWeight) }, 0.87, 0.92),
		Entry("a phase of standing still among usual samples", func(m *speed.Mean) {
			for range 8 {
				m.Add(1000, 800, speed.MemberWeight)
			}
			m.Add(1000, 90000, speed.MemberWeight)
		}, 1.05, 1.2),
		Entry("of a worker that has become slower", func(m *speed.Mean) {
			for range 100 {
				m.Add(1000, 800, speed.MemberWeight)
			}
			for range 30 {
				m.Add(1000, 1250, speed.MemberWeight)
			}
		}, 0.79, 0.84),
	)
})
