package controller_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/workflow"
)

var _ = Describe("the controller", func() {
	// From outside, the worker looks like one whose entry expired and whose link is cut.
	It("restarts the runs of a drained worker that has exited elsewhere once their lease has expired, and no sooner", func() {
		const lease = 3 * clock.Second
		c := newClusterWithLease(1, lease)
		i := c.startInstance(nil)
		Eventually(i.isLeader, shortTimeout).Should(BeTrue())
		i.submit(jobID(1), workflow.Spec{Payload: "ms=2500", Steps: []workflow.Step{step(1)}})
		first := c.workers[0]
		Eventually(first.Running, shortTimeout).Should(Equal(1))
		c.addWorker("i-9")
		first.Drain(time.Minute)
		time.Sleep(400 * time.Millisecond)
		first.Close()
		c.store.Delete(platform.WorkersPrefix + "i-0")
		Consistently(c.workers[1].Running, 2*time.Second).Should(BeZero())
		// The lease by a clock that is 3 % slow, its margin of 300 ms, and a few round trips.
		Eventually(c.workers[1].Running, lease.Duration()*3/100+1800*time.Millisecond).Should(Equal(1))
	})

	// The leader must not mistake an expired entry for one that the draining worker removed when
	// it exited: the run continues until its lease expires.
	It("waits until the leases of a draining worker expire if its entry expired while it did not answer", func() {
		c := newClusterWithLease(1, 7*clock.Second)
		i := c.startInstance(nil)
		Eventually(i.isLeader, shortTimeout).Should(BeTrue())
		i.submit(jobID(1), workflow.Spec{Payload: "ms=60000", Steps: []workflow.Step{step(1)}})
		first := c.workers[0]
		Eventually(first.Running, shortTimeout).Should(Equal(1))
		c.addWorker("i-9")
		first.Drain(time.Minute)
		i.setRefused("i-0", true)
		// The poll in flight is still answered, within 2 s. Then wait for longer than two
		// heartbeat intervals, so that the entry can have expired.
		time.Sleep(4200 * time.Millisecond)
		c.store.Delete(platform.WorkersPrefix + "i-0")
		Consistently(c.workers[1].Running, time.Second).Should(BeZero())
		Eventually(c.workers[1].Running, leaseTimeout).Should(Equal(1))
		Expect(first.Running()).To(BeZero())
	})

	It("moves tasks with checkpoints away from a draining worker", func() {
		c := newClusterWithLease(1, 10*clock.Second)
		i := c.startInstance(nil)
		Eventually(i.isLeader, shortTimeout).Should(BeTrue())
		checkpointing := step(2)
		checkpointing.Checkpointing = true
		i.submit(jobID(1), workflow.Spec{Payload: "ms=60000", Steps: []workflow.Step{checkpointing}})
		Eventually(c.workers[0].Running, shortTimeout).Should(Equal(2))
		c.addWorker("i-9")
		c.workers[0].Register("draining")
		Eventually(c.workers[1].Running, shortTimeout).Should(Equal(2))
		Expect(c.workers[0].Running()).To(BeZero())
	})

	DescribeTable("runs nothing on a draining worker that may exit, and starts it elsewhere at once:",
		func(work workflow.Step) {
			c := newClusterWithLease(1, 10*clock.Second)
			i := c.startInstance(nil)
			Eventually(i.isLeader, shortTimeout).Should(BeTrue())
			i.submit(jobID(1), workflow.Spec{Payload: "ms=60000", Steps: []workflow.Step{work}})
			Eventually(c.workers[0].Running, shortTimeout).Should(Equal(1))
			c.addWorker("i-9")
			c.workers[0].Drain(1500 * time.Millisecond)
			time.Sleep(1500 * time.Millisecond)
			Expect(c.workers[0].Running()).To(BeZero())
			c.workers[0].Close()
			Eventually(c.workers[1].Running, time.Second).Should(Equal(1))
			Expect(c.overlaps()).To(BeEmpty())
		},
		Entry("a task that lasts", workflow.Step{Count: 1, Accels: 1, Estimate: 100, UntilCancelled: true}),
		Entry("a gang whose run time is not known", workflow.Step{Count: 1, Accels: 1, Estimate: 100, Gang: true}),
	)

	DescribeTable("runs without checkpoints on a draining worker:",
		func(gang bool, length string, remaining time.Duration, starts int) {
			c := newClusterWithLease(1, 10*clock.Second)
			i := c.startInstance(nil)
			Eventually(i.isLeader, shortTimeout).Should(BeTrue())
			work := step(2)
			work.Gang = gang
			i.submit(jobID(1), workflow.Spec{Payload: "gang=1 ms=" + length, Steps: []workflow.Step{work}})
			Eventually(c.workers[0].Running, shortTimeout).Should(Equal(2))
			time.Sleep(800 * time.Millisecond) // until the pace of the runs is known
			c.addWorker("i-9")
			c.workers[0].Drain(remaining)
			Eventually(c.begun(1), shortTimeout).Should(Equal(starts))
			Consistently(c.begun(1), 500*time.Millisecond).Should(Equal(starts))
		},
		Entry("a gang that can't finish in time is restarted elsewhere", true, "12000", 4*time.Second, 2),
		Entry("tasks that can't finish in time are restarted elsewhere", false, "12000", 4*time.Second, 2),
		Entry("a gang that can finish in time stays", true, "2500", 4*time.Second, 1),
	)

	// Guards against starts on a worker long after it has announced that it drains.
	DescribeTable("sends a draining worker no copy of an order without an answer",
		func(gang bool) {
			c := newClusterWithLease(1, 10*clock.Second)
			i := c.startInstance(nil)
			Eventually(i.isLeader, shortTimeout).Should(BeTrue())
			i.completeJob(jobID(1))
			first := c.workers[0]
			first.HangCalls(true)
			work := step(2)
			work.Gang = gang
			i.submit(jobID(2), workflow.Spec{Payload: "ms=60000", Steps: []workflow.Step{work}})
			c.addWorker("i-9")
			time.Sleep(400 * time.Millisecond) // the first copies get no answer
			first.Drain(time.Minute)
			time.Sleep(600 * time.Millisecond) // the leader sees that the worker drains
			first.HangCalls(false)
			Eventually(c.workers[1].Running, shortTimeout).Should(Equal(2))
			Expect(first.Starts()).To(HaveLen(1), "only the task of the first job")
		},
		Entry("of tasks", false),
		Entry("of a gang", true),
	)

	// Guards against tasks that last and are away until their leases have lapsed, because a new leader reckons
	// with more time than a draining worker has left.
	DescribeTable("empties a draining worker in time under a new leader",
		func(reportInterval, stay time.Duration) {
			c := newClusterWithLease(1, 10*clock.Second)
			c.reportInterval = clock.Millis(reportInterval.Milliseconds())
			earlier := c.startInstance(nil)
			Eventually(earlier.isLeader, shortTimeout).Should(BeTrue())
			work := workflow.Step{Count: 1, Accels: 1, Estimate: 100, UntilCancelled: true}
			earlier.submit(jobID(1), workflow.Spec{Payload: "ms=60000", Steps: []workflow.Step{work}})
			first := c.workers[0]
			Eventually(first.Running, shortTimeout).Should(Equal(1))
			c.addWorker("i-9")
			drained := time.Now()
			first.Drain(stay)
			time.Sleep(reportInterval * 2 / 3)
			earlier.election.Resign(context.Background())
			later := c.startInstance(nil)
			Eventually(later.isLeader, reportInterval/3).Should(BeTrue())
			for report := reportInterval; report < stay; report += reportInterval {
				time.Sleep(time.Until(drained.Add(report)))
				first.Drain(stay - report)
			}
			time.Sleep(time.Until(drained.Add(stay)))
			Expect(first.Running()).To(BeZero())
			first.Close()
			c.store.Delete(platform.WorkersPrefix + "i-0")
			Eventually(c.workers[1].Running, time.Second).Should(Equal(1))
			Expect(c.overlaps()).To(BeEmpty())
		},
		Entry("that hears of the worker again", 1500*time.Millisecond, 4*time.Second),
		Entry("that is elected after the last report", 3*time.Second, 2900*time.Millisecond),
	)
})
