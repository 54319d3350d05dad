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

// placeOwn places work within its account's guarantee and stops the borrowers that
// are in its way.
func (c *Core) placeOwn(w *work) bool {
	if w.plain() && w.class.own == c.version {
		return false
	}
	if c.covered(w) && c.placeOwnOver(w, nil, CauseReclaim) {
		return true
	}
	if w.plain() {
		w.class.own = c.version
	}
	return false
}

// covered reports whether the account's guarantee has room for the work. Small work
// that can be stopped has to leave room for what the account borrows, so that it
// does not stop its like.
func (c *Core) covered(w *work) bool {
	needs := int64(w.accels() * accelShare)
	if w.spec().Stoppable() && !c.large(w) && !w.urgent() {
		needs += w.acct.borrowed
	}
	return needs <= c.unused(w.acct)
}

// placeOwnOver places work within its account's guarantee and stops borrowers for
// it, and works of the guarantee itself for which over is true.
func (c *Core) placeOwnOver(w *work, over func(*work) bool, cause Cause) bool {
	if c.text == nil {
		return false
	}
	cells := c.ledger.Of(w.spec().Account)
	if len(cells) == 0 {
		return false
	}
	may := func(v *work) bool { return v.mode != own && v.spec().Stoppable() || over != nil && over(v) }
	p := ownPlace{c: c, w: w, cells: cells, over: over, may: may, cause: cause}
	return p.inOne() || p.inBound() || p.inSeveral()
}

// placePacked places a large work that its account's guarantee has room for, though
// smaller works of the account are scattered over the cells, by moving those.
func (c *Core) placePacked(w *work) bool { return c.large(w) && c.pack(w) }

// placeScattered does the same for an account's other works that have found no place at
// all: they are within the guarantee, too, and to start within its bound.
func (c *Core) placeScattered(a *account) {
	if len(c.ledger.Of(a.name)) == 0 {
		return
	}
	for i := 0; i < a.queue.Len(); {
		w := a.queue.At(i)
		if !w.needsAccels() || c.large(w) || !c.withinQuota(w) || !c.pack(w) {
			i++
		}
	}
}

func (c *Core) pack(w *work) bool {
	if !c.covered(w) || w.plain() && w.class.packed == c.version {
		return false
	}
	smaller := func(v *work) bool {
		return v.acct == w.acct && v.spec().Stoppable() && !v.urgent() && v.accels() < w.accels()
	}
	if c.placeOwnOver(w, smaller, CauseMove) {
		return true
	}
	if w.plain() {
		w.class.packed = c.version
	}
	return false
}

// ownPlace is one try to place a work within its account's guarantee.
type ownPlace struct {
	c     *Core
	w     *work
	cells []*guarantee.Virtual
	// over tells which works of the guarantee may be stopped, may which of all.
	over, may func(*work) bool
	cause     Cause
}

// spot is room on one worker in one bound cell.
type spot struct {
	cell   *guarantee.Virtual
	offset int
	node   *node
	tasks  int
	lost   clock.Millis
}

