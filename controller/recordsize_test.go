package controller_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/workflow"
)

var _ = Describe("a store that limits the size of a value", func() {
	const maxValue = 8 << 10

	leaderWith := func(workers int) (*cluster, *instance) {
		c := newCluster(workers)
		c.maxValue = maxValue
		c.store.SetMaxValue(maxValue)
		i := c.startInstance(nil)
		Eventually(i.isLeader, shortTimeout).Should(BeTrue())
		return c, i
	}

	// Guards against a job whose recorded progress grows until the store refuses it, and that of other jobs with it.
	DescribeTable("runs a job with more tasks than a value can hold, and others beside it",
		func(spec workflow.Spec, tasks int) {
			c, i := leaderWith(2)
			i.submit(jobID(1), spec)
			for n := range 3 {
				i.completeJob(jobID(2 + n))
			}
			Eventually(func() workflow.State { return i.state(jobID(1)) }, 30*time.Second).Should(Equal(workflow.Completed))
			started := make(map[string]bool)
			for _, w := range c.workers {
				for _, s := range w.Starts() {
					Expect(started).NotTo(HaveKey(s.Task))
					started[s.Task] = true
				}
			}
			Expect(started).To(HaveLen(tasks + 3))
			Expect(c.store.TooLarge()).To(BeZero())
		},
		Entry("in one step", workflow.Spec{Payload: "ms=200", Steps: []workflow.Step{{Count: 400, Cores: 1}}}, 400),
		Entry("in several steps", workflow.Spec{Payload: "ms=200", Steps: []workflow.Step{{Count: 200, Cores: 1}, {Count: 200, Cores: 1}}}, 400),
		Entry("in a gang that takes most of it", workflow.Spec{Payload: "ms=200 gang=120", Steps: []workflow.Step{{Count: 120, Cores: 1, Gang: true}}}, 120),
		Entry("in occurrences", workflow.Spec{Payload: "ms=100", Occurrences: 20, First: 1, Steps: []workflow.Step{{Count: 20, Cores: 1}}}, 400),
	)

	// Guards against steps that can't start and use up what the record of their job may hold.
	It("starts a step beside others that no worker can run", func() {
		c, i := leaderWith(1)
		steps := manySteps(3, 400)
		i.submit(jobID(1), workflow.Spec{Payload: "ms=60000", Steps: append(steps, workflow.Step{Count: 2, Cores: 1})})
		Eventually(c.workers[0].Running, shortTimeout).Should(Equal(2))
	})

	// Guards against one record that is never accepted and holds back those of other jobs, or their room.
	It("goes on with other jobs while it rejects the progress of one", func() {
		c, i := leaderWith(1)
		i.set(func(h *hooks) { h.rejectedKey = board.ProgressKey(jobID(9)) })
		i.submit(jobID(9), workflow.Spec{Payload: "ms=20", Steps: []workflow.Step{step(8)}})
		for n := range 6 {
			i.submit(jobID(1+n), workflow.Spec{Payload: "ms=20", Steps: []workflow.Step{step(4)}})
		}
		for n := range 6 {
			Eventually(func() workflow.State { return i.state(jobID(1 + n)) }, shortTimeout).Should(Equal(workflow.Completed))
		}
		Expect(i.counted("chestnutsail_progress_rejected_total")).To(BeNumerically(">", 0))
		Expect(c.starts(jobID(9) + ".0.0.0")).To(BeEmpty())
		i.set(func(h *hooks) { h.rejectedKey = "" })
		Eventually(func() workflow.State { return i.state(jobID(9)) }, shortTimeout).Should(Equal(workflow.Completed))
	})

	// Guards against jobs that are kept for good, since their keys are more than a transaction may delete.
	It("forgets a finished job with more keys than a transaction holds", func() {
		c := newCluster(1)
		c.retention = 200 * clock.Millisecond
		for n := range 40 {
			owner := workflow.Owner{Queue: "batch", Account: "another"}
			c.store.Put(board.WithdrawalKey(jobID(1), fmt.Sprint(n)), workflow.Encode(owner))
		}
		i := c.startInstance(nil)
		Eventually(i.isLeader, shortTimeout).Should(BeTrue())
		i.submit(jobID(1), workflow.Spec{Payload: "ms=20", Steps: []workflow.Step{step(1)}})
		Eventually(func() []kv.Entry {
			entries, _, err := i.List(GinkgoT().Context(), board.JobPrefix(jobID(1)))
			Expect(err).NotTo(HaveOccurred())
			return entries
		}, shortTimeout).Should(BeEmpty())
	})

	// Guards against checkpoints that keep the progress of their job from being recorded.
	It("keeps a job going whose checkpoints it can't hold", func() {
		c := newCluster(1)
		c.maxValue = maxValue
		spec := workflow.Spec{Payload: "ms=20", Steps: []workflow.Step{{Count: 40, Cores: 1, Checkpointing: true}}}
		progress := workflow.StepProgress{}
		for n := range 40 {
			progress.Tasks = append(progress.Tasks, workflow.TaskProgress{Index: n, Run: 1, Checkpoint: strings.Repeat("c", 300)})
		}
		c.storeRecord(jobID(1), workflow.Record{Queue: "batch", Policy: workflow.Policy{Service: "svc", Attempts: 2}, Spec: spec})
		c.store.Put(board.ProgressKey(jobID(1)), workflow.Encode(workflow.Progress{State: workflow.Running, Parts: []workflow.StepProgress{progress}}))
		c.store.SetMaxValue(maxValue)
		i := c.startInstance(nil)
		Eventually(func() workflow.State { return i.state(jobID(1)) }, shortTimeout).Should(Equal(workflow.Completed))
	})
})
