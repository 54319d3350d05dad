package controller

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/agent"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/kv"
)

// evacuations is what the leader knows of the evacuation of failure domains, beside the requests themselves.
type evacuations struct {
	// listed reports whether the requests were listed in this term.
	listed bool
	// running holds, by failure domain, the number of runs that were left there at the last check.
	running map[string]int
	// domains and runs are the numbers of evacuated failure domains and of the runs that are left there. They
	// are read by other goroutines.
	domains atomic.Int64
	runs    atomic.Int64
}

// newEvacuations returns the initial state and registers its metrics, unless there are no such requests.
func (c *Controller) newEvacuations() *evacuations {
	e := &evacuations{running: make(map[string]int)}
	if c.opts.Evacuations != nil {
		c.opts.Counters.Gauge("chestnutsail_evacuating_domains", func() float64 { return float64(e.domains.Load()) })
		c.opts.Counters.Gauge("chestnutsail_evacuating_runs", func() float64 { return float64(e.runs.Load()) })
	}
	return e
}

func (e *evacuations) reset() {
	e.listed = false
	clear(e.running)
	e.domains.Store(0)
	e.runs.Store(0)
}

// listEvacuations lists the requests to evacuate failure domains as they stand at the begin of a term, and
// retries until that succeeds. The watch of them may be behind.
func (c *Controller) listEvacuations(term uint64) {
	if c.opts.Evacuations == nil {
		return
	}
	go func() {
		entries, _, err := kv.ListAll(c.ctx, c.opts.Store, c.opts.EvacuationsPrefix, "", storeTimeout)
		if err != nil {
			c.opts.Log.WithError(err).WithField("term", term).Warn("controller: requests for evacuations not listed")
			clock.Sleep(c.ctx, retryDelay)
			c.post(func() { c.runInTerm(term, func() { c.listEvacuations(term) }) })
			return
		}
		domains := make([]string, len(entries))
		for i, e := range entries {
			domains[i] = e.Key[len(c.opts.EvacuationsPrefix):]
		}
		c.post(func() {
			c.runInTerm(term, func() {
				c.opts.Evacuations.Replace(domains)
				c.evacuations.listed, c.planNeeded = true, true
			})
		})
	}()
}

// evacuationsUnknown reports whether a failure domain may have to be evacuated without the leader's knowledge.
// Nothing may start anywhere then.
func (c *Controller) evacuationsUnknown() bool {
	return c.opts.Evacuations != nil && (!c.evacuations.listed || c.opts.Evacuations.Outdated())
}

// closedDomains returns a function that reports whether nothing may start in a failure domain now, as far as
// evacuations go.
func (c *Controller) closedDomains() func(domain string) bool {
	unknown, requested := c.evacuationsUnknown(), c.opts.Evacuations.Domains()
	return func(domain string) bool {
		_, closed := requested[domain]
		return closed || unknown
	}
}

// withholdOrder keeps back an order to a failure domain where nothing may start, and reports whether it did.
// While the requests are not known, the order waits. In an evacuated domain, a run that has not been ordered is
// removed. One whose order got no answer is stopped with its gang: a further copy might start it.
func (c *Controller) withholdOrder(r *run, order agent.Order) bool {
	reason := "evacuated"
	switch {
	case c.evacuationsUnknown():
		reason = "requests not known"
		c.retryOrder(r, order)
	case !c.opts.Evacuations.Includes(r.node.worker.Domain):
		return false
	case r.orderUnanswered():
		c.stopWithGang(r, "its failure domain is evacuated", "a failure domain of its gang is evacuated")
	default:
		c.removeUnordered(r, "its failure domain is evacuated")
	}
	c.opts.Counters.Counter(`chestnutsail_orders_withheld_total{reason="` + reason + `"}`).Inc()
	return true
}

// checkEvacuations logs and counts the evacuations that are in force at the leader, and tells when a failure
// domain is empty.
func (c *Controller) checkEvacuations() {
	requested := c.opts.Evacuations.Domains()
	if len(requested) == 0 && len(c.evacuations.running) == 0 {
		return
	}
	runs, total := c.runsIn(requested), 0
	for domain, age := range requested {
		before, known := c.evacuations.running[domain]
		fields := logrus.Fields{"domain": domain, "runs": runs[domain], "term": c.term, "known_ms": int64(age)}
		if !known {
			c.opts.Counters.Counter("chestnutsail_evacuations_total").Inc()
			c.opts.Log.WithFields(fields).Info("controller: evacuation in force")
		}
		if runs[domain] == 0 && (!known || before > 0) {
			c.opts.Log.WithFields(fields).Info("controller: evacuated domain is empty")
		}
		c.evacuations.running[domain] = runs[domain]
		total += runs[domain]
	}
	for domain, left := range c.evacuations.running {
		if _, stands := requested[domain]; !stands {
			delete(c.evacuations.running, domain)
			c.opts.Log.WithFields(logrus.Fields{"domain": domain, "runs": left, "term": c.term}).Info("controller: evacuation is over")
		}
	}
	c.evacuations.domains.Store(int64(len(requested)))
	c.evacuations.runs.Store(int64(total))
}

// runsIn returns the number of runs in each of the given failure domains, including unknown ones that are being
// stopped.
func (c *Controller) runsIn(domains map[string]clock.Millis) map[string]int {
	runs := make(map[string]int, len(domains))
	for _, n := range c.nodes {
		if _, wanted := domains[n.worker.Domain]; wanted {
			runs[n.worker.Domain] += len(n.runs) + len(n.unknownRuns)
		}
	}
	return runs
}
