package controller_test

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// completeUnderestimated completes jobs that take five times as long as declared, and differ in their run times.
func (i *instance) completeUnderestimated() {
	GinkgoHelper()
	for n := range 4 {
		short := step(1)
		short.Estimate = []clock.Millis{20, 200}[n%2]
		i.submit(jobID(100+n), workflow.Spec{Payload: fmt.Sprintf("ms=%d", 5*short.Estimate), Steps: []workflow.Step{short}})
	}
	for n := range 4 {
		Eventually(func() workflow.State { return i.state(jobID(100 + n)) }, shortTimeout).Should(Equal(workflow.Completed))
	}
}

var _ = Describe("a stored job with the largest figures", func() {
	const largest = math.MaxInt64

	// Guards against a leader that panics in its plan, as each later one does, when a predicted run time overflows.
	DescribeTable("keeps no leader from running other jobs",
		func(change func(*workflow.Step)) {
			c := newCluster(1)
			i := c.startInstance(nil)
			Eventually(i.isLeader, shortTimeout).Should(BeTrue())
			i.completeUnderestimated()
			odd, short := step(8), step(1)
			// No worker has as many, so the job waits. The second step decides when it becomes late.
			odd.Accels, short.Accels, short.Estimate = 64, 64, 20
			change(&odd)
			c.storeJob(jobID(2), "", queues.Queues[1], workflow.Spec{Payload: "ms=20", Steps: []workflow.Step{odd, short}})
			time.Sleep(time.Second)
			for n := range 3 {
				i.completeJob(jobID(3 + n))
			}
			i.election.Resign(GinkgoT().Context())
			next := c.startInstance(nil)
			Eventually(next.isLeader, shortTimeout).Should(BeTrue())
			next.completeJob(jobID(9))
			Expect(c.starts(jobID(2) + ".0.0.0")).To(BeEmpty())
		},
		Entry("in the estimated run time", func(s *workflow.Step) { s.Estimate = largest }),
		Entry("in the cores", func(s *workflow.Step) { s.Cores = largest }),
		Entry("in the memory", func(s *workflow.Step) { s.Memory = largest }),
		Entry("in the accelerators", func(s *workflow.Step) { s.Accels = largest }),
		Entry("in the accelerators of a gang", func(s *workflow.Step) { s.Accels, s.Gang, s.SameRack = largest, true, true }),
		Entry("in the tasks for each worker", func(s *workflow.Step) { s.PerWorker = largest }),
		Entry("in all fields", func(s *workflow.Step) {
			*s = workflow.Step{Count: workflow.MaxTasks, Cores: largest, Memory: largest, Accels: largest, Estimate: largest, PerWorker: largest, DisruptionBudget: largest}
		}),
	)
})

var _ = Describe("a stored job with the largest times", func() {
	// Guards against a time that overflows, so that an occurrence starts long before it is due.
	DescribeTable("starts no occurrence before its time",
		func(first, interval clock.Millis, due int) {
			c := newCluster(1)
			i := c.startInstance(nil)
			Eventually(i.isLeader, shortTimeout).Should(BeTrue())
			c.storeJob(jobID(1), "", queues.Queues[1], workflow.Spec{Payload: "ms=20", Occurrences: 3, First: first, Interval: interval, Steps: []workflow.Step{step(1)}})
			Eventually(func() bool { _, known := i.board.Find(jobID(1)); return known }, shortTimeout).Should(BeTrue())
			i.completeJob(jobID(2))
			started := func() int {
				n := 0
				for k := range 3 {
					n += len(c.starts(fmt.Sprintf("%s.%d.0.0", jobID(1), k)))
				}
				return n
			}
			Eventually(started, shortTimeout).Should(Equal(due))
			Consistently(started, 500*time.Millisecond).Should(Equal(due))
		},
		Entry("if the first is due at the last moment", clock.Millis(math.MaxInt64), clock.Millis(0), 0),
		Entry("if the interval is the longest", clock.Millis(1), clock.Millis(math.MaxInt64), 1),
		Entry("if both are the largest", clock.Millis(math.MaxInt64), clock.Millis(math.MaxInt64), 0),
	)
})
