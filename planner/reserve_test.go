package planner_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/planner"
)

// These tests guard against reservations and headroom that keep too much capacity idle. Gangs
// need a whole rack, but some workers of each rack are busy for a long time, and small tasks could
// run at once.
var _ = Describe("capacity that is reserved for waiting work", func() {
	smallTask := planner.Shape{Cores: 1000, Memory: 1000, Accels: 1}
	wholeWorkerTask := planner.Shape{Cores: 8000, Memory: 1000, Accels: 8}

	// startedTasks returns the number of small tasks that start on six racks of four workers each.
	// busy is the number of workers in each rack that are fully occupied, and gangs the number
	// of waiting gangs.
	startedTasks := func(busy, gangs, headroom int) int {
		s := newCluster(6, 4)
		s.headroom = headroom
		in, _, _ := s.input()
		for n := range in.Nodes {
			if n%4 < busy {
				in.Nodes[n].Free, in.Nodes[n].FreeSoon = planner.Shape{}, planner.Shape{}
			}
		}
		for range gangs {
			in.Units = append(in.Units, planner.Unit{Service: "svc", Priority: 1, Shape: wholeWorkerTask, Count: 4, Gang: true, SameRack: true, Estimate: clock.Minute})
		}
		in.Units = append(in.Units, planner.Unit{Service: "svc", Priority: 2, Shape: smallTask, Count: 200})
		tasks := 0
		for _, x := range planner.Plan(in).Starts {
			tasks += len(x.Nodes)
		}
		return tasks
	}

	DescribeTable("leaves for small tasks",
		func(busy, gangs, headroom, tasks int) { Expect(startedTasks(busy, gangs, headroom)).To(Equal(tasks)) },
		Entry("all free workers if nothing else waits", 1, 0, 0, 18*8),
		Entry("all but one rack while less than half is in use", 1, 4, 0, 15*8),
		Entry("all but four racks while half is in use", 2, 4, 0, 4*8),
		Entry("everything but a quarter of the service while less than half is in use, however much headroom is requested", 1, 0, 100, 18*8-48),
		Entry("everything but the requested headroom while half is in use", 2, 0, 64, 12*8-64),
	)

	It("as headroom, is available to a gang only after a long wait and while less than half is in use", func() {
		for _, c := range []struct {
			busy   int
			waited clock.Millis
			starts int
		}{{1, 1900, 0}, {1, 2000, 1}, {2, 2000, 0}} {
			s := newCluster(6, 4)
			s.headroom = 24 * 8
			in, _, _ := s.input()
			for n := range in.Nodes {
				if n%4 < c.busy {
					in.Nodes[n].Free, in.Nodes[n].FreeSoon = planner.Shape{}, planner.Shape{}
				}
			}
			in.Units = []planner.Unit{{Service: "svc", Priority: 1, Shape: wholeWorkerTask, Count: 13, Gang: true, Estimate: clock.Minute, Waited: c.waited}}
			if c.busy == 2 {
				in.Units[0].Count = 5
			}
			Expect(planner.Plan(in).Starts).To(HaveLen(c.starts), "%d of 4 busy, after %d ms", c.busy, c.waited)
		}
	})

	It("as headroom, is available to small tasks after a long wait while less than half is in use by weight", func() {
		s := newCluster(6, 4)
		s.headroom = 24 * 8
		in, _, _ := s.input()
		for n := range in.Nodes {
			// Five of the eight accelerators of each worker are in use, but few cores: 45 of 96 by
			// weight.
			in.Nodes[n].Free = in.Nodes[n].Free.Sub(smallTask.Times(5))
			in.Nodes[n].FreeSoon = in.Nodes[n].Free
		}
		for _, c := range []struct {
			waited clock.Millis
			tasks  int
		}{{1900, 0}, {2000, 1}} {
			in.Units = []planner.Unit{{Service: "svc", Priority: 2, Shape: smallTask, Count: 4, Waited: c.waited}}
			Expect(planner.Plan(in).Starts).To(HaveLen(c.tasks), "after %d ms", c.waited)
		}
	})

	It("is reported as the obstacle of stuck tasks", func() {
		s := newCluster(2, 2)
		in, _, _ := s.input()
		for n := range in.Nodes {
			in.Nodes[n].Free, in.Nodes[n].FreeSoon = planner.Shape{}, planner.Shape{}
		}
		in.Nodes[1].Free, in.Nodes[1].FreeSoon = in.Nodes[1].Capacity, in.Nodes[1].Capacity
		in.Nodes[3].Free, in.Nodes[3].FreeSoon = in.Nodes[3].Capacity, in.Nodes[3].Capacity
		in.Nodes[3].Suspect = true
		in.StuckAfter = 3 * clock.Second
		gang := planner.Unit{Service: "svc", Priority: 1, Shape: wholeWorkerTask, Count: 2, Gang: true, SameRack: true, Estimate: clock.Minute}
		small := planner.Unit{Service: "svc", Priority: 2, Shape: smallTask, Count: 1, Waited: 3 * clock.Second, LastAttempt: true}
		recent := small
		recent.Waited = 2 * clock.Second
		in.Units = []planner.Unit{gang, small, recent}
		Expect(planner.Plan(in).Stuck).To(Equal([]planner.Stuck{{Unit: 1, Cause: planner.CauseReserved, Usage: 0.5, Reserved: 8, Unhealthy: 8}}))
	})

	It("is limited by the use of cores where workers have no accelerators", func() {
		s := newCluster(6, 4)
		for n := range s.nodes {
			s.nodes[n].Capacity.Accels = 0
		}
		in, _, _ := s.input()
		for n := range in.Nodes {
			if n%4 == 0 {
				in.Nodes[n].Free, in.Nodes[n].FreeSoon = planner.Shape{}, planner.Shape{}
			}
		}
		for range 4 {
			in.Units = append(in.Units, planner.Unit{Service: "svc", Priority: 1, Shape: in.Nodes[1].Capacity, Count: 4, Gang: true, SameRack: true, Estimate: clock.Minute})
		}
		in.Units = append(in.Units, planner.Unit{Service: "svc", Priority: 2, Shape: planner.Shape{Cores: 1000, Memory: 1000}, Count: 2000})
		starts := planner.Plan(in).Starts
		Expect(starts).To(HaveLen(1))
		Expect(starts[0].Nodes).To(HaveLen(15*32), "one rack is reserved")
	})

	It("is used rack by rack", func() {
		s := newCluster(3, 2)
		in, _, _ := s.input()
		in.Nodes[4].Free = in.Nodes[4].Capacity.Sub(wholeWorkerTask)
		in.Units = []planner.Unit{{Service: "svc", Priority: 2, Shape: smallTask, Count: 8}}
		starts := planner.Plan(in).Starts
		Expect(starts).To(HaveLen(1))
		Expect(starts[0].Nodes).To(HaveEach(5), "the rack that is already in use is filled first")
	})
})
