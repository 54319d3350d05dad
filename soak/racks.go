package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/election"
	"github.com/chestnutsail/chestnutsail/platform/platformtest"
)

const (
	// rackQueue has no other jobs, so that what is learned of their run times does not shorten
	// the declared ones of gangs.
	rackQueue = "racks"
	// rackJobInterval is the time between two jobs of the queue rackQueue.
	rackJobInterval = 700 * time.Millisecond
	// firstRackJob and firstHolder are the numbers of the first such jobs in their IDs.
	firstRackJob, firstHolder = 1 << 16, 1 << 17
	// heldPerRack is the number of long tasks in each rack after the faults, and gangWidth the
	// number of tasks of the gang that waits beside them. The gang fits into no rack then, and
	// twice over into all of them, while a quarter of the accelerators is in use.
	heldPerRack, gangWidth = 2, 7
	// holdTime is the run time of the long tasks on their workers with leases of maxLease: the restart of the leader,
	// calmTime and twice maxIdleTime pass in it.
	holdTime = 16 * time.Second
	// gangEstimate is the declared run time of the gang's tasks.
	gangEstimate = 20 * time.Second
	// settledTimeout is how long instances without faults may take to get ready, and the long
	// tasks to start.
	settledTimeout = 10 * time.Second
)

// rackName returns the rack of the worker with an index.
func rackName(worker int) string { return fmt.Sprintf("r1-%d", worker+1) }

// longTasks returns a job of tasks that run in one rack for the time that they declare.
func longTasks(count int, rack string, runTime time.Duration) platformtest.Job {
	return platformtest.Job{Spec: fmt.Sprintf("ms=%d", runTime.Milliseconds()), Count: count, Label: rack, Estimate: runTime}
}

// rackGang returns a gang that wants one rack.
func rackGang(count int, runTime, estimate time.Duration) platformtest.Job {
	return platformtest.Job{
		Spec: fmt.Sprintf("ms=%d gang=%d", runTime.Milliseconds(), count), Count: count, Gang: true, SameRack: true, Estimate: estimate,
	}
}

// submitRackJobs submits a long task in one rack and a gang that wants one rack in turn, one every
// rackJobInterval, until ctx ends, and waits for the answers.
func (r *run) submitRackJobs(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.opts.Seed, 2))
	var calls sync.WaitGroup
	for number := firstRackJob; ctx.Err() == nil; number++ {
		runTime := time.Duration(2000+random.IntN(3000)) * time.Millisecond
		body := longTasks(1, rackName(random.IntN(len(r.slots))), runTime)
		if number%2 == 1 {
			body = rackGang(2+random.IntN(gangWidth-1), runTime, runTime)
		}
		j, firstInstance := r.newJob(number, rackQueue, body), random.IntN(len(r.processes))
		calls.Go(func() { r.submitJob(j, firstInstance, false) })
		time.Sleep(rackJobInterval / time.Duration(r.opts.Scale))
	}
	calls.Wait()
}

// submitGangBesideLongTasks submits a gang that wants one rack, after long tasks in each rack have
// started, and restarts the leader while the gang waits. There must be no other faults.
func (r *run) submitGangBesideLongTasks() {
	for _, p := range r.processes {
		if err := p.awaitReady(settledTimeout); err != nil {
			r.violationf("after the faults: %v", err)
		}
	}
	for i, s := range r.slots {
		runTime := time.Duration(float64(holdTime+r.longerLease()) * s.speed())
		r.submitJob(r.newJob(firstHolder+i, rackQueue, longTasks(heldPerRack, rackName(i), runTime)), i%len(r.processes), false)
	}
	held := func() bool { return r.runningHolders() == len(r.slots)*heldPerRack }
	for deadline := time.Now().Add(settledTimeout); time.Now().Before(deadline) && !held(); {
		time.Sleep(50 * time.Millisecond)
	}
	racksHeld := held()
	gang := r.newJob(firstHolder+len(r.slots), rackQueue, rackGang(gangWidth, 500*time.Millisecond, gangEstimate))
	r.submitJob(gang, r.random.IntN(len(r.processes)), false)
	time.Sleep(time.Second)
	restarted := r.restartLeader()
	r.report.RackHeld = racksHeld && gang.accepted && restarted
}

// runningHolders returns the number of runs of the long tasks after the faults.
func (r *run) runningHolders() int {
	running := 0
	for _, interval := range r.history() {
		if interval.Ended.IsZero() && jobOf(interval) >= r.jobID(firstHolder) {
			running++
		}
	}
	return running
}

// restartLeader shuts the leader down and starts it again. It reports whether there was one.
func (r *run) restartLeader() bool {
	name, _, _ := election.ParseHolder(string(r.store.Value(board.LeaderKey)))
	found := false
	for _, p := range r.processes {
		if fmt.Sprint("e", p.index) == name {
			found = true
			p.signal(syscall.SIGTERM)
			r.restartFunc(p)()
		}
	}
	r.report.Faults = append(r.report.Faults, "restart of the leader "+name)
	r.calmFrom = time.Now()
	return found
}
