package controller_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/site"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// reclaimTime is the time within which jobs under a guarantee begin, whatever runs.
const reclaimTime = 2700 * time.Millisecond

// guaranteed is a configuration with two accounts that own half of a worker each.
var guaranteed = &site.Config{
	Version: 2, Queues: queues.Queues,
	Accounts: []site.Account{{Name: "greedy", Keys: []string{"key-g"}, Guaranteed: 4}, {Name: "modest", Keys: []string{"key-m"}, Guaranteed: 4}},
}

var _ = Describe("a job under the guarantee of its account", func() {
	urgent := queues.Queues[0]
	tasks := func(count, accels int) workflow.Step {
		return workflow.Step{Count: count, Cores: 100, Accels: accels, Estimate: 60000}
	}

	// Guards against work beyond the guarantee of its account that nobody can evict.
	DescribeTable("begins in time, whatever another account has handed in",
		func(greedy ...workflow.Spec) {
			c := newCluster(1)
			c.config.Store(guaranteed)
			i := c.startInstance(nil)
			Eventually(i.isLeader, shortTimeout).Should(BeTrue())
			for n, spec := range greedy {
				spec.Payload = "ms=60000"
				c.storeJob(jobID(10+n), "greedy", urgent, spec)
				Eventually(func() bool { _, known := i.board.Find(jobID(10 + n)); return known }, shortTimeout).Should(BeTrue())
			}
			Eventually(c.workers[0].Running, shortTimeout).Should(Equal(8))
			for n := range 3 {
				c.storeJob(jobID(20+n), "modest", urgent, workflow.Spec{Payload: "ms=60000", Steps: []workflow.Step{tasks(1, 1)}})
				Eventually(c.begun(20+n), reclaimTime).Should(Equal(1))
			}
			Consistently(c.begun(20), 300*time.Millisecond).Should(Equal(1))
		},
		Entry("more tasks than its guarantee", workflow.Spec{Steps: []workflow.Step{tasks(8, 1)}}),
		Entry("one task, one with more accelerators than can be added up, and many tasks",
			workflow.Spec{Steps: []workflow.Step{tasks(1, 1)}}, workflow.Spec{Steps: []workflow.Step{tasks(1, math.MaxInt64)}}, workflow.Spec{Steps: []workflow.Step{tasks(7, 1)}}),
		Entry("tasks whose accelerators overflow together",
			workflow.Spec{Steps: []workflow.Step{tasks(2, 1<<62)}}, workflow.Spec{Steps: []workflow.Step{tasks(4, 1<<62)}}, workflow.Spec{Steps: []workflow.Step{tasks(8, 1)}}),
		Entry("steps beside each other, each within its guarantee", workflow.Spec{Steps: []workflow.Step{tasks(4, 1), tasks(4, 1)}}),
		Entry("occurrences beside each other, each within its guarantee", workflow.Spec{Occurrences: 2, First: 1, Steps: []workflow.Step{tasks(4, 1)}}),
		Entry("tasks without accelerators that use all cores", workflow.Spec{Steps: []workflow.Step{{Count: 8, Cores: 8000, Estimate: 60000}}}),
	)
})

var _ = Describe("an urgent job beside fillers that request more cores than there are", func() {
	// Guards against an eviction that seems to cost more than the job is worth, by cores that the evicted work never had.
	It("begins in time without a guarantee", func() {
		c := newCluster(1)
		i := c.startInstance(nil)
		Eventually(i.isLeader, shortTimeout).Should(BeTrue())
		fillers := workflow.Step{Count: 8, Cores: math.MaxInt64, Accels: 1, Estimate: 60000, Filler: true}
		c.storeJob(jobID(1), "", queues.Queues[1], workflow.Spec{Payload: "ms=60000", Steps: []workflow.Step{fillers}})
		Eventually(c.workers[0].Running, shortTimeout).Should(Equal(8))
		time.Sleep(300 * time.Millisecond)
		c.storeJob(jobID(2), "", queues.Queues[0], workflow.Spec{Payload: "ms=20", Steps: []workflow.Step{{Count: 1, Cores: 100, Accels: 1, Estimate: 20}}})
		Eventually(c.begun(2), reclaimTime).Should(Equal(1))
	})
})
