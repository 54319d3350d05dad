package scheduler

import (
	"cmp"
	"slices"

	"github.com/chestnutsail/chestnutsail/cell"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/guarantee"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/placer"
)

// placeGuaranteed places a job within its account's guarantee, and stops the borrowers
// that occupy the needed resources. It reports whether the job was placed.
func (c *Core) placeGuaranteed(j *liveJob) bool {
	if j.fitsLikeClass() && j.class.noGuaranteedFit == c.version {
		return false
	}
	if c.guaranteeCovers(j) && c.placeGuaranteedPreempting(j, nil, CauseReclaim) {
		return true
	}
	if j.fitsLikeClass() {
		j.class.noGuaranteedFit = c.version
	}
	return false
}

// guaranteeCovers reports whether the unused part of the account's guarantee is large
// enough for the job. For a small job that can be stopped, what the account already
// borrows is deducted first; otherwise such jobs would stop other jobs of the same
// kind.
func (c *Core) guaranteeCovers(j *liveJob) bool {
	needs := int64(j.accels() * chargePerAccel)
	if j.spec().Stoppable() && !c.isLarge(j) && !j.urgent() {
		needs += j.acct.borrowedCharge
	}
	return needs <= c.unusedGuarantee(j.acct)
}

// placeGuaranteedPreempting places a job within its account's guarantee. It may stop
// borrowers, and in addition those jobs within the guarantee for which
// preemptibleGuaranteed is true; nil means none. It reports whether the job was placed.
func (c *Core) placeGuaranteedPreempting(j *liveJob, preemptibleGuaranteed func(*liveJob) bool, cause Cause) bool {
	if c.text == nil {
		return false
	}
	cells := c.ledger.CellsOf(j.spec().Account)
	if len(cells) == 0 {
		return false
	}
	preemptible := func(v *liveJob) bool {
		return v.mode != modeGuaranteed && v.spec().Stoppable() || preemptibleGuaranteed != nil && preemptibleGuaranteed(v)
	}
	p := guaranteedPlacement{c: c, j: j, cells: cells, preemptibleGuaranteed: preemptibleGuaranteed, preemptible: preemptible, cause: cause}
	return p.tryOneCell() || p.tryBoundCells() || p.trySeveralCells()
}

// placeLargeByMoving places a large job for which its account's guarantee has room in
// total, but not in one place, by moving smaller jobs of the account. It reports
// whether the job was placed.
func (c *Core) placeLargeByMoving(j *liveJob) bool { return c.isLarge(j) && c.placeByMoving(j) }

// placeSmallByMoving does the same for the jobs of an account that are not large and
// that found no room elsewhere. These jobs lie within the guarantee as well, so they
// have to start within the time limit for guaranteed jobs.
func (c *Core) placeSmallByMoving(a *account) {
	if len(c.ledger.CellsOf(a.name)) == 0 {
		return
	}
	for i := 0; i < a.queue.Len(); {
		j := a.queue.At(i)
		if !j.needsAccels() || c.isLarge(j) || !c.withinQuota(j) || !c.placeByMoving(j) {
			i++
		}
	}
}

func (c *Core) placeByMoving(j *liveJob) bool {
	if !c.guaranteeCovers(j) || j.fitsLikeClass() && j.class.noFitByMoving == c.version {
		return false
	}
	smaller := func(v *liveJob) bool {
		return v.acct == j.acct && v.spec().Stoppable() && !v.urgent() && v.accels() < j.accels()
	}
	if c.placeGuaranteedPreempting(j, smaller, CauseMove) {
		return true
	}
	if j.fitsLikeClass() {
		j.class.noFitByMoving = c.version
	}
	return false
}

// guaranteedPlacement is one attempt to place a job within its account's guarantee.
type guaranteedPlacement struct {
	c     *Core
	j     *liveJob
	cells []*guarantee.VirtualCell
	// preemptibleGuaranteed tells which jobs within the guarantee may be stopped (nil
	// means none), and preemptible which of all running jobs may be stopped.
	preemptibleGuaranteed, preemptible func(*liveJob) bool
	cause                              Cause
}

// spot is room for tasks on one worker of a bound cell. offset is the position of the
// worker in the cell, and lostWork the work that is lost for each task by making room.
type spot struct {
	cell     *guarantee.VirtualCell
	offset   int
	node     *node
	tasks    int
	lostWork clock.Millis
}

// spots lists the room in the account's bound cells, in one rack or, if rack is "", in
// all racks.
func (p *guaranteedPlacement) spots(rack string) []spot {
	var spots []spot
	for _, v := range p.cells {
		if v.Row == nil || v.ReservedFor != "" && v.ReservedFor != p.j.id || rack != "" && v.Row.Rack != rack {
			continue
		}
		for i := range v.Used {
			if s, ok := p.spot(v, i); ok {
				spots = append(spots, s)
			}
		}
	}
	return spots
}

