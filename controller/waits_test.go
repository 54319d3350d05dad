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

var _ = Describe("a task that could run", func() {
	const longest = 6 * clock.Second
	long := workflow.Spec{Payload: "ms=60000", Steps: []workflow.Step{step(1)}}
	task := jobID(2) + ".0.0.0"

	// newLeader returns a cluster with idle workers and its leader.
	newLeader := func(workers int) (*cluster, *instance) {
		c := newClusterWithLease(workers, longest)
		c.leaderTTL = clock.Second
		i := c.startInstance(nil)
		Eventually(i.isLeader, shortTimeout).Should(BeTrue())
		i.completeJob(jobID(1))
		return c, i
	}

	// changeLeader makes a second instance the leader.
	changeLeader := func(c *cluster, i *instance) {
		i.election.Resign(context.Background())
		next := c.startInstance(nil)
		Eventually(next.isLeader, shortTimeout).Should(BeTrue())
	}

	It("does not wait for a worker that answers polls but neither its order nor its stop", func() {
		c, i := newLeader(1)
		c.workers[0].DelayStarts(time.Hour, 1)
		i.set(func(h *hooks) { h.loseStops = true })
		i.submit(jobID(2), long)
		time.Sleep(200 * time.Millisecond) // the first copy is under way
		i.setFull(c.workers[0].ID(), true)
		c.addWorker("i-9")
		Eventually(c.workers[1].Running, maxIdle).Should(Equal(1))
	})

	It("does not wait for the stop of a run whose order was unanswered once, long before its worker restarted", func() {
		c, i := newLeader(1)
		c.workers[0].LoseStartAnswers(1)
		i.submit(jobID(2), long)
		Eventually(c.workers[0].Running, shortTimeout).Should(Equal(1))
		Eventually(func() int { return i.unansweredRuns(jobID(2)) }, shortTimeout).Should(Equal(1))
		time.Sleep(20 * time.Second) // no copy is under way any more, by the record of an earlier leader either
		i.set(func(h *hooks) { h.loseStops = true })
		c.addWorker("i-9")
		c.workers[0].Restart()
		Eventually(func() int { return len(c.starts(task)) }, maxIdle).Should(Equal(2))
	})

	It("does not run beside a late order of which a new leader does not know", func() {
		c, i := newLeader(1)
		time.Sleep(4 * time.Second) // the clock of the process that is known is ahead of the next one's
		c.workers[0].DelayStarts(9*time.Second, 1)
		i.submit(jobID(2), long)
		time.Sleep(50 * time.Millisecond)
		c.workers[0].HangCalls(true)
		c.workers[0].Restart()
		c.addWorker("i-9")
		time.Sleep(450 * time.Millisecond)
		changeLeader(c, i)
		Consistently(c.overlaps, 12*time.Second).Should(BeEmpty())
	})

	It("of a later step does not begin its wait for a rack anew with each leader", func() {
		c := newClusterWithLease(0, longest)
		for n := range 9 {
			c.addWorkerIn("", fmt.Sprint("r-", n/3), fmt.Sprint("i-", n))
		}
		i := c.startInstance(nil)
		Eventually(i.isLeader, shortTimeout).Should(BeTrue())
		for n := range 3 {
			holder := step(1)
			holder.Accels, holder.Estimate, holder.DataRack = 8, clock.Minute, fmt.Sprint("r-", n)
			i.submit(jobID(100+n), workflow.Spec{Payload: "ms=60000", Steps: []workflow.Step{holder}})
			Eventually(c.begun(100+n), shortTimeout).Should(Equal(1))
		}
		first, gang := step(1), step(3)
		first.Accels = 0
		gang.Gang, gang.SameRack, gang.Accels, gang.Estimate, gang.After = true, true, 8, clock.Minute, []int{0}
		i.submit(jobID(2), workflow.Spec{Payload: "ms=2000", Steps: []workflow.Step{first, gang}})
		done := func() int {
			n := 0
			for _, x := range c.workers {
				n += x.Done(task)
			}
			return n
		}
		Eventually(done, 2*shortTimeout).Should(Equal(1))
		ready := time.Now()
		time.Sleep(1700 * time.Millisecond)
		changeLeader(c, i)
		Eventually(func() int { return len(c.starts(jobID(2) + ".0.1.0")) }, maxIdle-time.Since(ready)).Should(Equal(1))
	})
})
