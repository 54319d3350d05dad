package intake

import (
	"context"

	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/workflow"
)

const (
	// maxCountAge is the largest age of a count of waiting jobs that the callers' protocol allows.
	maxCountAge = 2 * clock.Second
	// refreshAfter is the time without changes in the local view after which the state of a job
	// that has not started is read from the store.
	refreshAfter = 400 * clock.Millisecond
	// recordingTime is the usual time from the end of a task until the store has its job's new
	// state: the worker's answer to the leader, and the leader's write.
	recordingTime = 40 * clock.Millisecond
)

// MayRelay reports whether another instance may be able to answer the call better, because this one
// can't carry it out or may know only an old state.
func (a *Answer) MayRelay() bool {
	return a.Verdict == Busy || a.Verdict == Unsure || a.Verdict == NotReady || a.Outdated
}

// State returns the state of a job.
func (h *Handler) State(ctx context.Context, g Grant) Answer {
	view, answer := h.findOwn(ctx, g)
	if answer != nil {
		return *answer
	}
	reachable := h.opts.Reachable()
	if !view.State().Final() && reachable {
		view = h.latest(ctx, view)
	}
	return Answer{Verdict: OK, State: view.State(), Outdated: !reachable && !view.State().Final()}
}

// Confirm notes that another instance has answered the call with a final state of the job, so that this
// one does not go back to an older state.
func (h *Handler) Confirm(g Grant, s workflow.State) {
	if s.Final() {
		h.opts.Board.Confirm(g.ID, s)
	}
}

// latest returns the newest state of an unfinished job. Callers ask for a running job when they
// expect its end, and the local view is behind the store. So latest gives the end of a running
// job the time to be recorded, and reads the store unless the local view shows it by then.
func (h *Handler) latest(ctx context.Context, view board.View) board.View {
	if view.State() != workflow.Running {
		if h.opts.SinceChange() > refreshAfter {
			return h.refresh(ctx, view)
		}
		return view
	}
	clock.Sleep(ctx, recordingTime)
	if current, ok := h.opts.Board.Find(view.ID); ok && current.State().Final() {
		return current
	}
	return h.refresh(ctx, view)
}

// refresh reads the progress of a job from the store, because the local view may be outdated. If
// the read fails, it returns the given view.
func (h *Handler) refresh(ctx context.Context, view board.View) board.View {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	entry, err := h.opts.Store.Get(ctx, board.ProgressKey(view.ID))
	if err != nil {
		h.opts.Log.WithError(err).WithField("job", view.ID).Debug("intake: state not read from the store; reporting the last known state")
		return view
	}
	h.opts.Board.Add(entry)
	if fresh, ok := h.opts.Board.Find(view.ID); ok {
		return fresh
	}
	return view
}

// Pending returns the number of a queue's jobs of which no task has started yet. It returns no
// number if the local view of the jobs is missing or too old.
func (h *Handler) Pending(g Grant) Answer {
	if age := h.opts.Age(); age > maxCountAge {
		return Answer{Verdict: NotReady, RetryAfter: retryAfter, Reason: "the jobs of late are not known here"}
	}
	return Answer{Verdict: OK, Pending: h.opts.Board.Pending(g.Queue.Name)}
}
