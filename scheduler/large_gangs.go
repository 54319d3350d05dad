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
			j := a.queue.At(i)
			if !c.isLarge(j) || j.noRoomVersion == c.version || c.now-j.since < c.reserveAfter() || !c.withinQuota(j) {
				i++
				continue
			}
			if !c.makeRoomFor(j) {
				j.noRoomVersion = c.version
				i++
			}
		}
	}
}

func (c *Core) isLarge(j *liveJob) bool { return j.accels() >= c.opts.MinLargeAccels }

// makeRoomFor reserves room for the large gang j, and stops other jobs for it once it
// has waited for Options.LargeGangWait. It reports whether the gang has been placed.
func (c *Core) makeRoomFor(j *liveJob) bool {
	overdue := c.now-j.since >= c.opts.LargeGangWait
	if j.reservedCell == nil {
		c.reserveCell(j)
	}
	if overdue && c.placeGuaranteedPreempting(j, func(v *liveJob) bool { return c.movable(v, j) && v.acct == j.acct && v.mode == modeGuaranteed }, CauseMove) {
		return true
	}
	if !j.spec().Stoppable() || c.text == nil {
		return false
	}
	preemptible := func(v *liveJob) bool { return v.mode == modeBorrowing && c.movable(v, j) }
	if overdue && c.placePreempting(j, preemptible, CauseMove) {
		for _, x := range c.planned {
			x.displacedOthers = x.displacedOthers || x == j
		}
		return true
	}
	if len(j.reservedWorkers) == 0 {
		c.reserveWorkers(j, preemptible)
	}
	return false
}

// movable reports whether the job v may be stopped and requeued to make room for the
// large gang j. v has to be stoppable, not urgent, smaller than j and not larger than
// Options.MinLargeAccels, and no borrowers may have been stopped to make room for v
// itself.
func (c *Core) movable(v, j *liveJob) bool {
	return v.spec().Stoppable() && !v.urgent() && !v.displacedOthers && v.accels() < j.accels() && v.accels() <= c.opts.MinLargeAccels
}

// reserveCell reserves one of the bound cells of the account for j, so that no smaller
// jobs of the account are placed in it. Among the cells that can hold the entire gang
// it chooses the one in which the fewest accelerators are in use.
func (c *Core) reserveCell(j *liveJob) {
	var best *guarantee.VirtualCell
	for _, v := range c.ledger.CellsOf(j.spec().Account) {
		if v.Row == nil || v.ReservedFor != "" || v.Accels < j.accels() {
			continue
		}
		if j.spec().Shape.Adjacent == job.Worker && v.AccelsPerWorker() < j.accels() {
			continue
		}
		if best == nil || v.TotalUsed() < best.TotalUsed() {
			best = v
		}
	}
	if best != nil {
		best.ReservedFor, j.reservedCell = j.id, best
	}
}

// reserveWorkers reserves for j the workers that are the cheapest to empty, so that no
// other borrowers are placed on them. At most half of the workers are reserved at any
// time.
func (c *Core) reserveWorkers(j *liveJob, preemptible func(*liveJob) bool) {
	members, ok := c.chooseMembers(j, c.roomsAfterPreempting(j, preemptible, func(*node) bool { return true }))
	if !ok || 2*(len(c.reservedFor)+len(members)) > len(c.nodes) {
		return
	}
	for _, m := range members {
		c.reservedFor[m.Worker] = j.id
		j.reservedWorkers = append(j.reservedWorkers, m.Worker)
	}
}

// unreserve releases the cell and the workers that are reserved for j.
func (c *Core) unreserve(j *liveJob) {
	if j == nil || j.reservedCell == nil && len(j.reservedWorkers) == 0 {
		return
	}
	if j.reservedCell != nil {
		j.reservedCell.ReservedFor, j.reservedCell = "", nil
	}
	for _, name := range j.reservedWorkers {
		delete(c.reservedFor, name)
	}
	j.reservedWorkers = nil
	c.version++
}
