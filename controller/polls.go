package controller

import (
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/agent"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// pollAnswered handles the answer to a poll. sent is when the poll was sent.
func (c *Controller) pollAnswered(n *node, worker agent.Worker, sent clock.Millis, report agent.Report) {
	now := c.opts.Clock.Now()
	if n.worker.Address != worker.Address {
		return
	}
	if report.StartedAt != 0 && n.workerStart != 0 && report.StartedAt != n.workerStart {
		c.onRestart(n, report.StartedAt)
	}
	if n.workerStart == 0 {
		n.workerStart = report.StartedAt
	}
	first := !n.pollAnswered
	n.pollAnswered = true
	c.recordAnswer(n, report.Clock, now)
	n.see(report, sent)
	n.listsEnds = len(report.Ended) > 0
	for _, e := range report.Ended {
		c.handleEnd(n, e)
	}
	c.compareRuns(n, sent, report)
	c.advanceAckedEnd(n)
	if first {
		c.planNeeded = true
	}
	c.poll(n)
}

// compareRuns compares the runs that a worker reported with those that are expected there, and
// stops the runs that are not expected.
func (c *Controller) compareRuns(n *node, sent clock.Millis, report agent.Report) {
	now := c.opts.Clock.Now()
	reportedRuns := make(map[runKey]agent.Run, len(report.Running))
	for _, r := range report.Running {
		reportedRuns[runKey{r.Task, r.Run}] = r
	}
	partsSeen := make(map[*part]bool)
	for r := range n.runs {
		key := runKey{r.task.id(), r.number}
		reported, found := reportedRuns[key]
		delete(reportedRuns, key)
		if found {
			c.reported(r, reported, now)
			partsSeen[r.task.part] = true
			continue
		}
		if !report.MoreEnds {
			c.onRunMissing(r, sent)
		}
	}
	for p := range partsSeen {
		c.assessPace(p, now)
	}
	for unknown := range n.unknownRuns {
		if _, found := reportedRuns[unknown]; !found {
			delete(n.unknownRuns, unknown)
		}
	}
	for unknown := range reportedRuns {
		if n.unknownRuns[unknown] {
			continue
		}
		n.unknownRuns[unknown] = true
		c.opts.Log.WithFields(logrus.Fields{"worker": n.id, "task": unknown.task.String(), "run": unknown.run}).Warn("controller: stopping an unknown run")
		if p := c.partOfTask(c.jobs[unknown.task.Job], unknown.task); p != nil {
			if t := p.find(unknown.task.Index); t != nil {
				c.checkSurvivor(t, n, unknown.run, "")
			}
		}
		c.sendStop(n, unknown, func() bool { return n.unknownRuns[unknown] }, func() {})
	}
}

// reported handles an expected run that its worker reported as present.
func (c *Controller) reported(r *run, reported agent.Run, now clock.Millis) {
	switch r.state {
	case ordered, unconfirmed, inherited:
		r.adopted, r.workerStart = r.state == inherited, r.node.workerStart
		c.markPresent(r, now)
		switch {
		case r.task.part.job.state.Final():
			c.stopRun(r, "its job is over")
		case r.task.done:
			c.stopRun(r, "its gang is done")
		}
	}
	if reported.Percent != r.percent {
		r.percent, r.lastProgress = reported.Percent, now
	}
	r.lastSeen, r.stallTime = now, c.stallTime(r)
	r.updatePace(reported.Percent, now)
}

// maxMissingTime is the time in milliseconds for which a worker may answer polls and leave the copies of an
// order unanswered. It is shorter than newRunPollWait, so that the second of such polls ends the wait.
const maxMissingTime = 900 * clock.Millisecond

// checkUnansweredOrder gives up a run that its worker does not report if copies of its order have got no
// answer while the worker answered polls.
func (c *Controller) checkUnansweredOrder(r *run) {
	now := c.opts.Clock.Now()
	switch {
	case !r.orderUnanswered():
	case r.missingSince == 0:
		r.missingSince = now
	case r.unansweredAt > r.missingSince && now-r.missingSince > maxMissingTime:
		r.node.avoid(now)
		c.stopWithGang(r, "its order gets no answer", "an order of its gang gets no answer")
	}
}

// onRunMissing handles an expected run that its worker did not report. The run has ended if
// the poll was sent after the run was known to be present, or after its stop took effect. But a copy of
// its order that went to an earlier process of the worker may still reach this one, unless this one is
// told to stop the run.
func (c *Controller) onRunMissing(r *run, sent clock.Millis) {
	switch r.state {
	case ordered:
		c.checkUnansweredOrder(r)
	case present, unconfirmed:
		if sent > r.stateSince {
			if r.copyMayBeLate(sent) && r.ofEarlierProcess() {
				c.stopRun(r, "its worker has started anew")
				return
			}
			c.opts.Log.WithFields(r.logFields()).Warn("controller: run is no longer on its worker")
			c.removeRun(r, agent.LeaseExpired, notReported, "")
		}
	case stopping:
		// The worker may still carry out the order to start the run until it confirms the stop.
		if r.stopConfirmed > 0 && sent > r.stopConfirmed+c.opts.Limits().Stop {
			c.removeRun(r, agent.Stopped, notReported, "")
		}
	case inherited:
		// The order of the earlier leader did not arrive, and the worker rejects it from now
		// on because of its lower fence. Other runs may have taken the room since, so the
		// task waits to be placed again. A process that has started since does not know the fence.
		if r.ofEarlierProcess() {
			c.stopRun(r, "its worker has started anew")
			return
		}
		c.removeRun(r, agent.Stopped, notReported, "")
	}
}

// handleEnd handles one end that a worker reported. Ends that were handled before are skipped.
func (c *Controller) handleEnd(n *node, e agent.RunEnd) {
	if e.Number <= n.handledEnd {
		return
	}
	n.handledEnd = e.Number
	j := c.jobs[e.Task.Job]
	p := c.partOfTask(j, e.Task)
	if p == nil {
		c.queueAck(n, e.Number, nil)
		return
	}
	t := p.task(e.Task.Index)
	defer p.release(t)
	r := t.run
	current := r != nil && r.number == e.Run && r.node == n
	c.opts.Log.WithFields(logrus.Fields{
		"job": j.id, "task": e.Task.String(), "run": e.Run, "worker": n.id, "how": string(e.Reason), "number": e.Number, "current": current,
	}).Info("controller: run has ended")
	c.opts.Counters.Counter(`chestnutsail_ends_total{how="` + string(e.Reason) + `"}`).Inc()
	if !current {
		c.checkSurvivor(t, n, e.Run, e.Reason)
	}
	switch {
	case e.Reason == agent.Done:
		c.completeTask(n, t, r, current, e)
	case current:
		c.handleUnsuccessfulEnd(n, t, r, e)
	}
	c.queueAck(n, e.Number, j)
	c.finishIfDone(j)
}

// completeTask handles a successful end of a run: it marks the task as done. A successful end of a
// gang's member stands for all members, whichever run of the gang it belongs to.
func (c *Controller) completeTask(n *node, t *task, r *run, current bool, e agent.RunEnd) {
	n.failures, n.lastFailedJob, n.suspectUntil = 0, "", 0
	p := t.part
	if r != nil && !current && !p.step.Gang && r.state != planned && r.state != recording {
		// A later run of the task has been ordered already.
		return
	}
	if current {
		p.measure(r, c.opts.Clock.Now())
	}
	if p.step.UntilCancelled {
		if current {
			c.removeRun(r, e.Reason, endReported, "")
		}
		return
	}
	if p.step.Gang {
		p.markAllDone()
	} else {
		p.markDone(t.index)
	}
	if p.isDone() {
		if p.doneAt == 0 {
			p.doneAt = c.opts.Clock.Now()
		}
		c.runTimes.Observe(p.job.record.Queue, p.step.Estimate, p.measured.mean())
	}
	if p.step.Gang && !current {
		// The end belongs to an earlier run of the gang.
		for _, later := range p.runs() {
			c.stopRun(later, "its gang is done")
		}
	} else if r != nil && (current || r.state == planned || r.state == recording) {
		c.removeRun(r, agent.Done, endReported, "")
	}
	c.markChanged(p.job)
}

// handleUnsuccessfulEnd handles an unsuccessful end of a task's current run. The job fails if
// the task, or its gang, has failed as often as the queue allows.
func (c *Controller) handleUnsuccessfulEnd(n *node, t *task, r *run, e agent.RunEnd) {
	p := t.part
	if e.Reason == agent.Failed && !p.step.UntilCancelled && !t.done {
		c.recordFailure(n, t)
		t.failures++
		p.mostFailures = max(p.mostFailures, t.failures)
		if p.step.Gang && p.lastFailedRun != e.Run {
			p.lastFailedRun = e.Run
			p.gangFailures++
		}
	}
	c.removeRun(r, e.Reason, endReported, e.Checkpoint)
	if p.job.state.Final() || t.done {
		return
	}
	if p.failuresOf(t) >= p.job.policy.Attempts {
		c.finish(p.job, workflow.Failed, "a task has failed as often as its queue allows")
	}
}

// recordFailure counts a failure of a task against its worker and may quarantine the worker.
// Consecutive failures of the same job count once, since the job may be at fault.
func (c *Controller) recordFailure(n *node, t *task) {
	if t.part.failedOn == nil {
		t.part.failedOn = make(map[string]bool)
	}
	t.part.failedOn[n.id] = true
	now := c.opts.Clock.Now()
	if n.lastFailedJob != t.part.job.id {
		n.failures++
		n.lastFailedJob = t.part.job.id
	}
	n.suspectUntil = now + suspectDuration
	if n.failures >= quarantineFailures {
		n.quarantinedUntil = now + quarantineDuration
		c.opts.Log.WithFields(logrus.Fields{"worker": n.id, "fails": n.failures, "for_ms": int64(quarantineDuration)}).Warn("controller: worker is quarantined")
	}
}

// queueAck queues an end to be acknowledged once the changes made to its job so far are recorded.
// j is nil if the end belongs to no known job.
func (c *Controller) queueAck(n *node, number int, j *job) {
	u := unackedEnd{number: number, job: j}
	if j != nil {
		u.change = j.changes
	}
	n.unackedEnds = append(n.unackedEnds, u)
}

// ackDue returns the number up to which ends are to be acknowledged to a worker; 0 if there are none.
// A process that has started since the last report would forget its own ends up to that number, so
// nothing is acknowledged without need, or after a failed call.
func (n *node) ackDue() int {
	if n.failing || !n.listsEnds {
		return 0
	}
	return n.ackedEnd
}

// advanceAckedEnd raises ackedEnd to the last end before the first one whose change is not recorded.
func (c *Controller) advanceAckedEnd(n *node) {
	for len(n.unackedEnds) > 0 {
		u := n.unackedEnds[0]
		if u.job != nil && u.job.recordedChanges < u.change {
			return
		}
		n.ackedEnd = u.number
		n.unackedEnds = n.unackedEnds[1:]
	}
}
