package controller_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// The load is a full worker for which two jobs that need half of it wait, and before them a job that needs all
// of it. Only two of the three can be in time.
var _ = Describe("a job that takes the time of several others", func() {
	It("is deferred while there is too little room, and says so", func() {
		c := newCluster(1)
		i := c.startInstance(nil)
		Eventually(i.isLeader, shortTimeout).Should(BeTrue())
		jobOf := func(tasks int, runTime clock.Millis) workflow.Spec {
			s := gangOf(tasks)
			s.PerWorker, s.Estimate = 0, runTime
			return workflow.Spec{Payload: fmt.Sprintf("ms=%d", runTime), Steps: []workflow.Step{s}}
		}
		i.submit(jobID(1), jobOf(8, 600*clock.Millisecond))
		Eventually(c.begun(1), shortTimeout).Should(Equal(1))
		for job, tasks := range []int{2: 8, 3: 4, 4: 4} {
			if tasks > 0 {
				i.submit(jobID(job), jobOf(tasks, clock.Second))
			}
		}
		Eventually(c.begun(3), shortTimeout).Should(Equal(1))
		Eventually(c.begun(4), shortTimeout).Should(Equal(1))
		Expect(c.begun(2)()).To(BeZero())
		Eventually(c.begun(2), shortTimeout).Should(Equal(1))
		var deferred []any
		for _, e := range i.logs.AllEntries() {
			if e.Message == "controller: tasks are deferred, since there is too little room" {
				deferred = append(deferred, e.Data["job"])
			}
		}
		Expect(deferred).To(Equal([]any{jobID(2)}))
	})
})
