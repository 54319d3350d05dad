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
	if c.jobs[id] != nil || r.State.Ended() {
		return
	}
	if c.rejectImpossible(&r) {
		return
	}
	if r.Submitted == 0 {
		r.Submitted = c.now
	}
	j := c.newLiveJob(r)
	if r.State == job.Waiting {
		c.enqueue(j)
		return
	}
	c.adopt(j)
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

// newLiveJob adds a job to the known jobs, in no queue and on no worker. It drops the
// payload and the result, which the core does not need.
func (c *Core) newLiveJob(r job.Record) *liveJob {
	r.Spec.Payload, r.Outcome.Body = nil, nil
	c.seq++
	j := &liveJob{record: r, id: r.Spec.ID(), seq: c.seq, since: c.now, acct: c.account(r.Spec.Account), class: c.fitClassOf(r.Spec, queue.Normal)}
	c.jobs[j.id] = j
	return j
}

func (c *Core) enqueue(j *liveJob) {
	s := j.spec()
	expected := c.history.ExpectedRunTime(s.Account, s.Service, s.Declared)
	j.record.State, j.record.Members = job.Waiting, nil
	j.rank = queue.Rank{Tier: queue.TierOf(s.Class, expected), Time: queue.RankTime(s.Class, j.record.Submitted, expected, j.attained), Seq: j.seq}
	j.class = c.fitClassOf(j.record.Spec, j.rank.Tier)
	j.acct.queue.Add(j, j.rank)
	j.queued = true
	c.demand.Add(j.class.size, 1)
	c.scheduleCheck(j.since + c.reserveAfter())
	c.scheduleCheck(j.since + c.opts.LargeGangWait)
}

func (c *Core) dequeue(j *liveJob) {
	if j.queued {
		j.acct.queue.Remove(j.rank)
		j.queued = false
		c.demand[cell.Level(j.class.size)] -= min(j.class.size, 1)
	}
}

// deleteJob removes a job that holds no workers from the core.
func (c *Core) deleteJob(j *liveJob) {
	c.dequeue(j)
	c.unreserve(j)
	delete(c.jobs, j.id)
}

func (c *Core) cancel(id string) {
	j := c.jobs[id]
	if j == nil || j.stopping == CauseCancel {
		return
	}
	if j.record.State != job.Waiting {
		if j.stopping == "" {
			c.emit(Action{Kind: Stop, ID: id, Attempt: j.record.Attempt, Cause: CauseCancel})
		}
		j.stopping = CauseCancel
		c.version++
		return
	}
	c.release(j)
	c.end(j, job.Canceled, outcome.Canceled)
}

func (c *Core) end(j *liveJob, state job.State, reason outcome.Reason) {
	c.deleteJob(j)
	c.emit(Action{Kind: End, ID: j.id, State: state, Reason: reason})
}

// stop emits the Stop action for a placed job, with a grace period if the job writes
// checkpoints. It does nothing if the job is already being stopped.
func (c *Core) stop(j *liveJob, cause Cause) {
	if j.stopping != "" {
		return
	}
	j.stopping = cause
	c.version++
	a := Action{Kind: Stop, ID: j.id, Attempt: j.record.Attempt, Cause: cause}
	if j.spec().Checkpoints {
		a.Grace = c.opts.CheckpointGrace
	}
	c.emit(a)
}

// handleResult applies an event that reports the result of a Place or Stop action. An
// event for another attempt than the current one is ignored.
func (c *Core) handleResult(e Event) {
	j := c.jobs[e.ID]
	if j == nil || j.record.State == job.Waiting || j.record.Attempt != e.Attempt {
		return
	}
	switch e.Kind {
	case Started:
		j.record.State, j.record.Started = job.Running, c.now
		for _, p := range j.parts {
			if p.node.coolUntil > c.now {
				p.node.coolUntil = 0
				c.version++
			}
		}
	case Finished:
		c.handleFinished(j)
	case Broken:
		c.handleBroken(j, e.Worker)
	case Stopped:
		j.record.Checkpoint = e.Checkpoint
		c.requeueOrCancel(j)
	case Refused:
		c.handleRefused(j, e.Worker)
	case Lost:
		c.handleLost(j)
	}
}

func (c *Core) handleFinished(j *liveJob) {
	s := j.spec()
	for _, p := range j.parts {
		if c.tracker.RecordSuccess(p.node.Name, j.service()) {
			c.updateUsable(p.node)
			c.emit(Action{Kind: Restore, Worker: p.node.Name})
		}
	}
	if j.record.State == job.Running {
		c.history.Observe(s.Account, s.Service, s.Declared, j.attained+c.now-j.record.Started)
	}
	c.release(j)
	c.deleteJob(j)
}

func (j *liveJob) service() string { return j.record.Spec.Account + "/" + j.record.Spec.Service }

// handleBroken requeues an idempotent job that failed, so that it is tried on other
// workers. It ends the job if it has failed too often or no other workers can hold it.
// A failed job that is not idempotent is only removed.
func (c *Core) handleBroken(j *liveJob, worker string) {
	quarantined := c.tracker.RecordFailure(c.now, worker, j.service(), j.id)
	c.release(j)
	switch {
	case !j.spec().Idempotent:
		c.deleteJob(j)
	case j.stopping == CauseCancel:
		c.end(j, job.Canceled, outcome.Canceled)
	default:
		j.failures++
		if !slices.Contains(j.failed, worker) {
			j.failed = append(j.failed, worker)
		}
		if len(j.failed) >= c.opts.MaxFailedWorkers || j.failures >= 2*c.opts.MaxFailedWorkers || !c.fitsOtherWorkers(j) {
			c.tracker.ForgetJob(j.id)
			c.end(j, job.Failed, outcome.KeepsFailing)
		} else {
			c.requeue(j)
		}
	}
	if quarantined {
		c.quarantineWorker(worker)
	}
}

// fitsOtherWorkers reports whether the workers on which the job has not failed could
// hold it if no other job ran.
func (c *Core) fitsOtherWorkers(j *liveJob) bool {
	return c.workersCanHold(j.spec().Shape, func(n *node) bool { return !n.gone && !slices.Contains(j.failed, n.Name) })
}

func (c *Core) handleRefused(j *liveJob, worker string) {
	if n := c.nodes[worker]; n != nil {
		n.coolUntil = c.now + c.opts.Cooldown
		c.scheduleCheck(n.coolUntil)
	}
	c.requeueOrCancel(j)
}

// requeueOrCancel puts a job that no longer runs back into the queue, or ends it if it
// was canceled.
func (c *Core) requeueOrCancel(j *liveJob) {
	c.release(j)
	if j.stopping == CauseCancel {
		c.end(j, job.Canceled, outcome.Canceled)
		return
	}
	c.requeue(j)
}

// handleLost handles a gang that has lost a member. The job is requeued if it can be
// stopped, because running it again is then safe. Otherwise it ends as unknown.
func (c *Core) handleLost(j *liveJob) {
	if j.spec().Stoppable() {
		c.requeueOrCancel(j)
		return
	}
	c.release(j)
	c.end(j, job.Unknown, outcome.AnswerLost)
}

func (c *Core) requeue(j *liveJob) {
	if j.record.State == job.Running {
		j.attained += c.now - j.record.Started
	}
	j.since, j.stopping, j.displacedOthers = c.now, "", false
	c.emit(Action{Kind: Requeue, ID: j.id, Attempt: j.record.Attempt, Checkpoint: j.record.Checkpoint})
	c.enqueue(j)
}
