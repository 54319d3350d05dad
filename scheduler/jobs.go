package scheduler

import (
	"slices"

	"github.com/chestnutsail/chestnutsail/cell"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/queue"
)

func (c *Core) submit(r job.Record) {
	id := r.Spec.ID()
	if c.works[id] != nil || r.State.Ended() {
		return
	}
	if c.rejectImpossible(&r) {
		return
	}
	if r.Submitted == 0 {
		r.Submitted = c.now
	}
	w := c.newWork(r)
	if r.State == job.Waiting {
		c.enqueue(w)
		return
	}
	c.adopt(w)
}

// rejectImpossible ends a job that was never placed and can never run. It reports
// whether it ended the job.
func (c *Core) rejectImpossible(r *job.Record) bool {
	if r.State != job.Waiting || r.Attempt > 0 {
		return false
	}
	reason, ok := c.impossibleReason(&r.Spec)
	if !ok {
		c.emit(Action{Kind: End, ID: r.Spec.ID(), State: job.Failed, Reason: reason})
	}
	return !ok
}

// newWork adds a job to the known jobs, in no queue and on no worker. It drops the
// payload and the result, which the core does not need.
func (c *Core) newWork(r job.Record) *work {
	r.Spec.Payload, r.Outcome.Body = nil, nil
	c.seq++
	w := &work{record: r, id: r.Spec.ID(), seq: c.seq, since: c.now, acct: c.account(r.Spec.Account), class: c.fitClassOf(r.Spec, queue.Normal)}
	c.works[w.id] = w
	return w
}

func (c *Core) enqueue(w *work) {
	s := w.spec()
	expected := c.history.ExpectedRunTime(s.Account, s.Service, s.Declared)
	w.record.State, w.record.Members = job.Waiting, nil
	w.rank = queue.Rank{Tier: queue.TierOf(s.Class, expected), Time: queue.RankTime(s.Class, w.record.Submitted, expected, w.attained), Seq: w.seq}
	w.class = c.fitClassOf(w.record.Spec, w.rank.Tier)
	w.acct.queue.Add(w, w.rank)
	w.queued = true
	c.demand.Add(w.class.size, 1)
	c.scheduleCheck(w.since + c.reserveAfter())
	c.scheduleCheck(w.since + c.opts.LargeGangWait)
}

func (c *Core) dequeue(w *work) {
	if w.queued {
		w.acct.queue.Remove(w.rank)
		w.queued = false
		c.demand[cell.Level(w.class.size)] -= min(w.class.size, 1)
	}
}

// deleteWork removes a job that holds no workers from the core.
func (c *Core) deleteWork(w *work) {
	c.dequeue(w)
	c.unreserve(w)
	delete(c.works, w.id)
}

func (c *Core) cancel(id string) {
	w := c.works[id]
	if w == nil || w.stopping == CauseCancel {
		return
	}
	if w.record.State != job.Waiting {
		if w.stopping == "" {
			c.emit(Action{Kind: Stop, ID: id, Attempt: w.record.Attempt, Cause: CauseCancel})
		}
		w.stopping = CauseCancel
		c.version++
		return
	}
	c.release(w)
	c.end(w, job.Canceled, outcome.Canceled)
}

func (c *Core) end(w *work, state job.State, reason outcome.Reason) {
	c.deleteWork(w)
	c.emit(Action{Kind: End, ID: w.id, State: state, Reason: reason})
}

// stop emits the Stop action for a placed job, with a grace period if the job writes
// checkpoints. It does nothing if the job is already being stopped.
func (c *Core) stop(w *work, cause Cause) {
	if w.stopping != "" {
		return
	}
	w.stopping = cause
	c.version++
	a := Action{Kind: Stop, ID: w.id, Attempt: w.record.Attempt, Cause: cause}
	if w.spec().Checkpoints {
		a.Grace = c.opts.CheckpointGrace
	}
	c.emit(a)
}

