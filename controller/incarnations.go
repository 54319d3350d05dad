package controller

import (
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/agent"
	"github.com/chestnutsail/chestnutsail/clock"
)

// markUnlisted handles the removal of a worker's entry from the store. The worker's process may go
// on: entries also expire while the worker can't reach the store.
func (c *Controller) markUnlisted(n *node, now clock.Millis) {
	if !n.listed {
		return
	}
	n.listed = false
	c.opts.Log.WithFields(logrus.Fields{"worker": n.id, "runs": len(n.runs), "draining": n.worker.State == agent.Draining, "silent_ms": int64(now - n.lastAnswer)}).Info("controller: worker no longer listed")
}

// mayBeReplaced reports whether a worker's new entry tells of another process than the one that is
// known: of another address or start time. Only the process itself can confirm that, since others may
// write entries as well.
func (n *node) mayBeReplaced(entry agent.Worker) bool {
	if n.worker.Address == "" {
		return false
	}
	return entry.Address != n.worker.Address || (entry.StartedAt != n.worker.StartedAt && entry.StartedAt != n.workerStart)
}

// forgetClock discards what is known of a worker's clock, which starts again with each process. Until
// the worker answers, it gets no work and its lease is not renewed. Its runs stay.
func (c *Controller) forgetClock(n *node) {
	n.pollAnswered, n.clock, n.clockReadAt, n.clockLostAt = false, 0, 0, c.opts.Clock.Now()
}

// endIncarnation handles the end of a worker's process, which ends all runs there. It resets
// what is known of the worker; workerStart is the start time of the new process, or 0 if that
// is unknown.
func (c *Controller) endIncarnation(n *node, workerStart clock.Millis, reason evidence) {
	if len(n.runs) > 0 || n.pollAnswered {
		c.opts.Log.WithFields(logrus.Fields{"worker": n.id, "runs": len(n.runs), "reason": string(reason), "born": int64(workerStart)}).Warn("controller: worker process has ended")
	}
	n.workerStart, n.pollAnswered, n.handledEnd, n.ackedEnd, n.unackedEnds = workerStart, false, 0, 0, nil
	n.clock, n.clockReadAt, n.leasedUntil, n.lastAnswer, n.slowUntil, n.failing, n.refusing = 0, 0, 0, 0, 0, false, false
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
