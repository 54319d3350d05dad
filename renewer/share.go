package renewer

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/worker"
)

// share is one worker that this entry renews.
type share struct {
	r      *Renewer
	target Target
	ctx    context.Context
	cancel context.CancelFunc
	lost   atomic.Bool

	mu    sync.Mutex
	tasks map[string]worker.Task
	since uint64
	// told is set once a report was taken in, so that since says what is known.
	told bool
	// stops are the tasks to be stopped, by ID.
	stops map[string]order
	// wake ends a renewal that waits, so that a stop is carried out; woken tells that it did.
	wake  context.CancelFunc
	woken bool
}

// order is a stop that is to be carried out.
type order struct {
	attempt int
	grace   clock.Millis
	due     clock.Millis
}

func newShare(ctx context.Context, r *Renewer, t Target) *share {
	s := &share{r: r, target: t, tasks: make(map[string]worker.Task), stops: make(map[string]order)}
	s.ctx, s.cancel = context.WithCancel(ctx)
	return s
}

// over reports whether the worker was given up and is not listed any more.
func (s *share) over() bool { return s.lost.Load() && !s.r.listed(s.target.Name) }

// run renews until the share ends.
func (s *share) run() {
	heard := s.r.opts.Clock.Now()
	for s.ctx.Err() == nil {
		sent := s.r.opts.Clock.Now()
		term := s.r.opts.Term()
		if term == 0 || !s.stop(term) {
			clock.Sleep(s.ctx, min(pause, s.r.opts.Period))
			continue
		}
		report, err := s.renew(term)
		switch {
		case err == nil:
			heard = sent
			s.lost.Store(false)
			s.learn(term, report)
		case s.cutShort():
		case worker.RefusalOf(err) != "":
			heard = sent
			clock.Sleep(s.ctx, min(pause, s.r.opts.Period))
		default:
			s.silent(term, heard)
			clock.Sleep(s.ctx, min(pause, s.r.opts.Period))
		}
	}
}

// renew makes one call. A call that is cut short to carry out a stop is no failure.
func (s *share) renew(term int64) (worker.Report, error) {
	ctx, cancel := context.WithTimeout(s.ctx, (s.r.opts.Period + slack).Duration())
	defer cancel()
	s.mu.Lock()
	s.wake, s.woken = cancel, false
	in := worker.Renewal{Term: term, Lease: s.r.opts.Lease, Since: s.since, Wait: s.r.opts.Period}
	if !s.told {
		in.Wait = 0
	}
	for id, o := range s.stops {
		if s.holds(id, o.attempt) {
			in.Wait = max(min(in.Wait, o.due-s.r.opts.Clock.Now()), 0)
		}
	}
	s.mu.Unlock()
	return s.target.Agent.Renew(ctx, in)
}

// cutShort reports whether the last renewal was ended to carry out a stop.
func (s *share) cutShort() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() { s.woken = false }()
	return s.woken
}

// learn takes in a report. A change counts as seen once the scheduler has it.
func (s *share) learn(term int64, report worker.Report) {
	s.mu.Lock()
	if report.Change < s.since {
		s.since = 0
	}
	for _, t := range report.Tasks {
		s.tasks[t.ID] = t
	}
	s.mu.Unlock()
	if len(report.Tasks) > 0 {
		s.spread(report.Tasks)
		if err := s.r.opts.Line.Deliver(s.ctx, Event{Worker: s.target.Name, Term: max(term, report.Term), Tasks: report.Tasks}); err != nil {
			clock.Sleep(s.ctx, min(pause, s.r.opts.Period))
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since, s.told = report.Change, true
	for _, t := range report.Tasks {
		if !t.State.Holds() {
			delete(s.tasks, t.ID)
			delete(s.stops, t.ID)
		}
	}
}

// spread tells the other entries of gangs that have lost a part.
func (s *share) spread(tasks []worker.Task) {
	for _, t := range tasks {
		n := Notice{ID: t.ID, Attempt: t.Attempt}
		switch t.State {
		case worker.Failed, worker.Lapsed:
		case worker.Stopped:
			// The scheduler stops the other parts, unless it died in the middle.
			n.After = s.r.opts.Grace
		default:
			continue
		}
		if len(t.Gang) > 1 {
			s.r.opts.Line.Spread(s.ctx, n)
		}
	}
}

// silent gives a worker up once the leases that it may hold must have ended.
func (s *share) silent(term int64, heard clock.Millis) {
	if s.ctx.Err() != nil || s.lost.Load() || s.r.opts.Clock.Now() < heard+s.r.opts.Lease {
		return
	}
	s.r.opts.Log.WithField("worker", s.target.Name).Warn("renewer: worker lost")
	s.r.opts.Line.Spread(s.ctx, Notice{Worker: s.target.Name})
	if err := s.r.opts.Line.Deliver(s.ctx, Event{Worker: s.target.Name, Term: term, Lost: true}); err == nil {
		s.lost.Store(true)
	}
}

// heed notes the stops that a notice asks for.
func (s *share) heed(n Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := s.r.opts.Clock.Now() + n.After
	if n.Worker == "" {
		// The task may be on the worker though no report has shown it yet.
		s.order(n.ID, order{n.Attempt, n.Grace, due})
		return
	}
	for id, t := range s.tasks {
		if t.State.Holds() && slices.Contains(t.Gang, n.Worker) {
			s.order(id, order{t.Attempt, n.Grace, due})
		}
	}
}

// order notes a stop, and wakes the renewal if the task may run here. The caller holds mu.
func (s *share) order(id string, o order) {
	s.stops[id] = o
	if s.holds(id, o.attempt) && s.wake != nil {
		s.woken = true
		s.wake()
		s.wake = nil
	}
}

// holds reports whether a part of this attempt may run on the worker. The caller holds mu.
func (s *share) holds(id string, attempt int) bool {
	t, known := s.tasks[id]
	return known && t.Attempt == attempt && t.State.Holds()
}

// stop carries out the stops that are due and reports whether none is left open:
// a worker is not renewed while a part of a broken gang may run there.
func (s *share) stop(term int64) bool {
	s.mu.Lock()
	now := s.r.opts.Clock.Now()
	due := make(map[string]order)
	for id, o := range s.stops {
		switch {
		case s.holds(id, o.attempt) && o.due <= now:
			due[id] = o
		case !s.holds(id, o.attempt) && o.due+s.r.opts.Lease <= now:
			delete(s.stops, id)
		}
	}
	s.mu.Unlock()
	for id, o := range due {
		ctx, cancel := context.WithTimeout(s.ctx, (o.grace + slack).Duration())
		t, err := s.target.Agent.Stop(ctx, worker.Stop{ID: id, Attempt: o.attempt, Term: term, Grace: o.grace})
		cancel()
		if err != nil && worker.RefusalOf(err) == "" {
			return false
		}
		s.mu.Lock()
		delete(s.stops, id)
		if err == nil {
			s.tasks[id] = t
		}
		s.mu.Unlock()
	}
	return true
}
