package controller_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/platform/platformtest"
	"github.com/chestnutsail/chestnutsail/workflow"
)

var _ = Describe("a worker whose new process has not written its entry yet", func() {
	type change = func(*platformtest.WorkerOptions)
	const long = 3 * clock.Second

	// start returns a cluster whose leader has run a task on the worker i-0, of the given kind, since it first answered.
	start := func() (*cluster, *instance, *platformtest.Worker) {
		c := newClusterWithLease(0, long)
		c.startWorker(platformtest.WorkerOptions{ID: "i-0", Kind: "big"})
		i := c.startInstance(nil)
		Eventually(i.isLeader, shortTimeout).Should(BeTrue())
		i.completeJob(jobID(1))
		return c, i, c.workers[0]
	}
	// learn makes the leader learn of the new process: a run is at work when it starts.
	learn := func(i *instance, w *platformtest.Worker, change change) {
		i.submit(jobID(2), workflow.Spec{Payload: "ms=60000", Steps: []workflow.Step{step(1)}})
		Eventually(w.Running, shortTimeout).Should(Equal(1))
		w.RestartAs(change)
		Eventually(func() int { return i.logged("controller: worker has restarted") }, shortTimeout).Should(Equal(1))
	}
	needsBig := step(1)
	needsBig.Label = "big"

	// Guards against work that is placed by the service, the labels or the room of the earlier process.
	DescribeTable("gets no work by the entry of the earlier one",
		func(change change, spec workflow.Step) {
			c, i, w := start()
			learn(i, w, change)
			before := len(w.Starts())
			i.submit(jobID(3), workflow.Spec{Payload: "ms=20", Steps: []workflow.Step{spec}})
			Consistently(func() int { return len(w.Starts()) }, time.Second).Should(Equal(before))
			w.Register("ready")
			Consistently(c.begun(3), 500*time.Millisecond).Should(BeZero())
		},
		Entry("if its label differs", func(o *platformtest.WorkerOptions) { o.Kind = "small" }, needsBig),
		Entry("if its service differs", func(o *platformtest.WorkerOptions) { o.Service = "other" }, step(1)),
		Entry("if its room differs", func(o *platformtest.WorkerOptions) { o.GPU = 1 }, workflow.Step{Count: 1, Cores: 1, Accels: 8}),
	)

	It("gets work once it has written its entry", func() {
		_, i, w := start()
		learn(i, w, func(o *platformtest.WorkerOptions) { o.Kind = "big" })
		w.Register("ready")
		i.submit(jobID(3), workflow.Spec{Payload: "ms=20", Steps: []workflow.Step{needsBig}})
		Eventually(func() workflow.State { return i.state(jobID(3)) }, shortTimeout).Should(Equal(workflow.Completed))
	})

	// Guards against a leader that was elected after the restart, and so has seen no other process.
	It("gets no work by the entry of the earlier one from a new leader", func() {
		c, i, w := start()
		i.election.Resign(GinkgoT().Context())
		w.RestartAs(func(o *platformtest.WorkerOptions) { o.Kind = "small" })
		next := c.startInstance(nil)
		Eventually(next.isLeader, shortTimeout).Should(BeTrue())
		next.submit(jobID(3), workflow.Spec{Payload: "ms=20", Steps: []workflow.Step{needsBig}})
		Consistently(c.begun(3), time.Second).Should(BeZero())
		c.startWorker(platformtest.WorkerOptions{ID: "i-9", Kind: "big"})
		Eventually(func() workflow.State { return next.state(jobID(3)) }, shortTimeout).Should(Equal(workflow.Completed))
		Expect(w.Starts()).To(HaveLen(1))
	})

	// Guards against copies of an order to the earlier process that go on to the new one.
	It("gets no further copy of an order that the earlier one left unanswered", func() {
		c, i, w := start()
		i.submit(jobID(2), workflow.Spec{Payload: "ms=60000", Steps: []workflow.Step{step(1)}})
		Eventually(w.Running, shortTimeout).Should(Equal(1))
		w.DelayStarts(time.Minute, 1000)
		i.submit(jobID(3), workflow.Spec{Payload: "ms=20", Steps: []workflow.Step{needsBig}})
		Eventually(func() int { return i.counted(`chestnutsail_retries_total{reason="order"}`) }, shortTimeout).Should(BeNumerically(">", 0))
		w.RestartAs(func(o *platformtest.WorkerOptions) { o.Kind = "small" })
		Eventually(func() int { return i.logged("controller: worker has restarted") }, shortTimeout).Should(Equal(1))
		w.DelayStarts(0, 0)
		Consistently(c.begun(3), time.Second).Should(BeZero())
		c.startWorker(platformtest.WorkerOptions{ID: "i-9", Kind: "big"})
		Eventually(func() workflow.State { return i.state(jobID(3)) }, leaseTimeout).Should(Equal(workflow.Completed))
	})
})
