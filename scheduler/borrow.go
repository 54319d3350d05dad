package scheduler

import (
	"github.com/chestnutsail/chestnutsail/cell"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/placer"
)

// placeOutside places work that needs no guarantee: work without accelerators on
// workers without accelerators, and anything as long as no text is in force.
func (c *Core) placeOutside(w *work) bool {
	if c.text != nil && w.needsAccels() {
		return false
	}
	rooms := c.rooms(w, func(n *node) bool { return c.text == nil || n.Capacity.Accelerators == 0 })
	members, ok := c.choose(w, rooms)
	return ok && c.commit(w, outside, c.partsOf(members), nil, "")
}

// placeBorrow places work that can be stopped on whatever is free.
func (c *Core) placeBorrow(w *work) bool {
	if c.text == nil || !w.spec().Stoppable() || !c.placeable(w) {
		return false
	}
	members, ok := c.choose(w, c.rooms(w, func(*node) bool { return true }))
	return ok && c.commit(w, borrow, c.partsOf(members), nil, "")
}

// placeOver places work beyond its guarantee and stops works for it for which over
// is true.
func (c *Core) placeOver(w *work, over func(*work) bool, cause Cause) bool {
	plain := !w.needsAccels() && !w.spec().Stoppable()
	if !w.spec().Stoppable() && !plain {
		return false
	}
	rooms := c.roomsOver(w, over, func(n *node) bool { return !plain || n.Capacity.Accelerators == 0 })
	members, ok := c.choose(w, rooms)
	m := borrow
	if plain {
		m = outside
	}
	return ok && c.commit(w, m, c.partsOf(members), over, cause)
}

func (c *Core) choose(w *work, rooms []placer.Room) ([]job.Member, bool) {
	sum := 0
	for _, r := range rooms {
		sum += r.Tasks
	}
	if sum < w.tasks() {
		return nil, false
	}
	return placer.Choose(c.space, placer.Request{
		Tasks: w.tasks(), Adjacent: w.spec().Shape.Adjacent, Each: w.each(),
		Rooms: rooms, Demand: c.wanted(), Prefer: c.prefer(),
	})
}

// wanted counts the cells that waiting jobs need and those owed to the accounts.
func (c *Core) wanted() cell.Counts {
	sum := c.demand
	for i := range sum {
		sum[i] += c.ledger.Owed[i]
	}
	return sum
}

func (c *Core) prefer() int {
	if c.text == nil {
		return 0
	}
	return min(max(c.text.Prefer, 0), 100)
}

// rooms lists the workers that fit at least one task without stopping anything.
func (c *Core) rooms(w *work, ok func(*node) bool) []placer.Room {
	var rooms []placer.Room
	for _, cw := range c.space.Workers {
		if fit := cell.Fit(w.each(), cw.Free, w.tasks()); fit > 0 {
			n := c.nodes[cw.Name]
			if ok(n) && c.eligible(n, w) {
				rooms = append(rooms, placer.Room{Worker: cw, Tasks: fit})
			}
		}
	}
	return rooms
}

// roomsOver lists the workers that fit at least one task once works for which over
// is true are stopped.
func (c *Core) roomsOver(w *work, over func(*work) bool, ok func(*node) bool) []placer.Room {
	var rooms []placer.Room
	for _, cw := range c.space.Workers {
		n := c.nodes[cw.Name]
		if !n.Usable || !ok(n) || !c.eligible(n, w) {
			continue
		}
		fit := cell.Fit(w.each(), spare(n, over), w.tasks())
		if fit > 0 {
			rooms = append(rooms, placer.Room{Worker: cw, Tasks: fit, Lost: c.lostOn(n, w, fit, over)})
		}
	}
	return rooms
}

// lostOn returns the work that is lost for each of the tasks when they are put on
// the worker.
func (c *Core) lostOn(n *node, w *work, tasks int, over func(*work) bool) clock.Millis {
	if room(n, w) >= tasks {
		return 0
	}
	var lost clock.Millis
	for _, v := range n.works {
		if v.stopping == "" && v.rec.State != job.Waiting && over(v) {
			lost += c.lost(v)
		}
	}
	return lost / clock.Millis(tasks)
}

func (c *Core) partsOf(members []job.Member) []part {
	parts := make([]part, 0, len(members))
	for _, m := range members {
		parts = append(parts, part{node: c.nodes[m.Worker], tasks: m.Tasks})
	}
	return parts
}
