package planner_test

import (
	"math"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/planner"
)

var _ = Describe("a unit that no worker could hold", func() {
	node := func(service string, cores, accels int) planner.Node {
		capacity := planner.Shape{Cores: cores, Memory: 1000, Accels: accels}
		return planner.Node{ID: service, Service: service, Rack: "r", Capacity: capacity, Free: capacity, FreeSoon: capacity, Usable: true}
	}

	DescribeTable("is told by what it requests",
		func(want bool, u planner.Unit) {
			closed := node("svc", 64000, 64)
			closed.Usable = false
			in := planner.Input{Nodes: []planner.Node{node("svc", 32000, 8), node("svc", 64000, 4), node("other", 64000, 16), closed}}
			u.Service = "svc"
			in.Units = []planner.Unit{u}
			Expect(in.Unplaceable()).To(Equal([]bool{want}))
		},
		Entry("the most accelerators that a worker has", false, planner.Unit{Count: 1, Shape: planner.Shape{Accels: 8}}),
		Entry("more accelerators than a worker has", true, planner.Unit{Count: 1, Shape: planner.Shape{Accels: 9}}),
		Entry("more cores than a worker has", true, planner.Unit{Count: 1, Shape: planner.Shape{Cores: 64001}}),
		Entry("more memory than a worker has", true, planner.Unit{Count: 1, Shape: planner.Shape{Memory: 1001}}),
		Entry("more tasks than fit at once", false, planner.Unit{Count: 100, Shape: planner.Shape{Accels: 4}}),
		Entry("a gang that fits on all workers together", false, planner.Unit{Count: 3, Gang: true, Shape: planner.Shape{Accels: 4}}),
		Entry("a gang that does not", true, planner.Unit{Count: 4, Gang: true, Shape: planner.Shape{Accels: 4}}),
		Entry("nothing", false, planner.Unit{Count: 100, Gang: true}),
		Entry("the largest figures", true, planner.Unit{Count: 4096, Gang: true, Shape: planner.Shape{Cores: 1 << 31, Memory: 1 << 31, Accels: 1 << 31}}),
	)

	// Guards against forecast room for work that never starts, for which all later work would be deferred.
	DescribeTable("defers no other unit",
		func(shape planner.Shape) {
			n := node("svc", 32000, 8)
			n.Free, n.FreeSoon = planner.Shape{}, planner.Shape{}
			out := planner.Plan(planner.Input{
				Nodes:   []planner.Node{n},
				Running: []planner.RunningWork{{Priority: 2, Shape: n.Capacity, Nodes: []int{0}, Left: clock.Second}},
				Units: []planner.Unit{
					{Service: "svc", Shape: shape, Count: 1, Estimate: clock.Second, Slack: clock.Minute, MaxLoss: 250},
					{Service: "svc", Priority: 2, Shape: planner.Shape{Accels: 8}, Count: 1, Estimate: clock.Second, Slack: 5 * clock.Second},
				},
			})
			Expect(out.Deferred).To(BeEmpty())
			Expect(out.Blocked).To(ConsistOf(0, 1))
		},
		Entry("with one accelerator too many", planner.Shape{Accels: 9}),
		Entry("with the most cores that a figure allows", planner.Shape{Cores: math.MaxInt32, Accels: 1}),
	)
})
