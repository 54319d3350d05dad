package controller_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/intake"
	"github.com/chestnutsail/chestnutsail/workflow"
)

var _ = Describe("a worker that is cold", func() {
	long := workflow.Spec{Payload: "ms=60000", Steps: []workflow.Step{step(8)}}

	// newLeader starts the leader of a warm and a cold worker.
	newLeader := func() (*cluster, *instance) {
		c := newClusterWithLease(2, 10*clock.Second)
		c.putEntry("i-1", map[string]any{"coldRemainingMs": 3000})
		i := c.startInstance(nil)
		Eventually(i.isLeader, shortTimeout).Should(BeTrue())
		return c, i
	}

	It("is filled as it warms", func() {
		c, i := newLeader()
		i.submit(jobID(1), long)
		i.submit(jobID(2), long)
		Eventually(c.workers[0].Running, shortTimeout).Should(Equal(8))
		Expect(c.workers[1].Running()).To(BeNumerically("<", 8))
		Eventually(c.workers[1].Running, 4*time.Second).Should(Equal(8))
	})

	It("gets urgent work after warm ones", func() {
		c, i := newLeader()
		submitUrgent := func(id string, spec workflow.Spec) {
			grant, refusal := i.handler.Admit(intake.Call{Host: "h", Path: "/u/" + id})
			Expect(refusal).To(BeNil())
			Expect(i.handler.Submit(context.Background(), grant, spec).Verdict).To(Equal(intake.OK))
		}
		// A worker gets work only after its first answer to the leader.
		Eventually(c.workers[1].AnsweredAt, shortTimeout).ShouldNot(BeZero())
		jobs := 1
		Eventually(func() int {
			jobs++
			submitUrgent(jobID(jobs), workflow.Spec{Payload: "ms=1", Steps: []workflow.Step{step(1)}})
			Eventually(func() workflow.State { return i.state(jobID(jobs)) }, shortTimeout).Should(Equal(workflow.Completed))
			return len(c.workers[0].Starts())
		}, shortTimeout).ShouldNot(BeZero())
		submitUrgent(jobID(1), long)
		Eventually(c.workers[0].Running, shortTimeout).Should(Equal(8))
		Expect(c.workers[1].Running()).To(BeZero())
	})
})
