package gang

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/scheduler"
	"github.com/chestnutsail/chestnutsail/worker"
)

// end stops every member and waits until each has confirmed or its lease must have ended.
func (g *Gang) end(ctx context.Context, grace clock.Millis) Result {
	if g.life.Is(ended) {
		return g.verdict(nil)
	}
	if !g.life.Is(stopping) {
		g.move(stop)
	}
	silent := make([]bool, len(g.opts.Record.Members))
	heard := g.broadcast(ctx, grace)
	var all sync.WaitGroup
	for i, m := range g.opts.Record.Members {
		all.Go(func() {
			t, ok := g.stopMember(ctx, m, grace, heard)
			silent[i] = !ok
			if ok {
				g.note(func() {
					g.tasks[i] = t
					g.lifted = g.lifted || t.Ran
				})
			}
		})
	}
	all.Wait()
	if ctx.Err() == nil {
		g.move(end)
	}
	for i := range silent {
		g.note(func() { g.lifted = g.lifted || g.doubtful(i, silent[i]) })
	}
	return g.verdict(silent)
}

// doubtful reports whether a member of another scheduler's gang may have run though
// it does not say so: it is silent, or its worker's process was replaced. The caller
// holds mu.
func (g *Gang) doubtful(i int, silent bool) bool {
	m, t := g.opts.Record.Members[i], g.tasks[i]
	replaced := m.Incarnation != "" && t.Incarnation != m.Incarnation
	return g.opts.Foreign && (silent || replaced)
}

// broadcast asks the entries that may renew a member to stop it, and returns whether
// all of them have heard it once that is known.
func (g *Gang) broadcast(ctx context.Context, grace clock.Millis) func() bool {
	g.mu.Lock()
	renewable := g.renewable
	g.mu.Unlock()
	if !renewable {
		return func() bool { return true }
	}
	spread := make(chan bool, 1)
	go func() { spread <- g.opts.Broadcast(ctx, grace) }()
	return sync.OnceValue(func() bool { return <-spread })
}

// stopMember asks one member to stop until it answers or its lease must have ended.
func (g *Gang) stopMember(ctx context.Context, m job.Member, grace clock.Millis, heard func() bool) (worker.Task, bool) {
	asked := g.opts.Clock.Now()
	for ctx.Err() == nil {
		if a := g.opts.Agent(m.Worker); a != nil {
			t, err := g.stopOnce(ctx, a, m, grace)
			if err == nil {
				return t, true
			}
			switch worker.RefusalOf(err) {
			case worker.Fenced, worker.Replaced:
				// A newer scheduler or attempt has taken the member over, or its process is gone.
				return worker.Task{State: worker.Lapsed}, false
			}
		}
		if g.opts.Clock.Now() >= asked+g.leaseEnd(heard) {
			return worker.Task{}, false
		}
		clock.Sleep(ctx, clock.FromDuration(backoff))
	}
	return worker.Task{}, false
}

func (g *Gang) stopOnce(ctx context.Context, a Agent, m job.Member, grace clock.Millis) (worker.Task, error) {
	ctx, cancel := context.WithTimeout(ctx, (grace + g.opts.Times.Call).Duration())
	defer cancel()
	r := g.opts.Record
	return a.Stop(ctx, worker.Stop{ID: r.Spec.ID(), Attempt: r.Attempt, Term: g.opts.Term, Grace: grace, Incarnation: m.Incarnation})
}

// leaseEnd returns how long after the first call a silent member may still run: not
// at all before the first lift, otherwise as long as the longest lease it can have,
// and as long as an entry that was not heard may go on renewing.
func (g *Gang) leaseEnd(heard func() bool) clock.Millis {
	g.mu.Lock()
	lifted := g.lifted || g.opts.Foreign
	g.mu.Unlock()
	if !lifted {
		return 0
	}
	span := g.opts.Times.Lease + g.opts.Times.Call
	if !g.opts.Record.Spec.Idempotent && !heard() {
		span += g.opts.Orphan
	}
	return span
}

// verdict sums up the members' last states.
func (g *Gang) verdict(silent []bool) Result {
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
		case silent != nil && silent[i]:
			r.Kind, r.Worker = scheduler.Lost, name
		}
	}
	if finished == len(r.Tasks) {
		r.Kind = scheduler.Finished
		return r
	}
	r.Checkpoint = checkpoint(r.Tasks, g.opts.Record.Checkpoint)
	return r
}

