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

// site is a set of workers on which plans are carried out at once.
type site struct {
	nodes []planner.Node
	// waiting and running share the units; running says where their tasks are.
	units   []planner.Unit
	left    []int
	running map[int][][]int
	// headroom is kept free for urgent units.
	headroom int
}

func newSite(racks, each int) *site {
	s := &site{running: make(map[int][][]int)}
	for r := range racks {
		for n := range each {
			whole := planner.Shape{Cores: 32000, Memory: 64000, Accels: 8}
			s.nodes = append(s.nodes, planner.Node{
				ID: fmt.Sprint(r, "/", n), Service: "svc", Rack: fmt.Sprint("r", r), Capacity: whole, Usable: true,
			})
		}
	}
	return s
}

func (s *site) add(u planner.Unit) {
	u.Service = "svc"
	s.units = append(s.units, u)
	s.left = append(s.left, u.Count)
}

// input is what the planner is told of the site.
func (s *site) input() (planner.Input, []int, [][2]int) {
	in := planner.Input{Nodes: append([]planner.Node(nil), s.nodes...), Headroom: map[string]int{"svc": s.headroom}}
	for i := range in.Nodes {
		in.Nodes[i].Free, in.Nodes[i].Soon = in.Nodes[i].Capacity, in.Nodes[i].Capacity
	}
	var held [][2]int
	for i, u := range s.units {
		for g, at := range s.running[i] {
			in.Held = append(in.Held, planner.Held{Priority: u.Priority, Guaranteed: u.Guaranteed, Shape: u.Shape, Nodes: at, Loss: float64(len(at))})
			held = append(held, [2]int{i, g})
			for _, n := range at {
				in.Nodes[n].Free = in.Nodes[n].Free.Sub(u.Shape)
				in.Nodes[n].Soon = in.Nodes[n].Soon.Sub(u.Shape)
			}
		}
	}
	var index []int
	for i, u := range s.units {
		if s.left[i] == 0 {
			continue
		}
		u.Count = s.left[i]
		in.Units = append(in.Units, u)
		index = append(index, i)
	}
	return in, index, held
}

// step makes a plan, carries it out and returns the number of starts and evictions.
func (s *site) step() (starts, evictions int) {
	in, index, held := s.input()
	out := planner.Plan(in)
	for _, x := range out.Starts {
		i := index[x.Unit]
		s.left[i] -= len(x.Nodes)
		if s.units[i].Gang {
			s.running[i] = append(s.running[i], x.Nodes)
			continue
		}
		for _, n := range x.Nodes {
			s.running[i] = append(s.running[i], []int{n})
		}
	}
	gone := make(map[[2]int]bool)
	for _, h := range out.Evict {
		gone[held[h]] = true
		s.left[held[h][0]] += len(in.Held[h].Nodes)
	}
	for i := range s.units {
		var kept [][]int
		for g, at := range s.running[i] {
			if !gone[[2]int{i, g}] {
				kept = append(kept, at)
			}
		}
		s.running[i] = kept
	}
	return len(out.Starts), len(out.Evict)
}

// overfull returns the first node that holds more than it has room for.
func (s *site) overfull() string {
	in, _, _ := s.input()
	for _, n := range in.Nodes {
		if n.Free.Cores < 0 || n.Free.Memory < 0 || n.Free.Accels < 0 {
			return n.ID
		}
	}
	return ""
}

