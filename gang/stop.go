package gang

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/scheduler"
	"github.com/chestnutsail/chestnutsail/worker"
)

// stopAll stops every member. It waits until each member has confirmed the stop or its lease
// must have ended.
func (g *Gang) stopAll(ctx context.Context, grace clock.Millis) Result {
	if g.state.Is(stateEnded) {
		return g.summarize(nil)
	}
	if !g.state.Is(stateStopping) {
		g.transition(stop)
	}
	unanswered := make([]bool, len(g.opts.Record.Members))
	told := g.broadcast(ctx, grace)
	var wg sync.WaitGroup
	for i, m := range g.placement() {
		wg.Go(func() {
			t, ok := g.stopMember(ctx, m, grace, told)
			unanswered[i] = !ok
			if ok {
				g.locked(func() {
					g.tasks[i] = t
					g.lifted = g.lifted || t.Ran
				})
			}
		})
	}
	wg.Wait()
	if ctx.Err() == nil {
		g.transition(end)
	}
	for i := range unanswered {
		g.locked(func() { g.lifted = g.lifted || g.mayHaveRun(i, unanswered[i]) })
	}
	return g.summarize(unanswered)
}

// mayHaveRun reports whether a member that another scheduler has placed may have run although
// its worker does not report that: the worker does not answer, or its process was
// replaced. The caller holds mu.
func (g *Gang) mayHaveRun(i int, unanswered bool) bool {
	m, t := g.opts.Record.Members[i], g.tasks[i]
	replaced := m.Incarnation != "" && t.Incarnation != m.Incarnation
	return g.opts.Foreign && (unanswered || replaced)
}

// broadcast asks the instances that may be renewing a member's lease to stop it. The returned
// function waits for the calls to end and returns when they ended, and whether all instances
// acknowledged.
func (g *Gang) broadcast(ctx context.Context, grace clock.Millis) func() (clock.Millis, bool) {
	g.mu.Lock()
	renewable := g.renewable || g.opts.Foreign
	g.mu.Unlock()
	calledAt := g.opts.Clock.Now()
	if !renewable {
		return func() (clock.Millis, bool) { return calledAt, true }
	}
	var toldAt clock.Millis
	var acknowledged bool
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		acknowledged = g.opts.Broadcast(ctx, grace)
		toldAt = g.opts.Clock.Now()
	}()
	return func() (clock.Millis, bool) {
		<-ended
		return toldAt, acknowledged
	}
}

// stopMember retries the stop of one member until the process that holds it answers or its
// lease must have ended. It returns false when the member did not confirm the stop.
func (g *Gang) stopMember(ctx context.Context, m job.Member, grace clock.Millis, told func() (clock.Millis, bool)) (worker.Task, bool) {
	for ctx.Err() == nil {
		if a := g.opts.Agent(m.Worker); a != nil {
			t, err := g.stopOnce(ctx, a, m, grace)
			if err == nil {
				return t, true
			}
			// Replaced does not end the wait: that another process answers under the worker's
			// name does not show that the one that holds the member has ended.
			if worker.RefusalOf(err) == worker.Fenced {
				// A newer scheduler or attempt has taken over the member.
				return worker.Task{State: worker.LeaseExpired}, false
			}
		}
		if g.opts.Clock.Now() >= g.mayRunUntil(told) {
			return worker.Task{}, false
		}
		clock.Sleep(ctx, clock.FromDuration(retryInterval))
	}
	return worker.Task{}, false
}

func (g *Gang) stopOnce(ctx context.Context, a Agent, m job.Member, grace clock.Millis) (worker.Task, error) {
	ctx, cancel := context.WithTimeout(ctx, (grace + g.opts.Times.CallTimeout).Duration())
	defer cancel()
	r := g.opts.Record
	return a.Stop(ctx, worker.Stop{ID: r.Spec.ID(), Attempt: r.Attempt, Term: g.opts.Term, Grace: grace, Incarnation: m.Incarnation})
}

// mayRunUntil returns the time until which a member that does not answer may still run. Before
// the first lift that is 0. After it, and for every gang that another scheduler has recorded,
// it is the end of the longest lease that the member can have, by the slowest clock, plus, for
// a job that is not idempotent, the time for which an instance that did not acknowledge the
// broadcast may keep renewing it.
func (g *Gang) mayRunUntil(told func() (clock.Millis, bool)) clock.Millis {
	g.mu.Lock()
	lifted := g.lifted || g.opts.Foreign
	g.mu.Unlock()
	if !lifted {
		return 0
	}
	// An instance may renew the lease until it acknowledges the broadcast.
	toldAt, acknowledged := told()
	until := toldAt + g.opts.Times.lapse() + g.opts.Times.CallTimeout
	if !g.opts.Record.Spec.Idempotent && !acknowledged {
		until += g.opts.OrphanTimeout
	}
	return until
}

