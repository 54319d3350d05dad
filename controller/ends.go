package controller

import (
	"context"

	"github.com/chestnutsail/chestnutsail/agent"
	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/workflow"
)

const (
	// maxRecordingTime is the time after its end after which a job's end counts as not recorded.
	// It is far longer than a write takes unless the store is slow.
	maxRecordingTime = 150 * clock.Millisecond
	// readWait is how long a worker may delay the answer to a reading of its ends.
	readWait = 500 * clock.Millisecond
)

// shareUnrecordedEnds shares the ends of jobs that the store has not recorded in time, because it
// does not answer. The end of a cancelled job needs no record, as its cancellation is recorded.
func (c *Controller) shareUnrecordedEnds(now clock.Millis) {
	if c.opts.ShareEnds == nil {
		return
	}
	var ends []board.End
	for _, j := range c.jobs {
		ended := j.state == workflow.Completed || j.state == workflow.Failed
		if ended && j.recordedChanges < j.changes && now-j.endedAt > maxRecordingTime {
			ends = append(ends, board.End{Job: j.id, Progress: j.encode()})
		}
	}
	if len(ends) > 0 {
		c.opts.ShareEnds(c.term, ends)
	}
}

// restoreHeldEnd takes over the end of a job that an earlier leader knew and could not record, unless the
// job was cancelled meanwhile.
func (c *Controller) restoreHeldEnd(j *job, held *workflow.Progress) {
	if held == nil || j.state.Final() || j.cancelled {
		return
	}
	c.opts.Log.WithField("job", j.id).WithField("state", string(held.State)).Info("controller: taking over an end that is not recorded")
	j.progress, j.state, j.endedAt = *held, held.State, held.EndedAt
	c.markChanged(j)
}

// readEnds asks a worker for the ends of its runs while the lease on the leadership may have ended,
// so that ends are known although the store is away. It neither renews leases nor acknowledges
// ends, and leaves alone what runs there: another leader may have taken over.
func (c *Controller) readEnds(n *node) {
	now := c.opts.Clock.Now()
	if c.opts.ShareEnds == nil || n.polling || len(n.runs) == 0 || now < n.pollRetryAt {
		return
	}
	n.polling = true
	term, worker := c.term, n.worker
	request := agent.Renewal{Fence: term, Wait: readWait}
	if len(n.unackedEnds) > 0 {
		// The worker answers at once as long as ends are not acknowledged.
		request.Wait = 0
	}
	c.opts.Counters.Counter("chestnutsail_worker_looks_total").Inc()
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, (request.Wait + pollTimeout).Duration())
		defer cancel()
		report, err := c.opts.Workers.Renew(ctx, worker, request)
		c.post(func() {
			c.runInTerm(term, func() {
				n.polling = false
				c.onEndsRead(n, worker, report, err)
			})
		})
	}()
}

func (c *Controller) onEndsRead(n *node, worker agent.Worker, report agent.Report, err error) {
	n.pollRetryAt = c.opts.Clock.Now() + pollRetryDelay
	if err != nil {
		c.opts.Log.WithError(err).WithField("worker", n.id).Debug("controller: ends not read")
		return
	}
	if n.worker.Address != worker.Address || report.StartedAt != n.workerStart {
		return
	}
	for _, e := range report.Ended {
		c.handleEnd(n, e)
	}
}
