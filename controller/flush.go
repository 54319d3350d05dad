package controller

import (
	"context"

	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/kv"
)

// maxBatchEntries is the largest number of entries that the store accepts in a transaction. Each condition
// and each put is an entry.
const maxBatchEntries = 32

// batch is one write of the progress of several jobs. The elements of jobs, changes, ends and entries
// belong together; changes holds each job's change count at the time of the write, and ends tells whether
// the job's final state is written.
type batch struct {
	jobs    []*job
	changes []int
	ends    []bool
	ops     []kv.Op
	entries []kv.Entry
	// runs are the runs whose orders are sent once the write has succeeded.
	runs []*run
}

// flush starts to write the progress of changed jobs to the store, unless a write is in flight.
// The transaction also checks the leader's key, so that the write fails if another leader has
// taken over.
func (c *Controller) flush() {
	if c.flushing || len(c.dirty) == 0 || c.opts.Clock.Now() < c.storeRetryAt || !c.leadershipConfirmed() {
		return
	}
	b := c.nextBatch()
	if len(b.jobs) == 0 {
		return
	}
	c.flushing = true
	term := c.term
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, storeTimeout.Duration())
		defer cancel()
		version, err := c.opts.Store.Commit(ctx, b.ops)
		c.post(func() {
			c.runInTerm(term, func() {
				c.flushing = false
				c.onFlushed(b, version, err)
			})
		})
	}()
}

// nextBatch returns the next write: of one job, or of several jobs as long as they take few entries and bytes.
func (c *Controller) nextBatch() batch {
	b := batch{ops: []kv.Op{{Key: board.LeaderKey, Version: c.term, RequireVersion: true}}}
	entryCount, bytes := 1, 0
	now := c.opts.Clock.Now()
	for j := range c.dirty {
		switch {
		case now < j.heldBackUntil:
			continue
		case len(b.jobs) > 0 && (b.jobs[0].writeAlone || j.writeAlone || bytes+j.recordedBytes > maxBatchBytes):
			continue
		}
		// The version of the progress key and its new value.
		entryCount += 2
		if j.mayBeCancelledFirst() {
			entryCount++
		}
		if entryCount > maxBatchEntries {
			break
		}
		j.closeOccurrences()
		var runs []*run
		if !j.state.Final() {
			runs = j.markRecording(now)
		}
		e := kv.Entry{Key: board.ProgressKey(j.id), Value: j.encodeWithin(c.maxValue())}
		if len(e.Value) > c.maxValue() {
			c.holdBack(j, runs, len(e.Value), errTooLarge)
			continue
		}
		delete(c.dirty, j)
		j.unrecordedStart, j.recordedBytes = 0, len(e.Value)
		bytes += len(e.Value)
		b.runs = append(b.runs, runs...)
		b.jobs = append(b.jobs, j)
		b.changes = append(b.changes, j.changes)
		b.ends = append(b.ends, j.state.Final())
		b.entries = append(b.entries, e)
		b.ops = append(b.ops, kv.Op{Key: e.Key, Version: j.version, Value: e.Value})
		if j.mayBeCancelledFirst() {
			b.ops = append(b.ops, kv.Op{Key: board.CancelKey(j.id), RequireAbsent: true})
		}
	}
	return b
}

// markRecording returns the job's planned runs, whose orders follow the write that records them.
func (j *job) markRecording(now clock.Millis) []*run {
	var runs []*run
	for _, p := range j.allParts() {
		for _, r := range p.runs() {
			if r.state == planned || r.state == recording {
				r.setState(recording, now)
				runs = append(runs, r)
			}
		}
	}
	return runs
}

func (c *Controller) onFlushed(b batch, version uint64, err error) {
	switch kv.KindOf(err) {
	case kv.OK:
		for i, j := range b.jobs {
			j.version, j.writeAlone = version, false
			j.recordedChanges = max(j.recordedChanges, b.changes[i])
			j.endRecorded = j.endRecorded || b.ends[i]
			b.entries[i].Version = version
		}
		c.opts.Board.Add(b.entries...)
		for _, r := range b.runs {
			if r.task.run == r && r.state == recording {
				c.orderStart(r)
			}
		}
		for _, n := range c.nodes {
			if len(n.unackedEnds) > 0 {
				c.advanceAckedEnd(n)
				c.poll(n)
			}
		}
		return
	case kv.Rejected:
		c.countRetry("rejected")
		c.onRejected(b, err)
	case kv.Conflict:
		c.opts.Log.WithError(err).WithField("term", c.term).Warn("controller: progress not recorded, another write came first")
		c.countRetry("conflict")
		c.resolveConflict(b)
	default:
		c.opts.Log.WithError(err).WithField("jobs", len(b.jobs)).Warn("controller: progress not recorded")
		c.countRetry("progress")
		c.storeRetryAt = c.opts.Clock.Now() + retryDelay
		c.afterRetryDelay(func() { c.requeue(b) })
	}
}

// requeue marks the jobs of a failed batch to be written again.
func (c *Controller) requeue(b batch) {
	for _, j := range b.jobs {
		c.dirty[j] = true
	}
	c.flush()
}

// afterRetryDelay runs f on the event loop after retryDelay, if the term is still the same.
func (c *Controller) afterRetryDelay(f func()) {
	term := c.term
	go func() {
		clock.Sleep(c.ctx, retryDelay)
		c.post(func() { c.runInTerm(term, f) })
	}()
}
