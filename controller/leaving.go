package controller

import "github.com/chestnutsail/chestnutsail/clock"

// drainLinger is the time in milliseconds for which a worker usually serves on after the
// least time that its entry names; the platform promises no length.
const drainLinger = 2 * clock.Second

// empty stops the work on a worker that drains which can't end there in time. Work that
// saves its progress loses nothing by it and goes at once. Other work loses less the sooner
// it is stopped, but it stays as long as the worker may serve on for long enough.
func (c *Controller) empty(n *node, now clock.Millis) {
	for r := range n.runs {
		p := r.task.part
		if r.state != present || p.step.Lasting || c.mayEnd(r, now) {
			continue
		}
		if !p.step.Gang {
			c.halt(r, "its worker drains")
			continue
		}
		for _, member := range p.runs() {
			c.halt(member, "a worker of its gang drains")
		}
	}
}

// mayEnd reports whether a run on a worker that drains may end before the worker leaves.
func (c *Controller) mayEnd(r *run, now clock.Millis) bool {
	left, known := r.left()
	if r.task.part.step.Checkpointing {
		return known && now+clock.Millis(left) < r.node.leaves
	}
	return !known || now+clock.Millis(left) < r.node.leaves+drainLinger
}
