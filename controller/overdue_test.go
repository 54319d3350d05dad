package controller_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// Guards against a gang with nothing running for more than 3 s although it could run on two racks.
var _ = Describe("a gang that wants one rack while long tasks hold a worker in each", func() {
	const racks, workersPerRack = 3, 3

	// start returns a cluster whose leader runs a long task on a worker of each rack.
	start := func() (*cluster, *instance) {
		c := newClusterWithLease(0, 10000)
		for n := range racks * workersPerRack {
			c.addWorkerIn("", fmt.Sprint("r-", n/workersPerRack), fmt.Sprint("i-", n))
		}
		i := c.startInstance(nil)
		Eventually(i.isLeader, shortTimeout).Should(BeTrue())
		for n := range racks {
			long := step(1)
			long.Accels, long.Estimate, long.DataRack = 8, clock.Minute, fmt.Sprint("r-", n)
			i.submit(jobID(100+n), workflow.Spec{Payload: "ms=60000", Steps: []workflow.Step{long}})
			Eventually(c.begun(100+n), shortTimeout).Should(Equal(1))
		}
		return c, i
	}
	gang := func() workflow.Spec {
		members := step(3)
		members.Gang, members.SameRack, members.Accels, members.Estimate = true, true, 8, clock.Minute
		return workflow.Spec{Payload: "ms=60000", Steps: []workflow.Step{members}}
	}
	started := func(c *cluster) func() int { return func() int { return len(c.starts(jobID(1) + ".0.0.2")) } }

	It("starts within 3 s", func() {
		c, i := start()
		i.submit(jobID(1), gang())
		Eventually(started(c), 3*time.Second).Should(Equal(1))
	})

	It("starts within 3 s of its acceptance under a leader that took over meanwhile", func() {
		c, first := start()
		first.submit(jobID(1), gang())
		accepted := time.Now()
		time.Sleep(time.Second)
		first.election.Resign(context.Background())
		next := c.startInstance(nil)
		Eventually(next.isLeader, shortTimeout).Should(BeTrue())
		Eventually(started(c), 3*time.Second-time.Since(accepted)).Should(Equal(1))
	})
})

// Guards against a gang that is placed on the same unhealthy workers again and again.
var _ = Describe("a gang beside workers that reject every order", func() {
	It("starts on the other workers within 3 s", func() {
		c := newClusterWithLease(5, 10000)
		i := c.startInstance(func(h *hooks) { h.unhealthyWorkers = map[string]bool{"i-0": true, "i-1": true} })
		Eventually(i.isLeader, shortTimeout).Should(BeTrue())
		members := step(3)
		members.Gang, members.Accels = true, 8
		i.submit(jobID(1), workflow.Spec{Payload: "ms=60000", Steps: []workflow.Step{members}})
		Eventually(func() int {
			running := 0
			for _, x := range c.workers {
				running += x.Running()
			}
			return running
		}, 3*time.Second).Should(Equal(3))
	})
})

// Guards against work that waits for 6 s because the only worker that can run it is in quarantine.
var _ = Describe("a task whose only worker has failed tasks of three other jobs", func() {
	It("starts within 3 s", func() {
		c := newClusterWithLease(1, 10000)
		i := c.startInstance(nil)
		Eventually(i.isLeader, shortTimeout).Should(BeTrue())
		for n := range 3 {
			i.submit(jobID(10+n), workflow.Spec{Payload: "ms=50 fails=9", Steps: []workflow.Step{step(1)}})
			Eventually(func() workflow.State { return i.state(jobID(10 + n)) }, 2*leaseTimeout).Should(Equal(workflow.Failed))
		}
		i.submit(jobID(1), workflow.Spec{Payload: "ms=60000", Steps: []workflow.Step{step(1)}})
		Eventually(c.begun(1), 3*time.Second).Should(Equal(1))
	})
})
