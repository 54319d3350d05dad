package scheduler

import (
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/guarantee"
	"github.com/chestnutsail/chestnutsail/job"
)

// drainAfter returns how long a large gang waits until workers are emptied for it.
// The more a firm prefers little fragmentation, the sooner.
func (c *Core) drainAfter() clock.Millis {
	return c.opts.Wait * clock.Millis(200-c.prefer()) / 400
}

// makeRoom empties workers for large gangs that have waited long: first no new
// borrowers are let in, and when the gang has waited for Options.Wait, those that
// are still there are stopped.
func (c *Core) makeRoom() {
	for _, a := range c.accounts {
		for i := 0; i < a.queue.Len(); {
			w := a.queue.At(i)
			if !c.large(w) || w.tried == c.version || c.now-w.since < c.drainAfter() || !c.withinQuota(w) {
				i++
				continue
			}
			if !c.makeRoomFor(w) {
				w.tried = c.version
				i++
			}
		}
	}
}

func (c *Core) large(w *work) bool { return w.accels() >= c.opts.Large }

// makeRoomFor reports whether the work has been placed.
func (c *Core) makeRoomFor(w *work) bool {
	late := c.now-w.since >= c.opts.Wait
	if w.held == nil {
		c.hold(w)
	}
	if late && c.placeOwnOver(w, func(v *work) bool { return c.movable(v, w) && v.acct == w.acct && v.mode == own }, CauseMove) {
		return true
	}
	if !w.spec().Stoppable() || c.text == nil {
		return false
	}
	over := func(v *work) bool { return v.mode == borrow && c.movable(v, w) }
	if late && c.placeOver(w, over, CauseMove) {
		for _, x := range c.planned {
			x.gang = x.gang || x == w
		}
		return true
	}
	if len(w.emptied) == 0 {
		c.reserve(w, over)
	}
	return false
}

// movable reports whether v may be moved for the large gang w: it can be stopped,
// is no large gang itself beyond one worker, and nothing was moved for it.
func (c *Core) movable(v, w *work) bool {
	return v.spec().Stoppable() && !v.urgent() && !v.gang && v.accels() < w.accels() && v.accels() <= c.opts.Large
}

// hold closes that one of the account's bound cells to its smaller work which
// holds the whole gang and has the least to empty.
func (c *Core) hold(w *work) {
	var best *guarantee.Virtual
	for _, v := range c.ledger.Of(w.spec().Account) {
		if v.Row == nil || v.Reserved != "" || v.Accels < w.accels() {
			continue
		}
		if w.spec().Shape.Adjacent == job.Worker && v.Size() < w.accels() {
			continue
		}
		if best == nil || v.Sum() < best.Sum() {
			best = v
		}
	}
	if best != nil {
		best.Reserved, w.held = w.id, best
	}
}

// reserve closes the workers that are the cheapest to empty to other borrowers. At
// most half of the workers are closed at any time.
func (c *Core) reserve(w *work, over func(*work) bool) {
	members, ok := c.choose(w, c.roomsOver(w, over, func(*node) bool { return true }))
	if !ok || 2*(len(c.reserved)+len(members)) > len(c.nodes) {
		return
	}
	for _, m := range members {
		c.reserved[m.Worker] = w.id
		w.emptied = append(w.emptied, m.Worker)
	}
}

// unreserve opens again what was closed for the work.
func (c *Core) unreserve(w *work) {
	if w == nil || w.held == nil && len(w.emptied) == 0 {
		return
	}
	if w.held != nil {
		w.held.Reserved, w.held = "", nil
	}
	for _, name := range w.emptied {
		delete(c.reserved, name)
	}
	w.emptied = nil
	c.version++
}
