package controller

import "github.com/chestnutsail/chestnutsail/clock"

// maxOrderDelay is how long in milliseconds an order without an answer is taken to be under way. The
// workers' protocol says only that it may be carried out seconds later.
const maxOrderDelay = 15 * clock.Second

// copiesRecordedAhead is how far in milliseconds the record of an order without an answer reaches ahead, so that
// the copies that follow need no write each: a worker gets no more of them once it has been silent for
// maxRenewalSilence, which may begin with the answer to a poll that was waiting there.
const copiesRecordedAhead = maxPollWait + maxRenewalSilence + 2*orderTimeout

// recordUnanswered records for later leaders that a copy of a run's order got no answer, unless the job's record
// already allows for the copy.
func (c *Controller) recordUnanswered(r *run) {
	if r.unansweredAt <= r.copiesUntil {
		return
	}
	r.copiesUntil = r.unansweredAt + copiesRecordedAhead
	c.markChanged(r.task.part.job)
}

// restoreUnanswered restores the time until which an earlier leader may have sent copies of a run's order, if it
// recorded one. No copy was sent after the term of that leader, whatever its clock showed.
func (c *Controller) restoreUnanswered(r *run, copiesUntil clock.Millis) {
	if copiesUntil == 0 {
		return
	}
	copiesUntil = min(copiesUntil, c.leadingSince+c.opts.LeaderTTL)
	r.unansweredAt, r.copiesUntil = copiesUntil, copiesUntil
	r.node.strayOrders[runKey{r.task.id(), r.number}] = copiesUntil
}

// stopStrayOrders asks a new process of a worker to reject the orders that went to earlier ones and got
// no answer, if their runs are over. It knows neither these runs nor their fence.
func (c *Controller) stopStrayOrders(n *node) {
	process := n.process
	for key := range n.strayOrders {
		if c.isCurrentRun(n, key) {
			continue
		}
		needed := func() bool {
			_, underWay := n.strayOrders[key]
			return underWay && n.process == process
		}
		c.sendStop(n, key, needed, func() {})
	}
}

// isCurrentRun reports whether a run is its task's current run, on a worker.
func (c *Controller) isCurrentRun(n *node, key runKey) bool {
	p := c.partOfTask(c.jobs[key.task.Job], key.task)
	if p == nil {
		return false
	}
	t := p.find(key.task.Index)
	return t != nil && t.run != nil && t.run.number == key.run && t.run.node == n
}

// copyMayBeLate reports whether a copy of a run's order that got no answer may still be under way.
func (r *run) copyMayBeLate(now clock.Millis) bool {
	return r.orderUnanswered() && now <= r.unansweredAt+maxOrderDelay
}

// mayStartLate reports whether a copy of a run's order that got no answer may still be carried out by a
// process of the worker that has not answered yet, or whether the run that it started may still be there:
// such a process grants the lease anew. Tasks that last don't wait for that, since they have to be at work
// elsewhere a few seconds after the worker has failed. Nothing ends the wait while a copy may be under way: the
// process that is known may end, and another one begin, at any time.
func (c *Controller) mayStartLate(r *run, now clock.Millis) bool {
	return r.orderUnanswered() && !r.task.part.step.UntilCancelled && now < c.lateUntil(r) && !r.noneReachedLaterProcess()
}

// lateUntil returns when a run that a late order started has ended at the latest.
func (c *Controller) lateUntil(r *run) clock.Millis {
	return r.unansweredAt + maxOrderDelay + c.longestLease()
}

// holdRun notes that a run is kept although its lease has expired.
func (c *Controller) holdRun(r *run, now clock.Millis) {
	if r.held {
		return
	}
	r.held = true
	c.opts.Counters.Counter("chestnutsail_runs_held_total").Inc()
	c.opts.Log.WithFields(r.logFields()).WithField("for_ms", int64(c.lateUntil(r)-now)).Warn("controller: lease of a run has expired, but a late order may start it again")
}

// dropOldStrayOrders forgets the orders that are no longer taken to be under way.
func (n *node) dropOldStrayOrders(now clock.Millis) {
	for key, sent := range n.strayOrders {
		if now-sent > maxOrderDelay {
			delete(n.strayOrders, key)
		}
	}
}
