package controller_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/platform/platformtest"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// Guards against a retry that runs although the term is over, which made the process panic.
var _ = Describe("a leader whose write took effect without an answer", func() {
	It("gives up reading the versions when it loses the leadership", func() {
		c := newCluster(1)
		i := c.startInstance(nil)
		Eventually(i.isLeader, shortTimeout).Should(BeTrue())
		i.completeJob(jobID(1))
		i.mu.Lock()
		i.loseNextWrite, i.readDelay = true, 600*time.Millisecond
		i.mu.Unlock()
		c.store.SetFaults(func(f *platformtest.Faults) { f.FailReads = true })
		i.submit(jobID(2), workflow.Spec{Payload: "ms=20", Steps: []workflow.Step{step(1)}})
		// The write is repeated after 150 ms, and the versions are being read from then on.
		time.Sleep(450 * time.Millisecond)
		i.election.Resign(context.Background())
		time.Sleep(600 * time.Millisecond)
		c.store.SetFaults(func(f *platformtest.Faults) { f.FailReads = false })
		next := c.startInstance(nil)
		Eventually(func() workflow.State { return next.state(jobID(2)) }, shortTimeout).Should(Equal(workflow.Completed))
	})
})
