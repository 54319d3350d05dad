package controller

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/agent"
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
	// parts has one row for each occurrence in use, and in it one part for each step.
	parts [][]*part
	// changes is the number of changes of the job, recordedChanges the number of those that
	// are recorded in the store.
	changes         int
	recordedChanges int
	// endRecorded is set once a final state is recorded in the store.
	endRecorded bool
	// unrecordedStart is when the job began to run, until that is recorded; 0 otherwise.
	unrecordedStart clock.Millis
	// learnedAt is when this leader first read the job.
	learnedAt clock.Millis
}

// part is one step of one occurrence of a job.
type part struct {
	job        *job
	occurrence int
	index      int
	step       *workflow.Step
	tasks      []*task
	doneTasks  int
	// gangFailures is the number of failed runs of a gang, lastFailedRun the number of the
	// last run that failed.
	gangFailures  int
	lastFailedRun int
	// readySince is when tasks of the part were first ready to start; 0 before. doneAt is when the last one was
	// done; 0 before, or if that is not known.
	readySince clock.Millis
	doneAt     clock.Millis
	// deferredSince is when the part was first deferred, since there was too little room; 0 if it never was.
	deferredSince clock.Millis
	// past is set once the part has started or has become late.
	past bool
	// comparedAt is when the progress of the part's runs was last compared.
	comparedAt clock.Millis
	// measured holds the measured run times of finished tasks.
	measured runTime
}

// task is one task of a part.
type task struct {
	part     *part
	index    int
	done     bool
	failures int
	// lastRun is the number of the last run that was placed; 0 before.
	lastRun int
	// checkpoint is the last checkpoint, "" if there is none. checkpointPercent is the run's
	// progress when it was saved, in percent.
	checkpoint        string
	checkpointPercent int
	run               *run
	// removed is the last run that was removed.
	removed removal
	// restarts is the number of runs that were stopped because they or their gang stalled.
	restarts int
	// failedOn holds the IDs of the workers on which the task has failed.
	failedOn map[string]bool
}

func (t *task) id() agent.Task {
	return agent.Task{Job: t.part.job.id, Occurrence: t.part.occurrence, Step: t.part.index, Index: t.index}
}

func (t *task) markDone() {
	if !t.done {
		t.done = true
		t.part.doneTasks++
	}
}

func (p *part) markAllDone() {
	for _, t := range p.tasks {
		t.markDone()
	}
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
	for _, p := range j.progress.Parts {
		c.restorePart(j, p)
	}
	if c.workersListed {
		c.restoreRuns(j)
	}
	if j.cancelled && !j.state.Final() {
		c.cancelJob(j)
	}
	if c.workersListed && !j.state.Final() {
		c.adoptPolicy(j)
	}
	c.finishIfDone(j)
}

// partOf returns the part of an occurrence and a step. On first use of an occurrence it creates
// all its parts.
func (j *job) partOf(occurrence, step int) *part {
	for len(j.parts) <= occurrence {
		j.parts = append(j.parts, nil)
	}
	if j.parts[occurrence] == nil {
		row := make([]*part, len(j.record.Spec.Steps))
		for i := range row {
			row[i] = newPart(j, occurrence, i)
		}
		j.parts[occurrence] = row
	}
	return j.parts[occurrence][step]
}

func newPart(j *job, occurrence, index int) *part {
	step := &j.record.Spec.Steps[index]
	p := &part{job: j, occurrence: occurrence, index: index, step: step, tasks: make([]*task, step.Count)}
	for i := range p.tasks {
		p.tasks[i] = &task{part: p, index: i}
	}
	return p
}

// restorePart applies the recorded progress of a part to its tasks.
func (c *Controller) restorePart(j *job, recorded workflow.StepProgress) {
	if recorded.Step >= len(j.record.Spec.Steps) || recorded.Occurrence >= j.record.Spec.OccurrenceCount() {
		c.opts.Log.WithField("job", j.id).Error("controller: recorded progress names a step that the job does not have")
		return
	}
	p := j.partOf(recorded.Occurrence, recorded.Step)
	if recorded.AllDone {
		p.markAllDone()
		p.doneAt = recorded.DoneAt
		p.measured.add(float64(recorded.RunTime))
		c.runTimes.Observe(j.record.Queue, p.step.Estimate, recorded.RunTime)
		return
	}
	for _, i := range recorded.Done {
		if i < len(p.tasks) {
			p.tasks[i].markDone()
		}
	}
	if p.step.Gang && p.doneTasks > 0 {
		p.markAllDone()
	}
	p.lastFailedRun = recorded.FailedRun
	for _, r := range recorded.Tasks {
		if r.Index < len(p.tasks) {
			t := p.tasks[r.Index]
			t.lastRun, t.failures, t.checkpoint = r.Run, r.Failures, r.Checkpoint
			p.gangFailures = max(p.gangFailures, r.Failures)
		}
	}
}

