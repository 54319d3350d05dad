package controller

import (
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/planner"
)

const (
	// overrunFraction is the part of the time for which a run has been running that it is expected to run on at
	// least. Estimates may be far too short, and a run that has outlasted its own may go on for as long again.
	overrunFraction = 0.25
	// maxPastUnits is the number of past units by which it is told whether callers of a size or an account are
	// served less than others: some seconds of work under overload.
	maxPastUnits = 256
)

// pastUnits are the last units that have started or have become late, oldest first.
type pastUnits []planner.Unit

// timeLeft estimates the time in milliseconds until a run ends.
func (c *Controller) timeLeft(r *run, now clock.Millis) clock.Millis {
	if left, known := r.remaining(); known {
		return clock.Millis(left)
	}
	age := c.timeRun(r, now)
	return max(c.predictRunTime(r.task.part)-age, clock.Millis(overrunFraction*float64(age)))
}

// noteDeferred records which waiting parts are deferred by a plan. A part counts as deferred until it starts.
func (c *Controller) noteDeferred(snap *snapshot, deferred []int, now clock.Millis) {
	for _, i := range deferred {
		p := snap.unitParts[i]
		if p.deferredSince != 0 {
			continue
		}
		p.deferredSince = now
		u := &snap.input.Units[i]
		c.opts.Counters.Counter("chestnutsail_deferred_total").Inc()
		c.opts.Log.WithFields(logrus.Fields{
			"job": p.job.id, "occurrence": p.occurrence, "step": p.index, "account": u.Account, "priority": u.Priority,
			"tasks": u.Count, "slack_ms": int64(u.Slack), "predicted_ms": int64(u.Estimate), "term": c.term,
		}).Info("controller: tasks are deferred, since there is too little room")
	}
}

// notePast adds the units that a plan starts and those that have become late to the past units, each part once.
// Units that can't start are left out: they are not late for want of room.
func (c *Controller) notePast(snap *snapshot, starts []planner.Start) {
	starting := make(map[int]bool, len(starts))
	for _, s := range starts {
		starting[s.Unit] = true
	}
	for i, p := range snap.unitParts {
		u := &snap.input.Units[i]
		if p.past || u.Begun || snap.unplaceable[i] || (u.Slack >= 0 && !starting[i]) {
			continue
		}
		p.past = true
		if len(c.pastUnits) == maxPastUnits {
			c.pastUnits = c.pastUnits[1:]
		}
		c.pastUnits = append(c.pastUnits, *u)
	}
}

// deferredFor returns for how long, in milliseconds, a part has been waiting since it was first deferred; 0 if
// it was not deferred.
func (p *part) deferredFor(now clock.Millis) clock.Millis {
	if p.deferredSince == 0 {
		return 0
	}
	return now - p.deferredSince
}
