package controller_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// Guards against tasks that run for minutes or hours and are taken to stand still, since their
// progress in percent does not change for seconds.
var _ = Describe("a task that runs for long", func() {
	It("is not restarted while it progresses by less than a percent in a few seconds", func() {
		const runTime = 10 * clock.Minute
		c := newCluster(2)
		i := c.startInstance(nil)
		Eventually(i.isLeader, shortTimeout).Should(BeTrue())
		long := step(1)
		long.Estimate = runTime
		i.submit(jobID(1), workflow.Spec{Payload: fmt.Sprintf("ms=%d", runTime), Steps: []workflow.Step{long}})
		starts := c.begun(1)
		Eventually(starts, shortTimeout).Should(Equal(1))
		Consistently(starts, 5*time.Second, 100*time.Millisecond).Should(Equal(1))
	})
})
