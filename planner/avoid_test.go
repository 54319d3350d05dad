package planner_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/planner"
)

// Guards against tasks that wait forever on a small installation because tasks of their step have
// failed once on each of its workers.
var _ = DescribeTable("nodes where tasks of a unit have failed",
	func(unit planner.Unit, avoid []int, want []int) {
		s := newCluster(1, 4)
		unit.Service, unit.Shape, unit.Avoid = "svc", planner.Shape{Accels: 8}, make(map[int]bool)
		for _, n := range avoid {
			unit.Avoid[n] = true
		}
		in, _, _ := s.input()
		in.Units = []planner.Unit{unit}
		out := planner.Plan(in)
		Expect(out.Starts).To(HaveLen(1))
		Expect(out.Starts[0].Nodes).To(ConsistOf(want))
		Expect(unit.Avoid).To(HaveLen(len(avoid)), "the input is unchanged")
	},
	Entry("are not used while others are there", planner.Unit{Count: 1}, []int{0, 1, 2}, []int{3}),
	Entry("are used if tasks have failed on all nodes", planner.Unit{Count: 1}, []int{0, 1, 2, 3}, []int{0}),
	Entry("are not used by some tasks while the rest of the unit has to wait", planner.Unit{Count: 3}, []int{0, 1}, []int{2, 3}),
	Entry("are used by a gang that does not fit on the others", planner.Unit{Count: 3, Gang: true}, []int{0, 1}, []int{0, 1, 2}),
)
