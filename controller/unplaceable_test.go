package controller_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/workflow"
)

var _ = Describe("a job that no worker can hold", func() {
	// whole is a task that needs a whole worker.
	whole := func(estimate clock.Millis) workflow.Step {
		return workflow.Step{Count: 1, Cores: 100, Accels: 8, Estimate: estimate}
	}

	// Guards against room that is kept for demand that nobody could ever serve.
	It("has no room kept for its kind once it is hopeless", func() {
		c := newCluster(1)
		i := c.startInstance(nil)
		Eventually(i.isLeader, shortTimeout).Should(BeTrue())
		odd := whole(20)
		odd.Accels = workflow.MaxResource
		c.storeJob(jobID(1), "", queues.Queues[0], workflow.Spec{Payload: "ms=20", Steps: []workflow.Step{odd}})
		time.Sleep(time.Second)
		i.submit(jobID(2), workflow.Spec{Payload: "ms=20", Steps: []workflow.Step{whole(20)}})
		Eventually(c.begun(2), time.Second).Should(Equal(1))
	})

	// Guards against an account that is served first because jobs of its that never start count as late.
	It("does not put other jobs of its account first", func() {
		c := newCluster(1)
		c.config.Store(guaranteed)
		i := c.startInstance(nil)
		Eventually(i.isLeader, shortTimeout).Should(BeTrue())
		batch := queues.Queues[1]
		store := func(job int, account string, estimate clock.Millis) {
			c.storeJob(jobID(job), account, batch, workflow.Spec{Payload: fmt.Sprintf("ms=%d", min(estimate, 600)), Steps: []workflow.Step{whole(estimate)}})
		}
		for job := range 4 {
			store(10+job, "modest", 20)
			Eventually(c.begun(10+job), shortTimeout).Should(Equal(1))
		}
		for job := range 4 {
			odd := whole(20)
			odd.Accels = 64
			c.storeJob(jobID(20+job), "greedy", batch, workflow.Spec{Payload: "ms=20", Steps: []workflow.Step{odd}})
		}
		time.Sleep(time.Second)
		store(1, "modest", 600)
		Eventually(c.begun(1), shortTimeout).Should(Equal(1))
		store(2, "modest", 5000)
		store(3, "greedy", 5001)
		Eventually(c.begun(2), shortTimeout).Should(Equal(1))
		Expect(c.begun(3)()).To(BeZero())
		Eventually(c.begun(3), shortTimeout).Should(Equal(1))
	})
})
