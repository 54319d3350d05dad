package controller

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/agent"
	"github.com/chestnutsail/chestnutsail/clock"
)

// Hosts reads the platform's list of the hosts on which workers run.
type Hosts interface {
	List(ctx context.Context) ([]agent.Host, error)
}

const (
	// hostListInterval is the minimum time in milliseconds between two lists of the hosts.
	hostListInterval = 400 * clock.Millisecond
	// hostListTimeout is the timeout of a list.
	hostListTimeout = clock.Second
	// overdueTime is how long in milliseconds an answer to a poll may be overdue before the worker counts as
	// silent.
	overdueTime = 300 * clock.Millisecond
	// absentLists is the number of lists in a row without a worker after which it counts as ended although
	// its host is not known: the pages of a list are not a snapshot.
	absentLists = 2
)

// liveness is what a list of the hosts tells of a worker.
type liveness string

const (
	// alive workers run on a host.
	alive liveness = "alive"
	// absent workers are on no host of the list, and neither is the host that they ran on.
	absent liveness = "absent"
	// down workers have ended, and nothing else runs on their host. They may start again under their ID.
	down liveness = "down"
	// replaced workers have ended for good: another worker runs on their host.
	replaced liveness = "replaced"
)

// livenessOf returns what a list of the hosts tells of a worker.
func livenessOf(w agent.Worker, id string, hosts []agent.Host) liveness {
	found := absent
	for _, h := range hosts {
		switch {
		case h.Worker == id:
			return alive
		case h.Worker == "" && (h.Name == w.Host || w.Host == ""):
			// If the worker's host is not known, it may be any host without a worker.
			found = down
		case h.Name == w.Host:
			found = replaced
		}
	}
	return found
}

// listHosts lists the hosts while a worker with runs is silent, since a worker that has ended can't say so.
func (c *Controller) listHosts(now clock.Millis) {
	if c.opts.Hosts == nil || c.listingHosts || now < c.nextHostList || !c.hasSilentWorker(now) {
		return
	}
	c.listingHosts, c.nextHostList = true, now+hostListInterval
	term := c.term
	c.opts.Counters.Counter("chestnutsail_host_lists_total").Inc()
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, hostListTimeout.Duration())
		defer cancel()
		hosts, err := c.opts.Hosts.List(ctx)
		c.post(func() {
			c.runInTerm(term, func() {
				c.listingHosts = false
				if err != nil {
					c.countRetry("hosts")
					c.opts.Log.WithError(err).Warn("controller: hosts not listed")
					return
				}
				c.onHostsListed(hosts, now)
			})
		})
	}()
}

func (c *Controller) hasSilentWorker(now clock.Millis) bool {
	for _, n := range c.nodes {
		if n.isSilent(now) {
			return true
		}
	}
	return false
}

// isSilent reports whether a worker on which runs are expected does not answer.
func (n *node) isSilent(now clock.Millis) bool {
	if len(n.runs) == 0 && len(n.unknownRuns) == 0 {
		return false
	}
	return n.failing || n.worker.Address == "" || (n.polling && now > n.pollDue+overdueTime)
}

// onHostsListed handles a list of the hosts that was requested at the time sent.
func (c *Controller) onHostsListed(hosts []agent.Host, sent clock.Millis) {
	for _, n := range c.nodes {
		if !n.isSilent(sent) || n.lastAnswer >= sent {
			n.liveness, n.absences = "", 0
			continue
		}
		l := livenessOf(n.worker, n.id, hosts)
		if l == absent {
			n.absences++
		} else {
			n.absences = 0
		}
		if l != n.liveness {
			n.liveness = l
			c.opts.Counters.Counter(`chestnutsail_silent_workers_total{liveness="` + string(l) + `"}`).Inc()
			c.opts.Log.WithFields(logrus.Fields{"worker": n.id, "liveness": string(l), "runs": len(n.runs), "silent_ms": int64(sent - n.lastAnswer), "listed": n.listed}).Info("controller: list of hosts tells of a silent worker")
		}
		switch {
		case l == replaced, l == absent && n.absences >= absentLists:
			c.removeEndedRuns(n, func(*run) bool { return true })
			clear(n.unknownRuns)
			clear(n.strayOrders)
		case l == down:
			c.removeEndedRuns(n, func(r *run) bool { return r.endedWithWorker(sent) })
		}
	}
}

// endedWithWorker reports whether a run whose worker had ended at the time sent can't begin again: a worker that
// starts again under its ID would carry out a copy of the order that is still under way. An earlier leader may
// have been replaced before it recorded that there is one.
func (r *run) endedWithWorker(sent clock.Millis) bool {
	if r.orderUnanswered() {
		return !r.copyMayBeLate(sent)
	}
	return r.firstSeen != 0 && !r.adopted && r.stateSince < sent
}

// removeEndedRuns removes the runs of a worker that has ended, if they have certainly ended with it.
func (c *Controller) removeEndedRuns(n *node, hasEnded func(*run) bool) {
	n.failing = true
	for r := range n.runs {
		if hasEnded(r) {
			c.removeRun(r, agent.LeaseExpired, workerEnded, "")
		}
	}
}
