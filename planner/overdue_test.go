package planner_test

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/planner"
)

// Guards against reasons to keep work waiting that last longer than the 3 s that the platform allows.
var _ = Describe("work that has waited for 2 s while under half of the service is in use", func() {
	wholeWorkerTask := planner.Shape{Cores: 8000, Memory: 1000, Accels: 8}

	// plan returns the number of starts of a gang of four on six racks of four workers, one of each full.
	plan := func(waited clock.Millis, change func(in *planner.Input)) int {
		s := newCluster(6, 4)
		in, _, _ := s.input()
		for n := range in.Nodes {
			if n%4 == 0 {
				in.Nodes[n].Free, in.Nodes[n].FreeSoon = planner.Shape{}, planner.Shape{}
			}
		}
		in.Units = []planner.Unit{{Service: "svc", Priority: 1, Shape: wholeWorkerTask, Count: 4, Gang: true, Estimate: clock.Minute, Waited: waited}}
		change(&in)
		starts := 0
		for _, start := range planner.Plan(in).Starts {
			if start.Unit == 0 {
				starts++
			}
		}
		return starts
	}

	DescribeTable("is started if there is room for it twice over, and was waiting for",
		func(change func(in *planner.Input)) {
			Expect(plan(1900*clock.Millisecond, change)).To(BeZero())
			Expect(plan(2*clock.Second, change)).To(Equal(1))
			Expect(plan(clock.Hour, change)).To(Equal(1))
		},
		Entry("a single rack", func(in *planner.Input) { in.Units[0].SameRack, in.Units[0].Estimate = true, 24*clock.Hour }),
		Entry("the rack of its data", func(in *planner.Input) { in.Units[0].DataRack, in.Units[0].Estimate = "r0", 24*clock.Hour }),
		Entry("nodes reserved for another gang", func(in *planner.Input) {
			wide := in.Units[0]
			wide.Priority, wide.Count, wide.Waited = 0, 19, 0
			in.Units = append(in.Units, wide)
		}),
		Entry("nodes that were recently slow", func(in *planner.Input) {
			for n := range in.Nodes {
				in.Nodes[n].Slow = n > 3
			}
		}),
		Entry("nodes that have recently failed tasks", func(in *planner.Input) {
			for n := range in.Nodes {
				in.Nodes[n].Suspect = n > 3
			}
		}),
		Entry("nodes that are not in quarantine", func(in *planner.Input) {
			for n := range in.Nodes {
				in.Nodes[n].Quarantined = n > 3
			}
		}),
		Entry("nodes other than those where its tasks have failed", func(in *planner.Input) {
			in.Units[0].Avoid = make(map[int]bool)
			for n := range in.Nodes {
				in.Units[0].Avoid[n] = n%4 > 1 || n > 7
			}
		}),
	)

	It("is started on healthy nodes if its next failure fails the job and failing nodes are free as well", func() {
		Expect(plan(2*clock.Second, func(in *planner.Input) {
			in.Units[0].LastAttempt, in.Units[0].SameRack = true, true
			for n := range in.Nodes {
				in.Nodes[n].Suspect = n > 7
			}
		})).To(Equal(1))
	})

	DescribeTable("is not started if its next failure fails the job, on nodes that",
		func(fail func(node *planner.Node)) {
			Expect(plan(clock.Hour, func(in *planner.Input) {
				in.Units[0].LastAttempt = true
				for n := 4; n < len(in.Nodes); n++ {
					fail(&in.Nodes[n])
				}
			})).To(BeZero())
		},
		Entry("have recently failed tasks", func(node *planner.Node) { node.Suspect = true }),
		Entry("are in quarantine", func(node *planner.Node) { node.Quarantined = true }),
	)

	DescribeTable("is started however full the service is, if it runs until its job is cancelled, and was waiting for",
		func(change func(in *planner.Input)) {
			for _, c := range []struct {
				waited  clock.Millis
				lasting bool
				starts  int
			}{{1900 * clock.Millisecond, true, 0}, {2 * clock.Second, true, 1}, {clock.Hour, false, 0}} {
				Expect(plan(c.waited, func(in *planner.Input) {
					for n := range in.Nodes {
						if n%4 < 3 {
							in.Nodes[n].Free, in.Nodes[n].FreeSoon = planner.Shape{}, planner.Shape{}
						}
					}
					u := &in.Units[0]
					u.Gang, u.Count, u.TasksOnNode, u.Lasting = false, 1, map[int]int{0: 1}, c.lasting
					change(in)
				})).To(Equal(c.starts), "lasting: %v, after %d ms", c.lasting, c.waited)
			}
		},
		Entry("nodes reserved for a gang", func(in *planner.Input) {
			in.Units = append(in.Units, planner.Unit{Service: "svc", Shape: wholeWorkerTask, Count: 19, Gang: true})
		}),
		Entry("nodes kept free for urgent work", func(in *planner.Input) { in.Headroom = map[string]int{"svc": 192} }),
		Entry("the rack of its data", func(in *planner.Input) {
			in.Units[0].DataRack, in.Units[0].Estimate = "r0", 24*clock.Hour
			in.Nodes[3].Free = planner.Shape{}
		}),
	)

	It("keeps waiting for a single rack if there is no room for it twice over", func() {
		Expect(plan(2*clock.Second, func(in *planner.Input) {
			in.Units[0].SameRack = true
			for n := range in.Nodes {
				in.Nodes[n].Usable = n < 9
			}
		})).To(BeZero())
	})
})