// restoreRuns adds the recorded runs of a job to their workers. The first poll of each worker
// shows whether the runs are present.
func (c *Controller) restoreRuns(j *job) {
	for _, recorded := range j.progress.Parts {
		if recorded.Step >= len(j.record.Spec.Steps) || recorded.Occurrence >= j.record.Spec.OccurrenceCount() {
			continue
		}
		p := j.partOf(recorded.Occurrence, recorded.Step)
		for _, place := range recorded.Places {
			if place.Index >= len(p.tasks) || p.tasks[place.Index].run != nil {
				continue
			}
			t := p.tasks[place.Index]
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

// encode returns the progress of a job as it is recorded in the store.
func (j *job) encode() workflow.Progress {
	p := workflow.Progress{State: j.state, EndedAt: j.endedAt}
	if j.policyChanged {
		p.Policy = &j.policy
	}
	for _, row := range j.parts {
		for _, x := range row {
			if stepProgress, used := x.encode(); used {
				p.Parts = append(p.Parts, stepProgress)
			}
		}
	}
	return p
}

func (p *part) encode() (workflow.StepProgress, bool) {
	out := workflow.StepProgress{Occurrence: p.occurrence, Step: p.index, AllDone: p.doneTasks == len(p.tasks), FailedRun: p.lastFailedRun}
	if out.AllDone {
		out.RunTime, out.DoneAt = p.measured.mean(), p.doneAt
	}
	for _, t := range p.tasks {
		if t.run != nil && t.run.state != planned {
			out.Places = append(out.Places, workflow.PlacedRun{Index: t.index, Run: t.run.number, Worker: t.run.node.id, WorkerStartedAt: t.run.workerStart})
			if t.run.copiesUntil != 0 {
				if out.Unanswered == nil {
					out.Unanswered = make(map[int]clock.Millis)
				}
				out.Unanswered[t.index] = t.run.copiesUntil
			}
		}
		switch {
		case out.AllDone:
		case t.done:
			out.Done = append(out.Done, t.index)
		case t.lastRun > 0:
			out.Tasks = append(out.Tasks, workflow.TaskProgress{Index: t.index, Run: t.lastRun, Failures: p.failuresOf(t), Checkpoint: t.checkpoint})
		}
	}
	return out, out.AllDone || len(out.Places) > 0 || len(out.Done) > 0 || len(out.Tasks) > 0
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
	for _, row := range j.parts {
		for _, p := range row {
			for _, t := range p.tasks {
				if t.run != nil {
					c.stopRun(t.run, "its job is over")
				}
			}
		}
	}
	c.markChanged(j)
}

// finishIfDone completes a job if all tasks of all its occurrences are done.
func (c *Controller) finishIfDone(j *job) {
	if j.state.Final() || len(j.parts) < j.record.Spec.OccurrenceCount() {
		return
	}
	for _, row := range j.parts {
		if row == nil {
			return
		}
		for _, p := range row {
			if p.doneTasks < len(p.tasks) {
				return
			}
		}
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

// deleteJobKeys deletes all keys of a job from the store, in one transaction.
func (c *Controller) deleteJobKeys(id string) {
	ctx, cancel := context.WithTimeout(c.ctx, storeTimeout.Duration())
	defer cancel()
	entries, _, err := c.opts.Store.List(ctx, board.JobPrefix(id))
	if err == nil {
		ops := make([]kv.Op, len(entries))
		for i, e := range entries {
			ops[i] = kv.Op{Key: e.Key, Version: e.Version, Delete: true}
		}
		if len(ops) > 0 {
			_, err = c.opts.Store.Commit(ctx, ops)
		}
	}
	if err != nil {
		c.opts.Log.WithError(err).WithField("job", id).Warn("controller: finished job not removed; the next leader does it")
	}
}
