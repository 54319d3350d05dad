package planner_test

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/peak"
	"github.com/chestnutsail/chestnutsail/planner"
)

var _ = Describe("the headroom of urgent work", func() {
	one := planner.Shape{Cores: 1000, Memory: 1000, Accels: 1}
	whole := planner.Shape{Cores: 8000, Memory: 1000, Accels: 8}

	It("is left by other work, in whole racks", func() {
		s := newSite(3, 2)
		s.headroom = 16
		s.add(planner.Unit{Priority: 2, Shape: one, Count: 100})
		s.step()
		Expect(s.running[0]).To(HaveLen(32))
		s.add(planner.Unit{Shape: whole, Count: 2, Gang: true, SameRack: true, Waited: 0, Estimate: clock.Minute, Pay: 1e9})
		_, evictions := s.step()
		Expect(evictions).To(BeZero())
		Expect(s.running[1]).To(HaveLen(1))
	})

	It("is not kept from urgent work", func() {
		s := newSite(1, 2)
		s.headroom = 16
		s.add(planner.Unit{Shape: one, Count: 16})
		s.step()
		Expect(s.running[0]).To(HaveLen(16))
	})

	// The load: an endless queue of small tasks that save nothing, and urgent gangs that
	// want a rack, on average half of the room.
	play := func(kept bool, seed uint64) (stopped, waited int) {
		random := rand.New(rand.NewPCG(seed, 1))
		s := newSite(6, 4)
		demand := peak.New(8 * clock.Second)
		s.add(planner.Unit{Priority: 2, Shape: one, Count: 1})
		ends := make(map[int]int)
		for t := range 400 {
			for i, end := range ends {
				if t >= end {
					s.running[i] = nil
					delete(ends, i)
				}
			}
			s.endSome(0, random)
			s.left[0] = 500
			if random.IntN(2) == 0 {
				s.add(planner.Unit{Shape: whole, Count: 1 + random.IntN(4), Gang: true, SameRack: true, Estimate: clock.Minute, Pay: 1e9})
			}
			use := 0
			for i := 1; i < len(s.units); i++ {
				if s.left[i] > 0 || s.running[i] != nil {
					use += s.units[i].Count * s.units[i].Shape.Accels
				}
			}
			demand.Observe(clock.Millis(t+1)*250*clock.Millisecond, float64(use))
			if kept {
				s.headroom = int(demand.Value()) - use
			}
			_, evictions := s.step()
			stopped += evictions
			for i := 1; i < len(s.units); i++ {
				if s.left[i] > 0 {
					waited++
				} else if _, seen := ends[i]; !seen && s.running[i] != nil {
					ends[i] = t + 10
				}
			}
		}
		return stopped, waited
	}

	It("has urgent gangs wait less and stop less than half of the work", func() {
		for seed := range uint64(4) {
			stopped, waited := play(false, seed)
			keptStopped, keptWaited := play(true, seed)
			Expect(keptStopped).To(BeNumerically("<", stopped/2))
			Expect(keptWaited).To(BeNumerically("<", waited))
		}
	})
})

// endSome ends one in thirty of a unit's running tasks.
func (s *site) endSome(unit int, random *rand.Rand) {
	var kept [][]int
	for _, at := range s.running[unit] {
		if random.IntN(30) > 0 {
			kept = append(kept, at)
		}
	}
	s.running[unit] = kept
}
