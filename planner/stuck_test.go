package planner_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/planner"
)

// Guards against a report of stuck work that leaves open why it waits.
var _ = Describe("the report of stuck work", func() {
	wholeWorkerTask := planner.Shape{Cores: 8000, Memory: 1000, Accels: 8}

	DescribeTable("names the cause",
		func(change func(in *planner.Input), want planner.Cause) {
			s := newCluster(6, 4)
			in, _, _ := s.input()
			for n := range in.Nodes {
				if n%4 < 2 {
					in.Nodes[n].Free, in.Nodes[n].FreeSoon = planner.Shape{}, planner.Shape{}
				}
			}
			in.StuckAfter = 3 * clock.Second
			in.Units = []planner.Unit{{Service: "svc", Priority: 1, Shape: wholeWorkerTask, Count: 4, Gang: true, Estimate: clock.Minute, Waited: 3 * clock.Second}}
			change(&in)
			stuck := planner.Plan(in).Stuck
			Expect(stuck).To(HaveLen(1))
			Expect(stuck[0].Cause).To(Equal(want))
			Expect(stuck[0].Usage).To(Equal(0.5))
		},
		Entry("a single rack", func(in *planner.Input) { in.Units[0].SameRack = true }, planner.CauseRack),
		Entry("the rack of the data", func(in *planner.Input) { in.Units[0].DataRack = "r0" }, planner.CauseData),
		Entry("headroom", func(in *planner.Input) { in.Headroom = map[string]int{"svc": 96} }, planner.CauseHeadroom),
		Entry("unhealthy nodes", func(in *planner.Input) {
			for n := range in.Nodes {
				in.Nodes[n].Slow = n > 3
			}
		}, planner.CauseUnhealthy),
		Entry("nodes where its tasks have failed", func(in *planner.Input) {
			in.Units[0].Avoid = make(map[int]bool)
			for n := range in.Nodes {
				in.Units[0].Avoid[n] = n%4 >= 2
			}
		}, planner.CauseAvoided),
	)
})
