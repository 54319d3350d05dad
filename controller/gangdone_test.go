package controller_test

import (
	"context"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/platform/platformtest"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// rewriteProgress replaces the recorded progress of a job.
func (i *instance) rewriteProgress(id string, change func(*workflow.Progress)) {
	GinkgoHelper()
	e, err := i.Store.Get(context.Background(), board.ProgressKey(id))
	Expect(err).NotTo(HaveOccurred())
	var progress workflow.Progress
	Expect(workflow.Decode(e.Value, &progress)).To(Succeed())
	change(&progress)
	_, err = i.Store.Commit(context.Background(), []kv.Op{{Key: e.Key, Version: e.Version, Value: workflow.Encode(progress)}})
	Expect(err).NotTo(HaveOccurred())
}

// Guards against a gang that is never planned again because only one of its members counts as done.
var _ = Describe("a gang of which one worker reports a successful end after its runs were given up", func() {
	It("is completed although the other worker has lost its end", func() {
		c := newCluster(2)
		i := c.startInstance(nil)
		Eventually(i.isLeader, shortTimeout).Should(BeTrue())
		wholeWorker := step(2)
		wholeWorker.Gang, wholeWorker.Accels = true, 8
		i.submit(jobID(1), workflow.Spec{Payload: "ms=800", Steps: []workflow.Step{wholeWorker}})
		for _, x := range c.workers {
			Eventually(x.Running, shortTimeout).Should(Equal(1))
		}
		for _, x := range c.workers {
			x.DropCalls(true)
		}
		given := func() bool {
			for _, e := range i.logs.AllEntries() {
				if e.Message == "controller: leases of an unresponsive worker have expired" {
					return true
				}
			}
			return false
		}
		Eventually(given, leaseTimeout).Should(BeTrue())
		time.Sleep(200 * time.Millisecond) // the leases on both workers have expired
		c.workers[1].Close()
		c.addWorker("i-1")
		c.workers[0].DropCalls(false)
		Eventually(func() workflow.State { return i.state(jobID(1)) }, leaseTimeout).Should(Equal(workflow.Completed))
		Expect(c.starts(jobID(1) + ".0.0.0")).To(HaveLen(1))
	})
})

// Guards against a later run of a gang that goes on although an earlier run was done.
var _ = Describe("a gang that runs anew when an earlier run turns out to be done", func() {
	It("is stopped and completed", func() {
		c := newCluster(4)
		i := c.startInstance(nil)
		Eventually(i.isLeader, shortTimeout).Should(BeTrue())
		wholeWorker := step(2)
		wholeWorker.Gang, wholeWorker.Accels = true, 8
		i.submit(jobID(1), workflow.Spec{Payload: "ms=1200", Steps: []workflow.Step{wholeWorker}})
		runs := func(number int) []platformtest.Start {
			return slices.DeleteFunc(append(c.starts(jobID(1)+".0.0.0"), c.starts(jobID(1)+".0.0.1")...), func(s platformtest.Start) bool { return s.Run != number })
		}
		Eventually(func() int { return len(runs(1)) }, shortTimeout).Should(Equal(2))
		earlier := runs(1)
		setReachable := func(reachable bool, starts ...platformtest.Start) {
			for _, x := range c.workers {
				for _, start := range starts {
					if start.Worker == x.ID() {
						x.DropCalls(!reachable)
					}
				}
			}
		}
		setReachable(false, earlier...)
		Eventually(func() int { return len(runs(2)) }, leaseTimeout, 5*time.Millisecond).Should(Equal(2))
		setReachable(true, earlier[0])
		Eventually(func() workflow.State { return i.state(jobID(1)) }, shortTimeout).Should(Equal(workflow.Completed))
		Eventually(func() []string {
			var outcomes []string
			for _, x := range c.workers {
				for _, interval := range x.History() {
					if interval.Run == 2 {
						outcomes = append(outcomes, interval.Outcome)
					}
				}
			}
			return outcomes
		}, shortTimeout).Should(Equal([]string{"stopped", "stopped"}))
		Consistently(func() int { return len(runs(3)) }, 300*time.Millisecond).Should(BeZero())
	})
})

// Guards against a new leader that goes on with a gang of which the record says that it is done.
var _ = Describe("a gang that is done by the record of an earlier leader", func() {
	// handOver runs a gang of two and a step after it until the gang runs, changes the record, and
	// returns the cluster with a new leader.
	handOver := func(change func(*workflow.StepProgress)) *cluster {
		c := newClusterWithLease(2, 10000)
		first := c.startInstance(nil)
		Eventually(first.isLeader, shortTimeout).Should(BeTrue())
		gang, next := step(2), step(1)
		gang.Gang, gang.Accels, next.Accels, next.After = true, 8, 8, []int{0}
		first.submit(jobID(1), workflow.Spec{Payload: "ms=5000", Steps: []workflow.Step{gang, next}})
		for _, x := range c.workers {
			Eventually(x.Running, shortTimeout).Should(Equal(1))
		}
		first.election.Resign(context.Background())
		Eventually(first.isLeader, shortTimeout).Should(BeFalse())
		first.rewriteProgress(jobID(1), func(p *workflow.Progress) { change(&p.Parts[0]) })
		second := c.startInstance(nil)
		Eventually(second.isLeader, shortTimeout).Should(BeTrue())
		return c
	}

	It("is stopped, so that the next step has its room", func() {
		c := handOver(func(p *workflow.StepProgress) { p.AllDone, p.Tasks = true, nil })
		Eventually(func() int { return len(c.starts(jobID(1) + ".0.1.0")) }, 2*time.Second).Should(Equal(1))
	})

	It("is done as a whole if the record says so of one member", func() {
		c := handOver(func(p *workflow.StepProgress) { p.Done, p.Tasks = []int{0}, p.Tasks[1:] })
		Eventually(func() int { return len(c.starts(jobID(1) + ".0.1.0")) }, 2*time.Second).Should(Equal(1))
	})

	It("ends its job if nothing else is left of it", func() {
		c := newCluster(2)
		first := c.startInstance(nil)
		Eventually(first.isLeader, shortTimeout).Should(BeTrue())
		gang := step(2)
		gang.Gang = true
		first.submit(jobID(1), workflow.Spec{Payload: "ms=5000", Steps: []workflow.Step{gang}})
		Eventually(func() workflow.State { return first.state(jobID(1)) }, shortTimeout).Should(Equal(workflow.Running))
		first.election.Resign(context.Background())
		Eventually(first.isLeader, shortTimeout).Should(BeFalse())
		first.rewriteProgress(jobID(1), func(p *workflow.Progress) {
			p.Parts[0].Done, p.Parts[0].Tasks, p.Parts[0].Places = []int{0}, nil, nil
		})
		for _, x := range c.workers {
			x.Close()
		}
		second := c.startInstance(nil)
		Eventually(second.isLeader, shortTimeout).Should(BeTrue())
		Eventually(func() workflow.State { return second.state(jobID(1)) }, 2*time.Second).Should(Equal(workflow.Completed))
	})
})
