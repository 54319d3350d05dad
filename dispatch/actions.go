package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/gang"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/renewer"
	"github.com/chestnutsail/chestnutsail/scheduler"
	"github.com/chestnutsail/chestnutsail/worker"
)

const (
	initialBackoff      = 100 * clock.Millisecond
	maxBackoff          = 5 * clock.Second
	pollInterval        = 50 * clock.Millisecond
	maxBackoffDoublings = 6
)

// errJobEnded means that the job's live record is no longer in the store.
var errJobEnded = errors.New("dispatch: the job has ended")

// errOtherScheduler means that another scheduler wrote the job's record.
var errOtherScheduler = errors.New("dispatch: another scheduler wrote the record")

// errCanceled means that the caller canceled the job before it was placed.
var errCanceled = errors.New("dispatch: the job is canceled")

// execute starts the execution of an action of the core. It does not block.
func (s *session) execute(a scheduler.Action) {
	switch a.Kind {
	case scheduler.Quarantine, scheduler.Restore:
		s.opts.Quarantine(a.Worker, a.Kind == scheduler.Quarantine)
		return
	}
	j := s.jobs[a.ID]
	if j == nil {
		s.opts.Log.WithField("job", a.ID).Error("dispatch: action for an unknown job")
		return
	}
	switch a.Kind {
	case scheduler.Place:
		s.place(j, a)
	case scheduler.Stop:
		s.stop(j, a)
	case scheduler.Requeue:
		s.requeue(j, a)
	case scheduler.End:
		s.finish(j, a.State, a.Reason)
	}
}

// place starts the gang of a job.
func (s *session) place(j *liveJob, a scheduler.Action) {
	r := job.Record{
		Spec: j.spec, State: job.Placed, Domain: s.opts.Domain, Attempt: a.Attempt,
		Term: s.term, Members: a.Members, Checkpoint: j.checkpoint,
	}
	g := s.newGang(j, r, false)
	j.startAttempt(g, a.Attempt)
	s.enqueueStep(j, func() {
		s.awaitLeadership(g)
		result := s.withStartSlot(func() gang.Result { return g.Start(s.ctx) })
		j.mayHaveRun = j.mayHaveRun || result.Lifted
		s.postResult(func() { s.handleStartResult(j, g, result) })
	})
}

// withStartSlot calls f while it holds one of the maxConcurrentStarts slots, which limit
// how many gangs are started at the same time. When the session ends first, it calls f
// without a slot.
func (s *session) withStartSlot(f func() gang.Result) gang.Result {
	select {
	case s.startSlots <- struct{}{}:
		defer func() { <-s.startSlots }()
	case <-s.ctx.Done():
	}
	return f()
}

// awaitLeadership waits until this instance holds an unexpired lease on the term, the gang
// is to be stopped, or the session ends.
func (s *session) awaitLeadership(g *gang.Gang) {
	for !s.opts.Election.Now().Leads && g.NotHalted() {
		if !clock.Sleep(s.ctx, pollInterval) {
			return
		}
	}
}

// postResult queues f, which handles the result of a step, on the goroutine that owns the
// core. It drops f when the session has ended.
func (s *session) postResult(f func()) { _ = s.post(s.ctx, f) }

// newGang returns the gang of a placed record. foreign is set when another scheduler has
// placed it.
func (s *session) newGang(j *liveJob, r job.Record, foreign bool) *gang.Gang {
	return gang.New(gang.Options{
		Record: r, Term: s.term, Times: s.opts.Times, Clock: s.opts.Clock, Log: s.opts.Log,
		Agent:         s.d.findAgent,
		Leads:         func() bool { return s.opts.Election.Now().Leads },
		OrphanTimeout: s.opts.OrphanTimeout, Foreign: foreign,
		Commit: func(ctx context.Context, members []job.Member) error {
			r.Members = members
			return s.commitPlacement(ctx, j, r)
		},
		Broadcast: func(ctx context.Context, grace clock.Millis) bool {
			return s.d.broadcast(ctx, renewer.Notice{ID: j.id, Attempt: r.Attempt, Grace: grace})
		},
	})
}

// handleStartResult passes the result of a start or an adoption to the core. A refused
// start is passed on after a random backoff if the job's previous start was refused too. If
// it was refused because another scheduler has placed the job, that gang is stopped first.
func (s *session) handleStartResult(j *liveJob, g *gang.Gang, r gang.Result) {
	if r.Kind != scheduler.Refused {
		j.refusals = 0
		s.handleResult(j, g, r)
		return
	}
	s.opts.Counters.Retried(outcome.RetryGangRefused)
	j.refusals++
	var backoff clock.Millis
	if j.refusals > 1 {
		backoff = rand.N(min(initialBackoff<<min(j.refusals, maxBackoffDoublings), maxBackoff) + 1)
	}
	s.enqueueStep(j, func() {
		clock.Sleep(s.ctx, backoff)
		if errors.Is(r.Err, errOtherScheduler) {
			r = s.stopForeignGang(j)
		}
		s.postResult(func() { s.handleRefusal(j, g, r) })
	})
}

// handleRefusal passes a refused start to the core, so that the core places the job again,
// or cancels the job in the core if the job was canceled or has ended meanwhile.
func (s *session) handleRefusal(j *liveJob, g *gang.Gang, r gang.Result) {
	if r.Kind != scheduler.Refused {
		s.handleResult(j, g, r)
		return
	}
	if j.gang != g {
		return
	}
	j.gang = nil
	j.recordUnchanged = !r.Committed
	if !worker.Answered(r.Err) {
		s.markUnresponsive(r.Worker)
	}
	s.stepCore(scheduler.Event{Kind: scheduler.Refused, ID: j.id, Attempt: j.attempt, Worker: r.Worker})
	if errors.Is(r.Err, errCanceled) || errors.Is(r.Err, errJobEnded) {
		s.stepCore(scheduler.Event{Kind: scheduler.Cancel, ID: j.id})
	}
}

