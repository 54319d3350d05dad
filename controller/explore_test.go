package controller_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/intake"
	"github.com/chestnutsail/chestnutsail/platform/platformtest"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// CHESTNUTSAIL_EXPLORE is the first seed that is run and CHESTNUTSAIL_EXPLORE_COUNT the number
// of seeds. The defaults are those that CI runs.
var (
	exploreFrom  = envInt("CHESTNUTSAIL_EXPLORE", 1)
	exploreCount = envInt("CHESTNUTSAIL_EXPLORE_COUNT", 2)
)

func envInt(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// exploreDuration is how long jobs are submitted and faults injected for one seed.
const exploreDuration = 2500 * time.Millisecond

// explorer runs random jobs and faults from one seed. The leader changes, answers of the store
// and of workers get lost, writes take effect late, and workers become unreachable, stop
// answering, drain or restart.
type explorer struct {
	*cluster
	random   *rand.Rand
	leader   *instance
	accepted []string
	faults   []string
}

func newExplorer(seed int) *explorer {
	e := &explorer{cluster: newCluster(4), random: rand.New(rand.NewPCG(uint64(seed), 1))}
	e.leader = e.startInstance(nil)
	Eventually(e.leader.isLeader, shortTimeout).Should(BeTrue())
	return e
}

func (e *explorer) logFaultf(format string, args ...any) {
	e.faults = append(e.faults, fmt.Sprintf(format, args...))
}

// submit submits a random job with an ID made from n, and notes the ID if the job is accepted.
func (e *explorer) submit(n int) {
	work := step(1 + e.random.IntN(4))
	work.Gang = e.random.IntN(3) == 0
	spec := workflow.Spec{Payload: fmt.Sprintf("gang=1 ms=%d fails=%d", 50+e.random.IntN(500), e.random.IntN(2)), Steps: []workflow.Step{work}}
	if e.random.IntN(3) == 0 {
		next := step(1 + e.random.IntN(2))
		next.After = []int{0}
		spec.Steps = append(spec.Steps, next)
	}
	id := jobID(n)
	grant, refusal := e.leader.handler.Admit(intake.Call{Host: "h", Path: []string{"/u/", "/b/"}[e.random.IntN(2)] + id})
	Expect(refusal).To(BeNil())
	if e.leader.handler.Submit(context.Background(), grant, spec).Verdict == intake.OK {
		e.accepted = append(e.accepted, id)
	}
}

// injectFault injects or ends one random fault.
func (e *explorer) injectFault() {
	x := e.workers[e.random.IntN(len(e.workers))]
	switch kind := e.random.IntN(9); kind {
	case 0:
		x.DropCalls(e.random.IntN(2) == 0)
		e.logFaultf("%s becomes unreachable or reachable", x.ID())
	case 1:
		x.HangCalls(e.random.IntN(2) == 0)
		e.logFaultf("%s stops or resumes answering", x.ID())
	case 2:
		x.LoseStartAnswers(1 + e.random.IntN(3))
		e.logFaultf("%s loses answers", x.ID())
	case 3:
		x.Close()
		e.addWorker(x.ID())
		e.logFaultf("%s restarts", x.ID())
	case 4:
		x.Register([]string{"draining", "ready"}[e.random.IntN(2)])
		e.logFaultf("%s becomes draining or ready", x.ID())
	case 5:
		e.store.SetFaults(func(f *platformtest.Faults) { f.LostAnswers += 1 + e.random.IntN(3) })
		e.logFaultf("the store loses answers")
	case 6:
		e.store.SetFaults(func(f *platformtest.Faults) { f.DelayedWrites, f.WriteDelay = 1+e.random.IntN(2), 400*time.Millisecond })
		e.logFaultf("writes of the store take effect late")
	case 7:
		e.store.SetFaults(func(f *platformtest.Faults) { f.MuteWatches = !f.MuteWatches })
		e.logFaultf("the store's watches stop or resume")
	case 8:
		e.leader.election.Resign(context.Background())
		e.leader = e.startInstance(nil)
		e.logFaultf("another instance becomes the leader")
	}
}

// endFaults ends all faults and makes all workers ready.
func (e *explorer) endFaults() {
	e.store.SetFaults(func(f *platformtest.Faults) { *f = platformtest.Faults{} })
	for _, x := range e.workers {
		x.DropCalls(false)
		x.HangCalls(false)
		x.LoseStartAnswers(0)
	}
	for _, x := range e.currentWorkers() {
		x.Register("ready")
	}
}

// currentWorkers returns, by ID, the last started process of each worker.
func (e *explorer) currentWorkers() map[string]*platformtest.Worker {
	current := make(map[string]*platformtest.Worker)
	for _, x := range e.workers {
		current[x.ID()] = x
	}
	return current
}

// unfinishedJobs returns the IDs of the accepted jobs that have not ended.
func (e *explorer) unfinishedJobs() []string {
	var unfinished []string
	for _, id := range e.accepted {
		if !e.leader.state(id).Final() {
			unfinished = append(unfinished, id)
		}
	}
	return unfinished
}

// Guards against accepted jobs that never end because a combination of faults left the records,
// the leader and the workers with different views of a run.
var _ = Describe("whatever fails", func() {
	It("every accepted job ends once nothing fails any more", func() {
		for seed := exploreFrom; seed < exploreFrom+exploreCount; seed++ {
			e := newExplorer(seed)
			for n, end := 0, time.Now().Add(exploreDuration); time.Now().Before(end); n++ {
				e.submit(1000*seed + n)
				if e.random.IntN(3) == 0 {
					e.injectFault()
				}
				time.Sleep(time.Duration(e.random.IntN(80)) * time.Millisecond)
			}
			e.endFaults()
			Eventually(e.unfinishedJobs, 2*leaseTimeout).Should(BeEmpty(), "seed %d: %v", seed, e.faults)
		}
	})
})
