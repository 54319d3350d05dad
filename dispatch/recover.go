package dispatch

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/gang"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/ledger"
	"github.com/chestnutsail/chestnutsail/renewer"
	"github.com/chestnutsail/chestnutsail/scheduler"
	"github.com/chestnutsail/chestnutsail/worker"
)

// recover fences the workers against older terms, reads the live records and rebuilds the
// state of the core from them. It returns false when the session ended first.
func (s *session) recover() bool {
	if !s.awaitText() {
		return false
	}
	reports := s.fenceWorkers()
	var records []ledger.Entry
	for retries := 0; ; retries++ {
		var err error
		if records, err = s.opts.Ledger.Live(s.ctx, s.opts.Domain); err == nil {
			break
		}
		s.backOff(retries, err)
		if s.ctx.Err() != nil {
			return false
		}
	}
	s.loadCore(records)
	for _, e := range records {
		if j := s.jobs[e.Record.Spec.ID()]; e.Record.State != job.Waiting {
			s.adoptGang(j)
		}
	}
	for _, e := range records {
		if e.Record.Cancel && s.jobs[e.Record.Spec.ID()] != nil {
			s.stepCore(scheduler.Event{Kind: scheduler.Cancel, ID: e.Record.Spec.ID()})
		}
	}
	for _, e := range reports {
		s.handleRenewal(e)
	}
	s.stepCore(scheduler.Event{Kind: scheduler.Tick})
	s.opts.Log.WithField("term", s.term).WithField("jobs", len(records)).Info("dispatch: domain recovered")
	return true
}

// awaitText waits until a cluster text is in force. Without one the core would
// refuse every job that needs a guarantee. It returns false when the session ended first.
func (s *session) awaitText() bool {
	for s.opts.Texts.Now().Revision == 0 {
		if !clock.Sleep(s.ctx, pollInterval) {
			return false
		}
	}
	return true
}

// loadCore loads the cluster text, the workers and the records into the core as one
// event, so that the core decides nothing before it knows all of them.
func (s *session) loadCore(records []ledger.Entry) {
	snapshot := s.opts.Texts.Now()
	s.textRevision = snapshot.Revision
	state := scheduler.State{Options: s.opts.Core, Text: snapshot.Text}
	for _, w := range s.opts.Workers() {
		s.workers[w.Node.Name] = w
		state.Nodes = append(state.Nodes, scheduler.NodeState{Node: w.Node, Leaving: w.Leaving})
	}
	slices.SortStableFunc(records, func(a, b ledger.Entry) int { return cmp.Compare(a.Record.Submitted, b.Record.Submitted) })
	for _, e := range records {
		s.addJob(e)
		state.Jobs = append(state.Jobs, scheduler.JobState{Record: e.Record, Since: e.Record.Submitted})
	}
	s.stepCore(scheduler.Event{Kind: scheduler.Load, State: &state})
}

// fenceWorkers sends the term to every worker, so that the workers refuse calls of older
// terms, and returns the tasks on the workers. The records are read afterwards, so they
// include every gang that an older scheduler has started.
func (s *session) fenceWorkers() []renewer.Event {
	var mu sync.Mutex
	var reports []renewer.Event
	var calls sync.WaitGroup
	for _, w := range s.opts.Workers() {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(s.ctx, s.opts.Times.CallTimeout.Duration())
			defer cancel()
			r, err := w.Agent.Renew(ctx, worker.Renewal{Term: s.term, Lease: s.opts.Times.Lease})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reports = append(reports, renewer.Event{Worker: w.Node.Name, Tasks: r.Tasks})
		})
	}
	calls.Wait()
	return reports
}

// adoptGang takes over the gang of a job that another scheduler has placed: a gang that
// runs whole continues, see gang.Gang.Adopt.
func (s *session) adoptGang(j *liveJob) {
	r := j.stored.Record
	r.Term = s.term
	g := s.newGang(j, r, true)
	j.startAttempt(g, r.Attempt)
	s.enqueueStep(j, func() {
		// Once the record holds the new term, every later write of the old scheduler fails.
		s.writeRecord(j, func(r *job.Record) { r.Term = s.term })
		s.awaitLeadership(g)
		result := g.Adopt(s.ctx)
		j.mayHaveRun = j.mayHaveRun || result.Lifted
		s.postResult(func() { s.handleStartResult(j, g, result) })
	})
}

