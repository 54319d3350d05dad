package controller_test

import (
	"context"
	"math"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/intake"
	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// evictions returns the number of runs that the instance stopped for urgent work.
func (i *instance) evictions() int {
	n := 0
	for _, e := range i.logs.AllEntries() {
		if e.Message == "controller: stopping a run" && strings.Contains(e.Data["reason"].(string), "urgent work") {
			n++
		}
	}
	return n
}

// The load is an urgent job that waits at a change of the leader, beside a gang over two workers.
// Guards against a new leader that takes a gang for one that has just begun, and evicts it, because
// one of its workers has not reported yet.
var _ = Describe("a new leader beside a gang that it knows in part", func() {
	It("does not evict the gang before all its members are reported", func() {
		c := newClusterWithLease(2, 8000)
		first := c.startInstance(nil)
		Eventually(first.isLeader, shortTimeout).Should(BeTrue())
		wholeWorker := step(2)
		wholeWorker.Gang, wholeWorker.Accels, wholeWorker.Estimate = true, 8, 6000
		first.submit(jobID(1), workflow.Spec{Payload: "ms=6000", Steps: []workflow.Step{wholeWorker}})
		Eventually(func() workflow.State { return first.state(jobID(1)) }, shortTimeout).Should(Equal(workflow.Running))
		first.election.Resign(context.Background())

		next := c.startInstance(func(h *hooks) { h.refusedWorkers["i-1"] = true })
		Eventually(next.isLeader, shortTimeout).Should(BeTrue())
		grant, refusal := next.handler.Admit(intake.Call{Host: "h", Path: "/u/" + jobID(2)})
		Expect(refusal).To(BeNil())
		urgent := step(1)
		urgent.Gang, urgent.Accels, urgent.Estimate = true, 8, 3000
		Expect(next.handler.Submit(context.Background(), grant, workflow.Spec{Payload: "ms=20", Steps: []workflow.Step{urgent}}).Verdict).To(Equal(intake.OK))
		Consistently(next.evictions, 300*time.Millisecond).Should(BeZero())
		next.setRefused("i-1", false)
		Eventually(next.evictions, shortTimeout).Should(BeNumerically(">", 0))
		Eventually(func() workflow.State { return next.state(jobID(2)) }, shortTimeout).Should(Equal(workflow.Completed))
	})
})

var _ = Describe("a new leader that stops a run before it knows the worker's address", func() {
	It("stops the run once the worker is listed", func() {
		c := newClusterWithLease(1, 8000)
		first := c.startInstance(nil)
		Eventually(first.isLeader, shortTimeout).Should(BeTrue())
		first.submit(jobID(1), workflow.Spec{Payload: "ms=60000", Steps: []workflow.Step{step(1)}})
		Eventually(func() workflow.State { return first.state(jobID(1)) }, shortTimeout).Should(Equal(workflow.Running))
		c.store.Delete(platform.WorkersPrefix + "i-0")
		first.election.Resign(context.Background())

		next := c.startInstance(nil)
		Eventually(next.isLeader, shortTimeout).Should(BeTrue())
		grant, refusal := next.handler.Admit(intake.Call{Host: "h", Path: "/b/" + jobID(1)})
		Expect(refusal).To(BeNil())
		Expect(next.handler.Cancel(context.Background(), grant).Verdict).To(Equal(intake.OK))
		time.Sleep(300 * time.Millisecond) // the leader asks for the stop
		c.workers[0].Register("ready")
		Eventually(c.workers[0].Running, shortTimeout).Should(BeZero())
	})
})

var _ = Describe("a new leader beside work that was declared to take far longer than it has existed", func() {
	// Guards against work whose loss is derived from the declared run time, so that it is never evicted.
	It("evicts it for urgent work", func() {
		c := newCluster(1)
		first := c.startInstance(nil)
		Eventually(first.isLeader, shortTimeout).Should(BeTrue())
		whole := step(8)
		whole.Accels, whole.Estimate = 1, math.MaxInt64
		c.storeJob(jobID(1), "", queues.Queues[1], workflow.Spec{Payload: "ms=20000", Steps: []workflow.Step{whole}})
		Eventually(c.workers[0].Running, shortTimeout).Should(Equal(8))
		// The tasks have to show some progress.
		time.Sleep(time.Second)
		first.election.Resign(GinkgoT().Context())

		next := c.startInstance(nil)
		Eventually(next.isLeader, shortTimeout).Should(BeTrue())
		urgent := step(1)
		urgent.Accels = 1
		c.storeJob(jobID(2), "", queues.Queues[0], workflow.Spec{Payload: "ms=20", Steps: []workflow.Step{urgent}})
		Eventually(c.begun(2), reclaimTime).Should(Equal(1))
	})
})