func (p *guaranteedPlacement) spot(v *guarantee.VirtualCell, i int) (spot, bool) {
	cw := v.Worker(i)
	if cw == nil || !cw.Usable {
		return spot{}, false
	}
	left := v.AccelsPerWorker() - v.Used[i]
	if p.preemptibleGuaranteed == nil && left < max(p.j.spec().Shape.Accelerators, 1) {
		return spot{}, false
	}
	n := p.c.nodes[cw.Name]
	if !p.c.eligibleGuaranteed(n, p.j) {
		return spot{}, false
	}
	if p.preemptibleGuaranteed != nil {
		left += p.evictableAccels(v, i, n)
	}
	tasks := tasksInShare(cw, p.j.taskNeeds(), left, p.j.tasks())
	tasks = min(tasks, cell.Fit(p.j.taskNeeds(), freeAfterPreempting(n, p.preemptible), p.j.tasks()))
	if tasks == 0 {
		return spot{}, false
	}
	return spot{cell: v, offset: i, node: n, tasks: tasks, lostWork: p.c.lostWorkPerTask(n, p.j, tasks, p.preemptible)}, true
}

// evictableAccels returns how many accelerators of the cell are held, on the worker n at
// its position i, by jobs that are being stopped or may be stopped.
func (p *guaranteedPlacement) evictableAccels(v *guarantee.VirtualCell, i int, n *node) int {
	sum := 0
	for _, x := range n.jobs {
		if x.stopping == "" && (x.record.State == job.Waiting || !p.preemptibleGuaranteed(x)) {
			continue
		}
		for _, q := range x.parts {
			if q.cell == v && q.offset == i {
				sum += q.accelShare
			}
		}
	}
	return sum
}

// eligibleGuaranteed reports whether a job within its guarantee may be placed on the
// worker. Unlike eligible, it ignores reservations for large gangs, and it allows no
// probes.
func (c *Core) eligibleGuaranteed(n *node, j *liveJob) bool {
	return n.Usable && c.now >= n.coolUntil && (len(j.failed) == 0 || !slices.Contains(j.failed, n.Name))
}

// tryBoundCells places the job in cells that are already bound. It reports whether the
// job was placed.
func (p *guaranteedPlacement) tryBoundCells() bool {
	spots := p.spots("")
	parts, ok := p.chooseParts(spots)
	return ok && p.c.commit(p.j, modeGuaranteed, parts, p.preemptible, p.cause)
}

// chooseParts chooses the workers for the job among those of the spots, and reports
// false if the job does not fit there.
func (p *guaranteedPlacement) chooseParts(spots []spot) ([]part, bool) {
	rooms := make(map[string]*placer.Room)
	for _, s := range spots {
		r := rooms[s.node.Name]
		if r == nil {
			r = &placer.Room{Worker: s.node.Worker}
			rooms[s.node.Name] = r
		}
		r.Tasks = min(r.Tasks+s.tasks, cell.Fit(p.j.taskNeeds(), freeAfterPreempting(s.node, p.preemptible), p.j.tasks()))
		r.LostWork = max(r.LostWork, s.lostWork)
	}
	list := make([]placer.Room, 0, len(rooms))
	for _, r := range rooms {
		list = append(list, *r)
	}
	slices.SortFunc(list, func(a, b placer.Room) int { return cmp.Compare(a.Worker.Name, b.Worker.Name) })
	members, ok := p.c.chooseMembers(p.j, list)
	if !ok {
		return nil, false
	}
	return p.divideTasks(members, spots)
}

// divideTasks divides the tasks of each member among the spots on its worker, starting
// with the spots with the least room. It reports false if the spots have too little
// room.
func (p *guaranteedPlacement) divideTasks(members []job.Member, spots []spot) ([]part, bool) {
	slices.SortStableFunc(spots, func(a, b spot) int {
		return cmp.Or(cmp.Compare(a.tasks, b.tasks), cmp.Compare(a.cell.Index, b.cell.Index), cmp.Compare(a.offset, b.offset))
	})
	var parts []part
	for _, m := range members {
		left := m.Tasks
		for _, s := range spots {
			n := min(left, s.tasks)
			if s.node.Name != m.Worker || n == 0 {
				continue
			}
			left -= n
			parts = append(parts, p.part(s, n))
		}
		if left > 0 {
			return nil, false
		}
	}
	return parts, true
}

func (p *guaranteedPlacement) part(s spot, tasks int) part {
	return part{node: s.node, tasks: tasks, accelShare: s.node.AccelsNeeded(p.j.needs(tasks)), cell: s.cell, offset: s.offset}
}

// tryOneCell places the job in the smallest cell that holds all of it, bound or not, so
// that larger cells remain available to larger jobs. It reports whether the job was
// placed.
func (p *guaranteedPlacement) tryOneCell() bool {
	for i := 0; i < len(p.cells); {
		end := i
		for end < len(p.cells) && p.cells[end].Accels == p.cells[i].Accels {
			end++
		}
		if p.tryEachBoundCell(p.cells[i:end]) || p.tryBindingCell(p.cells[i:end]) {
			return true
		}
		i = end
	}
	return false
}