// handleRenewal handles the result of a renewal: the loss of a worker, or the changed
// tasks on it.
func (s *session) handleRenewal(e renewer.Event) {
	if e.Lost {
		for _, id := range sortedKeys(s.jobs) {
			if j := s.jobs[id]; j.gang != nil && !j.stopping && j.gang.Has(e.Worker) {
				s.stopBrokenGang(j, e.Worker)
			}
		}
		s.markUnresponsive(e.Worker)
		return
	}
	for _, t := range e.Tasks {
		s.handleTaskReport(e.Worker, t)
	}
}

func (s *session) handleTaskReport(name string, t worker.Task) {
	j := s.jobs[t.ID]
	if j == nil || t.Attempt < j.attempt || (t.Attempt == j.attempt && j.gang == nil && !t.State.HoldsResources()) {
		s.endStrayTask(name, t)
		return
	}
	if t.Attempt != j.attempt || j.gang == nil || j.stopping || t.State.HoldsResources() {
		return
	}
	if !j.started {
		j.earlyReports = append(j.earlyReports, taskReport{name, t})
		return
	}
	if t.State != worker.Finished {
		s.stopBrokenGang(j, name)
		return
	}
	j.finished[name] = true
	if len(j.finished) < j.gang.Size() {
		return
	}
	g := j.gang
	s.enqueueStep(j, func() {
		j.mayHaveRun = true
		r := s.collectResults(g)
		s.postResult(func() { s.handleResult(j, g, r) })
	})
}

// collectResults reads the results of a gang that has finished. The gang counts as lost
// when a result cannot be read within the duration of a lease.
func (s *session) collectResults(g *gang.Gang) gang.Result {
	deadline := s.opts.Clock.Now() + s.opts.Times.Lease
	for {
		r := g.Check(s.ctx)
		if r.Err == nil && r.Kind != scheduler.Started {
			return r
		}
		if s.opts.Clock.Now() >= deadline {
			r.Kind = scheduler.Lost
			return r
		}
		clock.Sleep(s.ctx, initialBackoff)
		if s.ctx.Err() != nil {
			return r
		}
	}
}

// stopBrokenGang stops the remaining members of a gang that has lost the member on the
// named worker.
func (s *session) stopBrokenGang(j *liveJob, name string) {
	j.stopping = true
	g := j.gang
	s.enqueueStep(j, func() {
		r := g.Stop(s.ctx, 0)
		j.mayHaveRun = j.mayHaveRun || r.Lifted
		if r.Kind == scheduler.Stopped {
			r.Kind, r.Worker = scheduler.Lost, name
		}
		s.postResult(func() { s.handleResult(j, g, r) })
	})
}

// endStrayTask stops and releases a task that belongs to no live attempt. If the session
// does not know the job, it first reads the job's record, because the hint for a new job
// may still be on its way.
func (s *session) endStrayTask(name string, t worker.Task) {
	known := s.jobs[t.ID] != nil
	s.runAsync(func() {
		if !known {
			e, err := s.opts.Ledger.Find(s.ctx, s.opts.Domain, t.ID)
			if err == nil && e.Record.Attempt <= t.Attempt || err != nil && kv.KindOf(err) != kv.Missing {
				return
			}
		}
		ctx, cancel := context.WithTimeout(s.ctx, s.opts.Times.CallTimeout.Duration())
		defer cancel()
		a := s.d.findAgent(name)
		if a == nil {
			return
		}
		if t.State.HoldsResources() {
			if _, err := a.Stop(ctx, worker.Stop{ID: t.ID, Attempt: t.Attempt, Term: s.term}); err != nil {
				return
			}
		}
		if err := a.Release(ctx, t.ID, t.Attempt); err != nil && !errors.Is(err, context.Canceled) {
			s.opts.Log.WithError(err).Debug("dispatch: stray task not released")
		}
	})
}
