package controller

import (
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/agent"
	"github.com/chestnutsail/chestnutsail/clock"
)

const (
	// maxRenewalSilence is the time without an answer after which a worker's lease is no
	// longer renewed. From then on the leader knows when all runs there will have ended.
	maxRenewalSilence = 1500 * clock.Millisecond
	// maxClockLag is the fraction by which a worker's clock may run slow. The workers'
	// protocol allows 2 %; the rest is a safety margin.
	maxClockLag = 0.03
	// leaseExpiryMargin is the time after the end of a lease at which the lease counts as
	// expired.
	leaseExpiryMargin = 300 * clock.Millisecond
)

// estimatedClock estimates the worker's clock, assuming that it runs at a rate relative to the
// leader's clock. A rate below 1 gives a time that the worker's clock has certainly reached.
func (n *node) estimatedClock(now clock.Millis, rate float64) clock.Millis {
	return n.clock + clock.Millis(float64(now-n.clockReadAt)*rate)
}

// nextLease returns the end, on the worker's clock, of the lease to request, and remembers it
// in leasedUntil. It returns 0 if the lease must not be renewed.
func (c *Controller) nextLease(n *node) clock.Millis {
	now := c.opts.Clock.Now()
	if n.clockReadAt == 0 || n.refusing || n.tooSilent(now) {
		return 0
	}
	until := n.estimatedClock(now, 1) + c.opts.Limits().Lease
	n.leasedUntil = max(n.leasedUntil, until)
	return until
}

// tooSilent reports whether the worker has not answered for so long that its lease must no
// longer be renewed.
func (n *node) tooSilent(now clock.Millis) bool {
	return n.failing && now-n.lastAnswer > maxRenewalSilence
}

// recordAnswer notes the time of a worker's answer and the worker's clock in it, and resets the signs
// of a failure.
func (c *Controller) recordAnswer(n *node, workerClock, now clock.Millis) {
	if n.clockReadAt == 0 {
		// A lease that was requested before the clock was known ends at the latest when the longest
		// lease has passed from now.
		n.leasedUntil = workerClock + c.opts.Limits().Lease
	}
	n.clock, n.clockReadAt, n.lastAnswer, n.failing, n.refusing = workerClock, now, now, false, false
}

// leasesExpired reports whether all leases of a worker have certainly expired, so that no run
// is left there.
func (c *Controller) leasesExpired(n *node, now clock.Millis) bool {
	if n.clockReadAt == 0 {
		// The previous leader may have renewed the lease until it noticed that its term was over.
		lastRenewal := max(c.leadingSince+c.opts.LeaderTTL, n.clockLostAt)
		return now-lastRenewal > c.longestLease()
	}
	return n.estimatedClock(now, 1-maxClockLag) > n.leasedUntil+leaseExpiryMargin
}

// longestLease returns the time in milliseconds after which a lease has certainly expired, whatever was
// requested.
func (c *Controller) longestLease() clock.Millis {
	return clock.Millis(float64(c.opts.Limits().Lease)*(1+maxClockLag)) + leaseExpiryMargin
}

// expireRuns removes the runs of an unresponsive worker whose leases have expired. A run stays while a
// late order may start it again.
func (c *Controller) expireRuns(n *node, now clock.Millis) {
	n.pollAnswered = false
	expired := make([]*run, 0, len(n.runs))
	for r := range n.runs {
		if c.mayStartLate(r, now) {
			c.holdRun(r, now)
			continue
		}
		expired = append(expired, r)
	}
	if len(expired) == 0 && len(n.unknownRuns) == 0 {
		return
	}
	c.opts.Log.WithFields(logrus.Fields{"worker": n.id, "runs": len(expired), "leased": int64(n.leasedUntil), "silent_ms": int64(now - n.lastAnswer)}).Warn("controller: leases of an unresponsive worker have expired")
	clear(n.unknownRuns)
	for _, r := range expired {
		c.removeRun(r, agent.LeaseExpired, leaseExpired, "")
	}
}
