package controller

import "github.com/chestnutsail/chestnutsail/clock"

// usualDrainOvertime is the time in milliseconds for which a draining worker usually keeps
// running after the earliest exit time that follows from its entry. The platform does not
// guarantee any such time.
const usualDrainOvertime = 2 * clock.Second

// stopUnfinishableRuns stops the runs on a draining worker that can't finish before the worker
// exits. Runs with checkpoints lose no progress, so they are stopped unless they finish before
// the earliest exit time. Other runs lose less the sooner they are stopped, but they stay if
// the worker usually keeps running long enough for them to finish. Tasks that run until the job
// is cancelled also stay.
func (c *Controller) stopUnfinishableRuns(n *node, now clock.Millis) {
	for r := range n.runs {
		p := r.task.part
		if r.state != present || p.step.UntilCancelled || c.canFinishBeforeLeaving(r, now) {
			continue
		}
		if !p.step.Gang {
			c.stopRun(r, "its worker drains")
			continue
		}
		for _, member := range p.runs() {
			c.stopRun(member, "a worker of its gang drains")
		}
	}
}

// canFinishBeforeLeaving reports whether a run on a draining worker is expected to finish before
// the worker exits. For a run with checkpoints, an unknown remaining time counts as too long.
func (c *Controller) canFinishBeforeLeaving(r *run, now clock.Millis) bool {
	remaining, known := r.remaining()
	if r.task.part.step.Checkpointing {
		return known && now+clock.Millis(remaining) < r.node.leavesAt
	}
	return !known || now+clock.Millis(remaining) < r.node.leavesAt+usualDrainOvertime
}
