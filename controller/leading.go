package controller

import (
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/estimate"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/mirror"
	"github.com/chestnutsail/chestnutsail/peak"
)

func (c *Controller) startLeading(term uint64) {
	c.stopLeading()
	c.term, c.leadingSince, c.firstOrderPending = term, c.opts.Clock.Now(), true
	c.jobs = make(map[string]*job)
	c.nodes = make(map[string]*node)
	c.invalidEntries = make(map[string]uint64)
	c.dirty, c.pastUnits = make(map[*job]bool), nil
	c.unreachable, c.policyVersion = nil, 0
	c.demandPeaks, c.fleets = make(map[string]*peak.Peak), newFleets()
	c.runTimes = estimate.New[string]()
	c.loadJobs(term)
	c.listEvacuations(term)
	c.workersMirror = mirror.New(mirror.Options{
		Store: c.opts.Store, Prefix: c.opts.Prefix, Clock: c.opts.Clock, Log: c.opts.Log,
		MinInterval: func() clock.Millis { return workersWatchInterval },
		Replace:     func(entries []kv.Entry) { c.post(func() { c.runInTerm(term, func() { c.replaceNodes(entries) }) }) },
		Apply:       func(changes []kv.Change) { c.post(func() { c.runInTerm(term, func() { c.applyNodes(changes) }) }) },
	})
}

func (c *Controller) stopLeading() {
	if c.term == 0 {
		return
	}
	if c.workersMirror != nil {
		// Don't wait for the mirror's goroutine: it may be blocked in a post to this event loop.
		c.workersMirror.Cancel()
	}
	c.opts.Log.WithField("term", c.term).Info("controller: no longer leading")
	// Calls in flight are not cancelled. Their results are ignored because the term is over.
	c.term, c.jobsLoaded, c.workersListed, c.flushing, c.planNeeded, c.readingNotices, c.listingHosts = 0, false, false, false, false, false, false
	c.jobs, c.nodes, c.dirty, c.workersMirror = nil, nil, nil, nil
	c.orders.clear()
	c.stops.clear()
	c.evacuations.reset()
	c.clearSpeedCounts()
}
