package controller

import (
	"cmp"
	"context"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// recorded is what the store holds of a job: the version of its progress, whether that is final, and whether
// the job is cancelled.
type recorded struct {
	version   uint64
	final     bool
	cancelled bool
}

// mayBeCancelledFirst reports whether the job has an end that is not recorded yet and that a cancellation
// precedes if it is recorded sooner. Callers are then told that the job is cancelled, and the end must not
// be recorded any more.
func (j *job) mayBeCancelledFirst() bool {
	return (j.state == workflow.Completed || j.state == workflow.Failed) && !j.endRecorded
}

// resolveConflict reads what the store holds of the jobs of a batch and requeues them. After a conflict the
// versions in the job structs may be outdated, because an earlier write of this leader took effect although
// its answer was lost, or a job may have been cancelled before its end was recorded.
func (c *Controller) resolveConflict(b batch) {
	term := c.term
	c.flushing = true
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, storeTimeout.Duration())
		defer cancel()
		found, err := c.readAllRecorded(ctx, b)
		if err != nil {
			c.opts.Log.WithError(err).WithField("jobs", len(b.jobs)).Info("controller: versions not read")
			c.post(func() {
				c.runInTerm(term, func() {
					c.afterRetryDelay(func() {
						c.flushing = false
						c.requeue(b)
					})
				})
			})
			return
		}
		c.post(func() {
			c.runInTerm(term, func() {
				c.flushing = false
				for i, j := range b.jobs {
					c.adoptRecorded(j, found[i])
				}
				c.afterRetryDelay(func() { c.requeue(b) })
			})
		})
	}()
}

// readAllRecorded reads what the store holds of the jobs of a batch, of all at the same time. The error is the
// first one in the order of the jobs.
func (c *Controller) readAllRecorded(ctx context.Context, b batch) ([]recorded, error) {
	found := make([]recorded, len(b.jobs))
	errs := make([]error, len(b.jobs))
	var reads sync.WaitGroup
	for i, j := range b.jobs {
		reads.Go(func() { found[i], errs[i] = c.readRecorded(ctx, j.id, b.ends[i]) })
	}
	reads.Wait()
	return found, cmp.Or(errs...)
}

// readRecorded reads the progress of a job and, if its end was to be recorded, whether it is cancelled. The
// cancellation is read first: an end that was recorded before it is then seen.
func (c *Controller) readRecorded(ctx context.Context, id string, ends bool) (recorded, error) {
	var r recorded
	if ends {
		_, err := c.opts.Store.Get(ctx, board.CancelKey(id))
		if err != nil && kv.KindOf(err) != kv.Missing {
			return r, err
		}
		r.cancelled = err == nil
	}
	e, err := c.opts.Store.Get(ctx, board.ProgressKey(id))
	if kv.KindOf(err) == kv.Missing {
		return r, nil
	}
	if err != nil {
		return r, err
	}
	r.version = e.Version
	var p workflow.Progress
	if err := workflow.Decode(e.Value, &p); err != nil {
		// The next write replaces the value.
		c.opts.Log.WithError(err).WithField("job", id).Error("controller: recorded progress can't be read")
		return r, nil
	}
	r.final = p.State.Final()
	return r, nil
}

// adoptRecorded adopts what the store holds of a job.
func (c *Controller) adoptRecorded(j *job, r recorded) {
	j.version = r.version
	j.endRecorded = j.endRecorded || r.final
	if !r.cancelled || !j.mayBeCancelledFirst() {
		return
	}
	c.opts.Log.WithFields(logrus.Fields{"job": j.id, "state": string(j.state), "term": c.term}).Info("controller: job was cancelled before its end was recorded")
	c.opts.Counters.Counter(`chestnutsail_jobs_total{state="` + string(workflow.Cancelled) + `"}`).Inc()
	j.cancelled, j.state = true, workflow.Cancelled
	c.markChanged(j)
}
