package controller

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/agent"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/planner"
	"github.com/chestnutsail/chestnutsail/speed"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// runState is the state of a run as the leader knows it.
type runState int

const (
	// planned runs are not recorded in the store yet; recording runs are being written to it.
	planned runState = iota
	recording
	// ordered runs are recorded, and their order is queued or has been sent.
	ordered
	// unconfirmed runs may be present on their worker: it answered the order with the verdict
	// agent.Stale, which does not tell whether the run is still present.
	unconfirmed
	// inherited runs were recorded by an earlier leader, and their worker has not reported
	// since.
	inherited
	// present runs are known to be present on their worker.
	present
	// stopping runs are being stopped.
	stopping
)

// run is one run of a task on a worker, from its placement until it has certainly ended.
// workerStart identifies the worker's process: it is the Unix time in milliseconds of its start,
// or 0 if that is unknown.
type run struct {
	task        *task
	number      int
	node        *node
	workerStart clock.Millis
	state       runState
	// stateSince is when the run entered its state, firstSeen when the leader first learned
	// that the run is present; 0 before.
	stateSince clock.Millis
	firstSeen  clock.Millis
	// percent is the progress, from 0 to 100. lastProgress is when it last changed.
	percent      int
	lastProgress clock.Millis
	// lastSeen is when the worker last reported the run as present. stallTime is the time without
	// progress after which the run counts as stalled.
	lastSeen  clock.Millis
	stallTime clock.Millis
	pace      pace
	// sample is what the run shows of the speed of its worker.
	sample speed.Sample
	// resumed reports whether the run started from a checkpoint. adopted reports whether an
	// earlier leader started it, so that its run time before firstSeen is not known.
	resumed bool
	adopted bool
	// unansweredAt is when the leader last noticed that a copy of the order got no answer, so that the
	// worker may still carry it out; 0 if there is none. For a run of an earlier leader it is the latest time
	// at which that leader may have sent a copy. held reports whether the run was kept for that reason after its
	// lease had expired.
	unansweredAt clock.Millis
	held         bool
	// copied reports whether this leader has sent a copy of the order, and copiesTo is the start of the worker's
	// process that all copies were sent to; 0 if that is not known.
	copied   bool
	copiesTo clock.Millis
	// copiesUntil is the time in the job's record until which a later leader allows for copies of the order; 0
	// if there is none.
	copiesUntil clock.Millis
	// missingSince is when the worker first answered a poll without the run after a copy of the order had got no
	// answer; 0 before.
	missingSince clock.Millis
	// unsentSince is when the leader first noticed that a copy of the order could not be sent, as no connection
	// was opened; 0 before.
	unsentSince clock.Millis
	// stopConfirmed is when the worker confirmed the request to stop the run; 0 before.
	stopConfirmed clock.Millis
}

const (
	// maxStopsInFlight is the maximum number of requests to stop a run that are sent at a time. Each takes memory and a
	// connection, and one cancellation may stop thousands of runs.
	maxStopsInFlight = 128

	orderTimeout = 250 * clock.Millisecond
	// unhealthyDelay is how long a worker gets no new tasks after it answered an order with
	// the verdict agent.Unhealthy.
	unhealthyDelay = clock.Second
	// minFullDelay is how long a worker gets no new tasks after it had too little room for an order
	// although it has reported its runs since the last such order. The delay doubles with each
	// further time, up to maxFullDelay, until the worker accepts an order.
	minFullDelay = 250 * clock.Millisecond
	maxFullDelay = 2 * clock.Second
)

// assignRun adds a run of a task to a worker, as the task's current run.
func (c *Controller) assignRun(t *task, n *node, number int, state runState) *run {
	now := c.opts.Clock.Now()
	r := &run{task: t, number: number, node: n, workerStart: n.workerStart, state: state, stateSince: now, lastProgress: now}
	t.run = r
	n.runs[r] = true
	return r
}

// ofEarlierProcess reports whether the run was ordered from, or last seen on, an earlier process of its
// worker than the one that answered last.
func (r *run) ofEarlierProcess() bool { return r.workerStart != r.node.workerStart }

// orderUnanswered reports whether a copy of the run's order was sent without an answer.
func (r *run) orderUnanswered() bool { return r.unansweredAt != 0 }

func (r *run) setState(s runState, now clock.Millis) { r.state, r.stateSince = s, now }

