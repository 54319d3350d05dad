package controller

import (
	"cmp"
	"errors"

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
func (c *Controller) maxValue() int { return cmp.Or(c.opts.Limits().MaxValue, kv.MaxValue) }

// recordRoom tells how many further tasks of a job may begin, so that its progress can be recorded. A job that is idle,
// as none of its tasks has a run, may always begin one task or one gang.
type recordRoom struct {
	tasks int
	idle  bool
}

// recordRoom returns the room of a job. longestID is the length of the longest ID of a worker.
func (c *Controller) recordRoom(j *job, longestID int) recordRoom {
	room, size := recordRoom{idle: true}, 0
	for _, p := range j.allParts() {
		size += partBytes
		if !p.isDone() {
			size += min(p.doneTasks, maxDoneList)*doneBytes + len(p.done)
		}
		for _, t := range p.begun {
			size += taskBytes + longestID + max(len(t.checkpoint), usualCheckpoint)
			room.idle = room.idle && t.run == nil
		}
	}
	free := int(plannedShare*float64(c.maxValue())) - size
	room.tasks = max(free, 0) / (taskBytes + longestID + usualCheckpoint)
	return room
}

// startable returns how many of the waiting tasks of a part may start.
func (p *part) startable(room recordRoom) int {
	begun, others := p.waiting()
	switch {
	case room.idle && p.step.Gang:
		return len(begun) + others
	case room.idle:
		return len(begun) + min(others, max(room.tasks, 1))
	case p.step.Gang && others > room.tasks:
		return 0
	}
	return len(begun) + min(others, room.tasks)
}

// encodeWithin returns the encoded progress of a job. If that exceeds the largest value of the store, checkpoints are
// left out: a later leader would start those tasks from the beginning.
func (j *job) encodeWithin(maxValue int) []byte {
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
