package scheduler

import (
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/guarantee"
	"github.com/chestnutsail/chestnutsail/job"
)

// reserveAfter returns how long a large gang waits, in milliseconds, before workers are
// reserved for it. The higher the weight of fragmentation, the shorter the time: from
// half of Options.LargeGangWait down to a quarter.
func (c *Core) reserveAfter() clock.Millis {
	return c.opts.LargeGangWait * clock.Millis(200-c.fragmentationWeight()) / 400
}

// makeRoom makes room for large gangs that have waited long. It first reserves workers,
// on which no new borrowers are then placed. Once the gang has waited for
// Options.LargeGangWait, makeRoom stops the borrowers that still run there.
func (c *Core) makeRoom() {
	for _, a := range c.accounts {
		for i := 0; i < a.queue.Len(); {
			w := a.queue.At(i)
			if !c.isLarge(w) || w.noRoomVersion == c.version || c.now-w.since < c.reserveAfter() || !c.withinQuota(w) {
				i++
				continue
			}
			if !c.makeRoomFor(w) {
				w.noRoomVersion = c.version
				i++
			}
		}
	}
}

func (c *Core) isLarge(w *work) bool { return w.accels() >= c.opts.MinLargeAccels }

// makeRoomFor reserves room for the large gang w, and stops other jobs for it once it
// has waited for Options.LargeGangWait. It reports whether the gang has been placed.
func (c *Core) makeRoomFor(w *work) bool {
	overdue := c.now-w.since >= c.opts.LargeGangWait
	if w.reservedCell == nil {
		c.reserveCell(w)
	}
	if overdue && c.placeGuaranteedPreempting(w, func(v *work) bool { return c.movable(v, w) && v.acct == w.acct && v.mode == modeGuaranteed }, CauseMove) {
		return true
	}
	if !w.spec().Stoppable() || c.text == nil {
		return false
	}
	preemptible := func(v *work) bool { return v.mode == modeBorrowing && c.movable(v, w) }
	if overdue && c.placePreempting(w, preemptible, CauseMove) {
		for _, x := range c.planned {
			x.displacedOthers = x.displacedOthers || x == w
		}
		return true
	}
	if len(w.reservedWorkers) == 0 {
		c.reserveWorkers(w, preemptible)
	}
	return false
}

// movable reports whether the job v may be stopped and requeued to make room for the
// large gang w. v has to be stoppable, not urgent, smaller than w and not larger than
// Options.MinLargeAccels, and no borrowers may have been stopped to make room for v
// itself.
func (c *Core) movable(v, w *work) bool {
	return v.spec().Stoppable() && !v.urgent() && !v.displacedOthers && v.accels() < w.accels() && v.accels() <= c.opts.MinLargeAccels
}

// reserveCell reserves one of the bound cells of the account for w, so that no smaller
// jobs of the account are placed in it. Among the cells that can hold the entire gang
// it chooses the one in which the fewest accelerators are in use.
func (c *Core) reserveCell(w *work) {
	var best *guarantee.VirtualCell
	for _, v := range c.ledger.CellsOf(w.spec().Account) {
		if v.Row == nil || v.ReservedFor != "" || v.Accels < w.accels() {
			continue
		}
		if w.spec().Shape.Adjacent == job.Worker && v.AccelsPerWorker() < w.accels() {
			continue
		}
		if best == nil || v.TotalUsed() < best.TotalUsed() {
			best = v
		}
	}
	if best != nil {
		best.ReservedFor, w.reservedCell = w.id, best
	}
}

// reserveWorkers reserves for w the workers that are the cheapest to empty, so that no
// other borrowers are placed on them. At most half of the workers are reserved at any
// time.
func (c *Core) reserveWorkers(w *work, preemptible func(*work) bool) {
	members, ok := c.chooseMembers(w, c.roomsAfterPreempting(w, preemptible, func(*node) bool { return true }))
	if !ok || 2*(len(c.reservedFor)+len(members)) > len(c.nodes) {
		return
	}
	for _, m := range members {
		c.reservedFor[m.Worker] = w.id
		w.reservedWorkers = append(w.reservedWorkers, m.Worker)
	}
}

// unreserve releases the cell and the workers that are reserved for w.
func (c *Core) unreserve(w *work) {
	if w == nil || w.reservedCell == nil && len(w.reservedWorkers) == 0 {
		return
	}
	if w.reservedCell != nil {
		w.reservedCell.ReservedFor, w.reservedCell = "", nil
	}
	for _, name := range w.reservedWorkers {
		delete(c.reservedFor, name)
	}
	w.reservedWorkers = nil
	c.version++
}