// roomLeft returns how many tasks of a unit fit into what a plan leaves free on the nodes that are not
// ruled out for it.
func roomLeft(in planner.Input, out planner.Output, u planner.Unit) int {
	free := make([]planner.Shape, len(in.Nodes))
	for n := range in.Nodes {
		free[n] = in.Nodes[n].Free
	}
	for _, start := range out.Starts {
		for _, n := range start.Nodes {
			free[n] = free[n].Sub(in.Units[start.Unit].Shape)
		}
	}
	room := 0
	for n := range in.Nodes {
		node := &in.Nodes[n]
		if !node.Usable || node.Service != u.Service || (u.Label != "" && u.Label != node.Labels[0]) || ((node.Suspect || node.Quarantined) && u.LastAttempt) {
			continue
		}
		slots := free[n].Slots(u.Shape)
		if u.PerWorker > 0 {
			slots = min(slots, u.PerWorker-u.TasksOnNode[n])
		}
		room += max(slots, 0)
	}
	return room
}

// randomInput returns a random plan's input: units with all kinds of wishes on nodes in all states,
// and nothing that is being stopped.
func randomInput(random *rand.Rand) planner.Input {
	s := newCluster(2+random.IntN(5), 1+random.IntN(8))
	in, _, _ := s.input()
	chance := func(n int) bool { return random.IntN(n) == 0 }
	for n := range in.Nodes {
		node := &in.Nodes[n]
		node.Labels, node.Speed = []string{fmt.Sprint("l", random.IntN(3))}, 1
		node.Usable, node.Suspect, node.Slow, node.Quarantined = !chance(10), chance(6), chance(6), chance(6)
		for range random.IntN(9) {
			node.Free = node.Free.Sub(planner.Shape{Cores: 1000 * random.IntN(4), Memory: 1000, Accels: random.IntN(2)})
		}
		node.FreeSoon = node.Free
	}
	in.Headroom = map[string]int{"svc": random.IntN(8 * len(in.Nodes))}
	for range 1 + random.IntN(12) {
		u := planner.Unit{
			Service: "svc", Priority: random.IntN(3), Guaranteed: chance(6), Gang: chance(2), SameRack: chance(2), LastAttempt: chance(4),
			Shape: planner.Shape{Cores: 1000 * (1 + random.IntN(8)), Memory: 1000 * (1 + random.IntN(8)), Accels: 1 << random.IntN(4)},
			Count: 1 + random.IntN(16), Estimate: clock.Millis(random.IntN(60000)), Waited: clock.Millis(random.IntN(8000)),
			Rank: clock.Millis(random.IntN(60000)), Late: chance(4), Hopeless: chance(6), MaxLoss: float64(1000 * random.IntN(2)),
			Avoid: make(map[int]bool),
		}
		if chance(3) {
			u.DataRack = fmt.Sprint("r", random.IntN(4))
		}
		if chance(4) {
			u.Label = "l1"
		}
		if chance(4) {
			u.PerWorker = 1 + random.IntN(2)
		}
		for range random.IntN(4) {
			u.Avoid[random.IntN(len(in.Nodes))] = true
		}
		in.Units = append(in.Units, u)
	}
	return in
}

var _ = Describe("a plan of any work on workers in any state", func() {
	It("leaves no unit that has waited for 2 s without a start while there is room for it twice over and under half is in use", func() {
		const plans = 20000
		checked := 0
		for seed := range uint64(plans) {
			in := randomInput(rand.New(rand.NewPCG(seed, 28)))
			used, total := 0, 0
			for n := range in.Nodes {
				if node := &in.Nodes[n]; node.Usable {
					used += node.Capacity.Accels - node.Free.Accels
					total += node.Capacity.Accels
				}
			}
			if 2*used >= total {
				continue
			}
			out := planner.Plan(in)
			for _, i := range out.Blocked {
				u := in.Units[i]
				if u.Waited < 2*clock.Second {
					continue
				}
				required := 1
				if u.Gang {
					required = u.Count
				}
				checked++
				Expect(roomLeft(in, out, u)).To(BeNumerically("<", 2*required), "seed %d, unit %d: %+v", seed, i, u)
			}
		}
		Expect(checked).To(BeNumerically(">", plans/20))
	})
})
