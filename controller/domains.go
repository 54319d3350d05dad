package controller

import (
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
)

const (
	// overdueTime is how late an answer to a look has to be to count against a worker's
	// failure domain; an answer takes a few milliseconds.
	overdueTime = 300 * clock.Millisecond
	// domainSilence is the time without a sign of life from a failure domain, some of whose
	// answers are overdue, after which it takes no new work.
	domainSilence = 400 * clock.Millisecond
	// witnesses is the number of workers whose answers are overdue that it takes, since one
	// may have failed by itself.
	witnesses = 3
)

// contact is what is known of the connection to one failure domain.
type contact struct {
	workers int
	overdue int
	heard   clock.Millis
}

// silent reports whether a failure domain is taken to be cut off.
func (d *contact) silent(now clock.Millis) bool {
	return d.overdue >= min(witnesses, d.workers) && now-d.heard > domainSilence
}

// overdue reports whether a worker owes an answer.
func (n *node) overdue(now clock.Millis) bool {
	return n.failing || (n.looking && now > n.due+overdueTime)
}

// cutOff returns the failure domains that do not answer. A single worker is known to be
// silent only after its own call has timed out; orders to the others of a domain that is
// cut off would be lost until then.
func (c *Controller) cutOff(now clock.Millis) map[string]bool {
	contacts := make(map[string]*contact)
	for _, n := range c.nodes {
		if !n.listed {
			continue
		}
		d := contacts[n.w.Domain]
		if d == nil {
			d = &contact{}
			contacts[n.w.Domain] = d
		}
		d.workers++
		d.heard = max(d.heard, n.heard)
		if n.overdue(now) {
			d.overdue++
		}
	}
	cut := make(map[string]bool, len(contacts))
	for name, d := range contacts {
		cut[name] = d.silent(now)
		if cut[name] != c.cut[name] {
			c.opts.Log.WithFields(logrus.Fields{
				"domain": name, "cut": cut[name], "workers": d.workers, "overdue": d.overdue, "heard_ms_ago": int64(now - d.heard),
			}).Warn("controller: contact to a failure domain changed")
		}
	}
	c.cut = cut
	return cut
}

// isWitness reports whether a worker is looked at only because others of its failure domain
// do not answer: if it does, the domain is not cut off.
func (c *Controller) isWitness(n *node, now clock.Millis) bool {
	return c.cut[n.w.Domain] && n.listed && !n.failing && now-n.heard > domainSilence
}
