package scheduler

import (
	"slices"

	"github.com/chestnutsail/chestnutsail/cell"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
)

func (c *Core) workerUp(in Node) {
	if c.opts.Domain == "" {
		c.opts.Domain = in.Domain
		defer c.rebuild()
	}
	n := c.nodes[in.Name]
	if n == nil {
		c.addNode(in, -1)
		c.version++
		return
	}
	n.leaving, n.gone = false, false
	if n.Rack == in.Rack && n.Capacity == in.Capacity {
		c.usable(n)
		return
	}
	c.space.Remove(n.Worker)
	n.Worker = &cell.Worker{Name: in.Name, Rack: in.Rack, Capacity: in.Capacity, Free: in.Capacity, Usable: true}
	c.space.Add(n.Worker, c.vacate(in))
	c.rebuild()
}

// addNode makes a worker known. A slot below 0 stands for that of a worker of the
// same row that is gone, or else the first empty one.
func (c *Core) addNode(in Node, slot int) *node {
	if slot < 0 {
		slot = c.vacate(in)
	}
	n := &node{
		Worker: &cell.Worker{Name: in.Name, Rack: in.Rack, Capacity: in.Capacity, Free: in.Capacity, Usable: true},
		domain: in.Domain,
	}
	c.nodes[in.Name] = n
	c.space.Add(n.Worker, slot)
	bound := c.ledger.BoundAt(c.space.Row(n.Worker), n.Slot)
	c.space.Change(n.Worker, func(w *cell.Worker) { w.Bound = bound })
	return n
}

// vacate returns the slot of a worker that is gone and that the new one replaces,
// or -1.
func (c *Core) vacate(in Node) int {
	for _, w := range c.space.Workers {
		n := c.nodes[w.Name]
		if n.gone && len(n.works) == 0 && w.Rack == in.Rack && w.Capacity.Accelerators == in.Capacity.Accelerators && w.Name != in.Name {
			slot := w.Slot
			c.space.Remove(w)
			delete(c.nodes, w.Name)
			return slot
		}
	}
	return -1
}

func (c *Core) workerLeaving(name string) {
	n := c.nodes[name]
	if n == nil || n.leaving {
		return
	}
	n.leaving = true
	c.usable(n)
	for _, w := range sorted(n.works) {
		if w.spec().Stoppable() && w.rec.State != job.Waiting {
			c.stop(w, CauseLeaving)
		}
	}
}

func (c *Core) workerGone(name string) {
	if n := c.nodes[name]; n != nil && !n.gone {
		n.gone = true
		c.usable(n)
	}
}

// keepOut puts a worker into quarantine.
func (c *Core) keepOut(worker string) {
	c.emit(Action{Kind: Quarantine, Worker: worker})
	n := c.nodes[worker]
	if n == nil {
		return
	}
	c.usable(n)
	for _, w := range c.works {
		w.failed = slices.DeleteFunc(w.failed, func(f string) bool { return f == worker })
	}
	c.wake(c.tracker.Due(c.now))
}

// letIn ends the quarantine of workers that nothing could be tried on.
func (c *Core) letIn() {
	for _, name := range c.tracker.LetIn(c.now) {
		c.emit(Action{Kind: Restore, Worker: name})
		if n := c.nodes[name]; n != nil {
			c.usable(n)
		}
	}
}

// usable brings the worker's cells into line with its health. Work that is planned
// on a worker that has become unusable waits again.
func (c *Core) usable(n *node) {
	ok := !n.leaving && !n.gone && !c.tracker.Out(n.Name)
	c.version++
	if ok == n.Usable {
		return
	}
	c.space.Change(n.Worker, func(w *cell.Worker) { w.Usable = ok })
	if ok {
		return
	}
	for _, w := range sorted(n.works) {
		if w.planned {
			c.release(w)
			c.enqueue(w)
		}
	}
	if id, taken := c.reserved[n.Name]; taken {
		c.unreserve(c.works[id])
	}
}

// wake makes sure that things are looked at anew at the time at.
func (c *Core) wake(at clock.Millis) {
	if at > c.now && (c.due == 0 || at < c.due) {
		c.due = at
	}
}

// nextDue returns the next time at which something changes by itself, or 0.
func (c *Core) nextDue() clock.Millis {
	c.due = 0
	c.wake(c.tracker.Due(c.now))
	for _, n := range c.nodes {
		c.wake(n.cool)
	}
	for _, a := range c.accounts {
		for i := range a.queue.Len() {
			w := a.queue.At(i)
			c.wake(w.since + c.drainAfter())
			c.wake(w.since + c.opts.Wait)
		}
	}
	return c.due
}

func sorted(works []*work) []*work {
	works = slices.Clone(works)
	slices.SortFunc(works, func(a, b *work) int { return int(a.seq - b.seq) })
	return works
}
