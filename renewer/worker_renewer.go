package renewer

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/worker"
)

// workerRenewer renews the leases on one worker.
type workerRenewer struct {
	renewer *Renewer
	target  Target
	ctx     context.Context
	cancel  context.CancelFunc
	lost    atomic.Bool

	mu          sync.Mutex
	tasks       map[string]worker.Task
	ackedChange uint64
	// hasReport is set once a report was handled. ackedChange is then the change count of the
	// last report whose changes the scheduler has received.
	hasReport bool
	// pendingStops holds the tasks that have to be stopped, by job ID.
	pendingStops map[string]pendingStop
	// cancelCall cancels a renewal that waits for its response, so that a stop can be carried
	// out. interrupted is set when it was called.
	cancelCall  context.CancelFunc
	interrupted bool
}

// pendingStop is a stop that has to be carried out at the time due.
type pendingStop struct {
	attempt int
	grace   clock.Millis
	due     clock.Millis
}

func newWorkerRenewer(ctx context.Context, r *Renewer, t Target) *workerRenewer {
	s := &workerRenewer{renewer: r, target: t, tasks: make(map[string]worker.Task), pendingStops: make(map[string]pendingStop)}
	s.ctx, s.cancel = context.WithCancel(ctx)
	return s
}

// isFinished reports whether the worker was lost and is no longer listed.
func (s *workerRenewer) isFinished() bool { return s.lost.Load() && !s.renewer.listed(s.target.Name) }

// run renews the leases on the worker until the context ends.
func (s *workerRenewer) run() {
	lastAnswer := s.renewer.opts.Clock.Now()
	for s.ctx.Err() == nil {
		sentAt := s.renewer.opts.Clock.Now()
		term := s.renewer.opts.Term()
		if term == 0 || !s.stopDueTasks(term) {
			clock.Sleep(s.ctx, min(retryInterval, s.renewer.opts.Period))
			continue
		}
		report, err := s.renew(term)
		switch {
		case err == nil:
			lastAnswer = sentAt
			s.lost.Store(false)
			s.handleReport(term, report)
		case s.wasInterrupted():
		case worker.RefusalOf(err) != "":
			lastAnswer = sentAt
			clock.Sleep(s.ctx, min(retryInterval, s.renewer.opts.Period))
		default:
			s.checkLost(term, lastAnswer)
			clock.Sleep(s.ctx, min(retryInterval, s.renewer.opts.Period))
		}
	}
}

// renew makes one renewal call. A call that is canceled in order to carry out a stop is not
// a failure of the worker; see wasInterrupted.
func (s *workerRenewer) renew(term int64) (worker.Report, error) {
	ctx, cancel := context.WithTimeout(s.ctx, (s.renewer.opts.Period + callMargin).Duration())
	defer cancel()
	s.mu.Lock()
	s.cancelCall, s.interrupted = cancel, false
	in := worker.Renewal{Term: term, Lease: s.renewer.opts.Lease, SinceChange: s.ackedChange, Wait: s.renewer.opts.Period}
	if !s.hasReport {
		in.Wait = 0
	}
	for id, stop := range s.pendingStops {
		if s.mayRun(id, stop.attempt) {
			in.Wait = max(min(in.Wait, stop.due-s.renewer.opts.Clock.Now()), 0)
		}
	}
	s.mu.Unlock()
	return s.target.Agent.Renew(ctx, in)
}

// wasInterrupted reports whether the last renewal was canceled in order to carry out a stop,
// and resets this state.
func (s *workerRenewer) wasInterrupted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() { s.interrupted = false }()
	return s.interrupted
}

