package controller

import "github.com/chestnutsail/chestnutsail/clock"

// maxOrderDelay is how long in milliseconds an order without an answer is taken to be under way. The
// workers' protocol says only that it may be carried out seconds later.
const maxOrderDelay = 15 * clock.Second

// stopStrayOrders asks a new process of a worker to reject the orders that went to earlier ones and got
// no answer, if their runs are over. It knows neither these runs nor their fence.
func (c *Controller) stopStrayOrders(n *node) {
	process := n.process
	for key := range n.strayOrders {
		if c.isCurrentRun(n, key) {
			continue
		}
		needed := func() bool {
			_, underWay := n.strayOrders[key]
			return underWay && n.process == process
		}
		c.sendStop(n, key, needed, func() {})
	}
}

// isCurrentRun reports whether a run is its task's current run, on a worker.
func (c *Controller) isCurrentRun(n *node, key runKey) bool {
	p := c.partOfTask(c.jobs[key.task.Job], key.task)
	if p == nil {
		return false
	}
	r := p.tasks[key.task.Index].run
	return r != nil && r.number == key.run && r.node == n
}

// dropOldStrayOrders forgets the orders that are no longer taken to be under way.
func (n *node) dropOldStrayOrders(now clock.Millis) {
	for key, sent := range n.strayOrders {
		if now-sent > maxOrderDelay {
			delete(n.strayOrders, key)
		}
	}
}
