package controller_test

import (
	"context"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/intake"
	"github.com/chestnutsail/chestnutsail/platform/platformtest"
	"github.com/chestnutsail/chestnutsail/speeds"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// Guards against urgent gangs that are late since one of their workers is known to be too slow for them, also
// right after a change of leader.
var _ = Describe("workers whose speeds differ by more than a factor of two", func() {
	const workers, slowEvery = 12, 6
	// slowWorkers counts the starts of tasks of a job on slow workers.
	slowWorkers := func(c *cluster, job string) int {
		count := 0
		for i, x := range c.workers {
			for _, s := range x.Starts() {
				if i%slowEvery == 0 && s.Task[:len(job)] == job {
					count++
				}
			}
		}
		return count
	}
	// The urgent gang needs all workers that are fast.
	gang := workflow.Step{Count: workers - workers/slowEvery, Cores: 1000, Memory: 100, Accels: 8, Gang: true, Estimate: 3000 * clock.Millisecond}

	It("are told apart by the progress of their runs, and urgent gangs run on fast ones, also under the next leader", func() {
		c := newCluster(0)
		for i := range workers {
			speed := 1.56
			if i%slowEvery == 0 {
				speed = 0.6
			}
			c.startWorker(platformtest.WorkerOptions{ID: fmt.Sprintf("i-%02d", i), Speed: speed})
		}
		first := c.startInstance(nil)
		Eventually(first.isLeader, shortTimeout).Should(BeTrue())
		all := gang
		all.Count = workers
		for n := range 2 {
			first.submit(jobID(n), workflow.Spec{Payload: "ms=3000", Steps: []workflow.Step{all}})
		}
		Eventually(func() workflow.State { return first.state(jobID(1)) }, 15*shortTimeout).Should(Equal(workflow.Completed))
		Eventually(func() bool { return c.store.Value(speeds.Key) != nil }, 10*shortTimeout).Should(BeTrue())

		completeUrgent := func(i *instance, job string) {
			GinkgoHelper()
			grant, refusal := i.handler.Admit(intake.Call{Host: "h", Path: "/u/" + job})
			Expect(refusal).To(BeNil())
			Expect(i.handler.Submit(context.Background(), grant, workflow.Spec{Payload: "ms=3000", Steps: []workflow.Step{gang}}).Verdict).To(Equal(intake.OK))
			Eventually(func() workflow.State { return i.state(job) }, 15*shortTimeout).Should(Equal(workflow.Completed))
			Expect(slowWorkers(c, job)).To(BeZero())
		}
		completeUrgent(first, jobID(5))
		first.election.Resign(context.Background())
		second := c.startInstance(nil)
		Eventually(second.isLeader, 5*shortTimeout).Should(BeTrue())
		Eventually(func() bool { return second.logged("controller: spread of the workers' speeds changed") > 0 }, 5*shortTimeout).Should(BeTrue())
		completeUrgent(second, jobID(6))
	})
})
