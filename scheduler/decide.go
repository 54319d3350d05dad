package scheduler

import (
	"slices"

	"github.com/chestnutsail/chestnutsail/cell"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/queue"
)

// decide places what can be placed: urgent work first, then work within its
// account's guarantee, then work that borrows, by weighted fairness between the
// accounts. What is then left of an account's guarantee in pieces too small for its
// work is made whole, and last comes room for large gangs that have waited too long.
func (c *Core) decide() {
	for _, a := range c.accounts {
		c.each(a, func(w *work) bool { return w.urgent() }, c.placeUrgent)
	}
	for _, a := range c.accounts {
		if len(c.ledger.Of(a.name)) > 0 {
			c.each(a, nil, func(w *work) bool { return w.needsAccels() && (c.placeIdle(w) || c.placeOwn(w) || c.placePacked(w)) })
		}
	}
	c.placeFair(queue.Quick)
	c.placeFair(queue.Normal)
	for _, a := range c.accounts {
		c.placeScattered(a)
	}
	c.makeRoom()
}

// placeIdle lets small work that can be stopped borrow idle workers as long as its
// account's guarantee would cover it, so that cells are bound and borrowers stopped
// only for work that needs it.
func (c *Core) placeIdle(w *work) bool {
	if c.large(w) || w.plain() && w.class.borrow == c.version {
		return false
	}
	return w.acct.borrowed+int64(w.accels()*accelShare) <= c.unused(w.acct) && c.placeBorrow(w)
}

// unused returns what the account is guaranteed and does not hold in its cells, in
// shares.
func (c *Core) unused(a *account) int64 {
	sum := 0
	for _, v := range c.ledger.Of(a.name) {
		sum += v.Accels - v.Sum()
	}
	return int64(sum * accelShare)
}

// beyond returns what the account holds beyond its guarantee, in shares.
func (c *Core) beyond(a *account) int64 { return max(a.borrowed-c.unused(a), 0) }

// each calls place for the account's waiting jobs in order, as long as while
// holds, and reports whether any was placed.
func (c *Core) each(a *account, while func(*work) bool, place func(*work) bool) {
	for i := 0; i < a.queue.Len(); {
		w := a.queue.At(i)
		if while != nil && !while(w) {
			return
		}
		if c.hopeless(w) || !c.withinQuota(w) || !place(w) {
			i++
		}
	}
}

// hopeless reports whether work of this class was seen not to fit, within its
// guarantee or beyond it, since anything became free.
func (c *Core) hopeless(w *work) bool {
	return w.class.own == c.version && w.class.borrow == c.version && w.plain() && !w.urgent()
}

func (c *Core) withinQuota(w *work) bool {
	if w.acct.quota == (job.Resources{}) {
		return true
	}
	return within(w.acct.used.Add(w.needs(w.tasks())), w.acct.quota)
}

// placeFair places one job at a time, of the account that holds the least beyond
// its guarantee for its weight, up to the given tier.
func (c *Core) placeFair(last queue.Tier) {
	at := make([]int, len(c.accounts))
	for {
		next := -1
		for i, a := range c.accounts {
			if at[i] >= a.queue.Len() || a.queue.Rank(at[i]).Tier > last {
				continue
			}
			if next < 0 || c.beyond(a)*c.accounts[next].weight < c.beyond(c.accounts[next])*a.weight {
				next = i
			}
		}
		if next < 0 {
			return
		}
		at[next] = c.placeNext(c.accounts[next], at[next], last)
	}
}

// placeNext places the account's first job from position i on that fits, and
// returns the position to go on from.
func (c *Core) placeNext(a *account, i int, last queue.Tier) int {
	for ; i < a.queue.Len() && a.queue.Rank(i).Tier <= last; i++ {
		w := a.queue.At(i)
		if w.plain() && w.class.borrow == c.version {
			continue
		}
		if !c.withinQuota(w) {
			continue
		}
		if c.placeOutside(w) || !w.needsAccels() && c.placeOwn(w) || c.placeBorrow(w) || c.placeQuick(w) {
			return i
		}
		if w.plain() {
			w.class.borrow = c.version
		}
	}
	return i
}

// placeQuick starts a quick check on what its own account borrows for slower work.
func (c *Core) placeQuick(w *work) bool {
	if w.rank.Tier != queue.Quick {
		return false
	}
	slower := func(v *work) bool {
		return v.acct == w.acct && v.mode == borrow && v.spec().Stoppable() && v.rank.Tier > queue.Quick
	}
	return c.placeOver(w, slower, CauseReclaim)
}

// placeUrgent starts urgent work wherever it may run, and stops less urgent work
// for it.
func (c *Core) placeUrgent(w *work) bool {
	if w.plain() && w.class.over == c.version {
		return false
	}
	lesser := func(v *work) bool { return !v.urgent() && v.spec().Stoppable() }
	placed := c.placeOutside(w) || c.placeOwn(w) || c.placeBorrow(w) ||
		c.placeOwnOver(w, func(v *work) bool { return lesser(v) && v.acct == w.acct }, CauseReclaim) ||
		c.placeOver(w, func(v *work) bool { return lesser(v) && v.mode != own }, CauseReclaim)
	if !placed && w.plain() {
		w.class.over = c.version
	}
	return placed
}

// eligible reports whether the work may be tried on the worker.
func (c *Core) eligible(n *node, w *work) bool {
	if len(w.failed) > 0 && slices.Contains(w.failed, n.Name) {
		return false
	}
	if c.now < n.cool {
		return false
	}
	if id, taken := c.reserved[n.Name]; taken && id != w.id && w.rank.Tier > queue.Quick {
		return false
	}
	return n.Usable || c.probe(n, w)
}

// probe reports whether the work may be tried on a worker in quarantine.
func (c *Core) probe(n *node, w *work) bool {
	return !n.leaving && !n.gone && w.spec().Idempotent && !w.urgent() && w.tasks() == 1 && c.tracker.Probe(c.now, n.Name)
}

// placeable reports whether the cells that are idle could hold the work, without
// looking at each worker.
func (c *Core) placeable(w *work) bool {
	size := w.spec().Shape.Accelerators
	if size == 0 || len(c.reserved) > 0 {
		return true
	}
	return c.space.Idle.Usable(floor(size)) >= w.tasks() || c.tracker.Due(-1) != 0
}

// floor returns the largest power of two that is at most n.
func floor(n int) int {
	f := 1
	for 2*f <= n {
		f *= 2
	}
	return f
}

// spare returns what the worker has free for work that may push out the works for
// which over is true; works that are leaving anyway count as gone.
func spare(n *node, over func(*work) bool) job.Resources {
	free := n.Free
	for _, v := range n.works {
		if v.stopping != "" || v.rec.State != job.Waiting && over(v) {
			free = free.Add(v.on(n))
		}
	}
	return free
}

// room returns how many of the work's tasks fit on the worker without stopping any.
func room(n *node, w *work) int { return cell.Fit(w.each(), n.Free, w.tasks()) }