var _ = Describe("a plan", func() {
	one := planner.Shape{Cores: 1000, Memory: 1000, Accels: 1}
	whole := planner.Shape{Cores: 8000, Memory: 1000, Accels: 8}

	It("starts a gang whole or not at all", func() {
		s := newSite(1, 2)
		s.add(planner.Unit{Shape: whole, Count: 3, Gang: true, Waited: clock.Hour})
		starts, _ := s.step()
		Expect(starts).To(BeZero())
		s.add(planner.Unit{Shape: whole, Count: 2, Gang: true, Waited: clock.Hour})
		starts, _ = s.step()
		Expect(starts).To(Equal(1))
	})

	It("leaves whole workers whole for small tasks", func() {
		s := newSite(2, 2)
		s.add(planner.Unit{Shape: one, Count: 3})
		s.step()
		s.add(planner.Unit{Shape: one, Count: 3})
		s.step()
		s.add(planner.Unit{Shape: whole, Count: 3, Gang: true, Waited: clock.Hour})
		starts, _ := s.step()
		Expect(starts).To(Equal(1))
	})

	It("puts urgent work on faster workers, other work where it fits tightest", func() {
		for _, c := range []struct {
			priority int
			want     string
		}{{0, "0/1"}, {2, "0/0"}} {
			s := newSite(1, 2)
			s.add(planner.Unit{Priority: 2, Shape: one, Count: 1})
			s.step() // the first worker is the tighter one now
			s.nodes[0].Speed, s.nodes[1].Speed = 0.8, 1.25
			s.add(planner.Unit{Priority: c.priority, Shape: one, Count: 1})
			s.step()
			Expect(s.nodes[s.running[1][0][0]].ID).To(Equal(c.want))
		}
	})

	It("keeps a gang in one rack while a rack could hold it", func() {
		s := newSite(2, 2)
		s.add(planner.Unit{Shape: whole, Count: 1})
		s.step()
		s.add(planner.Unit{Shape: whole, Count: 2, Gang: true, SameRack: true, Estimate: clock.Second})
		s.step()
		Expect(s.running[1]).To(HaveLen(1))
		rack := s.nodes[s.running[1][0][0]].Rack
		Expect(s.nodes[s.running[1][0][1]].Rack).To(Equal(rack))
	})

	It("has work of less priority make way for a guarantee, at the least loss", func() {
		s := newSite(1, 2)
		s.add(planner.Unit{Priority: 2, Shape: one, Count: 16})
		s.step()
		s.add(planner.Unit{Shape: whole, Count: 1, Gang: true, Guaranteed: true, Pay: 1e9})
		_, evictions := s.step()
		Expect(evictions).To(Equal(8))
		s.step()
		Expect(s.running[1]).To(HaveLen(1))
	})

	It("does not have a guarantee wait for a rack longer than its bound allows", func() {
		s := newSite(2, 2)
		for range 2 {
			s.add(planner.Unit{Shape: whole, Count: 1, Gang: true, Guaranteed: true, Pay: 1e9})
			s.step()
		}
		// A worker of each rack is held under a guarantee, the others by small tasks.
		s.running[1] = [][]int{{2}}
		s.running[0] = [][]int{{0}}
		s.add(planner.Unit{Priority: 2, Shape: one, Count: 16})
		s.step()
		s.add(planner.Unit{Shape: whole, Count: 2, Gang: true, SameRack: true, Guaranteed: true, Pay: 1e9, Estimate: clock.Minute})
		_, evictions := s.step()
		Expect(evictions).To(BeZero(), "at first it waits for a rack")
		s.units[3].Waited = 1100 * clock.Millisecond
		_, evictions = s.step()
		Expect(evictions).To(Equal(16))
		s.step()
		Expect(s.running[3]).To(HaveLen(1))
	})

	It("waits on for a rack that is being emptied instead of spreading a gang", func() {
		s := newSite(2, 2)
		in, _, _ := s.input()
		for n := range in.Nodes {
			in.Nodes[n].Free = in.Nodes[n].Free.Sub(whole)
		}
		// One worker of each rack is free, and the first rack's other is being emptied.
		in.Nodes[1].Free, in.Nodes[3].Free = in.Nodes[1].Capacity, in.Nodes[3].Capacity
		in.Nodes[2].Soon = in.Nodes[2].Free
		u := planner.Unit{Service: "svc", Shape: whole, Count: 2, Gang: true, SameRack: true, Guaranteed: true, Pay: 1e9, Estimate: clock.Second}
		for _, c := range []struct {
			waited clock.Millis
			starts int
		}{{0, 0}, {1100, 0}, {2100, 1}} {
			u.Waited = c.waited
			in.Units = []planner.Unit{u}
			Expect(planner.Plan(in).Starts).To(HaveLen(c.starts), "after %d ms", c.waited)
		}
	})

	It("keeps workers free for a gang that no rack could hold", func() {
		s := newSite(3, 2)
		s.add(planner.Unit{Priority: 2, Shape: one, Count: 40})
		s.step()
		// Five of the six workers are full, and every task that ends is followed by another.
		s.add(planner.Unit{Priority: 1, Shape: whole, Count: 4, Gang: true, SameRack: true, Estimate: clock.Second})
		random := rand.New(rand.NewPCG(1, 1))
		for range 120 {
			s.endSome(0, random)
			s.left[0] = 40
			s.step()
		}
		Expect(s.running[1]).To(HaveLen(1))
	})

	It("serves units that can still meet their objective before those that can't", func() {
		s := newSite(1, 1)
		s.add(planner.Unit{Priority: 1, Shape: whole, Count: 1, Rank: 1, Late: true})
		s.add(planner.Unit{Priority: 1, Shape: whole, Count: 1, Rank: 2})
		s.add(planner.Unit{Priority: 2, Shape: whole, Count: 1, Rank: 0})
		s.step()
		Expect(s.running[1]).To(HaveLen(1))
		s.running[1] = nil
		s.step()
		Expect(s.running[0]).To(HaveLen(1), "the late one still comes before less urgent work")
	})

	It("takes no room for a unit that would not get it", func() {
		s := newSite(2, 2)
		s.add(planner.Unit{Priority: 2, Shape: one, Count: 32})
		s.step()
		s.add(planner.Unit{Shape: whole, Count: 2, Gang: true, DataRack: "r1", Pay: 1e9, Estimate: clock.Minute})
		_, evictions := s.step()
		Expect(evictions).To(Equal(16))
		s.step()
		for _, n := range s.running[1][0] {
			Expect(s.nodes[n].Rack).To(Equal("r1"))
		}
	})

	It("settles, without stopping and starting work in circles, whatever waits", func() {
		for seed := range uint64(300) {
			random := rand.New(rand.NewPCG(seed, 1))
			s := newSite(1+random.IntN(3), 1+random.IntN(4))
			for range 2 + random.IntN(12) {
				s.add(randomUnit(random))
			}
			last := 0
			for pass := range 200 {
				if starts, evictions := s.step(); starts+evictions > 0 {
					last = pass
				}
				Expect(s.overfull()).To(BeEmpty(), "seed %d", seed)
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
		u.Pay = float64(10 * u.Count)
		if r.IntN(2) == 0 {
			u.Guaranteed, u.Pay = true, 1e9
		}
	}
	return u
}
