package planner_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/planner"
)

// Guards against work with nothing running although it could run: each reason to keep it waiting has
// to end within the 3 s that the platform allows while under half of the service is in use.
var _ = Describe("work that has waited for 2 s while under half of the service is in use", func() {
	wholeWorkerTask := planner.Shape{Cores: 8000, Memory: 1000, Accels: 8}

	// plan returns the number of starts of a gang of four that has waited, on six racks of four
	// workers of which one or more in each rack are full.
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
		Entry("nodes other than those where its tasks have failed", func(in *planner.Input) {
			in.Units[0].Avoid = make(map[int]bool)
			for n := range in.Nodes {
				in.Units[0].Avoid[n] = n%4 > 1 || n > 7
			}
		}),
	)

	It("is not started on nodes that have recently failed tasks if its next failure fails the job", func() {
		Expect(plan(clock.Hour, func(in *planner.Input) {
			in.Units[0].LastAttempt = true
			for n := range in.Nodes {
				in.Nodes[n].Suspect = n > 3
			}
		})).To(BeZero())
	})

	It("keeps waiting for a single rack if there is no room for it twice over", func() {
		Expect(plan(2*clock.Second, func(in *planner.Input) {
			in.Units[0].SameRack = true
			for n := range in.Nodes {
				in.Nodes[n].Usable = n < 9 || n%4 == 0
			}
		})).To(BeZero())
	})
})
