package gang

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/worker"
)

// each calls f for every member at once and returns the first failure.
func (g *Gang) each(ctx context.Context, f func(ctx context.Context, a Agent, t worker.Task) (worker.Task, error)) (name string, err error) {
	ctx, cancel := context.WithTimeout(ctx, g.opts.Times.Call.Duration())
	defer cancel()
	var all sync.WaitGroup
	var mu sync.Mutex
	for i, m := range g.opts.Record.Members {
		all.Go(func() {
			t, failed := g.call(ctx, m, f)
			mu.Lock()
			defer mu.Unlock()
			if failed == nil {
				g.note(func() { g.tasks[i] = t })
			} else if err == nil {
				name, err = m.Worker, failed
				// The other calls can no longer make the gang whole.
				cancel()
			}
		})
	}
	all.Wait()
	return name, err
}

func (g *Gang) call(ctx context.Context, m job.Member, f func(context.Context, Agent, worker.Task) (worker.Task, error)) (worker.Task, error) {
	a := g.opts.Agent(m.Worker)
	if a == nil {
		return worker.Task{}, errNotListed
	}
	return f(ctx, a, g.task(m))
}

func (g *Gang) task(m job.Member) worker.Task {
	r := g.opts.Record
	return worker.Task{
		ID: r.Spec.ID(), Attempt: r.Attempt, Term: g.opts.Term,
		Tasks: m.Tasks, Needs: r.Spec.Shape.Resources(m.Tasks),
	}
}

func (g *Gang) reserve(ctx context.Context, a Agent, t worker.Task) (worker.Task, error) {
	t.Lease = g.opts.Times.Hold
	return a.Reserve(ctx, t)
}

func (g *Gang) start(ctx context.Context, a Agent, t worker.Task) (worker.Task, error) {
	r := g.opts.Record
	t.Lease, t.Payload, t.Checkpoint = g.opts.Times.Short, r.Spec.Payload, r.Checkpoint
	for _, m := range r.Members {
		t.Gang = append(t.Gang, m.Worker)
	}
	out, err := a.Start(ctx, t)
	return orComplete(ctx, a, t, out, err)
}

func (g *Gang) lift(ctx context.Context, a Agent, t worker.Task) (worker.Task, error) {
	t.Lease = g.opts.Times.Short
	out, err := a.Lift(ctx, t)
	return orComplete(ctx, a, t, out, err)
}

func (g *Gang) confirm(ctx context.Context, a Agent, t worker.Task) (worker.Task, error) {
	t.Lease, t.Whole = g.opts.Times.Lease, true
	out, err := a.Lift(ctx, t)
	return orComplete(ctx, a, t, out, err)
}

// orComplete looks again at a task that is not there: it may have ended by itself.
func orComplete(ctx context.Context, a Agent, t, out worker.Task, err error) (worker.Task, error) {
	if worker.RefusalOf(err) != worker.Absent {
		return out, err
	}
	now, asked := a.Task(ctx, t.ID)
	if asked == nil && now.Attempt == t.Attempt && now.State.Complete() {
		return now, nil
	}
	return out, err
}

// backoff is the pause between two calls to an agent that did not answer.
const backoff = 200 * time.Millisecond
