package controller

import (
	"context"

	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// maxFlush is the number of jobs in one write: the store takes 32 entries in a
// transaction, two a job, and one for the leader's key.
const maxFlush = 15

// batch is a write of the progress of several jobs.
type batch struct {
	jobs    []*job
	changes []int
	ops     []kv.Op
	entries []kv.Entry
	// runs are ordered once the write stands.
	runs []*run
}

// flush records what has changed. The leader's key is part of the condition, so a
// leader that was superseded records nothing.
func (c *Controller) flush() {
	if c.flushing || len(c.dirty) == 0 || c.opts.Clock.Now() < c.resting || !c.acts() {
		return
	}
	b := c.batch()
	c.flushing = true
	term := c.term
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, storeTimeout.Duration())
		defer cancel()
		version, err := c.opts.Store.Commit(ctx, b.ops)
		c.post(func() {
			c.onTerm(term, func() {
				c.flushing = false
				c.flushed(b, version, err)
			})
		})
	}()
}

func (c *Controller) batch() batch {
	b := batch{ops: []kv.Op{{Key: board.LeadKey, Version: c.term, Same: true}}}
	now := c.opts.Clock.Now()
	for j := range c.dirty {
		if len(b.jobs) == maxFlush {
			break
		}
		delete(c.dirty, j)
		j.begun = 0
		if !j.state.Over() {
			j.begin(&b, now)
		}
		e := kv.Entry{Key: board.ProgressKey(j.id), Value: workflow.Encode(j.encode())}
		b.jobs = append(b.jobs, j)
		b.changes = append(b.changes, j.changes)
		b.entries = append(b.entries, e)
		b.ops = append(b.ops, kv.Op{Key: e.Key, Version: j.version, Value: e.Value})
	}
	return b
}

// begin has the planned runs of a job ordered after a write.
func (j *job) begin(b *batch, now clock.Millis) {
	for _, row := range j.parts {
		for _, p := range row {
			for _, t := range p.tasks {
				if t.run == nil || (t.run.state != planned && t.run.state != written) {
					continue
				}
				t.run.enter(written, now)
				b.runs = append(b.runs, t.run)
			}
		}
	}
}

func (c *Controller) flushed(b batch, version uint64, err error) {
	switch kv.KindOf(err) {
	case kv.OK:
		for i, j := range b.jobs {
			j.version = version
			j.written = max(j.written, b.changes[i])
			b.entries[i].Version = version
		}
		c.opts.Board.Add(b.entries...)
		for _, r := range b.runs {
			if r.task.run == r && r.state == written {
				c.order(r)
			}
		}
		for _, n := range c.nodes {
			if len(n.pending) > 0 {
				c.acknowledge(n)
				c.look(n)
			}
		}
		return
	case kv.Conflict:
		c.opts.Log.WithError(err).WithField("term", c.term).Warn("controller: progress not recorded, another write came first")
		c.retried("conflict")
		c.reread(b)
	default:
		c.opts.Log.WithError(err).WithField("jobs", len(b.jobs)).Warn("controller: progress not recorded")
		c.retried("progress")
		c.resting = c.opts.Clock.Now() + retryPause
		c.afterPause(func() { c.requeue(b) })
	}
}

// requeue has the jobs of a batch written again.
func (c *Controller) requeue(b batch) {
	for _, j := range b.jobs {
		c.dirty[j] = true
	}
	c.flush()
}

// afterPause runs f after a pause, within the term.
func (c *Controller) afterPause(f func()) {
	term := c.term
	go func() {
		clock.Sleep(c.ctx, retryPause)
		c.post(func() { c.onTerm(term, f) })
	}()
}

// reread learns the versions that an own write without an answer has left.
func (c *Controller) reread(b batch) {
	term := c.term
	c.flushing = true
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, storeTimeout.Duration())
		defer cancel()
		versions := make([]uint64, len(b.jobs))
		for i, j := range b.jobs {
			e, err := c.opts.Store.Get(ctx, board.ProgressKey(j.id))
			if err != nil && kv.KindOf(err) != kv.Missing {
				c.afterPause(func() {
					c.flushing = false
					c.requeue(b)
				})
				return
			}
			versions[i] = e.Version
		}
		c.post(func() {
			c.onTerm(term, func() {
				c.flushing = false
				for i, j := range b.jobs {
					j.version = versions[i]
				}
				c.afterPause(func() { c.requeue(b) })
			})
		})
	}()
}
