package controller_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/workflow"
)

// Guards against a gang that never ends or starts again because one member counts as done and the
// others do not.
var _ = Describe("a gang of which one worker reports a successful end after its runs were given up", func() {
	It("is completed although the other worker has lost its end", func() {
		c := newCluster(2)
		i := c.startInstance(nil)
		Eventually(i.isLeader, shortTimeout).Should(BeTrue())
		wholeWorker := step(2)
		wholeWorker.Gang, wholeWorker.Accels = true, 8
		i.submit(jobID(1), workflow.Spec{Payload: "ms=800", Steps: []workflow.Step{wholeWorker}})
		for _, x := range c.workers {
			Eventually(x.Running, shortTimeout).Should(Equal(1))
		}
		for _, x := range c.workers {
			x.DropCalls(true)
		}
		given := func() bool {
			for _, e := range i.logs.AllEntries() {
				if e.Message == "controller: leases of an unresponsive worker have expired" {
					return true
				}
			}
			return false
		}
		Eventually(given, leaseTimeout).Should(BeTrue())
		time.Sleep(200 * time.Millisecond) // the leases on both workers have expired
		c.workers[1].Close()
		c.addWorker("i-1")
		c.workers[0].DropCalls(false)
		Eventually(func() workflow.State { return i.state(jobID(1)) }, leaseTimeout).Should(Equal(workflow.Completed))
		Expect(c.starts(jobID(1) + ".0.0.0")).To(HaveLen(1))
	})
})
