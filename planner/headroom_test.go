package planner_test

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/peak"
	"github.com/chestnutsail/chestnutsail/planner"
)

var _ = Describe("the headroom for urgent work", func() {
	smallTask := planner.Shape{Cores: 1000, Memory: 1000, Accels: 1}
	wholeWorkerTask := planner.Shape{Cores: 8000, Memory: 1000, Accels: 8}

	It("is kept free of other work, in whole racks", func() {
		s := newCluster(3, 2)
		s.headroom = 16
		s.add(planner.Unit{Priority: 2, Shape: smallTask, Count: 100})
		s.step()
		Expect(s.placements[0]).To(HaveLen(32))
		s.add(planner.Unit{Shape: wholeWorkerTask, Count: 2, Gang: true, SameRack: true, Waited: 0, Estimate: clock.Minute, MaxLoss: 1e9})
		_, evictions := s.step()
		Expect(evictions).To(BeZero())
		Expect(s.placements[1]).To(HaveLen(1))
	})

	It("is available to urgent work", func() {
		s := newCluster(1, 2)
		s.headroom = 16
		s.add(planner.Unit{Shape: smallTask, Count: 16})
		s.step()
		Expect(s.placements[0]).To(HaveLen(16))
	})

	// simulate runs 400 plans with an endless queue of small tasks without checkpoints and with
	// urgent gangs that need to be within one rack and use half of the resources on average. It
	// returns the number of evictions, and the number of waiting urgent gangs summed over all
	// plans.
	simulate := func(withHeadroom bool, seed uint64) (evicted, waited int) {
		random := rand.New(rand.NewPCG(seed, 1))
		s := newCluster(6, 4)
		demand := peak.New(8 * clock.Second)
		s.add(planner.Unit{Priority: 2, Shape: smallTask, Count: 1})
		ends := make(map[int]int)
		for t := range 400 {
			for i, end := range ends {
				if t >= end {
					s.placements[i] = nil
					delete(ends, i)
				}
			}
			s.endRandomTasks(0, random)
			s.waiting[0] = 500
			if random.IntN(2) == 0 {
				s.add(planner.Unit{Shape: wholeWorkerTask, Count: 1 + random.IntN(4), Gang: true, SameRack: true, Estimate: clock.Minute, MaxLoss: 1e9})
			}
			use := 0
			for i := 1; i < len(s.units); i++ {
				if s.waiting[i] > 0 || s.placements[i] != nil {
					use += s.units[i].Count * s.units[i].Shape.Accels
				}
			}
			demand.Observe(clock.Millis(t+1)*250*clock.Millisecond, float64(use))
			if withHeadroom {
				s.headroom = int(demand.Value()) - use
			}
			_, evictions := s.step()
			evicted += evictions
			for i := 1; i < len(s.units); i++ {
				if s.waiting[i] > 0 {
					waited++
				} else if _, seen := ends[i]; !seen && s.placements[i] != nil {
					ends[i] = t + 10
				}
			}
		}
		return evicted, waited
	}

	It("shortens the waits of urgent gangs and more than halves the evictions for them", func() {
		for seed := range uint64(4) {
			evicted, waited := simulate(false, seed)
			evictedWithHeadroom, waitedWithHeadroom := simulate(true, seed)
			Expect(evictedWithHeadroom).To(BeNumerically("<", evicted/2))
			Expect(waitedWithHeadroom).To(BeNumerically("<", waited))
		}
	})
})

// endRandomTasks ends each of the unit's running tasks with a probability of 1 in 30.
func (s *cluster) endRandomTasks(unit int, random *rand.Rand) {
	var kept [][]int
	for _, assigned := range s.placements[unit] {
		if random.IntN(30) > 0 {
			kept = append(kept, assigned)
		}
	}
	s.placements[unit] = kept
}
