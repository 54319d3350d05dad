package controller

import (
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/planner"
)

const (
	// stuckTime is how long tasks may wait although there is room before that is reported:
	// the platform's bound on work that could run and doesn't is 3 s.
	stuckTime = 3 * clock.Second
	// explainPeriod is the time in milliseconds between two such reports.
	explainPeriod = clock.Second
)

// reportStuck logs and counts tasks that wait although there is room for them, with what
// keeps them from it.
func (c *Controller) reportStuck(w *world, s *planner.Stuck) {
	p, u := w.parts[s.Unit], &w.in.Units[s.Unit]
	c.opts.Counters.Counter("chestnutsail_stuck_total").Inc()
	c.opts.Log.WithFields(logrus.Fields{
		"job": p.job.id, "occurrence": p.occurrence, "step": p.index, "tasks": u.Count, "gang": u.Gang, "rack": u.SameRack, "waited_ms": int64(u.Waited),
		"priority": u.Priority, "hopeless": u.Hopeless, "late": u.Late, "slots": s.Slots(), "free": s.Free, "reserved": s.Reserved,
		"headroom": s.Headroom, "avoided": s.Avoided, "unsound": s.Unsound, "term": c.term,
	}).Warn("controller: tasks wait although there is room")
}
