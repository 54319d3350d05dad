package scheduler

import (
	"slices"

	"github.com/chestnutsail/chestnutsail/cell"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/queue"
)

// decide places the waiting jobs that fit. It places urgent jobs first, then jobs
// within their account's guarantee, then jobs that borrow, by weighted fairness between
// the accounts. Next it moves jobs within a guarantee whose free part is too fragmented
// for a waiting job. Last it makes room for large gangs that have waited too long.
func (c *Core) decide() {
	for _, a := range c.accounts {
		c.placeEach(a, func(j *liveJob) bool { return j.urgent() }, c.placeUrgent)
	}
	for _, a := range c.accounts {
		if len(c.ledger.CellsOf(a.name)) > 0 {
			c.placeEach(a, nil, func(j *liveJob) bool {
				return j.needsAccels() && (c.placeOnIdleWorkers(j) || c.placeGuaranteed(j) || c.placeLargeByMoving(j))
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

// placeOnIdleWorkers places a small job that can be stopped as a borrower on idle
// workers, as long as its account's guarantee would cover the job. That way, cells are
// bound and borrowers stopped only for jobs that do not fit on idle workers. It reports
// whether the job was placed.
func (c *Core) placeOnIdleWorkers(j *liveJob) bool {
	if c.isLarge(j) || j.fitsLikeClass() && j.class.noBorrowingFit == c.version {
		return false
	}
	return j.acct.borrowedCharge+int64(j.accels()*chargePerAccel) <= c.unusedGuarantee(j.acct) && c.placeBorrowing(j)
}

// unusedGuarantee returns the part of the account's guarantee that its jobs do not
// occupy in its cells, as a charge.
func (c *Core) unusedGuarantee(a *account) int64 {
	sum := 0
	for _, v := range c.ledger.CellsOf(a.name) {
		sum += v.Accels - v.TotalUsed()
	}
	return int64(sum * chargePerAccel)
}

// chargeBeyondGuarantee returns what the account occupies beyond its guarantee, as a charge.
func (c *Core) chargeBeyondGuarantee(a *account) int64 {
	return max(a.borrowedCharge-c.unusedGuarantee(a), 0)
}

// placeEach calls place for the account's waiting jobs in the order of the queue, and
// stops at the first job for which continueWhile is false. A nil continueWhile means
// all jobs. Jobs that are known not to fit or exceed the quota are skipped.
func (c *Core) placeEach(a *account, continueWhile func(*liveJob) bool, place func(*liveJob) bool) {
	for i := 0; i < a.queue.Len(); {
		j := a.queue.At(i)
		if continueWhile != nil && !continueWhile(j) {
			return
		}
		if c.knownNotToFit(j) || !c.withinQuota(j) || !place(j) {
			i++
		}
	}
}

// knownNotToFit reports whether jobs of this job's class were found not to fit, both
// within the guarantee and as borrowers, since resources last became free.
func (c *Core) knownNotToFit(j *liveJob) bool {
	return j.class.noGuaranteedFit == c.version && j.class.noBorrowingFit == c.version && j.fitsLikeClass() && !j.urgent()
}

func (c *Core) withinQuota(j *liveJob) bool {
	if j.acct.quota == (job.Resources{}) {
		return true
	}
	return fitsQuota(j.acct.used.Add(j.needs(j.tasks())), j.acct.quota)
}

// placeFair places jobs of tiers up to maxTier one at a time. The next job is always of
// the account whose charge beyond its guarantee is the smallest in relation to its
// weight.
func (c *Core) placeFair(maxTier queue.Tier) {
	positions := make([]int, len(c.accounts))
	for {
		neediest := -1
		for i, a := range c.accounts {
			if positions[i] >= a.queue.Len() || a.queue.Rank(positions[i]).Tier > maxTier {
				continue
			}
			if neediest < 0 || c.chargeBeyondGuarantee(a)*c.accounts[neediest].weight < c.chargeBeyondGuarantee(c.accounts[neediest])*a.weight {
				neediest = i
			}
		}
		if neediest < 0 {
			return
		}
		positions[neediest] = c.placeNext(c.accounts[neediest], positions[neediest], maxTier)
	}
}

// placeNext places the first job of the account that fits, from position i of its queue
// on and with a tier up to maxTier. It returns the position at which to continue.
func (c *Core) placeNext(a *account, i int, maxTier queue.Tier) int {
	for ; i < a.queue.Len() && a.queue.Rank(i).Tier <= maxTier; i++ {
		j := a.queue.At(i)
		if j.fitsLikeClass() && j.class.noBorrowingFit == c.version {
			continue
		}
		if !c.withinQuota(j) {
			continue
		}
		if c.placeExempt(j) || !j.needsAccels() && c.placeGuaranteed(j) || c.placeBorrowing(j) || c.placeQuick(j) {
			return i
		}
		if j.fitsLikeClass() {
			j.class.noBorrowingFit = c.version
		}
	}
	return i
}

// placeQuick places a quick job by stopping borrowers of the same account that are of a
// slower tier. It reports whether the job was placed.
func (c *Core) placeQuick(j *liveJob) bool {
	if j.rank.Tier != queue.Quick {
		return false
	}
	slower := func(v *liveJob) bool {
		return v.acct == j.acct && v.mode == modeBorrowing && v.spec().Stoppable() && v.rank.Tier > queue.Quick
	}
	return c.placePreempting(j, slower, CauseReclaim)
}

// placeUrgent places an urgent job wherever it may run, and stops less urgent jobs if
// necessary. It reports whether the job was placed.
func (c *Core) placeUrgent(j *liveJob) bool {
	if j.fitsLikeClass() && j.class.noUrgentFit == c.version {
		return false
	}
	lessUrgent := func(v *liveJob) bool { return !v.urgent() && v.spec().Stoppable() }
	placed := c.placeExempt(j) || c.placeGuaranteed(j) || c.placeBorrowing(j) ||
		c.placeGuaranteedPreempting(j, func(v *liveJob) bool { return lessUrgent(v) && v.acct == j.acct }, CauseReclaim) ||
		c.placePreempting(j, func(v *liveJob) bool { return lessUrgent(v) && v.mode != modeGuaranteed }, CauseReclaim)
	if !placed && j.fitsLikeClass() {
		j.class.noUrgentFit = c.version
	}
	return placed
}

// eligible reports whether the job may be placed on the worker. It may not if the job
// has failed there, if the worker has refused a reservation less than Options.Cooldown
// ago, or if the worker is reserved for a large gang, except for urgent and quick jobs.
// The worker has to be usable or open for a probe by the job.
func (c *Core) eligible(n *node, j *liveJob) bool {
	if len(j.failed) > 0 && slices.Contains(j.failed, n.Name) {
		return false
	}
	if c.now < n.coolUntil {
		return false
	}
	if id, taken := c.reservedFor[n.Name]; taken && id != j.id && j.rank.Tier > queue.Quick {
		return false
	}
	return n.Usable || c.mayProbe(n, j)
}

// mayProbe reports whether the job may be placed on a quarantined worker as a probe.
// Only idempotent jobs of a single task that are not urgent are used as probes.
func (c *Core) mayProbe(n *node, j *liveJob) bool {
	return !n.leaving && !n.gone && j.spec().Idempotent && !j.urgent() && j.tasks() == 1 && c.tracker.MayProbe(c.now, n.Name)
}

// idleCellsSuffice reports whether the number of idle cells is large enough for the
// job. It is a quick check that does not look at each worker, and returns true if it
// cannot tell.
func (c *Core) idleCellsSuffice(j *liveJob) bool {
	size := j.spec().Shape.Accelerators
	if size == 0 || len(c.reservedFor) > 0 {
		return true
	}
	return c.space.Idle.Formable(floorPowerOfTwo(size)) >= j.tasks() || c.tracker.NextCheck(-1) != 0
}

// floorPowerOfTwo returns the largest power of two that is at most n.
func floorPowerOfTwo(n int) int {
	f := 1
	for 2*f <= n {
		f *= 2
	}
	return f
}

// freeAfterPreempting returns the resources of the worker that are free once the jobs
// for which preemptible is true have been stopped. Jobs that are already being stopped
// count as gone.
func freeAfterPreempting(n *node, preemptible func(*liveJob) bool) job.Resources {
	free := n.Free
	for _, v := range n.jobs {
		if v.stopping != "" || v.record.State != job.Waiting && preemptible(v) {
			free = free.Add(v.usedOn(n))
		}
	}
	return free
}

// tasksThatFit returns how many of the job's tasks fit on the worker without stopping
// another job.
func tasksThatFit(n *node, j *liveJob) int { return cell.Fit(j.taskNeeds(), n.Free, j.tasks()) }
