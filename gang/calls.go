package gang

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/worker"
)

// forEachMember calls f for all members concurrently and records the returned tasks. It
// returns the first error and the name of the worker that caused it, and cancels the
// remaining calls after an error.
func (g *Gang) forEachMember(ctx context.Context, f func(ctx context.Context, a Agent, t worker.Task) (worker.Task, error)) (name string, err error) {
	ctx, cancel := context.WithTimeout(ctx, g.opts.Times.CallTimeout.Duration())
	defer cancel()
	var calls sync.WaitGroup
	var mu sync.Mutex
	for i, m := range g.opts.Record.Members {
		calls.Go(func() {
			t, callErr := g.callMember(ctx, m, f)
			mu.Lock()
			defer mu.Unlock()
			if callErr == nil {
				g.locked(func() { g.tasks[i] = t })
			} else if err == nil {
				name, err = m.Worker, callErr
				// The gang cannot become whole any more, so the other calls are pointless.
				cancel()
			}
		})
	}
	calls.Wait()
	return name, err
}

func (g *Gang) callMember(ctx context.Context, m job.Member, f func(context.Context, Agent, worker.Task) (worker.Task, error)) (worker.Task, error) {
	a := g.opts.Agent(m.Worker)
	if a == nil {
		return worker.Task{}, errNotListed
	}
	return f(ctx, a, g.memberTask(m))
}

func (g *Gang) memberTask(m job.Member) worker.Task {
	r := g.opts.Record
	return worker.Task{
		ID: r.Spec.ID(), Attempt: r.Attempt, Term: g.opts.Term,
		Tasks: m.Tasks, Needs: r.Spec.Shape.Resources(m.Tasks), Incarnation: g.incarnation(m.Worker),
	}
}

func (g *Gang) reserve(ctx context.Context, a Agent, t worker.Task) (worker.Task, error) {
	t.Lease = g.opts.Times.Reservation
	return a.Reserve(ctx, t)
}

func (g *Gang) start(ctx context.Context, a Agent, t worker.Task) (worker.Task, error) {
	r := g.opts.Record
	t.Lease, t.Payload, t.Checkpoint = g.opts.Times.StartLease, r.Spec.Payload, r.Checkpoint
	for _, m := range r.Members {
		t.Gang = append(t.Gang, m.Worker)
	}
	out, err := a.Start(ctx, t)
	return orCompleted(ctx, a, t, out, err)
}

func (g *Gang) lift(ctx context.Context, a Agent, t worker.Task) (worker.Task, error) {
	t.Lease = g.opts.Times.StartLease
	out, err := a.Lift(ctx, t)
	return orCompleted(ctx, a, t, out, err)
}

func (g *Gang) confirm(ctx context.Context, a Agent, t worker.Task) (worker.Task, error) {
	t.Lease, t.GangRunning = g.opts.Times.Lease, true
	out, err := a.Lift(ctx, t)
	return orCompleted(ctx, a, t, out, err)
}

// query returns the state of a member. The state is LeaseExpired when the process that holds
// the member no longer has it. The error contains the refusal Replaced when another process
// answers.
func (g *Gang) query(ctx context.Context, a Agent, t worker.Task) (worker.Task, error) {
	current, err := a.Task(ctx, t.ID)
	absent := worker.RefusalOf(err) == worker.Absent
	if err != nil && !absent {
		return current, err
	}
	holds := !absent && current.Attempt == t.Attempt
	if t.Incarnation == "" || (holds && current.Incarnation == t.Incarnation) {
		return orLapsed(t, current, holds), nil
	}
	// A call of Task does not say which process it is meant for. The fence does, and it stops
	// nothing: the process that holds the member has seen the attempt.
	current, err = a.Stop(ctx, worker.Stop{ID: t.ID, Attempt: t.Attempt, Term: t.Term, FenceOnly: true, Incarnation: t.Incarnation})
	return orLapsed(t, current, current.Attempt == t.Attempt), err
}

// orLapsed returns the task current of a worker that holds the member t, and t as
// LeaseExpired when the worker no longer holds it.
func orLapsed(t, current worker.Task, holds bool) worker.Task {
	if holds {
		return current
	}
	return worker.Task{ID: t.ID, Attempt: t.Attempt, State: worker.LeaseExpired}
}

// orCompleted handles a call that the agent refused because it does not hold the task. If
// the task has ended by itself, orCompleted returns the ended task and no error;
// otherwise it returns out and err unchanged.
func orCompleted(ctx context.Context, a Agent, t, out worker.Task, err error) (worker.Task, error) {
	if worker.RefusalOf(err) != worker.Absent {
		return out, err
	}
	current, taskErr := a.Task(ctx, t.ID)
	if taskErr == nil && current.Attempt == t.Attempt && current.State.Complete() {
		return current, nil
	}
	return out, err
}

// retryInterval is the time between two calls to an agent that did not answer.
const retryInterval = 200 * time.Millisecond
