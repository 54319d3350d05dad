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

// job is a job in the leader's memory.
type job struct {
	id     string
	record *workflow.Record
	// progress is what was recorded when the job was adopted.
	progress  workflow.Progress
	version   uint64
	state     workflow.State
	over      clock.Millis
	cancelled bool
	// parts has one row an occurrence that has come due, one entry a step.
	parts [][]*part
	// changes counts the changes, written those that are recorded.
	changes int
	written int
	// begun is when the first run arrived, until that is recorded.
	begun clock.Millis
	// noticed is when this leader learned of the job.
	noticed clock.Millis
}

// part is one step of one occurrence.
type part struct {
	job        *job
	occurrence int
	index      int
	step       *workflow.Step
	tasks      []*task
	done       int
	// fails and failed count the failed runs of a gang and name the last of them.
	fails  int
	failed int
	// ready is when the part's turn came.
	ready clock.Millis
	// taken is the time in milliseconds that a task that is done took on a sound
	// worker, as if its speed were 1; 0 before.
	taken float64
}

// task is one task of a part.
type task struct {
	part  *part
	index int
	done  bool
	fails int
	// last is the highest run that was ordered.
	last int
	// saved is the last checkpoint, taken at the progress reached, in percent.
	saved   string
	reached int
	run     *run
	// restarts counts the runs that were stopped for being slow.
	restarts int
	// avoid are the workers on which the task has failed.
	avoid map[string]bool
}

func (t *task) id() agent.Task {
	return agent.Task{Job: t.part.job.id, Occurrence: t.part.occurrence, Step: t.part.index, Index: t.index}
}

// adopt takes a job that the store holds.
func (c *Controller) adopt(v board.View) {
	if c.jobs[v.ID] != nil {
		return
	}
	j := &job{
		id: v.ID, record: v.Record, progress: v.Progress, version: v.Version, state: v.Progress.State,
		over: v.Progress.Over, cancelled: v.Cancelled, noticed: c.opts.Clock.Now(),
	}
	c.jobs[v.ID] = j
	for _, p := range j.progress.Parts {
		c.restore(j, p)
	}
	if c.listed {
		c.place(j)
	}
	if j.cancelled && !j.state.Over() {
		c.cancelJob(j)
	}
}

// partOf returns a part, and makes those of its occurrence on first use.
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

// restore takes what is recorded of a part.
func (c *Controller) restore(j *job, recorded workflow.Part) {
	if recorded.Step >= len(j.record.Spec.Steps) || recorded.Occurrence >= j.record.Spec.Times() {
		c.opts.Log.WithField("job", j.id).Error("controller: progress names a step that the job lacks")
		return
	}
	p := j.partOf(recorded.Occurrence, recorded.Step)
	if recorded.All {
		for _, t := range p.tasks {
			t.done = true
		}
		p.done = len(p.tasks)
		return
	}
	for _, i := range recorded.Done {
		if i < len(p.tasks) && !p.tasks[i].done {
			p.tasks[i].done = true
			p.done++
		}
	}
	for _, r := range recorded.Tasks {
		if r.Index < len(p.tasks) {
			t := p.tasks[r.Index]
			t.last, t.fails, t.saved = r.Run, r.Fails, r.Saved
			p.fails = max(p.fails, r.Fails)
		}
	}
}

// place puts the runs that are recorded onto their workers. Whether they are there
// shows when the workers are looked at.
func (c *Controller) place(j *job) {
	for _, recorded := range j.progress.Parts {
		if recorded.Step >= len(j.record.Spec.Steps) || recorded.Occurrence >= j.record.Spec.Times() {
			continue
		}
		p := j.partOf(recorded.Occurrence, recorded.Step)
		for _, place := range recorded.Places {
			if place.Index >= len(p.tasks) || p.tasks[place.Index].run != nil {
				continue
			}
			t := p.tasks[place.Index]
			n := c.nodeOf(place.Worker)
			t.last = max(t.last, place.Run)
			c.occupy(t, n, place.Run, recalled).born = place.Born
		}
	}
	j.progress.Parts = nil
}