// summarize returns the result of a stop from the last known states of the members.
func (g *Gang) summarize(unanswered []bool) Result {
	r := g.result(scheduler.Stopped, "", nil)
	finished := 0
	for i, t := range r.Tasks {
		name := g.opts.Record.Members[i].Worker
		switch {
		case t.State == worker.Failed && t.Attempt == g.opts.Record.Attempt:
			r.Kind, r.Worker = scheduler.Broken, name
			return r
		case t.State == worker.Finished:
			finished++
		case unanswered != nil && unanswered[i]:
			r.Kind, r.Worker = scheduler.Lost, name
		}
	}
	if finished > 0 && finished == len(r.Tasks) {
		r.Kind = scheduler.Finished
		return r
	}
	r.Checkpoint = resumePoint(r.Tasks, g.opts.Record.Checkpoint)
	return r
}

// resumePoint returns the name of the checkpoint to resume from: the first member's, if every
// member has written one, and otherwise the last one.
func resumePoint(tasks []worker.Task, last string) string {
	if len(tasks) == 0 || slices.ContainsFunc(tasks, func(t worker.Task) bool { return t.Checkpoint == "" }) {
		return last
	}
	return tasks[0].Checkpoint
}

// Check queries the state of every member. The result is Finished when all members have
// finished, Broken when a member has failed, Lost when a member was stopped or no longer
// exists or when there are no members, and Started otherwise. When a member cannot be queried,
// because its worker does not answer or another process answers, the kind is empty and
// Result.Err is set. Check stops nothing.
func (g *Gang) Check(ctx context.Context) Result {
	name, err := g.forEachMember(ctx, g.query)
	if err != nil {
		return g.result("", name, err)
	}
	r := g.result(scheduler.Finished, "", nil)
	if len(r.Tasks) == 0 {
		r.Kind = scheduler.Lost
	}
	for i, t := range r.Tasks {
		name := g.opts.Record.Members[i].Worker
		g.locked(func() { g.lifted = g.lifted || t.Ran || g.mayHaveRun(i, false) })
		switch {
		case t.State == worker.Failed:
			return g.result(scheduler.Broken, name, nil)
		case t.State == worker.LeaseExpired || t.State == worker.Stopped:
			r.Kind, r.Worker = scheduler.Lost, name
		case t.State != worker.Finished && r.Kind == scheduler.Finished:
			r.Kind = scheduler.Started
		}
	}
	r.Lifted = g.lifted
	return r
}

// Adopt takes over a gang that another scheduler has recorded. A gang whose members all run
// continues, the interrupted start of a gang is completed, and any other gang that has not
// finished is stopped.
func (g *Gang) Adopt(ctx context.Context) Result {
	g.operation.Lock()
	defer g.operation.Unlock()
	g.locked(func() { g.committed, g.renewable = true, true })
	current := g.checkUntilAnswered(ctx)
	if g.stopRequested() {
		return g.stopAll(ctx, 0)
	}
	if current.Kind == scheduler.Finished {
		g.transition(run)
		g.transition(end)
		return current
	}
	if current.Kind != scheduler.Started {
		r := g.stopAll(ctx, 0)
		if r.Kind == scheduler.Stopped {
			r.Kind, r.Worker = scheduler.Lost, current.Worker
		}
		if r.Kind == scheduler.Lost && !r.Lifted && current.Err == nil {
			r.Kind = scheduler.Refused
		}
		return r
	}
	if !allWhole(current.Tasks) {
		return g.launch(ctx)
	}
	// Every member was confirmed before or has finished; another Lift sends it the new term.
	g.transition(start)
	g.transition(lift)
	if name, err := g.forEachMember(ctx, g.confirm); err != nil {
		return g.abortStart(ctx, name, err)
	}
	g.transition(run)
	return g.result(scheduler.Started, "", nil)
}

// checkUntilAnswered repeats Check until all members have answered, another process answers
// for a member, the lease of a member that does not answer must have ended, or a stop was
// requested.
func (g *Gang) checkUntilAnswered(ctx context.Context) Result {
	deadline := g.opts.Clock.Now() + g.opts.Times.Lease
	for {
		r := g.Check(ctx)
		// While another process answers for a member, the others must not run on without it.
		replaced := worker.RefusalOf(r.Err) == worker.Replaced
		if r.Err == nil || replaced || g.stopRequested() || g.opts.Clock.Now() >= deadline {
			// A member that never answered may have run.
			g.locked(func() { g.lifted = g.lifted || r.Err != nil })
			return r
		}
		if !clock.Sleep(ctx, clock.FromDuration(time.Second)) {
			return r
		}
	}
}

func allWhole(tasks []worker.Task) bool {
	for _, t := range tasks {
		if !t.GangRunning && t.State != worker.Finished {
			return false
		}
	}
	return true
}

// Release tells the workers to delete the ended tasks of the gang. Call it after the job's
// record contains the result.
func (g *Gang) Release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, g.opts.Times.CallTimeout.Duration())
	defer cancel()
	var wg sync.WaitGroup
	for _, m := range g.opts.Record.Members {
		wg.Go(func() {
			_, err := g.callMember(ctx, m, func(ctx context.Context, a Agent, t worker.Task) (worker.Task, error) {
				return t, a.Release(ctx, t.ID, t.Attempt)
			})
			if err != nil {
				g.opts.Log.WithError(err).Debug("gang: task not released")
			}
		})
	}
	wg.Wait()
}
