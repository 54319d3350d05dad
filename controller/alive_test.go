package controller_test

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/platform/platformtest"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// running returns the number of runs that are present on all workers.
func (c *cluster) running() int {
	total := 0
	for _, x := range c.workers {
		total += x.Running()
	}
	return total
}

// putEntry writes the entry of a worker with changed fields, as another writer may do.
func (c *cluster) putEntry(id string, changed map[string]any) {
	GinkgoHelper()
	var entry map[string]any
	Expect(json.Unmarshal(c.store.Value(platform.WorkersPrefix+id), &entry)).To(Succeed())
	maps.Copy(entry, changed)
	raw, err := json.Marshal(entry)
	Expect(err).NotTo(HaveOccurred())
	c.store.Put(platform.WorkersPrefix+id, raw)
}

// The load is one long task on one of two workers, or a gang on both. Whatever the leader sees of
// a worker that lives on, its tasks may run elsewhere only after their runs there have ended.
var _ = Describe("a worker that lives on", func() {
	const liveLease = 3 * clock.Second

	// startTask starts a long step on a new cluster and returns the index of a worker that has a
	// task of it.
	startTask := func(work workflow.Step) (*cluster, *instance, int) {
		c := newClusterWithLease(3, liveLease)
		i := c.startInstance(nil)
		Eventually(i.isLeader, shortTimeout).Should(BeTrue())
		i.submit(jobID(1), workflow.Spec{Payload: "ms=60000", Steps: []workflow.Step{work}})
		Eventually(c.running, shortTimeout).Should(Equal(work.Count))
		time.Sleep(300 * time.Millisecond) // until a poll waits at the worker
		at := slices.IndexFunc(c.workers, func(x *platformtest.Worker) bool { return x.Running() > 0 })
		return c, i, at
	}

	DescribeTable("does not run its task beside another run of it", func(work workflow.Step, disturb func(c *cluster, i *instance, x *platformtest.Worker)) {
		c, i, at := startTask(work)
		task := jobID(1) + ".0.0.0"
		disturb(c, i, c.workers[at])
		Consistently(c.overlaps, liveLease.Duration()).Should(BeEmpty())
		Eventually(c.running, shortTimeout).Should(Equal(work.Count), "the tasks run again once the lease has expired")
		Expect(c.overlaps()).To(BeEmpty())
		Expect(len(c.starts(task))).To(BeNumerically("<=", 2))
	},
		Entry("when its link closes the connections in use and refuses new ones", step(1), func(_ *cluster, _ *instance, x *platformtest.Worker) { x.CutLink() }),
		Entry("when the link of a gang's member does so", gangOf(2), func(_ *cluster, _ *instance, x *platformtest.Worker) { x.CutLink() }),
		Entry("when the links of all workers do so and come back", step(1), func(c *cluster, _ *instance, _ *platformtest.Worker) {
			for _, x := range c.workers {
				x.CutLink()
			}
			time.Sleep(700 * time.Millisecond)
			for _, x := range c.workers {
				Expect(x.RestoreLink()).To(Succeed())
			}
		}),
		Entry("when another instance answers at its address", step(1), func(_ *cluster, i *instance, x *platformtest.Worker) {
			i.setMisdirected(x.ID())
		}),
		Entry("when another writer gives it an address where nothing listens", step(1), func(c *cluster, _ *instance, x *platformtest.Worker) {
			c.putEntry(x.ID(), map[string]any{"address": "127.0.0.1:1"})
		}),
		Entry("when another writer gives it the address of another worker", step(1), func(c *cluster, _ *instance, x *platformtest.Worker) {
			other := slices.IndexFunc(c.workers, func(y *platformtest.Worker) bool { return y != x })
			c.putEntry(x.ID(), map[string]any{"address": c.workers[other].Address()})
		}),
		Entry("when another writer gives it a later start time", step(1), func(c *cluster, _ *instance, x *platformtest.Worker) {
			c.putEntry(x.ID(), map[string]any{"born": time.Now().Add(time.Hour).UnixMilli()})
		}),
		Entry("when it drains, its entry expires although it answers, and its link then fails", step(1), func(c *cluster, _ *instance, x *platformtest.Worker) {
			x.Drain(time.Minute)
			time.Sleep(300 * time.Millisecond)
			c.store.Delete(platform.WorkersPrefix + x.ID())
			time.Sleep(300 * time.Millisecond)
			x.DropCalls(true)
		}),
	)

	// The order reached the new process, and the answer of its next poll shows the restart.
	It("keeps a run that it began after a restart of which the leader learns later", func() {
		c := newClusterWithLease(1, liveLease)
		i := c.startInstance(nil)
		Eventually(i.isLeader, shortTimeout).Should(BeTrue())
		i.completeJob(jobID(1))
		c.workers[0].Restart()
		i.submit(jobID(2), workflow.Spec{Payload: "ms=1500", Steps: []workflow.Step{step(1)}})
		c.addWorker("i-9")
		Eventually(func() workflow.State { return i.state(jobID(2)) }, leaseTimeout).Should(Equal(workflow.Completed))
		Expect(c.overlaps()).To(BeEmpty())
		Expect(c.starts(jobID(2) + ".0.0.0")).To(HaveLen(1))
	})

	// The stop has to reach the new process before the order does.
	It("does not begin a run late, after a restart, beside another run of its task", func() {
		c := newClusterWithLease(1, liveLease)
		i := c.startInstance(nil)
		Eventually(i.isLeader, shortTimeout).Should(BeTrue())
		i.completeJob(jobID(1))
		time.Sleep(liveLease.Duration() + time.Second) // leases of an earlier leader have expired
		first := c.workers[0]
		first.DelayStarts(1500*time.Millisecond, 1)
		i.submit(jobID(2), workflow.Spec{Payload: "ms=1500", Steps: []workflow.Step{step(1)}})
		time.Sleep(100 * time.Millisecond) // the order is held up
		first.HangCalls(true)
		c.addWorker("i-9")
		first.Restart()
		first.Register("ready")
		time.Sleep(600 * time.Millisecond)
		first.HangCalls(false)
		Consistently(c.overlaps, 2*time.Second).Should(BeEmpty())
		Eventually(func() workflow.State { return i.state(jobID(2)) }, leaseTimeout).Should(Equal(workflow.Completed))
	})

	// A proxy on the path answers with 504 after it has passed the order on.
	It("is not taken for one that rejected an order when a proxy answers in its place", func() {
		c := newClusterWithLease(2, liveLease)
		c.workers[0].AnswerStartsWith(504, 1)
		c.workers[1].AnswerStartsWith(504, 1)
		i := c.startInstance(nil)
		Eventually(i.isLeader, shortTimeout).Should(BeTrue())
		i.submit(jobID(1), workflow.Spec{Payload: "ms=1500", Steps: []workflow.Step{step(1)}})
		Eventually(func() workflow.State { return i.state(jobID(1)) }, leaseTimeout).Should(Equal(workflow.Completed))
		Expect(c.overlaps()).To(BeEmpty())
	})
})

func gangOf(count int) workflow.Step {
	s := step(count)
	s.Gang, s.PerWorker = true, 1
	return s
}