// spots lists the room in the account's bound cells in the rack, or in all racks
// for "".
func (p *ownPlace) spots(rack string) []spot {
	var spots []spot
	for _, v := range p.cells {
		if v.Row == nil || v.Reserved != "" && v.Reserved != p.w.id || rack != "" && v.Row.Rack != rack {
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

func (p *ownPlace) spot(v *guarantee.Virtual, i int) (spot, bool) {
	cw := v.Worker(i)
	if cw == nil || !cw.Usable {
		return spot{}, false
	}
	left := v.Size() - v.Used[i]
	if p.over == nil && left < max(p.w.spec().Shape.Accelerators, 1) {
		return spot{}, false
	}
	n := p.c.nodes[cw.Name]
	if !p.c.eligibleOwn(n, p.w) {
		return spot{}, false
	}
	if p.over != nil {
		left += p.leaving(v, i, n)
	}
	tasks := tasksWithin(cw, p.w.each(), left, p.w.tasks())
	tasks = min(tasks, cell.Fit(p.w.each(), spare(n, p.may), p.w.tasks()))
	if tasks == 0 {
		return spot{}, false
	}
	return spot{cell: v, offset: i, node: n, tasks: tasks, lost: p.c.lostOn(n, p.w, tasks, p.may)}, true
}

// leaving returns the accelerators of a cell's worker held by works that leave or
// may be told to.
func (p *ownPlace) leaving(v *guarantee.Virtual, i int, n *node) int {
	sum := 0
	for _, x := range n.works {
		if x.stopping == "" && (x.rec.State == job.Waiting || !p.over(x)) {
			continue
		}
		for _, q := range x.parts {
			if q.cell == v && q.offset == i {
				sum += q.cover
			}
		}
	}
	return sum
}

// eligibleOwn is eligible for work within its guarantee, which workers that are
// being emptied for others are not closed to.
func (c *Core) eligibleOwn(n *node, w *work) bool {
	return n.Usable && c.now >= n.cool && (len(w.failed) == 0 || !slices.Contains(w.failed, n.Name))
}

// inBound places the work in cells that are bound already.
func (p *ownPlace) inBound() bool {
	spots := p.spots("")
	parts, ok := p.spread(spots)
	return ok && p.c.commit(p.w, own, parts, p.may, p.cause)
}

// spread chooses workers among those of the spots.
func (p *ownPlace) spread(spots []spot) ([]part, bool) {
	rooms := make(map[string]*placer.Room)
	for _, s := range spots {
		r := rooms[s.node.Name]
		if r == nil {
			r = &placer.Room{Worker: s.node.Worker}
			rooms[s.node.Name] = r
		}
		r.Tasks = min(r.Tasks+s.tasks, cell.Fit(p.w.each(), spare(s.node, p.may), p.w.tasks()))
		r.Lost = max(r.Lost, s.lost)
	}
	list := make([]placer.Room, 0, len(rooms))
	for _, r := range rooms {
		list = append(list, *r)
	}
	slices.SortFunc(list, func(a, b placer.Room) int { return cmp.Compare(a.Worker.Name, b.Worker.Name) })
	members, ok := p.c.choose(p.w, list)
	if !ok {
		return nil, false
	}
	return p.fill(members, spots)
}

// fill divides each member's tasks among the spots on its worker, the tightest first.
func (p *ownPlace) fill(members []job.Member, spots []spot) ([]part, bool) {
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

func (p *ownPlace) part(s spot, tasks int) part {
	return part{node: s.node, tasks: tasks, cover: s.node.Cover(p.w.needs(tasks)), cell: s.cell, offset: s.offset}
}

// inOne places the work in the smallest cell that holds it whole, be it bound
// already or not, so that larger cells stay whole for larger work.
func (p *ownPlace) inOne() bool {
	for i := 0; i < len(p.cells); {
		same := i
		for same < len(p.cells) && p.cells[same].Accels == p.cells[i].Accels {
			same++
		}
		if p.inBoundOf(p.cells[i:same]) || p.inOwed(p.cells[i:same]) {
			return true
		}
		i = same
	}
	return false
}

// inBoundOf places the work in one of the bound cells, the fullest first.
func (p *ownPlace) inBoundOf(cells []*guarantee.Virtual) bool {
	var bound []*guarantee.Virtual
	for _, v := range cells {
		if v.Row != nil && (v.Reserved == "" || v.Reserved == p.w.id) {
			bound = append(bound, v)
		}
	}
	slices.SortStableFunc(bound, func(a, b *guarantee.Virtual) int { return cmp.Compare(b.Sum(), a.Sum()) })
	for _, v := range bound {
		if parts, ok := p.spread(p.spotsOf(v)); ok && p.c.commit(p.w, own, parts, p.may, p.cause) {
			return true
		}
	}
	return false
}

// inOwed binds one of the cells, which are of the same size, and places the work there.
func (p *ownPlace) inOwed(cells []*guarantee.Virtual) bool {
	i := slices.IndexFunc(cells, func(v *guarantee.Virtual) bool { return v.Row == nil })
	if i < 0 {
		return false
	}
	row, start, ok := p.position(cells[i], "", p.w.tasks())
	if !ok {
		return false
	}
	p.c.ledger.Bind(cells[i], row, start)
	parts, ok := p.spread(p.spotsOf(cells[i]))
	if ok && p.c.commit(p.w, own, parts, p.may, p.cause) {
		return true
	}
	p.c.ledger.Unbind(cells[i])
	return false
}

func (p *ownPlace) spotsOf(v *guarantee.Virtual) []spot {
	var spots []spot
	for i := range v.Used {
		if s, ok := p.spot(v, i); ok {
			spots = append(spots, s)
		}
	}
	return spots
}

// position finds the place for an owed cell in which at least the given number of
// tasks fit, and whose loss hurts the least. A place that keeps all guarantees
// possible once lost workers are back goes before one that does not.
func (p *ownPlace) position(v *guarantee.Virtual, rack string, tasks int) (*cell.Row, int, bool) {
	var best *cell.Row
	bestStart, bestWhole, least := 0, false, int64(0)
	demand := p.c.wanted()
	for _, row := range p.c.space.Rows {
		if row.Accels == 0 || rack != "" && row.Rack != rack {
			continue
		}
		width := max(v.Accels/row.Accels, 1)
		for start := 0; start+width <= len(row.Workers); start += width {
			after, ok := guarantee.After(row, v.Accels, start, (*cell.Worker).Unbound)
			if !ok {
				continue
			}
			lost, ok := p.fits(row, start, width, min(v.Accels, row.Accels), tasks)
			if !ok {
				continue
			}
			cost := placer.Weigh(lost, placer.Harm(row.Unbound, after, demand), p.c.prefer())
			if best != nil && bestWhole && cost >= least {
				continue
			}
			whole, ok := p.c.ledger.Fits(v, row, start)
			if ok && (best == nil || whole && !bestWhole || whole == bestWhole && cost < least) {
				best, bestStart, bestWhole, least = row, start, whole, cost
			}
		}
	}
	return best, bestStart, best != nil
}

// fits reports whether a cell there would hold the tasks as the work's adjacency
// wants it, and what would be lost by making room.
func (p *ownPlace) fits(row *cell.Row, start, width, size, tasks int) (clock.Millis, bool) {
	var lost clock.Millis
	left := tasks
	for _, cw := range row.Workers[start : start+width] {
		n := p.c.nodes[cw.Name]
		if !p.c.eligibleOwn(n, p.w) {
			continue
		}
		fit := tasksWithin(cw, p.w.each(), size, left)
		fit = min(fit, cell.Fit(p.w.each(), spare(n, p.may), left))
		if fit == 0 || p.w.spec().Shape.Adjacent == job.Worker && fit < left {
			continue
		}
		lost += p.c.lostOn(n, p.w, fit, p.may) * clock.Millis(fit)
		left -= fit
		if left == 0 {
			return lost, true
		}
	}
	return lost, false
}
