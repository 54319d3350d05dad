package controller_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/workflow"
)

var _ = Describe("a gang of which two members fail in the same run", func() {
	DescribeTable("has failed once", func(change bool) {
		c := newClusterWithLease(2, 8*clock.Second)
		i := c.startInstance(nil)
		Eventually(i.isLeader, shortTimeout).Should(BeTrue())
		gang := step(2)
		gang.Gang, gang.Accels = true, 8
		i.submit(jobID(1), workflow.Spec{Payload: "ms=2500 fails=1", Steps: []workflow.Step{gang}})
		for _, x := range c.workers {
			Eventually(x.Running, shortTimeout).Should(Equal(1))
		}
		c.workers[1].DropCalls(true)
		time.Sleep(1500 * time.Millisecond) // the answer to the poll that was waiting at the worker
		Eventually(func() []workflow.TaskProgress {
			v, _ := i.board.Find(jobID(1))
			var recorded []workflow.TaskProgress
			for _, p := range v.Progress.Parts {
				recorded = append(recorded, p.Tasks...)
			}
			return recorded
		}, leaseTimeout).Should(ContainElement(HaveField("Failures", 1)))
		if change {
			i.election.Resign(context.Background())
			i = c.startInstance(nil)
			Eventually(i.isLeader, shortTimeout).Should(BeTrue())
		}
		c.workers[1].DropCalls(false)
		Eventually(func() workflow.State { return i.state(jobID(1)) }, leaseTimeout).Should(Equal(workflow.Completed))
	},
		Entry("under one leader", false),
		Entry("under a second leader", true),
	)
})
