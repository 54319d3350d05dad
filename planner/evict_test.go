package planner_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/planner"
)

// Guards against gangs that save their progress, so that stopping them looks free, and that are
// evicted again and again until their job is late: it then waits behind all work that is in time.
var _ = DescribeTable("of two gangs that an urgent unit could evict, the one goes",
	func(first, second planner.RunningWork, want int) {
		s := newCluster(1, 2)
		in, _, _ := s.input()
		whole := planner.Shape{Accels: 8}
		for n, work := range []planner.RunningWork{first, second} {
			work.Priority, work.Shape, work.Nodes = 1, whole, []int{n}
			in.Running = append(in.Running, work)
			in.Nodes[n].Free, in.Nodes[n].FreeSoon = planner.Shape{}, planner.Shape{}
		}
		in.Units = []planner.Unit{{Service: "svc", Shape: whole, Count: 1, MaxLoss: 1e6}}
		Expect(planner.Plan(in).Evict).To(Equal([]int{want}))
	},
	Entry("that loses less", planner.RunningWork{Loss: 30, Slack: 9 * clock.Second}, planner.RunningWork{Loss: 20, Slack: 9 * clock.Second}, 1),
	Entry("that can wait", planner.RunningWork{Loss: 10, Work: 400, Slack: clock.Second}, planner.RunningWork{Loss: 20, Work: 400, Slack: 9 * clock.Second}, 1),
	Entry("that is late in any case", planner.RunningWork{Loss: 10, Work: 400, Slack: 0}, planner.RunningWork{Loss: 20, Work: 400, Slack: -1}, 1),
	Entry("that becomes late but has little work", planner.RunningWork{Loss: 10, Work: 20, Slack: 0}, planner.RunningWork{Loss: 300, Work: 400, Slack: 9 * clock.Second}, 0),
)
