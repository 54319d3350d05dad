package controller

import (
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/agent"
	"github.com/chestnutsail/chestnutsail/clock"
)

// markUnlisted handles the removal of a worker's entry from the store. An entry expires three
// heartbeat intervals after the last heartbeat. If it disappears sooner, the worker itself has
// removed it.
func (c *Controller) markUnlisted(n *node, now clock.Millis) {
	if !n.listed {
		return
	}
	n.listed = false
	n.deregistered = n.worker.State == agent.Draining && now-n.lastAnswer < heartbeatsBeforeExpiry*c.opts.Limits().HeartbeatInterval
	c.opts.Log.WithFields(logrus.Fields{"worker": n.id, "runs": len(n.runs), "resigned": n.deregistered, "silent_ms": int64(now - n.lastAnswer)}).Info("controller: worker no longer listed")
}

// hasExited reports whether a draining worker has exited: it removed its own entry, the earliest
// time at which it exits has passed, and it no longer answers.
func (n *node) hasExited(now clock.Millis) bool {
	return !n.listed && n.deregistered && now >= n.leavesAt && n.failing
}

// endIncarnation handles the end of a worker's process, which ends all runs there. It resets
// what is known of the worker; workerStart is the start time of the new process, or 0 if that
// is unknown.
func (c *Controller) endIncarnation(n *node, workerStart clock.Millis, reason evidence) {
	if len(n.runs) > 0 || n.pollAnswered {
		c.opts.Log.WithFields(logrus.Fields{"worker": n.id, "runs": len(n.runs), "reason": string(reason), "born": int64(workerStart)}).Warn("controller: worker process has ended")
	}
	n.workerStart, n.pollAnswered, n.handledEnd, n.ackedEnd, n.unackedEnds = workerStart, false, 0, 0, nil
	n.clock, n.clockReadAt, n.leasedUntil, n.lastAnswer, n.slowUntil, n.fullDelay, n.failing, n.refusing = 0, 0, 0, 0, 0, 0, false, false
	clear(n.unknownRuns)
	for r := range n.runs {
		if r.orderUnanswered && r.state == ordered {
			// The order may still reach the new process, whose clock and numbers start again.
			// So the run has to be stopped there.
			r.workerStart = workerStart
			c.stopRun(r, "its worker has started anew")
			continue
		}
		c.removeRun(r, agent.LeaseExpired, reason, "")
	}
	c.planNeeded = true
}