// handleReport handles the response to a renewal. The changes in it are acknowledged to the
// worker only after the scheduler has received them.
func (s *workerRenewer) handleReport(term int64, report worker.Report) {
	s.mu.Lock()
	if report.ChangeCount < s.ackedChange {
		s.ackedChange = 0
	}
	for _, t := range report.Tasks {
		s.tasks[t.ID] = t
	}
	s.mu.Unlock()
	if len(report.Tasks) > 0 {
		s.notifyEntries(report.Tasks)
		if err := s.renewer.opts.Publisher.Deliver(s.ctx, Event{Worker: s.target.Name, Term: max(term, report.Term), Tasks: report.Tasks}); err != nil {
			clock.Sleep(s.ctx, min(retryInterval, s.renewer.opts.Period))
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ackedChange, s.hasReport = report.ChangeCount, true
	for _, t := range report.Tasks {
		if !t.State.HoldsResources() {
			delete(s.tasks, t.ID)
			delete(s.pendingStops, t.ID)
		}
	}
}

// notifyEntries notifies the instances of the domain of gangs that have lost a member.
func (s *workerRenewer) notifyEntries(tasks []worker.Task) {
	for _, t := range tasks {
		n := Notice{ID: t.ID, Attempt: t.Attempt}
		switch t.State {
		case worker.Failed, worker.LeaseExpired:
		case worker.Stopped:
			// The scheduler stops the other members, unless it fails while it does so.
			n.After = s.renewer.opts.Grace
		default:
			continue
		}
		if len(t.Gang) > 1 {
			s.renewer.opts.Publisher.Broadcast(s.ctx, n)
		}
	}
}

// checkLost reports a worker that does not answer as lost once the leases on it must have
// ended.
func (s *workerRenewer) checkLost(term int64, lastAnswer clock.Millis) {
	if s.ctx.Err() != nil || s.lost.Load() || s.renewer.opts.Clock.Now() < lastAnswer+s.renewer.opts.Lease {
		return
	}
	s.renewer.opts.Log.WithField("worker", s.target.Name).Warn("renewer: worker lost")
	s.renewer.opts.Publisher.Broadcast(s.ctx, Notice{Worker: s.target.Name})
	if err := s.renewer.opts.Publisher.Deliver(s.ctx, Event{Worker: s.target.Name, Term: term, Lost: true}); err == nil {
		s.lost.Store(true)
	}
}

// handleNotice records the stops that a notice requests.
func (s *workerRenewer) handleNotice(n Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := s.renewer.opts.Clock.Now() + n.After
	if n.Worker == "" {
		// The task may be on the worker although no report has contained it yet.
		s.recordStop(n.ID, pendingStop{n.Attempt, n.Grace, due})
		return
	}
	for id, t := range s.tasks {
		if t.State.HoldsResources() && slices.Contains(t.Gang, n.Worker) {
			s.recordStop(id, pendingStop{t.Attempt, n.Grace, due})
		}
	}
}

// recordStop records a stop, and cancels the renewal in progress if the task may run on the
// worker. The caller holds mu.
func (s *workerRenewer) recordStop(id string, stop pendingStop) {
	s.pendingStops[id] = stop
	if s.mayRun(id, stop.attempt) && s.cancelCall != nil {
		s.interrupted = true
		s.cancelCall()
		s.cancelCall = nil
	}
}

// mayRun reports whether a member of this attempt may run on the worker. The caller holds mu.
func (s *workerRenewer) mayRun(id string, attempt int) bool {
	t, known := s.tasks[id]
	return known && t.Attempt == attempt && t.State.HoldsResources()
}

// stopDueTasks carries out the stops that are due and reports whether the worker responded to
// all of them. A worker is not renewed before that, because a renewal would extend the lease
// of a member whose gang is broken.
func (s *workerRenewer) stopDueTasks(term int64) bool {
	s.mu.Lock()
	now := s.renewer.opts.Clock.Now()
	due := make(map[string]pendingStop)
	for id, stop := range s.pendingStops {
		switch {
		case s.mayRun(id, stop.attempt) && stop.due <= now:
			due[id] = stop
		case !s.mayRun(id, stop.attempt) && stop.due+s.renewer.opts.Lease <= now:
			delete(s.pendingStops, id)
		}
	}
	s.mu.Unlock()
	for id, stop := range due {
		ctx, cancel := context.WithTimeout(s.ctx, (stop.grace + callMargin).Duration())
		t, err := s.target.Agent.Stop(ctx, worker.Stop{ID: id, Attempt: stop.attempt, Term: term, Grace: stop.grace})
		cancel()
		if err != nil && worker.RefusalOf(err) == "" {
			return false
		}
		s.mu.Lock()
		delete(s.pendingStops, id)
		if err == nil {
			s.tasks[id] = t
		}
		s.mu.Unlock()
	}
	return true
}
