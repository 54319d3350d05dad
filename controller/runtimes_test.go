package controller_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// Guards against declared run times that are far off and decide alone which jobs count as late and
// hopeless: a job declared a tenth of its time was given up long before its objective.
var _ = Describe("the run times of a queue's finished jobs", func() {
	const jobs, declared = 12, 20 * clock.Millisecond
	spec := workflow.Spec{Payload: "ms=300", Steps: []workflow.Step{{Count: 1, Cores: 1000, Memory: 100, Accels: 1, Estimate: declared}}}

	It("are recorded, and the next leader predicts from them", func() {
		c := newCluster(4)
		first := c.startInstance(nil)
		Eventually(first.isLeader, shortTimeout).Should(BeTrue())
		for n := range jobs {
			first.submit(jobID(n), spec)
		}
		completed := func(i *instance, n int) func() workflow.State {
			return func() workflow.State { return i.state(jobID(n)) }
		}
		for n := range jobs {
			Eventually(completed(first, n), shortTimeout).Should(Equal(workflow.Completed))
			v, _ := first.board.Find(jobID(n))
			Expect(v.Progress.Parts).To(HaveLen(1))
			Expect(v.Progress.Parts[0].RunTime).To(BeNumerically("~", 300, 150))
		}
		first.election.Resign(context.Background())
		second := c.startInstance(nil)
		Eventually(second.isLeader, shortTimeout).Should(BeTrue())
		second.submit(jobID(jobs), spec)
		Eventually(completed(second, jobs), shortTimeout).Should(Equal(workflow.Completed))
		Expect(second.predictedFor(jobID(jobs))).To(BeNumerically("~", 300, 150))
		Expect(first.predictedFor(jobID(0))).To(BeEquivalentTo(declared), "before anything was observed")
	})
})

// predictedFor returns the run time in milliseconds that the leader predicted when it placed the
// tasks of a job, or 0 if it has not placed them.
func (i *instance) predictedFor(job string) int64 {
	for _, e := range i.logs.AllEntries() {
		if e.Data["job"] != job {
			continue
		}
		if predicted, ok := e.Data["predicted_ms"].(int64); ok {
			return predicted
		}
	}
	return 0
}
