package controller

import (
	"github.com/chestnutsail/chestnutsail/agent"
	"github.com/chestnutsail/chestnutsail/clock"
)

// exitMargin is how much sooner a worker may exit than the leader reckons, or the stop may be
// confirmed later, in milliseconds: the watch is late, the check waits for a tick, and calls take
// their time.
const exitMargin = workersWatchInterval + 2*tickPeriod

// recordRemaining notes how long a draining worker stays at least, as its entry says, which was written at
// most maxAge ago. An entry that has just been written replaces the assumption about an older one. Among
// such entries the one that arrived with the shortest delay counts, since each tells the time that was left
// when it was written.
func (n *node) recordRemaining(remaining, now, maxAge clock.Millis) {
	leavesAt := now + remaining
	switch {
	case n.worker.State != agent.Draining:
		n.leavesAt, n.leavesAtAge = leavesAt-maxAge, maxAge
	case maxAge == 0 && n.leavesAtAge > 0:
		n.leavesAt, n.leavesAtAge = leavesAt, 0
	default:
		n.leavesAt = min(n.leavesAt, leavesAt)
	}
}

// stopUnfinishableRuns stops the runs on a draining worker that can't finish before its earliest
// exit: the sooner they are stopped, the less work is lost. Shortly before the earliest exit it stops
// all that is left, so that the worker itself confirms that nothing runs there any more. Once the
// worker has exited, its runs could be placed again only after its lease has expired.
func (c *Controller) stopUnfinishableRuns(n *node, now clock.Millis) {
	mayExit := now+c.opts.Limits().Stop+exitMargin >= n.leavesAt
	for r := range n.runs {
		if !mayExit && (r.state != present || c.canFinishBeforeLeaving(r, now)) {
			continue
		}
		c.stopDrained(r)
	}
}

// stopDrained stops a run on a draining worker, and the rest of its gang.
func (c *Controller) stopDrained(r *run) {
	c.stopWithGang(r, "its worker drains", "a worker of its gang drains")
}

// canFinishBeforeLeaving reports whether a run on a draining worker may finish before the worker
// exits, or need not finish. For a run with checkpoints, which loses no progress, an unknown
// remaining time counts as too long.
func (c *Controller) canFinishBeforeLeaving(r *run, now clock.Millis) bool {
	step := r.task.part.step
	if step.UntilCancelled {
		return true
	}
	remaining, known := r.remaining()
	if !known {
		return !step.Checkpointing
	}
	return now+clock.Millis(remaining) < r.node.leavesAt
}
