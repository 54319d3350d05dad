package planner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/planner"
	"github.com/chestnutsail/chestnutsail/suite"
)

func TestPlanner(t *testing.T) { suite.Run(t, "planner") }

// cluster simulates workers on which the starts and evictions of a plan happen immediately.
type cluster struct {
	nodes []planner.Node
	// waiting is the number of waiting tasks of each unit. placements lists, by unit, the nodes of
	// each running task or gang.
	units      []planner.Unit
	waiting    []int
	placements map[int][][]int
	// headroom is the number of accelerators that the planner keeps free for urgent units. left is the
	// estimated time until the running work of a unit ends.
	headroom int
	// tight is Input.TightSpeed.
	tight map[string]float64
	left  map[int]clock.Millis
	past  []planner.Unit
}

func newCluster(racks, workersPerRack int) *cluster {
	s := &cluster{placements: make(map[int][][]int)}
	for r := range racks {
		for n := range workersPerRack {
			capacity := planner.Shape{Cores: 32000, Memory: 64000, Accels: 8}
			s.nodes = append(s.nodes, planner.Node{
				ID: fmt.Sprint(r, "/", n), Service: "svc", Rack: fmt.Sprint("r", r), Capacity: capacity, Usable: true,
			})
		}
	}
	return s
}

func (s *cluster) add(u planner.Unit) {
	u.Service = "svc"
	s.units = append(s.units, u)
	s.waiting = append(s.waiting, u.Count)
}

// input returns the planner's input. unitIndex gives the cluster's unit for each unit of the input,
// and placementOf the cluster's unit and placement for each piece of running work of the input.
func (s *cluster) input() (planner.Input, []int, [][2]int) {
	in := planner.Input{Nodes: append([]planner.Node(nil), s.nodes...), Headroom: map[string]int{"svc": s.headroom}, Past: s.past, TightSpeed: s.tight}
	for i := range in.Nodes {
		in.Nodes[i].Free, in.Nodes[i].FreeSoon = in.Nodes[i].Capacity, in.Nodes[i].Capacity
	}
	var placementOf [][2]int
	for i, u := range s.units {
		for placement, assigned := range s.placements[i] {
			in.Running = append(in.Running, planner.RunningWork{Priority: u.Priority, Guaranteed: u.Guaranteed, Shape: u.Shape, Nodes: assigned, Loss: float64(len(assigned)), Left: s.left[i]})
			placementOf = append(placementOf, [2]int{i, placement})
			for _, n := range assigned {
				in.Nodes[n].Free = in.Nodes[n].Free.Sub(u.Shape)
				in.Nodes[n].FreeSoon = in.Nodes[n].FreeSoon.Sub(u.Shape)
			}
		}
	}
	var unitIndex []int
	for i, u := range s.units {
		if s.waiting[i] == 0 {
			continue
		}
		u.Count = s.waiting[i]
		in.Units = append(in.Units, u)
		unitIndex = append(unitIndex, i)
	}
	return in, unitIndex, placementOf
}

// step makes a plan, carries it out, and returns the number of started units and of evictions.
func (s *cluster) step() (starts, evictions int) {
	in, unitIndex, placementOf := s.input()
	out := planner.Plan(in)
	for _, start := range out.Starts {
		i := unitIndex[start.Unit]
		s.waiting[i] -= len(start.Nodes)
		if s.units[i].Gang {
			s.placements[i] = append(s.placements[i], start.Nodes)
			continue
		}
		for _, n := range start.Nodes {
			s.placements[i] = append(s.placements[i], []int{n})
		}
	}
	evicted := make(map[[2]int]bool)
	for _, w := range out.Evict {
		evicted[placementOf[w]] = true
		s.waiting[placementOf[w][0]] += len(in.Running[w].Nodes)
	}
	for i := range s.units {
		var kept [][]int
		for placement, assigned := range s.placements[i] {
			if !evicted[[2]int{i, placement}] {
				kept = append(kept, assigned)
			}
		}
		s.placements[i] = kept
	}
	return len(out.Starts), len(out.Evict)
}

// overcommittedNode returns the ID of the first node whose tasks need more resources than the node
// has, or "".
func (s *cluster) overcommittedNode() string {
	in, _, _ := s.input()
	for _, n := range in.Nodes {
		if n.Free.Cores < 0 || n.Free.Memory < 0 || n.Free.Accels < 0 {
			return n.ID
		}
	}
	return ""
}

