package controller

import (
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
)

const (
	// maxPollDelay is how long after its expected time the answer to a poll may arrive before
	// the worker counts as overdue in its failure domain. An answer usually takes a few
	// milliseconds.
	maxPollDelay = 300 * clock.Millisecond
	// maxDomainSilence is the time without an answer from any worker of a failure domain after
	// which the domain gets no new work, provided that answers are overdue.
	maxDomainSilence = 400 * clock.Millisecond
	// minOverdueWorkers is the number of overdue workers that it takes for a failure domain to
	// count as unreachable, since a single worker may have failed by itself. In a domain with
	// fewer workers, all of them have to be overdue.
	minOverdueWorkers = 3
)

// domainContact summarizes the contact to the workers of one failure domain.
type domainContact struct {
	workers    int
	overdue    int
	lastAnswer clock.Millis
}

// isUnreachable reports whether the failure domain is assumed to be unreachable.
func (d *domainContact) isUnreachable(now clock.Millis) bool {
	return d.overdue >= min(minOverdueWorkers, d.workers) && now-d.lastAnswer > maxDomainSilence
}

// overdue reports whether a call to the worker has failed since it last answered, or its answer
// to a poll is overdue.
func (n *node) overdue(now clock.Millis) bool {
	return n.failing || (n.polling && now > n.pollDue+maxPollDelay)
}

// unreachableDomains returns, by name, whether each failure domain is unreachable, and stores
// it in c.unreachable. Without this check, each worker of an unreachable domain would be given
// orders, which are lost, until a call to that worker itself has timed out.
func (c *Controller) unreachableDomains(now clock.Millis) map[string]bool {
	contacts := make(map[string]*domainContact)
	for _, n := range c.nodes {
		if !n.listed || n.lastAnswer == 0 {
			// What has never answered gets no work, and may be an entry of another writer.
			continue
		}
		d := contacts[n.worker.Domain]
		if d == nil {
			d = &domainContact{}
			contacts[n.worker.Domain] = d
		}
		d.workers++
		d.lastAnswer = max(d.lastAnswer, n.lastAnswer)
		if n.overdue(now) {
			d.overdue++
		}
	}
	unreachable := make(map[string]bool, len(contacts))
	for name, d := range contacts {
		unreachable[name] = d.isUnreachable(now)
		if unreachable[name] != c.unreachable[name] {
			c.opts.Log.WithFields(logrus.Fields{
				"domain": name, "cut": unreachable[name], "workers": d.workers, "overdue": d.overdue, "heard_ms_ago": int64(now - d.lastAnswer),
			}).Warn("controller: reachability of a failure domain changed")
		}
	}
	c.unreachable = unreachable
	return unreachable
}

// needsDomainProbe reports whether a worker has to be polled because its failure domain counts as
// unreachable: an answer shows that the domain is reachable.
func (c *Controller) needsDomainProbe(n *node, now clock.Millis) bool {
	return c.unreachable[n.worker.Domain] && n.listed && !n.failing && now-n.lastAnswer > maxDomainSilence
}