// shape returns the resources that one task of a part uses on a worker. Filler tasks use
// only the cores that other tasks leave, so their cores don't count.
func (p *part) shape() planner.Shape {
	s := planner.Shape{Cores: p.step.Cores, Memory: p.step.Memory, Accels: p.step.Accels}
	if p.step.Filler {
		s.Cores = 0
	}
	return s
}

// onOrderAnswer handles the answer to an order, or its failure.
func (c *Controller) onOrderAnswer(r *run, order agent.Order, verdict agent.Verdict, workerClock clock.Millis, err error) {
	now := c.opts.Clock.Now()
	switch {
	case err == nil || isRefusal(err):
	case !errors.Is(err, agent.ErrNotSent):
		r.node.strayOrders[runKey{r.task.id(), r.number}], r.unansweredAt = now, now
	case r.unsentSince == 0:
		r.unsentSince = now
	}
	if r.task.run != r {
		return
	}
	c.recordUnanswered(r)
	if r.state != ordered {
		return
	}
	switch {
	case workerClock == 0 || r.ofEarlierProcess():
	case workerClock+orderTimeout < r.node.estimatedClock(now, 1-maxClockLag):
		// The clock has started again, so another process has answered.
		c.forgetClock(r.node)
	default:
		c.recordAnswer(r.node, workerClock, now)
	}
	switch {
	case isRefusal(err) && !r.orderUnanswered():
		// The order was not delivered. That doesn't prove that the worker's process has ended.
		r.node.failing, r.node.refusing = true, true
		c.opts.Log.WithError(err).WithFields(r.logFields()).Warn("controller: order not delivered")
		c.removeRun(r, agent.Stopped, notDelivered, "")
	case err != nil:
		r.node.failing = true
		r.node.refusing = r.node.refusing || isRefusal(err)
		c.opts.Log.WithError(err).WithFields(r.logFields()).Warn("controller: no answer to an order; it will be sent again")
		c.retryOrder(r, order)
	case verdict == agent.Accepted:
		r.node.fullDelay = 0
		c.markPresent(r, now)
		c.poll(r.node)
	case verdict == agent.Stale:
		r.setState(unconfirmed, now)
		c.poll(r.node)
	default:
		c.opts.Log.WithFields(r.logFields()).WithField("verdict", string(verdict)).Warn("controller: order rejected")
		c.opts.Counters.Counter(`chestnutsail_orders_rejected_total{verdict="` + string(verdict) + `"}`).Inc()
		if verdict == agent.Unhealthy {
			r.node.avoid(now)
		}
		if verdict == agent.Full {
			r.node.recordFull(now)
		}
		if r.orderUnanswered() {
			// The worker may still carry out an earlier copy of the order, unless it is
			// told to stop the run.
			c.stopRun(r, "its order was rejected")
			return
		}
		c.removeRun(r, agent.Stopped, orderRejected, "")
	}
}

// recordFull notes that the worker has too little room for an order. Its runs are then read again, in case
// that the leader doesn't know all of them. If the worker still lacks the room, its entry claims too much.
func (n *node) recordFull(now clock.Millis) {
	if !n.pollAnswered {
		// The order was sent before an earlier one was rejected.
		return
	}
	n.pollAnswered = false
	n.noWorkUntil = max(n.noWorkUntil, now+n.fullDelay)
	n.fullDelay = min(max(2*n.fullDelay, minFullDelay), maxFullDelay)
}

// markPresent marks a run as present on its worker. The job then counts as running.
func (c *Controller) markPresent(r *run, now clock.Millis) {
	r.setState(present, now)
	if r.firstSeen == 0 {
		r.firstSeen, r.lastProgress = now, now
	}
	if j := r.task.part.job; !j.state.Final() && j.state != workflow.Running {
		j.state, j.unrecordedStart = workflow.Running, now
	}
}

// stopRun stops a run in any state. The reason is the value of a metric's label and of a log
// field.
func (c *Controller) stopRun(r *run, reason string) {
	switch r.state {
	case planned:
		c.removeRun(r, agent.Stopped, notOrdered, "")
		return
	case stopping:
		return
	}
	lost := 0.0
	if r.state == present && !r.task.done {
		lost = c.lostWork(r, c.opts.Clock.Now())
	}
	c.opts.Counters.Counter(`chestnutsail_lost_core_seconds_total{reason="` + reason + `"}`).Add(int(lost))
	c.opts.Log.WithFields(r.logFields()).WithFields(logrus.Fields{"reason": reason, "lost_core_s": int64(lost)}).Info("controller: stopping a run")
	if r.state == recording {
		// The order has not been sent yet, and onFlushed skips runs that were removed.
		c.removeRun(r, agent.Stopped, notOrdered, "")
		return
	}
	r.setState(stopping, c.opts.Clock.Now())
	c.requestStop(r)
}