// touch marks a job as changed.
func (c *Controller) touch(j *job) {
	j.changes++
	c.dirty[j] = true
	c.wantPlan = true
}

// encode returns what is recorded of a job.
func (j *job) encode() workflow.Progress {
	p := workflow.Progress{State: j.state, Over: j.over}
	for _, row := range j.parts {
		for _, x := range row {
			if part, used := x.encode(); used {
				p.Parts = append(p.Parts, part)
			}
		}
	}
	return p
}

func (p *part) encode() (workflow.Part, bool) {
	out := workflow.Part{Occurrence: p.occurrence, Step: p.index, All: p.done == len(p.tasks)}
	for _, t := range p.tasks {
		if t.run != nil && t.run.state != planned {
			out.Places = append(out.Places, workflow.Place{Index: t.index, Run: t.run.number, Worker: t.run.node.id, Born: t.run.born})
		}
		switch {
		case out.All:
		case t.done:
			out.Done = append(out.Done, t.index)
		case t.last > 0:
			fails := t.fails
			if p.step.Gang {
				fails = p.fails
			}
			out.Tasks = append(out.Tasks, workflow.Task{Index: t.index, Run: t.last, Fails: fails, Saved: t.saved})
		}
	}
	return out, out.All || len(out.Places) > 0 || len(out.Done) > 0 || len(out.Tasks) > 0
}

// cancelJob stops all that runs of a job.
func (c *Controller) cancelJob(j *job) {
	j.cancelled = true
	if j.state.Over() {
		return
	}
	c.finish(j, workflow.Cancelled, "cancelled by its caller")
}

// beginLag is how long the record that a job runs may wait for another change of the
// job to be written along with; counts of waiting jobs may be 2 s old.
const beginLag = 500 * clock.Millisecond

// recordBegun records that jobs have begun to run where no other change has done so.
func (c *Controller) recordBegun(now clock.Millis) {
	for _, j := range c.jobs {
		if j.begun != 0 && now-j.begun > beginLag {
			c.touch(j)
		}
	}
}

// finish gives a job its final state and stops what still runs of it.
func (c *Controller) finish(j *job, state workflow.State, reason string) {
	j.state, j.over = state, c.opts.Clock.Now()
	c.opts.Log.WithFields(logrus.Fields{
		"job": j.id, "state": string(state), "reason": reason, "term": c.term, "age_ms": int64(j.over - j.record.Accepted),
		"objective_ms": int64(j.record.Objective()), "queue": j.record.Queue,
	}).Info("controller: job is over")
	c.opts.Counters.Counter(`chestnutsail_jobs_total{state="` + string(state) + `"}`).Inc()
	for _, row := range j.parts {
		for _, p := range row {
			for _, t := range p.tasks {
				if t.run != nil {
					c.halt(t.run, "its job is over")
				}
			}
		}
	}
	c.touch(j)
}

// finishIfDone completes a job whose tasks are all done.
func (c *Controller) finishIfDone(j *job) {
	if j.state.Over() || len(j.parts) < j.record.Spec.Times() {
		return
	}
	for _, row := range j.parts {
		if row == nil {
			return
		}
		for _, p := range row {
			if p.done < len(p.tasks) {
				return
			}
		}
	}
	c.finish(j, workflow.Completed, "all tasks are done")
}

// expire forgets jobs that were over for longer than their state is kept.
func (c *Controller) expire(now clock.Millis) {
	if c.opts.Limits().Retention == 0 {
		return
	}
	for id, j := range c.jobs {
		if !j.state.Over() || now-j.over < 2*c.opts.Limits().Retention || j.written != j.changes {
			continue
		}
		delete(c.jobs, id)
		go c.remove(id)
		return
	}
}

// remove deletes the keys of a job, the record last.
func (c *Controller) remove(id string) {
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
