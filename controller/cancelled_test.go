package controller_test

import (
	"context"
	"errors"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/intake"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// recordedState returns the state in the job's progress in the store, or "" before its first write.
func (c *cluster) recordedState(id string) workflow.State {
	var p workflow.Progress
	if raw := c.store.Value(board.ProgressKey(id)); raw != nil {
		Expect(workflow.Decode(raw, &p)).To(Succeed())
	}
	return p.State
}

// endsJob reports whether a write records that a job is over by itself.
func endsJob(ops []kv.Op) bool {
	for _, op := range ops {
		var p workflow.Progress
		if board.JobID(op.Key) != "" && workflow.Decode(op.Value, &p) == nil && (p.State == workflow.Completed || p.State == workflow.Failed) {
			return true
		}
	}
	return false
}

// Guards against a job that callers are told is cancelled, and later that it is completed or failed.
var _ = Describe("a job that is cancelled at about the time of its end", func() {
	id := jobID(1)
	short := workflow.Spec{Payload: "ms=200", Steps: []workflow.Step{step(1)}}

	DescribeTable("stays cancelled if its cancellation is recorded before its end",
		func(payload string) {
			c := newCluster(4)
			i := c.startInstance(func(h *hooks) {
				h.beforeCommit = func(ops []kv.Op) {
					if endsJob(ops) && c.store.Value(board.CancelKey(id)) == nil {
						c.store.Put(board.CancelKey(id), []byte("x"))
					}
				}
			})
			Eventually(i.isLeader, shortTimeout).Should(BeTrue())
			i.submit(id, workflow.Spec{Payload: payload, Steps: []workflow.Step{step(1)}})
			Eventually(func() workflow.State { return i.state(id) }, shortTimeout).Should(Equal(workflow.Cancelled))
			Eventually(func() workflow.State { return c.recordedState(id) }, shortTimeout).Should(Equal(workflow.Cancelled))
			Consistently(func() workflow.State { return i.state(id) }, 500*time.Millisecond).Should(Equal(workflow.Cancelled))
			for _, w := range c.workers {
				Eventually(w.AckedEndNumber, shortTimeout).Should(Equal(len(w.Starts())), "its ends are acknowledged")
			}
		},
		Entry("as completed", "ms=200"),
		Entry("as failed", "ms=200 fails=9"),
	)

	// Guards against a leader that reads what the store holds of each job in turn, runs into the timeout of a
	// call whenever the store is slow, and begins again.
	It("stays cancelled beside others while the store is slow", func() {
		const jobs = 8
		c := newCluster(1)
		var once sync.Once
		i := c.startInstance(func(h *hooks) {
			h.readDelay = 250 * time.Millisecond
			h.beforeCommit = func(ops []kv.Op) {
				if endsJob(ops) {
					once.Do(func() {
						// Meanwhile the other jobs end.
						time.Sleep(300 * time.Millisecond)
						for n := range jobs {
							c.store.Put(board.CancelKey(jobID(n)), []byte("x"))
						}
					})
				}
			}
		})
		Eventually(i.isLeader, shortTimeout).Should(BeTrue())
		for n := range jobs {
			i.submit(jobID(n), workflow.Spec{Payload: "ms=1000", Steps: []workflow.Step{step(1)}})
		}
		Eventually(c.workers[0].Running, shortTimeout).Should(Equal(jobs))
		for n := range jobs {
			Eventually(func() workflow.State { return c.recordedState(jobID(n)) }, 2*shortTimeout).Should(Equal(workflow.Cancelled))
		}
	})

	It("stays completed if its end is recorded first, also without an answer", func() {
		c := newCluster(1)
		i := c.startInstance(nil)
		Eventually(i.isLeader, shortTimeout).Should(BeTrue())
		var ended bool
		i.set(func(h *hooks) {
			h.afterCommit = func(ops []kv.Op) error {
				if !endsJob(ops) || ended {
					return nil
				}
				ended = true
				c.store.Put(board.CancelKey(id), []byte("x"))
				return &kv.Error{Op: "commit", Kind: kv.Ambiguous, Err: errors.New("answer lost")}
			}
		})
		i.submit(id, short)
		Eventually(func() workflow.State { return i.state(id) }, shortTimeout).Should(Equal(workflow.Completed))
		Eventually(c.workers[0].AckedEndNumber, shortTimeout).Should(BeNumerically(">", 0), "its end is acknowledged")
		Consistently(func() workflow.State { return i.state(id) }, 500*time.Millisecond).Should(Equal(workflow.Completed))
		Expect(c.recordedState(id)).To(Equal(workflow.Completed))
	})

	It("is not completed by a leader that holds its end from an earlier one", func() {
		c := newCluster(1)
		first := c.startInstance(nil)
		Eventually(first.isLeader, shortTimeout).Should(BeTrue())
		first.submit(id, workflow.Spec{Payload: "ms=60000", Steps: []workflow.Step{step(1)}})
		Eventually(func() workflow.State { return c.recordedState(id) }, shortTimeout).Should(Equal(workflow.Running))
		first.election.Resign(context.Background())
		c.store.Put(board.CancelKey(id), []byte("x"))
		next := c.startInstance(nil)
		next.board.Hold(board.End{Job: id, Progress: workflow.Progress{State: workflow.Completed}})
		Eventually(func() workflow.State { return c.recordedState(id) }, shortTimeout).Should(Equal(workflow.Cancelled))
		Eventually(c.workers[0].Running, shortTimeout).Should(BeZero())
		Expect(next.state(id)).To(Equal(workflow.Cancelled))
	})

	It("is not shown as cancelled by an instance that has not seen its end yet", func() {
		c := newCluster(1)
		leader := c.startInstance(nil)
		Eventually(leader.isLeader, shortTimeout).Should(BeTrue())
		other := c.startInstance(nil)
		leader.submit(id, workflow.Spec{Payload: "ms=1500", Steps: []workflow.Step{step(1)}})
		Eventually(func() workflow.State { return other.state(id) }, shortTimeout).Should(Equal(workflow.Running))
		Expect(other.jobsMirror.Stop(context.Background())).To(Succeed())
		Eventually(func() workflow.State { return leader.state(id) }, shortTimeout).Should(Equal(workflow.Completed))
		grant, _ := other.handler.Admit(intake.Call{Host: "h", Path: "/b/" + id})
		Expect(other.handler.Cancel(context.Background(), grant).Verdict).To(Equal(intake.OK))
		Expect(other.state(id)).To(Equal(workflow.Completed))
	})
})
