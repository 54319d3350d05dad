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
		c.placeEach(a, func(w *work) bool { return w.urgent() }, c.placeUrgent)
	}
	for _, a := range c.accounts {
		if len(c.ledger.CellsOf(a.name)) > 0 {
			c.placeEach(a, nil, func(w *work) bool {
				return w.needsAccels() && (c.placeOnIdle(w) || c.placeGuaranteed(w) || c.placeLargeByMoving(w))
			})
		}
	}
	c.placeFair(queue.Quick)
	c.placeFair(queue.Normal)
	for _, a := range c.accounts {
		c.placeSmallByMoving(a)
	}
	c.makeRoom()
}

// placeOnIdle lets small work that can be stopped borrow idle workers as long as its
// account's guarantee would cover it, so that cells are bound and borrowers stopped
// only for work that needs it.
func (c *Core) placeOnIdle(w *work) bool {
	if c.isLarge(w) || w.fitsLikeClass() && w.class.noBorrowingFit == c.version {
		return false
	}
	return w.acct.borrowedCharge+int64(w.accels()*chargePerAccel) <= c.unusedGuarantee(w.acct) && c.placeBorrowing(w)
}

// unusedGuarantee returns what the account is guaranteed and does not hold in its cells, in
// shares.
func (c *Core) unusedGuarantee(a *account) int64 {
	sum := 0
	for _, v := range c.ledger.CellsOf(a.name) {
		sum += v.Accels - v.Sum()
	}
	return int64(sum * chargePerAccel)
}

// beyondGuarantee returns what the account holds beyond its guarantee, in shares.
func (c *Core) beyondGuarantee(a *account) int64 {
	return max(a.borrowedCharge-c.unusedGuarantee(a), 0)
}

// placeEach calls place for the account's waiting jobs in order, as long as while
// holds, and reports whether any was placed.
func (c *Core) placeEach(a *account, continueWhile func(*work) bool, place func(*work) bool) {
	for i := 0; i < a.queue.Len(); {
		w := a.queue.At(i)
		if continueWhile != nil && !continueWhile(w) {
			return
		}
		if c.knownNotToFit(w) || !c.withinQuota(w) || !place(w) {
			i++
		}
	}
}

// knownNotToFit reports whether work of this class was seen not to fit, within its
// guarantee or beyond it, since anything became free.
func (c *Core) knownNotToFit(w *work) bool {
	return w.class.noGuaranteedFit == c.version && w.class.noBorrowingFit == c.version && w.fitsLikeClass() && !w.urgent()
}

func (c *Core) withinQuota(w *work) bool {
	if w.acct.quota == (job.Resources{}) {
		return true
	}
	return fitsQuota(w.acct.used.Add(w.needs(w.tasks())), w.acct.quota)
}

// placeFair places one job at a time, of the account that holds the least beyond
// its guarantee for its weight, up to the given tier.
func (c *Core) placeFair(maxTier queue.Tier) {
	positions := make([]int, len(c.accounts))
	for {
		neediest := -1
		for i, a := range c.accounts {
			if positions[i] >= a.queue.Len() || a.queue.Rank(positions[i]).Tier > maxTier {
				continue
			}
			if neediest < 0 || c.beyondGuarantee(a)*c.accounts[neediest].weight < c.beyondGuarantee(c.accounts[neediest])*a.weight {
				neediest = i
			}
		}
		if neediest < 0 {
			return
		}
		positions[neediest] = c.placeNext(c.accounts[neediest], positions[neediest], maxTier)
	}
}

// placeNext places the account's first job from position i on that fits, and
// returns the position to go on from.
func (c *Core) placeNext(a *account, i int, maxTier queue.Tier) int {
	for ; i < a.queue.Len() && a.queue.Rank(i).Tier <= maxTier; i++ {
		w := a.queue.At(i)
		if w.fitsLikeClass() && w.class.noBorrowingFit == c.version {
			continue
		}
		if !c.withinQuota(w) {
			continue
		}
		if c.placeExempt(w) || !w.needsAccels() && c.placeGuaranteed(w) || c.placeBorrowing(w) || c.placeQuick(w) {
			return i
		}
		if w.fitsLikeClass() {
			w.class.noBorrowingFit = c.version
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
		return v.acct == w.acct && v.mode == modeBorrowing && v.spec().Stoppable() && v.rank.Tier > queue.Quick
	}
	return c.placePreempting(w, slower, CauseReclaim)
}

// placeUrgent starts urgent work wherever it may run, and stops less urgent work
// for it.
func (c *Core) placeUrgent(w *work) bool {
	if w.fitsLikeClass() && w.class.noUrgentFit == c.version {
		return false
	}
	lessUrgent := func(v *work) bool { return !v.urgent() && v.spec().Stoppable() }
	placed := c.placeExempt(w) || c.placeGuaranteed(w) || c.placeBorrowing(w) ||
		c.placeGuaranteedPreempting(w, func(v *work) bool { return lessUrgent(v) && v.acct == w.acct }, CauseReclaim) ||
		c.placePreempting(w, func(v *work) bool { return lessUrgent(v) && v.mode != modeGuaranteed }, CauseReclaim)
	if !placed && w.fitsLikeClass() {
		w.class.noUrgentFit = c.version
	}
	return placed
}

// eligible reports whether the work may be tried on the worker.
func (c *Core) eligible(n *node, w *work) bool {
	if len(w.failed) > 0 && slices.Contains(w.failed, n.Name) {
		return false
	}
	if c.now < n.coolUntil {
		return false
	}
	if id, taken := c.reservedFor[n.Name]; taken && id != w.id && w.rank.Tier > queue.Quick {
		return false
	}
	return n.Usable || c.mayProbe(n, w)
}

// mayProbe reports whether the work may be tried on a worker in quarantine.
func (c *Core) mayProbe(n *node, w *work) bool {
	return !n.leaving && !n.gone && w.spec().Idempotent && !w.urgent() && w.tasks() == 1 && c.tracker.MayProbe(c.now, n.Name)
}

// idleCellsSuffice reports whether the cells that are idle could hold the work, without
// looking at each worker.
func (c *Core) idleCellsSuffice(w *work) bool {
	size := w.spec().Shape.Accelerators
	if size == 0 || len(c.reservedFor) > 0 {
		return true
	}
	return c.space.Idle.Usable(floorPowerOfTwo(size)) >= w.tasks() || c.tracker.NextCheck(-1) != 0
}

// floorPowerOfTwo returns the largest power of two that is at most n.
func floorPowerOfTwo(n int) int {
	f := 1
	for 2*f <= n {
		f *= 2
	}
	return f
}

// freeAfterPreempting returns what the worker has free for work that may push out the works for
// which over is true; works that are leaving anyway count as gone.
func freeAfterPreempting(n *node, preemptible func(*work) bool) job.Resources {
	free := n.Free
	for _, v := range n.works {
		if v.stopping != "" || v.record.State != job.Waiting && preemptible(v) {
			free = free.Add(v.usedOn(n))
		}
	}
	return free
}

// tasksThatFit returns how many of the work's tasks fit on the worker without stopping any.
func tasksThatFit(n *node, w *work) int { return cell.Fit(w.taskNeeds(), n.Free, w.tasks()) }
