package controller_test

import (
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// unansweredRuns returns how many runs of a job are recorded with an order without an answer.
func (i *instance) unansweredRuns(id string) int {
	v, _ := i.board.Find(id)
	n := 0
	for _, p := range v.Progress.Parts {
		n += len(p.Unanswered)
	}
	return n
}

var _ = Describe("the record of an order without an answer", func() {
	const shortLease = 3 * clock.Second
	long := workflow.Spec{Payload: "ms=60000", Steps: []workflow.Step{step(1)}}
	// leaseEnd is when a lease of an earlier leader has expired by a clock that is 3 % slow, with its margin of
	// 300 ms and a few round trips.
	leaseEnd := shortLease.Duration()*103/100 + 1500*time.Millisecond

	// takeOver starts a leader that finds a run on a worker that is gone, and in its record that copies of the
	// order may have been sent until the given time.
	takeOver := func(copiesUntil time.Time) *cluster {
		c := newClusterWithLease(1, shortLease)
		c.storeRecord(jobID(2), workflow.Record{Queue: "batch", Policy: workflow.Policy{Service: "svc", Priority: 2, Attempts: 2}, Spec: long})
		c.store.Put(board.ProgressKey(jobID(2)), workflow.Encode(workflow.Progress{State: workflow.Queued, Parts: []workflow.StepProgress{{
			Tasks: []workflow.TaskProgress{{Run: 1}}, Places: []workflow.PlacedRun{{Run: 1, Worker: "i-8"}},
			Unanswered: map[int]clock.Millis{0: clock.Millis(copiesUntil.UnixMilli())},
		}}}))
		i := c.startInstance(nil)
		Eventually(i.isLeader, shortTimeout).Should(BeTrue())
		return c
	}

	It("holds the task under a new leader for 15 s and a lease at most, whatever clock wrote it", func() {
		c := takeOver(time.Now().Add(time.Hour))
		Consistently(c.running, 15*time.Second).Should(BeZero())
		Eventually(c.running, leaseEnd).Should(Equal(1))
	})

	It("does not hold the task under a new leader once no copy can be late", func() {
		c := takeOver(time.Now().Add(-time.Minute))
		Eventually(c.running, leaseEnd).Should(Equal(1))
	})

	It("is written once while the copies that follow get no answer either", func() {
		c, i := newClusterWithLeader(1, 6*clock.Second)
		var writes atomic.Int32
		i.set(func(h *hooks) {
			h.beforeCommit = func(ops []kv.Op) {
				for _, op := range ops {
					if op.Key == board.ProgressKey(jobID(2)) {
						writes.Add(1)
					}
				}
			}
		})
		c.workers[0].HangCalls(true)
		i.submit(jobID(2), long)
		Eventually(func() int { return i.unansweredRuns(jobID(2)) }, shortTimeout).Should(Equal(1))
		Consistently(writes.Load, 4*time.Second).Should(BeEquivalentTo(2)) // with the placement
	})
})
