package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/platform/platformtest"
)

const (
	// changeInterval is the longest time between two changes of the configuration.
	changeInterval = time.Second
	// rollbackSlack is the time after the effect of a configuration within which the platform's rules still
	// allow an instance to answer by an older one.
	rollbackSlack = 250 * time.Millisecond
	// applyTime is the time within which a configuration is in force, in calm times.
	applyTime = 4 * time.Second
	// firstChangeJob is the number of the first job in a queue that was added.
	firstChangeJob = 1 << 24
)

// changeAnswer is an answer to a call for a queue that a change has added.
type changeAnswer struct {
	instance, processID int
	// change is the number of the change, and job the ID of the job that was submitted; "" for a query.
	change   int
	job      string
	status   int
	from, to time.Time
}

// knew reports whether the instance knew the change, and missed whether it said that there is no such queue.
func (a changeAnswer) knew() bool   { return a.status == http.StatusOK || a.status == http.StatusGone }
func (a changeAnswer) missed() bool { return a.status == http.StatusNotFound }

// changeQueue returns the name of the queue that a change adds.
func changeQueue(change int) string { return fmt.Sprintf("c-%d", change) }

// putConfig writes the configuration with the queues of a number of changes.
func (r *run) putConfig(changes int) {
	queues := []platformtest.Queue{
		{Name: "urgent", Priority: 0, Attempts: 3},
		{Name: "batch", Priority: 2, Attempts: 3},
		{Name: rackQueue, Priority: 2, Attempts: 3},
	}
	for change := range changes {
		queues = append(queues, platformtest.Queue{Name: changeQueue(change + 1), Priority: 2, Attempts: 3})
	}
	r.store.Put(platform.ConfigKey, platformtest.Config(changes+1, queues...))
}

// changeConfig adds one queue after another until ctx ends.
func (r *run) changeConfig(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		sleepUpTo(ctx, random, changeInterval)
		r.putConfig(int(r.changes.Add(1)))
	}
}

// askChanges asks random instances for the count of one of the queues that were added last, or submits a job
// there, until ctx ends, and waits for the answers. Such a job is submitted once, so that it is known which
// instance has brought its runs about.
func (r *run) askChanges(ctx context.Context, random *rand.Rand) {
	var calls sync.WaitGroup
	for number := firstChangeJob; ctx.Err() == nil; sleepUpTo(ctx, random, askInterval) {
		newest := int(r.changes.Load())
		if newest == 0 {
			continue
		}
		p, change, submits := r.processes[random.IntN(len(r.processes))], max(1, newest-random.IntN(3)), random.IntN(8) == 0
		if !submits {
			calls.Go(func() { r.askChange(p, change, nil) })
			continue
		}
		j := r.newJob(number, changeQueue(change), platformtest.Job{Spec: "ms=100", Count: 1})
		number++
		calls.Go(func() { r.askChange(p, change, j) })
	}
	calls.Wait()
}

// askChange makes one call and notes its answer. The call submits a job, unless that is nil.
func (r *run) askChange(p *process, change int, j *job) {
	ctx := context.Background()
	a := changeAnswer{instance: p.index, processID: p.processID(), change: change, from: time.Now()}
	if j != nil {
		a.job, a.status = j.id, r.submitOnce(ctx, j, p)
	} else {
		_, a.status = r.caller.State(ctx, p.callerAddress, changeQueue(change), "")
	}
	a.to = time.Now()
	if p.processID() != a.processID {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changeAnswers = append(r.changeAnswers, a)
}

// checkChanges reports each answer of an instance by an older configuration than one by which the same process has
// answered, or by which a job that was submitted to it has started, and each instance at which the last
// configuration is not in force.
func (r *run) checkChanges(intervals []platformtest.Interval) {
	started := make(map[string]time.Time)
	for _, interval := range intervals {
		if first, ok := started[jobOf(interval)]; !ok || interval.Started.Before(first) {
			started[jobOf(interval)] = interval.Started
		}
	}
	for _, effect := range r.changeAnswers {
		at, ran := started[effect.job]
		if effect.knew() && (!ran || effect.to.Before(at)) {
			at, ran = effect.to, true
		}
		for _, later := range r.changeAnswers {
			if ran && later.missed() && later.processID == effect.processID && later.change <= effect.change && later.from.After(at.Add(rollbackSlack)) {
				r.violationf("instance e%d said %d ms after an effect of configuration %d that there is no queue of %d",
					later.instance, later.from.Sub(at).Milliseconds(), effect.change+1, later.change+1)
			}
		}
	}
	r.checkInForce()
}

// checkInForce reports the instances that don't know the last configuration applyTime after the last fault.
func (r *run) checkInForce() {
	time.Sleep(time.Until(r.calmFrom.Add(applyTime)))
	last := int(r.changes.Load())
	for _, p := range r.processes {
		if last == 0 {
			return
		}
		if _, status := r.caller.State(context.Background(), p.callerAddress, changeQueue(last), ""); status != http.StatusOK {
			r.violationf("instance e%d answers with status %d for a queue of the last configuration", p.index, status)
		}
	}
}
