package planner_test

import (
	"fmt"
	"math"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/planner"
)

// The load is one piece of work on each node, which leaves nothing of it free, and one waiting unit.
var _ = Describe("the work that is evicted for a guaranteed unit", func() {
	whole := planner.Shape{Cores: 32000, Accels: 8}
	cores := planner.Shape{Cores: 32000}
	evictions := func(unit planner.Unit, running ...planner.RunningWork) []int {
		unit.Service, unit.Count, unit.MaxLoss = "svc", 1, 1e9
		in := planner.Input{Units: []planner.Unit{unit}, Running: running}
		for i := range running {
			running[i].Nodes = []int{i}
			free := whole.Sub(running[i].Shape)
			in.Nodes = append(in.Nodes, planner.Node{ID: fmt.Sprint(i), Service: "svc", Rack: "r", Capacity: whole, Free: free, FreeSoon: free, Usable: true})
		}
		return planner.Plan(in).Evict
	}

	// Guards against work whose loss is overestimated, so that no guarantee can take its room back.
	DescribeTable("may lose any amount",
		func(loss float64) {
			Expect(evictions(planner.Unit{Guaranteed: true, Shape: whole}, planner.RunningWork{Priority: 1, Shape: whole, Loss: loss})).To(Equal([]int{0}))
		},
		Entry("more than MaxLoss", 2e9), Entry("300,000 years of a worker", 1e15), Entry("as much as can be counted", math.MaxFloat64),
	)

	// Guards against work without accelerators that holds all cores under a guarantee of accelerators.
	DescribeTable("includes work without accelerators",
		func(shape planner.Shape, runningShape planner.Shape, victims ...int) {
			Expect(evictions(planner.Unit{Guaranteed: true, Shape: shape}, planner.RunningWork{Guaranteed: true, Shape: runningShape})).To(HaveExactElements(victims))
		},
		Entry("if the unit needs some", planner.Shape{Cores: 1000, Accels: 1}, cores, 0),
		Entry("not if the unit needs none either", planner.Shape{Cores: 1000}, cores),
		Entry("not if the work has some", planner.Shape{Cores: 1000, Accels: 1}, whole),
	)

	// Guards against two units that take a node from each other in turn.
	It("is not served before the unit that it made way for", func() {
		out := planner.Plan(planner.Input{
			Nodes: []planner.Node{{ID: "n", Service: "svc", Rack: "r", Capacity: whole, Free: whole, FreeSoon: whole, Usable: true}},
			Units: []planner.Unit{
				{Service: "svc", Guaranteed: true, Shape: cores, Count: 1},
				{Service: "svc", Guaranteed: true, Shape: planner.Shape{Cores: 1000, Accels: 1}, Count: 1},
			},
		})
		Expect(out.Starts).To(Equal([]planner.Start{{Unit: 1, Nodes: []int{0}}}))
	})
})
