package scheduler

import (
	"slices"

	"github.com/chestnutsail/chestnutsail/cell"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
)

func (c *Core) workerUp(info Node) {
	if c.opts.Domain == "" {
		c.opts.Domain = info.Domain
		defer c.rebuild()
	}
	n := c.nodes[info.Name]
	if n == nil {
		c.addNode(info, -1)
		c.version++
		return
	}
	n.leaving, n.gone = false, false
	if n.Rack == info.Rack && n.Capacity == info.Capacity {
		c.updateUsable(n)
		return
	}
	c.space.Remove(n.Worker)
	n.Worker = &cell.Worker{Name: info.Name, Rack: info.Rack, Capacity: info.Capacity, Free: info.Capacity, Usable: true}
	c.space.Add(n.Worker, c.takeGoneSlot(info))
	c.rebuild()
}

// addNode adds a worker at the given slot of its row. If slot is negative, it uses the
// slot of a worker of the same row that is gone, or else the first empty slot.
func (c *Core) addNode(info Node, slot int) *node {
	if slot < 0 {
		slot = c.takeGoneSlot(info)
	}
	n := &node{
		Worker: &cell.Worker{Name: info.Name, Rack: info.Rack, Capacity: info.Capacity, Free: info.Capacity, Usable: true},
		domain: info.Domain,
	}
	c.nodes[info.Name] = n
	c.space.Add(n.Worker, slot)
	bound := c.ledger.BoundAt(c.space.Row(n.Worker), n.Slot)
	c.space.Change(n.Worker, func(w *cell.Worker) { w.Bound = bound })
	return n
}

// takeGoneSlot removes a worker that is gone, holds no jobs and has the same rack and
// number of accelerators as the new worker, and returns its slot. It returns -1 if
// there is none.
func (c *Core) takeGoneSlot(info Node) int {
	for _, w := range c.space.Workers {
		n := c.nodes[w.Name]
		if n.gone && len(n.jobs) == 0 && w.Rack == info.Rack && w.Capacity.Accelerators == info.Capacity.Accelerators && w.Name != info.Name {
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
	c.updateUsable(n)
	for _, j := range sortedBySeq(n.jobs) {
		if j.spec().Stoppable() && j.record.State != job.Waiting {
			c.stop(j, CauseLeaving)
		}
	}
}

func (c *Core) workerGone(name string) {
	if n := c.nodes[name]; n != nil && !n.gone {
		n.gone = true
		c.updateUsable(n)
	}
}

// quarantineWorker emits the Quarantine action for a worker that the tracker has put
// into quarantine, and makes its cells unusable. It also removes the worker from every
// job's list of workers on which the job has failed.
func (c *Core) quarantineWorker(worker string) {
	c.emit(Action{Kind: Quarantine, Worker: worker})
	n := c.nodes[worker]
	if n == nil {
		return
	}
	c.updateUsable(n)
	for _, j := range c.jobs {
		j.failed = slices.DeleteFunc(j.failed, func(f string) bool { return f == worker })
	}
	c.scheduleCheck(c.tracker.NextCheck(c.now))
}

// endOverdueQuarantines makes the workers usable again whose quarantine the tracker
// ends because no job has been available as a probe.
func (c *Core) endOverdueQuarantines() {
	for _, name := range c.tracker.EndOverdue(c.now) {
		c.emit(Action{Kind: Restore, Worker: name})
		if n := c.nodes[name]; n != nil {
			c.updateUsable(n)
		}
	}
}

// updateUsable updates whether the worker's cells may be used, from its state and its
// quarantine. If the worker has become unusable, the jobs that are planned on it are
// queued again, and the reservation that includes the worker is released.
func (c *Core) updateUsable(n *node) {
	ok := !n.leaving && !n.gone && !c.tracker.InQuarantine(n.Name)
	c.version++
	if ok == n.Usable {
		return
	}
	c.space.Change(n.Worker, func(w *cell.Worker) { w.Usable = ok })
	if ok {
		return
	}
	for _, w := range sortedBySeq(n.jobs) {
		if w.planned {
			c.release(w)
			c.enqueue(w)
		}
	}
	if id, taken := c.reservedFor[n.Name]; taken {
		c.unreserve(c.jobs[id])
	}
}

// scheduleCheck makes sure that the first call of Step at or after the time at tries all
// waiting jobs again, including those that were found not to fit before.
func (c *Core) scheduleCheck(at clock.Millis) {
	if at > c.now && (c.nextCheck == 0 || at < c.nextCheck) {
		c.nextCheck = at
	}
}

// nextCheckTime returns the next time at which more may fit without any event, or 0 if
// there is none: a probe becomes allowed, a quarantine ends, the cooldown of a worker
// ends, or a large gang has waited long enough.
func (c *Core) nextCheckTime() clock.Millis {
	c.nextCheck = 0
	c.scheduleCheck(c.tracker.NextCheck(c.now))
	for _, n := range c.nodes {
		c.scheduleCheck(n.coolUntil)
	}
	for _, a := range c.accounts {
		for i := range a.queue.Len() {
			j := a.queue.At(i)
			c.scheduleCheck(j.since + c.reserveAfter())
			c.scheduleCheck(j.since + c.opts.LargeGangWait)
		}
	}
	return c.nextCheck
}

func sortedBySeq(jobs []*liveJob) []*liveJob {
	jobs = slices.Clone(jobs)
	slices.SortFunc(jobs, func(a, b *liveJob) int { return int(a.seq - b.seq) })
	return jobs
}
