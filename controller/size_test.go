package controller_test

import (
	"runtime"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/intake"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// heapInUse returns the number of bytes that are in use after a garbage collection.
func heapInUse() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

var _ = Describe("a job of the largest size", func() {
	// maxHeap is an eighth of the memory of a small instance.
	const maxHeap = 16 << 20

	// Guards against a leader that keeps all tasks of a job in memory that one request of a few hundred bytes asks for.
	DescribeTable("takes little memory of the leader and leaves room for other jobs",
		func(spec workflow.Spec) {
			c, i := newClusterWithLeader(1, lease)
			before := heapInUse()
			i.submit(jobID(2), spec)
			for n := range 3 {
				i.completeJob(jobID(3 + n))
			}
			Expect(heapInUse() - before).To(BeNumerically("<", maxHeap))
			Expect(c.workers[0].Running()).To(BeZero())
		},
		Entry("with all occurrences due at once", workflow.Spec{
			Payload: "ms=60000", Occurrences: workflow.MaxOccurrences, First: 1700000000, Interval: 60000, Steps: manySteps(3, 94),
		}),
		Entry("with many steps in each of many occurrences", workflow.Spec{
			Payload: "ms=60000", Occurrences: workflow.MaxOccurrences, First: 1, Steps: manySteps(workflow.MaxSteps, 1),
		}),
		Entry("with all tasks of all steps", workflow.Spec{Payload: "ms=60000", Steps: manySteps(workflow.MaxSteps, workflow.MaxTasks)}),
	)

	// Guards against one call, with its buffers and its connection, for each run that a cancellation stops.
	It("is stopped by a bounded number of calls at a time when it is cancelled", func() {
		const tasks = 800
		c, i := newClusterWithLeader(2, 15*clock.Second)
		i.set(func(h *hooks) { h.stopAnswerDelay = 200 * time.Millisecond })
		i.submit(jobID(2), workflow.Spec{Payload: "ms=60000", Steps: []workflow.Step{{Count: tasks, Cores: 1}}})
		running := func() int { return c.workers[0].Running() + c.workers[1].Running() }
		Eventually(running, 20*time.Second).Should(Equal(tasks))
		grant, refusal := i.handler.Admit(intake.Call{Host: "h", Path: "/b/" + jobID(2)})
		Expect(refusal).To(BeNil())
		Expect(i.handler.Cancel(GinkgoT().Context(), grant).Verdict).To(Equal(intake.OK))
		Eventually(running, 10*time.Second).Should(BeZero())
		i.set(func(h *hooks) { Expect(h.mostStops).To(BeNumerically("<=", 128)) })
	})

	// Guards against occurrences or tasks that are forgotten or run twice once their job has too many to list all.
	DescribeTable("runs each of its tasks once, also under a later leader, and records little of those that are done",
		func(spec workflow.Spec) {
			const count = 1500
			c, i := newClusterWithLeader(1, lease)
			i.submit(jobID(2), spec)
			done := func() int {
				v, _ := i.board.Find(jobID(2))
				n := v.Progress.DoneBefore
				for _, p := range v.Progress.Parts {
					n += len(p.DoneTasks())
				}
				return n
			}
			Eventually(done, time.Minute).Should(BeNumerically(">", 300))
			i.election.Resign(GinkgoT().Context())
			next := c.startInstance(nil)
			Eventually(func() workflow.State { return next.state(jobID(2)) }, time.Minute).Should(Equal(workflow.Completed))
			tasks := make(map[string]int)
			for _, s := range c.workers[0].Starts() {
				tasks[s.Task]++
			}
			Expect(tasks).To(HaveLen(count + 1))
			for task, starts := range tasks {
				Expect(starts).To(Equal(1), task)
			}
			v, _ := next.board.Find(jobID(2))
			Expect(len(workflow.Encode(v.Progress))).To(BeNumerically("<", 4096))
		},
		Entry("with 1500 occurrences", workflow.Spec{Payload: "ms=1", Occurrences: 1500, First: 1, Steps: []workflow.Step{{Count: 1, Cores: 1}}}),
		Entry("with 1500 tasks", workflow.Spec{Payload: "ms=1", Steps: []workflow.Step{{Count: 1500, Cores: 1}}}),
	)
})

// manySteps returns independent steps of tasks that no worker can run.
func manySteps(steps, tasks int) []workflow.Step {
	list := make([]workflow.Step, steps)
	for i := range list {
		list[i] = workflow.Step{Count: tasks, Cores: 1000, Memory: 100, Accels: 1000, Estimate: 60000}
	}
	return list
}
