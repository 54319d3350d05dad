package soak

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/chestnutsail/chestnutsail/platform/platformtest"
)

const (
	// askInterval is the time between two queries of states during the faults.
	askInterval = 100 * time.Millisecond
	// maxStartAfterEnd is the time after callers were told that a job is completed in which the platform's
	// rules still allow a task of it to start, maxStartAfterCancel the same for a cancelled job in calm times.
	maxStartAfterEnd    = time.Second
	maxStartAfterCancel = 3 * time.Second
)

// askStates asks a random instance for the state of a random job every askInterval until ctx ends, and waits
// for the answers.
func (r *run) askStates(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.opts.Seed, 4))
	var calls sync.WaitGroup
	for ; ctx.Err() == nil; sleepUpTo(ctx, random, 2*askInterval) {
		j, p := r.randomJob(random), r.processes[random.IntN(len(r.processes))]
		if j == nil {
			continue
		}
		calls.Go(func() {
			state, _ := r.caller.State(context.Background(), p.callerAddress, j.queue, j.id)
			r.noteState(j, state)
		})
	}
	calls.Wait()
}

func (r *run) randomJob(random *rand.Rand) *job {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.jobs) == 0 {
		return nil
	}
	return r.jobs[random.IntN(len(r.jobs))]
}

// noteState notes the state that a caller was told. It reports a second final state of the same job.
func (r *run) noteState(j *job, state string) {
	if !isFinal(state) {
		return
	}
	r.mu.Lock()
	before := j.told
	if before == "" {
		j.told, j.toldAt = state, time.Now()
	}
	r.mu.Unlock()
	if before != "" && before != state {
		r.violationf("job %s was told as %s and later as %s", j.id, before, state)
	}
}

// checkAnswers reports runs that start although callers have been told that their job is over.
func (r *run) checkAnswers(j *job, intervals []platformtest.Interval) {
	for _, interval := range intervals {
		if !strings.HasPrefix(interval.Task, j.id+".") {
			continue
		}
		if j.told == "completed" && interval.Started.After(j.toldAt.Add(maxStartAfterEnd)) {
			r.violationf("task %s was started as %s, and callers were told that its job is completed", interval.Task, describe(interval))
		}
		if j.cancelledAt.IsZero() {
			continue
		}
		calm := j.cancelledAt
		if r.calmFrom.After(calm) {
			calm = r.calmFrom
		}
		if interval.Started.After(calm.Add(maxStartAfterCancel)) || (interval.Ended.IsZero() && r.observedUntil.After(calm.Add(maxStartAfterCancel))) {
			r.violationf("task %s was started as %s, and the cancellation of its job was answered", interval.Task, describe(interval))
		}
	}
}
