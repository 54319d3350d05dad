package controller

import (
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/planner"
)

const (
	// stuckThreshold is how long tasks may wait although there is room before they are reported.
	// The platform requires that work that could run starts within 3 s.
	stuckThreshold = 3 * clock.Second
	// stuckCheckInterval is the minimum time in milliseconds between two plans that report
	// such tasks.
	stuckCheckInterval = clock.Second
)

// reportStuck logs and counts tasks that wait although there is room for them. The log names the
// causes that the planner found.
func (c *Controller) reportStuck(snap *snapshot, stuck *planner.Stuck) {
	p, unit := snap.unitParts[stuck.Unit], &snap.input.Units[stuck.Unit]
	c.opts.Counters.Counter("chestnutsail_stuck_total").Inc()
	c.opts.Log.WithFields(logrus.Fields{
		"job": p.job.id, "occurrence": p.occurrence, "step": p.index, "tasks": unit.Count, "gang": unit.Gang, "rack": unit.SameRack, "waited_ms": int64(unit.Waited),
		"priority": unit.Priority, "hopeless": unit.Hopeless, "late": unit.Late, "slots": stuck.Slots(), "free": stuck.Free, "reserved": stuck.Reserved,
		"headroom": stuck.Headroom, "avoided": stuck.Avoided, "unsound": stuck.Unhealthy, "term": c.term,
	}).Warn("controller: tasks wait although there is room")
}