// tryEachBoundCell places the job in a single one of the bound cells, and tries the
// cells with the most accelerators in use first. It reports whether the job was placed.
func (p *guaranteedPlacement) tryEachBoundCell(cells []*guarantee.VirtualCell) bool {
	var bound []*guarantee.VirtualCell
	for _, v := range cells {
		if v.Row != nil && (v.ReservedFor == "" || v.ReservedFor == p.j.id) {
			bound = append(bound, v)
		}
	}
	slices.SortStableFunc(bound, func(a, b *guarantee.VirtualCell) int { return cmp.Compare(b.TotalUsed(), a.TotalUsed()) })
	for _, v := range bound {
		if parts, ok := p.chooseParts(p.spotsInCell(v)); ok && p.c.commit(p.j, modeGuaranteed, parts, p.preemptible, p.cause) {
			return true
		}
	}
	return false
}

// tryBindingCell binds an unbound one of the cells, all of which have the same size,
// and places the job there. It reports whether the job was placed.
func (p *guaranteedPlacement) tryBindingCell(cells []*guarantee.VirtualCell) bool {
	i := slices.IndexFunc(cells, func(v *guarantee.VirtualCell) bool { return v.Row == nil })
	if i < 0 {
		return false
	}
	row, start, ok := p.bestPosition(cells[i], "", p.j.tasks())
	if !ok {
		return false
	}
	p.c.ledger.Bind(cells[i], row, start)
	parts, ok := p.chooseParts(p.spotsInCell(cells[i]))
	if ok && p.c.commit(p.j, modeGuaranteed, parts, p.preemptible, p.cause) {
		return true
	}
	p.c.ledger.Unbind(cells[i])
	return false
}

func (p *guaranteedPlacement) spotsInCell(v *guarantee.VirtualCell) []spot {
	var spots []spot
	for i := range v.Used {
		if s, ok := p.spot(v, i); ok {
			spots = append(spots, s)
		}
	}
	return spots
}

// bestPosition returns the row and the start slot at which to bind the cell v so that
// at least the given number of tasks fit, and false if there is no such position. It
// minimizes lost work and fragmentation. A position that keeps all guarantees possible
// once lost workers are back is preferred to any other. rack restricts the search to
// one rack unless it is "".
func (p *guaranteedPlacement) bestPosition(v *guarantee.VirtualCell, rack string, tasks int) (*cell.Row, int, bool) {
	var best *cell.Row
	bestStart, bestKeepsAll, bestCost := 0, false, int64(0)
	demand := p.c.cellDemand()
	for _, row := range p.c.space.Rows {
		if row.Accels == 0 || rack != "" && row.Rack != rack {
			continue
		}
		width := max(v.Accels/row.Accels, 1)
		for start := 0; start+width <= len(row.Workers); start += width {
			after, ok := guarantee.CellsAfter(row, v.Accels, start, (*cell.Worker).Unbound)
			if !ok {
				continue
			}
			lost, ok := p.lostWorkAt(row, start, width, min(v.Accels, row.Accels), tasks)
			if !ok {
				continue
			}
			cost := placer.CombinedCost(lost, placer.FragmentationHarm(row.Unbound, after, demand), p.c.fragmentationWeight())
			if best != nil && bestKeepsAll && cost >= bestCost {
				continue
			}
			keepsAll, ok := p.c.ledger.CanBind(v, row, start)
			if ok && (best == nil || keepsAll && !bestKeepsAll || keepsAll == bestKeepsAll && cost < bestCost) {
				best, bestStart, bestKeepsAll, bestCost = row, start, keepsAll, cost
			}
		}
	}
	return best, bestStart, best != nil
}

// lostWorkAt reports whether a cell at these slots would hold the tasks with the
// adjacency that the job requires, and the work lost by making room for them, in
// accelerator milliseconds. size is the number of accelerators of the cell on each
// worker.
func (p *guaranteedPlacement) lostWorkAt(row *cell.Row, start, width, size, tasks int) (clock.Millis, bool) {
	var lost clock.Millis
	left := tasks
	for _, cw := range row.Workers[start : start+width] {
		n := p.c.nodes[cw.Name]
		if !p.c.eligibleGuaranteed(n, p.j) {
			continue
		}
		fit := tasksInShare(cw, p.j.taskNeeds(), size, left)
		fit = min(fit, cell.Fit(p.j.taskNeeds(), freeAfterPreempting(n, p.preemptible), left))
		if fit == 0 || p.j.spec().Shape.Adjacent == job.Worker && fit < left {
			continue
		}
		lost += p.c.lostWorkPerTask(n, p.j, fit, p.preemptible) * clock.Millis(fit)
		left -= fit
		if left == 0 {
			return lost, true
		}
	}
	return lost, false
}