var _ = Describe("a plan", func() {
	smallTask := planner.Shape{Cores: 1000, Memory: 1000, Accels: 1}
	wholeWorkerTask := planner.Shape{Cores: 8000, Memory: 1000, Accels: 8}

	It("starts all tasks of a gang or none", func() {
		s := newCluster(1, 2)
		s.add(planner.Unit{Shape: wholeWorkerTask, Count: 3, Gang: true, Waited: clock.Hour})
		starts, _ := s.step()
		Expect(starts).To(BeZero())
		s.add(planner.Unit{Shape: wholeWorkerTask, Count: 2, Gang: true, Waited: clock.Hour})
		starts, _ = s.step()
		Expect(starts).To(Equal(1))
	})

	It("packs small tasks together so that whole workers stay free", func() {
		s := newCluster(2, 2)
		s.add(planner.Unit{Shape: smallTask, Count: 3})
		s.step()
		s.add(planner.Unit{Shape: smallTask, Count: 3})
		s.step()
		s.add(planner.Unit{Shape: wholeWorkerTask, Count: 3, Gang: true, Waited: clock.Hour})
		starts, _ := s.step()
		Expect(starts).To(Equal(1))
	})

	It("places urgent work on faster workers, and other work where the fewest resources are free", func() {
		for _, c := range []struct {
			priority int
			want     string
		}{{0, "0/1"}, {2, "0/0"}} {
			s := newCluster(1, 2)
			s.add(planner.Unit{Priority: 2, Shape: smallTask, Count: 1})
			s.step() // the first worker has fewer free resources now
			s.nodes[0].Speed, s.nodes[1].Speed = 0.8, 1.25
			s.add(planner.Unit{Priority: c.priority, Shape: smallTask, Count: 1})
			s.step()
			Expect(s.nodes[s.placements[1][0][0]].ID).To(Equal(c.want))
		}
	})

	It("places a gang within one rack if it fits there", func() {
		s := newCluster(2, 2)
		s.add(planner.Unit{Shape: wholeWorkerTask, Count: 1})
		s.step()
		s.add(planner.Unit{Shape: wholeWorkerTask, Count: 2, Gang: true, SameRack: true, Estimate: clock.Second})
		s.step()
		Expect(s.placements[1]).To(HaveLen(1))
		rack := s.nodes[s.placements[1][0][0]].Rack
		Expect(s.nodes[s.placements[1][0][1]].Rack).To(Equal(rack))
	})

	It("evicts work of lower priority for a guaranteed gang, with the least loss", func() {
		s := newCluster(1, 2)
		s.add(planner.Unit{Priority: 2, Shape: smallTask, Count: 16})
		s.step()
		s.add(planner.Unit{Shape: wholeWorkerTask, Count: 1, Gang: true, Guaranteed: true, MaxLoss: 1e9})
		_, evictions := s.step()
		Expect(evictions).To(Equal(8))
		s.step()
		Expect(s.placements[1]).To(HaveLen(1))
	})

	// The load is a guaranteed job that needs a worker, beside urgent work of another account that
	// has just begun and so would lose less than the other work.
	DescribeTable("evicts for a guaranteed unit",
		func(victim int, running ...planner.RunningWork) {
			const cores, accels = 32000, 8
			in := planner.Input{Units: []planner.Unit{{Service: "svc", Guaranteed: true, Shape: planner.Shape{Cores: 1000, Accels: 8}, Count: 1, Gang: true, MaxLoss: 1e9}}, Running: running}
			for i := range running {
				running[i].Nodes, running[i].Shape = []int{i}, planner.Shape{Cores: 1000, Accels: accels}
				in.Nodes = append(in.Nodes, planner.Node{ID: fmt.Sprint(i), Service: "svc", Rack: "r", Capacity: planner.Shape{Cores: cores, Accels: accels}, Free: planner.Shape{Cores: cores - 1000}, FreeSoon: planner.Shape{Cores: cores - 1000}, Usable: true})
			}
			Expect(planner.Plan(in).Evict).To(Equal([]int{victim}))
		},
		Entry("work that is not urgent, although it would lose more", 1, planner.RunningWork{Priority: 0, Loss: 5}, planner.RunningWork{Priority: 2, Loss: 200}),
		Entry("urgent work, if the other would lose more than an urgent task is worth", 0, planner.RunningWork{Priority: 0, Loss: 5}, planner.RunningWork{Priority: 1, Loss: 600}),
		Entry("the urgent work that loses less, if there is no other", 1, planner.RunningWork{Priority: 0, Loss: 50}, planner.RunningWork{Priority: 0, Loss: 5}),
	)

	It("does not let a guaranteed gang wait for a single rack longer than a reclaim may take", func() {
		s := newCluster(2, 2)
		for range 2 {
			s.add(planner.Unit{Shape: wholeWorkerTask, Count: 1, Gang: true, Guaranteed: true, MaxLoss: 1e9})
			s.step()
		}
		// In each rack, guaranteed work occupies one worker and small tasks occupy the other.
		s.placements[1] = [][]int{{2}}
		s.placements[0] = [][]int{{0}}
		s.add(planner.Unit{Priority: 2, Shape: smallTask, Count: 16})
		s.step()
		s.add(planner.Unit{Shape: wholeWorkerTask, Count: 2, Gang: true, SameRack: true, Guaranteed: true, MaxLoss: 1e9, Estimate: clock.Minute})
		_, evictions := s.step()
		Expect(evictions).To(BeZero(), "at first the gang waits for a single rack")
		s.units[3].Waited = 1100 * clock.Millisecond
		_, evictions = s.step()
		Expect(evictions).To(Equal(16))
		s.step()
		Expect(s.placements[3]).To(HaveLen(1))
	})

	It("lets a gang wait for a rack that is being emptied rather than spreading the gang over racks", func() {
		s := newCluster(2, 2)
		in, _, _ := s.input()
		for n := range in.Nodes {
			in.Nodes[n].Free = in.Nodes[n].Free.Sub(wholeWorkerTask)
		}
		// One worker of each rack is free. The other worker of the first rack is being emptied.
		in.Nodes[1].Free, in.Nodes[3].Free = in.Nodes[1].Capacity, in.Nodes[3].Capacity
		in.Nodes[2].FreeSoon = in.Nodes[2].Free
		u := planner.Unit{Service: "svc", Shape: wholeWorkerTask, Count: 2, Gang: true, SameRack: true, Guaranteed: true, MaxLoss: 1e9, Estimate: clock.Second}
		for _, c := range []struct {
			waited clock.Millis
			starts int
		}{{0, 0}, {1100, 0}, {2100, 1}} {
			u.Waited = c.waited
			in.Units = []planner.Unit{u}
			Expect(planner.Plan(in).Starts).To(HaveLen(c.starts), "after %d ms", c.waited)
		}
	})

	It("reserves workers for a gang that fits into no single rack", func() {
		s := newCluster(3, 2)
		s.add(planner.Unit{Priority: 2, Shape: smallTask, Count: 40})
		s.step()
		// Small tasks fill five of the six workers, and each task that ends is replaced by another.
		s.add(planner.Unit{Priority: 1, Shape: wholeWorkerTask, Count: 4, Gang: true, SameRack: true, Estimate: clock.Second})
		random := rand.New(rand.NewPCG(1, 1))
		for range 120 {
			s.endRandomTasks(0, random)
			s.waiting[0] = 40
			s.step()
		}
		Expect(s.placements[1]).To(HaveLen(1))
	})

	It("serves units that can still meet their objective before units that can't", func() {
		s := newCluster(1, 1)
		s.add(planner.Unit{Priority: 1, Shape: wholeWorkerTask, Count: 1, Rank: 1, Late: true})
		s.add(planner.Unit{Priority: 1, Shape: wholeWorkerTask, Count: 1, Rank: 2})
		s.add(planner.Unit{Priority: 2, Shape: wholeWorkerTask, Count: 1, Rank: 0})
		s.step()
		Expect(s.placements[1]).To(HaveLen(1))
		s.placements[1] = nil
		s.step()
		Expect(s.placements[0]).To(HaveLen(1), "the late unit is still served before work of lower priority")
	})

	It("evicts work only on nodes where the unit can then start", func() {
		s := newCluster(2, 2)
		s.add(planner.Unit{Priority: 2, Shape: smallTask, Count: 32})
		s.step()
		s.add(planner.Unit{Shape: wholeWorkerTask, Count: 2, Gang: true, DataRack: "r1", MaxLoss: 1e9, Estimate: clock.Minute})
		_, evictions := s.step()
		Expect(evictions).To(Equal(16))
		s.step()
		for _, n := range s.placements[1][0] {
			Expect(s.nodes[n].Rack).To(Equal("r1"))
		}
	})

	It("reaches a stable state without evicting and restarting work endlessly, for random units", func() {
		for seed := range uint64(300) {
			random := rand.New(rand.NewPCG(seed, 1))
			s := newCluster(1+random.IntN(3), 1+random.IntN(4))
			for range 2 + random.IntN(12) {
				s.add(randomUnit(random))
			}
			last := 0
			for pass := range 200 {
				if starts, evictions := s.step(); starts+evictions > 0 {
					last = pass
				}
				Expect(s.overcommittedNode()).To(BeEmpty(), "seed %d", seed)
			}
			Expect(last).To(BeNumerically("<", 150), "seed %d", seed)
		}
	})
})

func randomUnit(r *rand.Rand) planner.Unit {
	u := planner.Unit{
		Priority: r.IntN(3), Count: 1 + r.IntN(8), Gang: r.IntN(2) == 0, SameRack: r.IntN(2) == 0,
		Shape:    planner.Shape{Cores: 1000 * (1 + r.IntN(12)), Memory: 1000, Accels: 1 << r.IntN(4)},
		Rank:     clock.Millis(r.IntN(1000)),
		Hopeless: r.IntN(3) == 0, Waited: clock.Millis(r.IntN(2000)), Estimate: clock.Second,
	}
	if r.IntN(4) == 0 {
		u.DataRack = fmt.Sprint("r", r.IntN(3))
	}
	if u.Priority == 0 {
		u.MaxLoss = float64(10 * u.Count)
		if r.IntN(2) == 0 {
			u.Guaranteed, u.MaxLoss = true, 1e9
		}
	}
	return u
}