// requestStop asks the worker to stop a run, and repeats that until the worker confirms it. The
// confirmation of a process that has been replaced since does not count.
func (c *Controller) requestStop(r *run) {
	process := r.node.process
	needed := func() bool { return r.task.run == r && r.state == stopping && r.node.process == process }
	c.sendStop(r.node, runKey{r.task.id(), r.number}, needed, func() {
		if needed() {
			r.stopConfirmed = c.opts.Clock.Now()
		}
	})
}

// sendStop asks a worker to stop a run. It retries until the worker answers or needed returns
// false, and calls onConfirmed on the event loop after an answer. It waits while the worker's address
// is not known, and while the lease on the leadership may have ended, because a successor may have
// taken the run over.
func (c *Controller) sendStop(n *node, key runKey, needed func() bool, onConfirmed func()) {
	c.stops.add(func() {
		if needed() {
			c.sendDueStop(n, key, needed, onConfirmed)
		}
	})
}

// sendDueStop sends a stop at the head of the queue.
func (c *Controller) sendDueStop(n *node, key runKey, needed func() bool, onConfirmed func()) {
	term, worker := c.term, n.worker
	if worker.Address == "" || !c.leadershipConfirmed() {
		c.afterRetryDelay(func() {
			if needed() {
				c.sendStop(n, key, needed, onConfirmed)
			}
		})
		return
	}
	end := c.begin(&c.stops)
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, orderTimeout.Duration())
		defer cancel()
		err := c.opts.Workers.Stop(ctx, worker, key.task, key.run, term)
		end()
		if err != nil {
			clock.Sleep(c.ctx, retryDelay)
		}
		c.post(func() {
			c.runInTerm(term, func() {
				switch {
				case err == nil:
					onConfirmed()
					c.poll(n)
				case needed():
					c.countRetry("stop")
					c.sendStop(n, key, needed, onConfirmed)
				}
			})
		})
	}()
}

// removeRun removes a run that has ended from its worker, as shownBy shows. Its task waits for a new run unless it
// is done. If a member of a gang ended without success, the rest of the gang is stopped.
func (c *Controller) removeRun(r *run, reason agent.EndReason, shownBy evidence, checkpoint string) {
	t := r.task
	if r.node.runs[r] {
		r.node.speed.Add(r.sample)
	}
	delete(r.node.runs, r)
	if t.run != r {
		return
	}
	now := c.opts.Clock.Now()
	c.logRemoval(r, shownBy, now)
	t.run, t.removed = nil, removal{number: r.number, node: r.node, evidence: shownBy, at: now}
	if checkpoint != "" {
		t.checkpoint, t.checkpointPercent = checkpoint, r.percent
	}
	p := t.part
	if !t.done && p.step.Gang && reason != agent.Done {
		c.stopGang(p)
	}
	p.release(t)
	c.markChanged(p.job)
}

// stopWithGang stops a run for a reason and, if it is a member of a gang, all runs of the gang for gangReason.
func (c *Controller) stopWithGang(r *run, reason, gangReason string) {
	if !r.task.part.step.Gang {
		c.stopRun(r, reason)
		return
	}
	for _, member := range r.task.part.runs() {
		c.stopRun(member, gangReason)
	}
}

// stopGang stops the remaining members of a gang, which can't continue without a member that
// has ended.
func (c *Controller) stopGang(p *part) {
	for _, other := range p.runs() {
		c.stopRun(other, "another member of its gang has ended")
	}
}

// checkpoint returns the checkpoint from which a gang resumes, or "" if there is none. Each
// member's checkpoint is valid for all members, so it is the one with the most progress.
func (p *part) checkpoint() string {
	best, checkpointPercent := "", -1
	for _, t := range p.begun {
		if t.checkpoint != "" && t.checkpointPercent > checkpointPercent {
			best, checkpointPercent = t.checkpoint, t.checkpointPercent
		}
	}
	return best
}

// logFields returns the log fields that identify a run.
func (r *run) logFields() logrus.Fields {
	return logrus.Fields{"job": r.task.part.job.id, "task": r.task.id().String(), "run": r.number, "worker": r.node.id}
}