// stopForeignGang stops the gang that a scheduler of an older term has placed while this
// scheduler was starting its own. If the record is not of an older term, it stops nothing
// and returns Refused.
func (s *session) stopForeignGang(j *liveJob) gang.Result {
	if s.isSuperseded(j) || j.stored.Record.Term == s.term {
		return gang.Result{Kind: scheduler.Refused, Committed: true}
	}
	r := s.newGang(j, j.stored.Record, true).Stop(s.ctx, 0)
	j.mayHaveRun = j.mayHaveRun || r.Lifted
	switch {
	case r.Kind == scheduler.Finished || r.Kind == scheduler.Broken:
	case r.Lifted:
		r.Kind = scheduler.Lost
	default:
		r.Kind = scheduler.Refused
	}
	return r
}

// handleResult passes the state of an attempt after a start, a stop or a check to the
// core. If the gang has finished or failed, but the core neither ends nor requeues the
// job, handleResult finishes the job as done or failed.
func (s *session) handleResult(j *liveJob, g *gang.Gang, r gang.Result) {
	if s.jobs[j.id] != j || j.gang != g {
		return
	}
	e := scheduler.Event{Kind: r.Kind, ID: j.id, Attempt: j.attempt, Worker: r.Worker}
	if r.Kind == scheduler.Started {
		s.handleStarted(j, e, r)
		return
	}
	if r.Checkpoint != "" {
		e.Checkpoint, j.checkpoint = r.Checkpoint, r.Checkpoint
	}
	j.gang = nil
	s.enqueueStep(j, func() { j.result, j.worker = resultBody(r), r.Worker })
	actions := s.stepCore(e)
	decided := slices.ContainsFunc(actions, func(a scheduler.Action) bool {
		return a.ID == j.id && (a.Kind == scheduler.End || a.Kind == scheduler.Requeue)
	})
	if decided {
		return
	}
	switch r.Kind {
	case scheduler.Finished:
		s.finish(j, job.Done, "")
	case scheduler.Broken:
		s.finish(j, job.Failed, "")
	}
}

// handleStarted tells the core that a gang runs, and then handles the reports of the
// members that ended while the gang was starting.
func (s *session) handleStarted(j *liveJob, e scheduler.Event, r gang.Result) {
	j.started = true
	s.stepCore(e)
	earlyReports := j.earlyReports
	j.earlyReports = nil
	for i, m := range j.gang.Members() {
		earlyReports = append(earlyReports, taskReport{m.Worker, r.Tasks[i]})
	}
	for _, t := range earlyReports {
		if j.gang != nil {
			s.handleTaskReport(t.worker, t.task)
		}
	}
}

// resultBody returns the result of a gang: the result of its only member, the result of
// the first failed member, or a JSON array of the results in the order of the members. It
// returns nil for a gang that neither finished nor failed.
func resultBody(r gang.Result) []byte {
	if r.Kind != scheduler.Finished && r.Kind != scheduler.Broken {
		return nil
	}
	if len(r.Tasks) == 1 {
		return r.Tasks[0].Result
	}
	results := make([][]byte, len(r.Tasks))
	for i, t := range r.Tasks {
		if r.Kind == scheduler.Broken && t.State == worker.Failed {
			return t.Result
		}
		results[i] = t.Result
	}
	raw, err := json.Marshal(results)
	if err != nil {
		panic("dispatch: results can't be encoded: " + err.Error())
	}
	return raw
}

// stop stops the gang of a job. A start in progress is aborted at its next step. stopGang is
// called only after the results of the job's earlier steps were handled, because they may
// change the gang.
func (s *session) stop(j *liveJob, a scheduler.Action) {
	j.stopping = true
	g := j.gang
	if g != nil {
		g.Halt()
	}
	s.enqueueStep(j, func() {
		s.postResult(func() { s.stopGang(j, a.Attempt, a.Grace) })
	})
}

// stopGang stops the gang of an attempt after its start has ended.
func (s *session) stopGang(j *liveJob, attempt int, grace clock.Millis) {
	g := j.gang
	if g == nil || j.attempt != attempt {
		return
	}
	s.enqueueStep(j, func() {
		result := g.Stop(s.ctx, grace)
		j.mayHaveRun = j.mayHaveRun || result.Lifted
		s.postResult(func() { s.handleResult(j, g, result) })
	})
}

// requeue writes a record that says that the job waits again, unless the last attempt did
// not change the record, and releases the tasks of that attempt.
func (s *session) requeue(j *liveJob, a scheduler.Action) {
	skip := j.recordUnchanged
	j.recordUnchanged = false
	if skip {
		return
	}
	s.enqueueStep(j, func() {
		previous := j.stored.Record
		s.writeRecord(j, func(r *job.Record) {
			r.State, r.Members, r.Attempt, r.Term = job.Waiting, nil, a.Attempt, s.term
			if a.Checkpoint != "" {
				r.Checkpoint = a.Checkpoint
			}
			if j.mayHaveRun && r.Started == 0 {
				r.Started = s.opts.Clock.Now()
			}
		})
		if !s.isSuperseded(j) {
			s.releaseTasks(previous)
		}
	})
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