// checkpoint names the point to resume from: the first member's, when every member made one.
func checkpoint(tasks []worker.Task, last string) string {
	for _, t := range tasks {
		if t.Checkpoint == "" {
			return last
		}
	}
	return tasks[0].Checkpoint
}

// Check asks every member how it stands and returns Started while all run or have
// finished, Finished when all have, Broken when one failed, and Lost when one is not
// there any more. It stops nothing.
func (g *Gang) Check(ctx context.Context) Result {
	name, err := g.each(ctx, func(ctx context.Context, a Agent, t worker.Task) (worker.Task, error) {
		now, err := a.Task(ctx, t.ID)
		if worker.RefusalOf(err) == worker.Absent || (err == nil && now.Attempt != t.Attempt) {
			return worker.Task{ID: t.ID, Attempt: t.Attempt, State: worker.Lapsed}, nil
		}
		return now, err
	})
	if err != nil {
		return g.result("", name, err)
	}
	r := g.result(scheduler.Finished, "", nil)
	for i, t := range r.Tasks {
		name := g.opts.Record.Members[i].Worker
		g.note(func() { g.lifted = g.lifted || t.Ran || g.doubtful(i, false) })
		switch {
		case t.State == worker.Failed:
			return g.result(scheduler.Broken, name, nil)
		case t.State == worker.Lapsed || t.State == worker.Stopped:
			r.Kind, r.Worker = scheduler.Lost, name
		case t.State != worker.Finished && r.Kind == scheduler.Finished:
			r.Kind = scheduler.Started
		}
	}
	r.Lifted = g.lifted
	return r
}

// Adopt takes over a gang that another scheduler has recorded: one that runs whole
// goes on, one that was being started is brought to run, any other is stopped.
func (g *Gang) Adopt(ctx context.Context) Result {
	g.begun.Lock()
	defer g.begun.Unlock()
	g.note(func() { g.committed, g.renewable = true, true })
	seen := g.await(ctx)
	if g.halted() {
		return g.end(ctx, 0)
	}
	if seen.Kind == scheduler.Finished {
		g.move(run)
		g.move(end)
		return seen
	}
	if seen.Kind != scheduler.Started {
		r := g.end(ctx, 0)
		if r.Kind == scheduler.Stopped {
			r.Kind, r.Worker = scheduler.Lost, seen.Worker
		}
		if r.Kind == scheduler.Lost && !r.Lifted && seen.Err == nil {
			r.Kind = scheduler.Refused
		}
		return r
	}
	if !whole(seen.Tasks) {
		return g.launch(ctx)
	}
	// Confirming shows the members the new term.
	g.move(start)
	g.move(lift)
	if name, err := g.each(ctx, g.confirm); err != nil {
		return g.fail(ctx, name, err)
	}
	g.move(run)
	return g.result(scheduler.Started, "", nil)
}

// await checks the members until all have answered or a silent one's lease must have ended.
func (g *Gang) await(ctx context.Context) Result {
	deadline := g.opts.Clock.Now() + g.opts.Times.Lease
	for {
		r := g.Check(ctx)
		if r.Err == nil || g.halted() || g.opts.Clock.Now() >= deadline {
			// A member that was never heard may have run.
			g.note(func() { g.lifted = g.lifted || r.Err != nil })
			return r
		}
		if !clock.Sleep(ctx, clock.FromDuration(time.Second)) {
			return r
		}
	}
}

func whole(tasks []worker.Task) bool {
	for _, t := range tasks {
		if !t.Whole && t.State != worker.Finished {
			return false
		}
	}
	return true
}

// Release lets the members forget their ended tasks. It is called once the job's
// record tells how they ended.
func (g *Gang) Release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, g.opts.Times.Call.Duration())
	defer cancel()
	var all sync.WaitGroup
	for _, m := range g.opts.Record.Members {
		all.Go(func() {
			_, err := g.call(ctx, m, func(ctx context.Context, a Agent, t worker.Task) (worker.Task, error) {
				return t, a.Release(ctx, t.ID, t.Attempt)
			})
			if err != nil {
				g.opts.Log.WithError(err).Debug("gang: task not released")
			}
		})
	}
	all.Wait()
}
