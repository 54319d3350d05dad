package controller

import (
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/agent"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/speed"
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

// isDescribed reports whether the worker's entry was written by the process that answered last. The service, the
// labels and the room of a process that started later may differ, and the entry of the earlier one stands until it
// has been silent for some time.
func (n *node) isDescribed() bool {
	return n.worker.StartedAt == 0 || n.workerStart == 0 || n.worker.StartedAt == n.workerStart
}

// forgetClock discards what is known of a worker's clock, which starts again with each process. Until
// the worker answers, it gets no work and its lease is not renewed. Its runs stay.
func (c *Controller) forgetClock(n *node) {
	n.pollAnswered, n.clock, n.clockReadAt, n.clockLostAt = false, 0, 0, c.opts.Clock.Now()
}

// onRestart handles the first answer of a new process of a worker: its clock and the numbers of its
// ends start again. The comparison of runs that follows tells which runs have ended with the earlier
// process, since the new one may have started some already. A run that is being stopped has to be
// stopped again, as a late order may still start it.
func (c *Controller) onRestart(n *node, start clock.Millis) {
	c.opts.Log.WithFields(logrus.Fields{"worker": n.id, "runs": len(n.runs), "born": int64(start), "born_before": int64(n.workerStart), "born_in_entry": int64(n.worker.StartedAt)}).Warn("controller: worker has restarted")
	n.process++
	n.workerStart, n.handledEnd, n.ackedEnd, n.ackSent, n.unackedEnds = start, 0, 0, 0, nil
	n.clockReadAt, n.slowUntil, n.fullDelay = 0, 0, 0
	for r := range n.runs {
		n.speed.Add(r.sample)
		r.sample = speed.Sample{}
	}
	n.speed.Fade(restartFade)
	c.updateSpeed(n)
	clear(n.unknownRuns)
	for r := range n.runs {
		if r.state == stopping {
			r.stopConfirmed = 0
			c.requestStop(r)
		}
	}
	c.stopStrayOrders(n)
	c.planNeeded = true
}
