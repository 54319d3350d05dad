package planner_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/planner"
)

// Package platform accepts no larger capacity.
const largestCapacity = 1 << 30

var _ = Describe("workers whose capacity is absurd", func() {
	DescribeTable("do not keep work from the others",
		func(amount int) {
			s := newCluster(4, 4)
			absurd := planner.Shape{Cores: amount, Memory: amount, Accels: amount}
			for n := range 1000 {
				s.nodes = append(s.nodes, planner.Node{ID: fmt.Sprint("x/", n), Service: "svc", Rack: fmt.Sprint("x", n%10), Capacity: absurd, Usable: true})
			}
			in, _, _ := s.input()
			gang := planner.Unit{
				Service: "svc", Priority: 2, Shape: planner.Shape{Cores: 8000, Memory: 8000, Accels: 8}, Count: 4, Gang: true, SameRack: true,
				Estimate: clock.Minute, Waited: clock.Second,
			}
			small := planner.Unit{Service: "svc", Shape: planner.Shape{Cores: 1000, Memory: 100, Accels: 1}, Count: 8, Estimate: clock.Second}
			in.Units = []planner.Unit{gang, small, gang, small, gang}
			in.Headroom = map[string]int{"svc": 16}
			out := planner.Plan(in)
			Expect(out.Starts).To(HaveLen(len(in.Units)))
			used := 0
			for _, start := range out.Starts {
				Expect(start.Nodes).To(HaveLen(in.Units[start.Unit].Count))
				for _, n := range start.Nodes {
					if n < 16 {
						used++
					}
				}
			}
			Expect(used).To(BeNumerically(">=", 16), "nodes with few accelerators are preferred")
		},
		Entry("when it is the largest", largestCapacity),
		Entry("when it is none", 0),
	)
})
