package controller_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/platform/platformtest"
	"github.com/chestnutsail/chestnutsail/site"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// configure changes the queue "batch" in a new version of the configuration. A nil change removes the queue.
func (c *cluster) configure(change func(*site.Queue)) {
	next := *c.config.Load()
	next.Version++
	next.Queues = slices.Clone(next.Queues)
	if change == nil {
		next.Queues = next.Queues[:1]
	} else {
		change(&next.Queues[1])
	}
	c.config.Store(&next)
}

func (c *cluster) addWorkerOf(service, id string) {
	c.startWorker(platformtest.WorkerOptions{ID: id, Service: service})
}

var _ = Describe("a new version of the configuration", func() {
	toOther := func(q *site.Queue) { q.Service = "other" }

	// Guards against accepted jobs that wait forever for the service that their queue had at their acceptance.
	DescribeTable("moves accepted jobs to the service that it sends their queue to",
		func(spec workflow.Spec) {
			c := newCluster(0)
			c.addWorkerOf("other", "i-1")
			i := c.startInstance(nil)
			Eventually(i.isLeader, shortTimeout).Should(BeTrue())
			i.submit(jobID(1), spec)
			Consistently(c.workers[0].Starts, 300*time.Millisecond).Should(BeEmpty())
			c.configure(toOther)
			Eventually(func() workflow.State { return i.state(jobID(1)) }, shortTimeout).Should(Equal(workflow.Completed))
		},
		Entry("with one task", workflow.Spec{Payload: "ms=20", Steps: []workflow.Step{step(1)}}),
		Entry("with a gang", workflow.Spec{Payload: "ms=20 gang=3", Steps: []workflow.Step{{Count: 3, Cores: 100, Memory: 1, Gang: true}}}),
		Entry("with several steps", workflow.Spec{Payload: "ms=20", Steps: []workflow.Step{step(1), {Count: 1, Cores: 100, Memory: 1, After: []int{0}}}}),
		Entry("with occurrences", workflow.Spec{Payload: "ms=20", Steps: []workflow.Step{step(1)}, Occurrences: 3, First: 1, Interval: 1}),
	)

	// Guards against runs that are lost with the worker of the former service.
	It("moves the tasks that run on the former service when their worker drains", func() {
		c := newCluster(1)
		c.addWorkerOf("other", "i-1")
		i := c.startInstance(nil)
		Eventually(i.isLeader, shortTimeout).Should(BeTrue())
		i.submit(jobID(1), workflow.Spec{Payload: "ms=60000", Steps: []workflow.Step{step(2)}})
		Eventually(c.workers[0].Running, shortTimeout).Should(Equal(2))
		c.configure(toOther)
		Consistently(c.workers[0].Running, 300*time.Millisecond).Should(Equal(2))
		c.workers[0].Drain(100 * time.Millisecond)
		Eventually(c.workers[1].Running, shortTimeout).Should(Equal(2))
	})

	// Guards against a leader that falls back to the service of the acceptance once the queue is gone.
	It("is still followed by a later leader after the queue was removed", func() {
		c := newCluster(1)
		i := c.startInstance(nil)
		Eventually(i.isLeader, shortTimeout).Should(BeTrue())
		spec := workflow.Spec{Payload: "ms=20", Steps: []workflow.Step{step(1)}}
		spec.Steps[0].Label = "r9"
		i.submit(jobID(1), spec)
		c.configure(toOther)
		Eventually(func() *workflow.Policy {
			v, _ := i.board.Find(jobID(1))
			return v.Progress.Policy
		}, shortTimeout).Should(HaveField("Service", "other"))
		c.configure(nil)
		i.election.Resign(GinkgoT().Context())
		next := c.startInstance(nil)
		Eventually(next.isLeader, shortTimeout).Should(BeTrue())
		c.startWorker(platformtest.WorkerOptions{ID: "i-2", Rack: "r9"})
		Consistently(c.workers[1].Starts, 400*time.Millisecond).Should(BeEmpty())
		c.startWorker(platformtest.WorkerOptions{ID: "i-3", Rack: "r9", Service: "other"})
		Eventually(func() workflow.State { return next.state(jobID(1)) }, shortTimeout).Should(Equal(workflow.Completed))
	})

	// Guards against a leader that is behind and places new jobs on the service of an older version.
	It("is followed for the jobs that were accepted by it, also by a leader that does not know it yet", func() {
		c := newCluster(1)
		c.addWorkerOf("other", "i-1")
		c.storeRecord(jobID(1), workflow.Record{
			Queue: "batch", Policy: workflow.Policy{Version: queues.Version + 1, Service: "other", Attempts: 2},
			Spec: workflow.Spec{Payload: "ms=20", Steps: []workflow.Step{step(1)}},
		})
		i := c.startInstance(nil)
		Eventually(func() workflow.State { return i.state(jobID(1)) }, shortTimeout).Should(Equal(workflow.Completed))
		Expect(c.workers[0].Starts()).To(BeEmpty())
	})

	// Guards against a bound on failures, or a priority, that is that of the acceptance for as long as a job waits.
	It("changes the attempts and the priority of accepted jobs", func() {
		c := newCluster(1)
		c.configure(func(q *site.Queue) { q.Attempts = 100000 })
		i := c.startInstance(nil)
		Eventually(i.isLeader, shortTimeout).Should(BeTrue())
		whole := workflow.Step{Count: 1, Cores: 1000, Memory: 100, Accels: 8, Estimate: 100}
		i.submit(jobID(1), workflow.Spec{Payload: "ms=20 fails=1000", Steps: []workflow.Step{whole}})
		Eventually(func() int { return len(c.workers[0].Starts()) }, shortTimeout).Should(BeNumerically(">", 2))
		c.configure(func(q *site.Queue) { q.Attempts, q.Priority = 2, 0 })
		Eventually(func() workflow.State { return i.state(jobID(1)) }, shortTimeout).Should(Equal(workflow.Failed))
	})

	It("is not recorded with jobs that it does not change", func() {
		c := newCluster(0)
		i := c.startInstance(nil)
		Eventually(i.isLeader, shortTimeout).Should(BeTrue())
		i.submit(jobID(1), workflow.Spec{Payload: "ms=20", Steps: []workflow.Step{step(1)}})
		c.configure(func(*site.Queue) {})
		Consistently(func() uint64 {
			v, _ := i.board.Find(jobID(1))
			return v.Version
		}, 500*clock.Millisecond.Duration()).Should(BeZero())
	})
})
