package controller

import (
	"context"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// job is what the leader knows of one job.
type job struct {
	id     string
	record *workflow.Record
	// policy is the newest known policy of the job's queue, and policyChanged reports whether it ever differed from
	// that of the record.
	policy        workflow.Policy
	policyChanged bool
	// progress is what an earlier leader recorded; its Parts are dropped once they are
	// restored.
	progress  workflow.Progress
	version   uint64
	state     workflow.State
	endedAt   clock.Millis
	cancelled bool
	// rows has one row for each occurrence in use from doneBefore on, and in it one part for each step. All
	// occurrences below doneBefore are done; doneRunTimes has the last measured run time of each of their steps, in
	// milliseconds.
	rows         [][]*part
	doneBefore   int
	doneRunTimes []clock.Millis
	// changes is the number of changes of the job, recordedChanges the number of those that
	// are recorded in the store.
	changes         int
	recordedChanges int
	// recordedBytes is the size of the progress that was written last. writeAlone is set if it must not be written
	// together with other jobs, and heldBackUntil is the time until which it is not written and no task begins,
	// because the store has rejected it.
	recordedBytes int
	writeAlone    bool
	heldBackUntil clock.Millis
	// endRecorded is set once a final state is recorded in the store.
	endRecorded bool
	// unrecordedStart is when the job began to run, until that is recorded; 0 otherwise.
	unrecordedStart clock.Millis
	// learnedAt is when this leader first read the job.
	learnedAt clock.Millis
}

// trackJob adds a job from the board to the jobs that the leader knows, with its progress.
func (c *Controller) trackJob(v board.View) {
	if c.jobs[v.ID] != nil {
		return
	}
	j := &job{
		id: v.ID, record: v.Record, progress: v.Progress, version: v.Version, state: v.Progress.State,
		endedAt: v.Progress.EndedAt, endRecorded: v.Progress.State.Final(), cancelled: v.Cancelled, learnedAt: c.opts.Clock.Now(),
	}
	c.jobs[v.ID] = j
	j.policy = v.Record.Policy
	if recorded := v.Progress.Policy; recorded != nil && recorded.Version >= j.policy.Version {
		j.policy, j.policyChanged = *recorded, true
	}
	c.restoreHeldEnd(j, v.Held)
	c.restoreDone(j, j.progress)
	for _, p := range j.progress.Parts {
		c.restorePart(j, p)
	}
	if c.workersListed {
		c.restoreRuns(j)
	}
	if j.cancelled && !j.state.Final() {
		c.cancelJob(j)
	}
	if !j.state.Final() {
		c.reportNewerPolicy(j)
		if c.workersListed {
			c.adoptPolicy(j, c.opts.Config())
		}
	}
	c.finishIfDone(j)
}

// restorePart applies the recorded progress of a part to its tasks.
func (c *Controller) restorePart(j *job, recorded workflow.StepProgress) {
	p := c.recordedPart(j, recorded)
	switch {
	case p == nil:
	case recorded.AllDone:
		p.markAllDone()
		p.doneAt = recorded.DoneAt
		p.measured.add(float64(recorded.RunTime))
		c.runTimes.Observe(j.record.Queue, p.step.Estimate, recorded.RunTime)
	default:
		p.restore(recorded)
	}
}

// recordedPart returns the part that recorded progress names, or nil if there is none.
func (c *Controller) recordedPart(j *job, recorded workflow.StepProgress) *part {
	if recorded.Step < 0 || recorded.Step >= len(j.record.Spec.Steps) || recorded.Occurrence < 0 || recorded.Occurrence >= j.record.Spec.OccurrenceCount() {
		c.opts.Log.WithField("job", j.id).Error("controller: recorded progress names a step that the job does not have")
		return nil
	}
	return j.partOf(recorded.Occurrence, recorded.Step)
}

// restoreRuns adds the recorded runs of a job to their workers. The first poll of each worker
// shows whether the runs are present.
func (c *Controller) restoreRuns(j *job) {
	for _, recorded := range j.progress.Parts {
		p := c.recordedPart(j, recorded)
		if p == nil {
			continue
		}
		for _, place := range recorded.Places {
			if place.Index < 0 || place.Index >= p.size() {
				continue
			}
			t := p.task(place.Index)
			if t.run != nil {
				continue
			}
			n := c.nodeByID(place.Worker)
			t.lastRun = max(t.lastRun, place.Run)
			r := c.assignRun(t, n, place.Run, inherited)
			r.workerStart = place.WorkerStartedAt
			c.restoreUnanswered(r, recorded.Unanswered[place.Index])
		}
	}
	j.progress.Parts = nil
}

// markChanged notes that a job has changed and needs to be recorded and planned again.
func (c *Controller) markChanged(j *job) {
	j.changes++
	c.dirty[j] = true
	c.planNeeded = true
}

// encode returns the progress of a job as it is recorded in the store. It shares no memory with the job, since others
// may read it later.
func (j *job) encode() workflow.Progress {
	p := workflow.Progress{State: j.state, EndedAt: j.endedAt}
	if j.policyChanged {
		policy := j.policy
		p.Policy = &policy
	}
	p.DoneBefore, p.RunTimes = j.doneBefore, slices.Clone(j.doneRunTimes)
	for _, x := range j.allParts() {
		if stepProgress, used := x.encode(); used {
			p.Parts = append(p.Parts, stepProgress)
		}
	}
	return p
}

// cancelJob ends a job as cancelled and stops its runs.
func (c *Controller) cancelJob(j *job) {
	j.cancelled = true
	if j.state.Final() {
		return
	}
	c.finish(j, workflow.Cancelled, "cancelled by its caller")
}

// maxStartRecordDelay is how long the change of a job to running may remain unrecorded, so that
// it can be written together with another change. The counts of waiting jobs that depend on it
// may be 2 s old.
const maxStartRecordDelay = 500 * clock.Millisecond

// recordJobStarts marks the jobs as changed that have been running for longer than
// maxStartRecordDelay without a record of it.
func (c *Controller) recordJobStarts(now clock.Millis) {
	for _, j := range c.jobs {
		if j.unrecordedStart != 0 && now-j.unrecordedStart > maxStartRecordDelay {
			c.markChanged(j)
		}
	}
}

// finish gives a job its final state and stops its runs.
func (c *Controller) finish(j *job, state workflow.State, reason string) {
	j.state, j.endedAt = state, c.opts.Clock.Now()
	c.opts.Log.WithFields(logrus.Fields{
		"job": j.id, "state": string(state), "reason": reason, "term": c.term, "age_ms": int64(j.endedAt - j.record.AcceptedAt),
		"objective_ms": int64(c.objective(j)), "queue": j.record.Queue,
	}).Info("controller: job is over")
	c.opts.Counters.Counter(`chestnutsail_jobs_total{state="` + string(state) + `"}`).Inc()
	for _, p := range j.allParts() {
		for _, r := range p.runs() {
			c.stopRun(r, "its job is over")
		}
	}
	c.markChanged(j)
}

// finishIfDone completes a job if all tasks of all its occurrences are done.
func (c *Controller) finishIfDone(j *job) {
	if j.state.Final() || !j.allDone() {
		return
	}
	c.finish(j, workflow.Completed, "all tasks are done")
}

// deleteExpiredJobs removes a job that ended at least twice the retention time ago and deletes
// its keys from the store. It deletes at most one job in a call.
func (c *Controller) deleteExpiredJobs(now clock.Millis) {
	if c.opts.Limits().Retention == 0 {
		return
	}
	for id, j := range c.jobs {
		if !j.state.Final() || now-j.endedAt < 2*c.opts.Limits().Retention || j.recordedChanges != j.changes {
			continue
		}
		delete(c.jobs, id)
		go c.deleteJobKeys(id)
		return
	}
}

// deleteJobKeys deletes all keys of a job from the store. A transaction holds the usual ones; withdrawals may need
// more, which come before that of the record, so that what is left after an error is still a job's.
func (c *Controller) deleteJobKeys(id string) {
	ctx, cancel := context.WithTimeout(c.ctx, storeTimeout.Duration())
	defer cancel()
	entries, _, err := c.opts.Store.List(ctx, board.JobPrefix(id))
	if err == nil {
		ops := make([]kv.Op, len(entries))
		for i, e := range entries {
			ops[i] = kv.Op{Key: e.Key, Version: e.Version, Delete: true}
		}
		// In the order of the keys the record comes first and withdrawals last.
		slices.Reverse(ops)
		for chunk := range slices.Chunk(ops, maxBatchEntries/2) {
			if _, err = c.opts.Store.Commit(ctx, chunk); err != nil {
				break
			}
		}
	}
	if err != nil {
		c.opts.Log.WithError(err).WithField("job", id).Warn("controller: finished job not removed; the next leader does it")
	}
}
