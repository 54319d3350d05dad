package scheduler

import (
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/guarantee"
	"github.com/chestnutsail/chestnutsail/job"
)

// reserveAfter returns how long a large gang waits until workers are emptied for it.
// The more a firm prefers little fragmentation, the sooner.
func (c *Core) reserveAfter() clock.Millis {
	return c.opts.Wait * clock.Millis(200-c.fragmentationWeight()) / 400
}

// makeRoom empties workers for large gangs that have waited long: first no new
// borrowers are let in, and when the gang has waited for Options.Wait, those that
// are still there are stopped.
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

func (c *Core) isLarge(w *work) bool { return w.accels() >= c.opts.Large }

// makeRoomFor reports whether the work has been placed.
func (c *Core) makeRoomFor(w *work) bool {
	overdue := c.now-w.since >= c.opts.Wait
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

// movable reports whether v may be moved for the large gang w: it can be stopped,
// is no large gang itself beyond one worker, and nothing was moved for it.
func (c *Core) movable(v, w *work) bool {
	return v.spec().Stoppable() && !v.urgent() && !v.displacedOthers && v.accels() < w.accels() && v.accels() <= c.opts.Large
}

// reserveCell closes that one of the account's bound cells to its smaller work which
// holds the whole gang and has the least to empty.
func (c *Core) reserveCell(w *work) {
	var best *guarantee.VirtualCell
	for _, v := range c.ledger.CellsOf(w.spec().Account) {
		if v.Row == nil || v.Reserved != "" || v.Accels < w.accels() {
			continue
		}
		if w.spec().Shape.Adjacent == job.Worker && v.AccelsPerWorker() < w.accels() {
			continue
		}
		if best == nil || v.Sum() < best.Sum() {
			best = v
		}
	}
	if best != nil {
		best.Reserved, w.reservedCell = w.id, best
	}
}

// reserveWorkers closes the workers that are the cheapest to empty to other borrowers. At
// most half of the workers are closed at any time.
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

// unreserve opens again what was closed for the work.
func (c *Core) unreserve(w *work) {
	if w == nil || w.reservedCell == nil && len(w.reservedWorkers) == 0 {
		return
	}
	if w.reservedCell != nil {
		w.reservedCell.Reserved, w.reservedCell = "", nil
	}
	for _, name := range w.reservedWorkers {
		delete(c.reservedFor, name)
	}
	w.reservedWorkers = nil
	c.version++
}