// handleResult applies an event that reports the result of a Place or Stop action. An
// event for another attempt than the current one is ignored.
func (c *Core) handleResult(e Event) {
	w := c.works[e.ID]
	if w == nil || w.record.State == job.Waiting || w.record.Attempt != e.Attempt {
		return
	}
	switch e.Kind {
	case Started:
		w.record.State, w.record.Started = job.Running, c.now
		for _, p := range w.parts {
			if p.node.coolUntil > c.now {
				p.node.coolUntil = 0
				c.version++
			}
		}
	case Finished:
		c.handleFinished(w)
	case Broken:
		c.handleBroken(w, e.Worker)
	case Stopped:
		w.record.Checkpoint = e.Checkpoint
		c.requeueOrCancel(w)
	case Refused:
		c.handleRefused(w, e.Worker)
	case Lost:
		c.handleLost(w)
	}
}

func (c *Core) handleFinished(w *work) {
	s := w.spec()
	for _, p := range w.parts {
		if c.tracker.RecordSuccess(p.node.Name, w.service()) {
			c.updateUsable(p.node)
			c.emit(Action{Kind: Restore, Worker: p.node.Name})
		}
	}
	if w.record.State == job.Running {
		c.history.Observe(s.Account, s.Service, s.Declared, w.attained+c.now-w.record.Started)
	}
	c.release(w)
	c.deleteWork(w)
}

func (w *work) service() string { return w.record.Spec.Account + "/" + w.record.Spec.Service }

// handleBroken requeues an idempotent job that failed, so that it is tried on other
// workers. It ends the job if it has failed too often or no other workers can hold it.
// A failed job that is not idempotent is only removed.
func (c *Core) handleBroken(w *work, worker string) {
	quarantined := c.tracker.RecordFailure(c.now, worker, w.service(), w.id)
	c.release(w)
	switch {
	case !w.spec().Idempotent:
		c.deleteWork(w)
	case w.stopping == CauseCancel:
		c.end(w, job.Canceled, outcome.Canceled)
	default:
		w.failures++
		if !slices.Contains(w.failed, worker) {
			w.failed = append(w.failed, worker)
		}
		if len(w.failed) >= c.opts.MaxFailedWorkers || w.failures >= 2*c.opts.MaxFailedWorkers || !c.fitsOtherWorkers(w) {
			c.tracker.ForgetJob(w.id)
			c.end(w, job.Failed, outcome.KeepsFailing)
		} else {
			c.requeue(w)
		}
	}
	if quarantined {
		c.quarantineWorker(worker)
	}
}

// fitsOtherWorkers reports whether the workers on which the job has not failed could
// hold it if no other job ran.
func (c *Core) fitsOtherWorkers(w *work) bool {
	return c.workersCanHold(w.spec().Shape, func(n *node) bool { return !n.gone && !slices.Contains(w.failed, n.Name) })
}

func (c *Core) handleRefused(w *work, worker string) {
	if n := c.nodes[worker]; n != nil {
		n.coolUntil = c.now + c.opts.Cooldown
		c.scheduleCheck(n.coolUntil)
	}
	c.requeueOrCancel(w)
}

// requeueOrCancel puts a job that no longer runs back into the queue, or ends it if it
// was canceled.
func (c *Core) requeueOrCancel(w *work) {
	c.release(w)
	if w.stopping == CauseCancel {
		c.end(w, job.Canceled, outcome.Canceled)
		return
	}
	c.requeue(w)
}

// handleLost handles a gang that has lost a member. The job is requeued if it can be
// stopped, because running it again is then safe. Otherwise it ends as unknown.
func (c *Core) handleLost(w *work) {
	if w.spec().Stoppable() {
		c.requeueOrCancel(w)
		return
	}
	c.release(w)
	c.end(w, job.Unknown, outcome.AnswerLost)
}

func (c *Core) requeue(w *work) {
	if w.record.State == job.Running {
		w.attained += c.now - w.record.Started
	}
	w.since, w.stopping, w.displacedOthers = c.now, "", false
	c.emit(Action{Kind: Requeue, ID: w.id, Attempt: w.record.Attempt, Checkpoint: w.record.Checkpoint})
	c.enqueue(w)
}
