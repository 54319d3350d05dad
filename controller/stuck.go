package controller

import (
	"math"

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

// StuckMetric returns the name of the metric that counts tasks that wait although there is room for
// them, for a cause.
func StuckMetric(cause planner.Cause) string {
	return `chestnutsail_stuck_total{cause="` + string(cause) + `"}`
}

// reportStuck logs and counts tasks that wait although there is room for them. The log names the
// cause and the obstacles that the planner found, and the times that limit the wait.
func (c *Controller) reportStuck(snap *snapshot, stuck *planner.Stuck, now clock.Millis) {
	p, unit := snap.unitParts[stuck.Unit], &snap.input.Units[stuck.Unit]
	c.opts.Counters.Counter(StuckMetric(stuck.Cause)).Inc()
	c.opts.Log.WithFields(logrus.Fields{
		"job": p.job.id, "occurrence": p.occurrence, "step": p.index, "tasks": unit.Count, "gang": unit.Gang, "rack": unit.SameRack, "waited_ms": int64(unit.Waited),
		"priority": unit.Priority, "hopeless": unit.Hopeless, "late": unit.Late, "slots": stuck.Slots(), "free": stuck.Free, "reserved": stuck.Reserved,
		"headroom": stuck.Headroom, "avoided": stuck.Avoided, "unsound": stuck.Unhealthy, "slow": stuck.Slow, "term": c.term, "cause": string(stuck.Cause),
		"age_ms": int64(now - p.job.record.AcceptedAt), "predicted_ms": int64(unit.Estimate), "used_percent": math.Round(100 * stuck.Usage),
		"led_ms": int64(now - c.leadingSince),
	}).Warn("controller: tasks wait although there is room")
}
