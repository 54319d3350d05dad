package speed_test

import (
	"slices"
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
			Expect(m.Estimate(speed.Fleet{}).Expected).To(And(BeNumerically(">=", low), BeNumerically("<=", high)))
		},
		Entry("none", func(*speed.Mean) {}, 1.0, 1.0),
		Entry("of impossible times", func(m *speed.Mean) { m.Add(speed.Compare(0, 5, 1)); m.Add(speed.Compare(5, -1, 1)) }, 1.0, 1.0),
		Entry("one member of a gang that is slower", func(m *speed.Mean) { m.Add(speed.Compare(1000, 1250, speed.MemberWeight)) }, 0.80, 0.85),
		Entry("one task that took longer, which says little", func(m *speed.Mean) { m.Add(speed.Compare(1000, 1250, speed.TaskWeight)) }, 0.87, 0.92),
		Entry("a phase of standing still among usual samples", func(m *speed.Mean) {
			for range 8 {
				m.Add(speed.Compare(1000, 800, speed.MemberWeight))
			}
			m.Add(speed.Compare(1000, 90000, speed.MemberWeight))
		}, 1.05, 1.2),
		Entry("of a worker that has become slower", func(m *speed.Mean) {
			for range 100 {
				m.Add(speed.Compare(1000, 800, speed.MemberWeight))
			}
			for range 30 {
				m.Add(speed.Compare(1000, 1250, speed.MemberWeight))
			}
		}, 0.79, 0.84),
	)
})

var _ = Describe("workers whose speeds differ by more than a factor of two", func() {
	// measured returns workers of three speeds, each with one comparison of members of a gang.
	measured := func(speeds ...float64) []speed.Mean {
		var list []speed.Mean
		for range 10 {
			for _, s := range speeds {
				var m speed.Mean
				m.Add(speed.Compare(1000, 1000/s, speed.MemberWeight))
				list = append(list, m)
			}
		}
		return list
	}

	It("are told apart by one comparison, and unknown ones are not relied on", func() {
		list := measured(0.6, 1, 1.6)
		fleet := speed.FleetOf(slices.Values(list), speed.Fleet{})
		Expect(fleet.Spread()).To(BeNumerically("~", 0.4, 0.05))
		slow, usual, fast := list[0].Estimate(fleet), list[1].Estimate(fleet), list[2].Estimate(fleet)
		Expect(slow.Expected).To(BeNumerically("~", 0.6, 0.03))
		Expect(usual.Sure).To(BeNumerically(">", 0.85))
		Expect(fast.Sure).To(BeNumerically(">", 1.3))
		unknown := speed.Mean{}
		Expect(unknown.Estimate(fleet).Sure).To(BeNumerically("<", 0.65))
		Expect(unknown.Estimate(fleet).Expected).To(Equal(1.0))
	})

	It("leave the estimates of other fleets as they are", func() {
		list := measured(0.8, 1, 1.25)
		Expect(list[0].Estimate(speed.FleetOf(slices.Values(list), speed.Fleet{}))).To(Equal(list[0].Estimate(speed.Fleet{})))
		Expect(speed.Unknown().Sure).To(BeNumerically(">", 0.75))
		Expect(speed.FleetOf(slices.Values(list[:7]), speed.Fleet{})).To(Equal(speed.Fleet{}), "too few are measured")
	})

	It("make their fleet uneven from one spread on and even from a lower one", func() {
		between := slices.Values(measured(0.72, 1, 1.38))
		Expect(speed.FleetOf(between, speed.Fleet{}).IsUneven()).To(BeFalse())
		uneven := speed.FleetOf(slices.Values(measured(0.6, 1, 1.6)), speed.Fleet{})
		Expect(uneven.IsUneven()).To(BeTrue())
		Expect(speed.FleetOf(between, uneven).IsUneven()).To(BeTrue())
		Expect(speed.FleetOf(slices.Values(measured(0.8, 1, 1.25)), uneven).IsUneven()).To(BeFalse())
		Expect(speed.FleetOf(slices.Values(measured(0.6)), speed.Fleet{}).IsUneven()).To(BeFalse(), "all are equally slow")
	})

	It("are forgotten in part when a worker may have changed", func() {
		m := measured(0.6)[0]
		before := m.Estimate(speed.Fleet{})
		m.Fade(0.25)
		Expect(m.Estimate(speed.Fleet{}).Expected).To(And(BeNumerically(">", before.Expected), BeNumerically("<", 1)))
	})
})
