package controller

import (
	"errors"
	"math"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/agent"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// The progress of a job is one value of the store, whose size is limited. Tasks that have begun count with what they
// take at most, apart from checkpoints, which are known only once a run has ended.
const (
	// plannedShare is the share of the largest value that begun tasks may take. The rest is left for checkpoints.
	plannedShare = 0.5
	// taskBytes is the largest encoded size in bytes of a begun task, without its worker's ID and its checkpoint.
	taskBytes = 48
	// usualCheckpoint is the size in bytes that is expected of a checkpoint.
	usualCheckpoint = 16
	// partBytes is the largest encoded size in bytes of a part, without its tasks.
	partBytes = 64
	// maxDoneList is the number of done tasks from which on they are recorded as a set.
	maxDoneList = 256
	// doneBytes is the largest encoded size in bytes of the index of a done task.
	doneBytes = 3
	// maxBatchBytes is the size in bytes of the values in a transaction to which no further job is added.
	maxBatchBytes = 256 << 10
	// rejectedDelay is the delay before progress that the store has rejected is written again.
	rejectedDelay = clock.Second
)

// maxValue returns the largest size in bytes of a value in the store.
func (c *Controller) maxValue() int {
	if limit := c.opts.Limits().MaxValue; limit > 0 {
		return limit
	}
	return kv.MaxValue
}

// room returns how many further tasks of a job may begin, so that its progress can be recorded. A job without runs may
// always begin one task, or one gang.
func (c *Controller) room(j *job) int {
	size, running := 0, false
	for _, p := range j.allParts() {
		size += partBytes
		if !p.isDone() {
			size += min(p.doneTasks*doneBytes, max(maxDoneList*doneBytes, p.size()/8))
		}
		for _, t := range p.begun {
			size += taskBytes + c.longestID + max(len(t.checkpoint), usualCheckpoint)
			running = running || t.run != nil
		}
	}
	free := plannedShare*float64(c.maxValue()) - float64(size)
	room := int(math.Max(free, 0)) / (taskBytes + c.longestID + usualCheckpoint)
	if !running {
		return max(room, 1)
	}
	return room
}

// startable returns how many of the waiting tasks of a part may start if room further tasks of its job may begin.
func (p *part) startable(room int) int {
	begun := 0
	for _, t := range p.begun {
		if !t.done && t.run == nil {
			begun++
		}
	}
	waiting := p.waitingCount()
	if !p.step.Gang {
		return min(waiting, begun+room)
	}
	if waiting-begun > room && p.job.hasRuns() {
		return 0
	}
	return waiting
}

// hasRuns reports whether a task of the job has a run.
func (j *job) hasRuns() bool {
	for _, p := range j.allParts() {
		for _, t := range p.begun {
			if t.run != nil {
				return true
			}
		}
	}
	return false
}

// encodeFor returns the encoded progress of a job. If that exceeds the largest value of the store, checkpoints are left
// out: a later leader would start those tasks from the beginning.
func (j *job) encodeFor(maxValue int) []byte {
	progress := j.encode()
	raw := workflow.Encode(progress)
	if len(raw) <= maxValue {
		return raw
	}
	for i := range progress.Parts {
		for k := range progress.Parts[i].Tasks {
			progress.Parts[i].Tasks[k].Checkpoint = ""
		}
	}
	return workflow.Encode(progress)
}

// errTooLarge means that the progress of a job exceeds the largest value of the store.
var errTooLarge = errors.New("controller: the progress is too large to be recorded")

// onRejected handles a batch that the store will never accept. If it holds several jobs, each of them is written by
// itself next, so that those that the store accepts don't wait for the others.
func (c *Controller) onRejected(b batch, err error) {
	if len(b.jobs) == 1 {
		c.holdBack(b.jobs[0], b.runs, len(b.entries[0].Value), err)
		return
	}
	c.opts.Log.WithError(err).WithField("jobs", len(b.jobs)).Warn("controller: progress rejected; each job is written by itself")
	for _, j := range b.jobs {
		j.writeAlone = true
	}
	c.requeue(b)
}

// holdBack delays the next write of a job whose progress can't be recorded, and gives back the room of the runs that
// depend on it. Until then no task of the job begins.
func (c *Controller) holdBack(j *job, runs []*run, bytes int, err error) {
	c.opts.Counters.Counter("chestnutsail_progress_rejected_total").Inc()
	c.opts.Log.WithError(err).WithFields(logrus.Fields{"job": j.id, "bytes": bytes, "runs": len(runs)}).Error("controller: progress can't be recorded")
	j.heldBackUntil = c.opts.Clock.Now() + rejectedDelay
	for _, r := range runs {
		if r.task.run == r && r.state == recording {
			c.removeRun(r, agent.Stopped, notOrdered, "")
		}
	}
	c.dirty[j] = true
}
