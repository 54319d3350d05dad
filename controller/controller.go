// Package controller runs the jobs of an installation while this instance is the leader.
// It keeps the state of jobs and workers in memory, makes a plan after each change,
// records the planned runs in the store before it orders the workers to start them, and
// records how the runs end.
//
// One goroutine, the event loop, owns all state. Calls to the store and to workers run in
// goroutines of their own, which post their results to the event loop.
//
// # Usage
//
//	c := controller.New(controller.Options{Store: s, Workers: w, Board: b, Term: e.Term})
//	c.StartLeading(term) // called by the election
//	c.StopLeading()
//	c.Stop(ctx)
package controller

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/agent"
	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/counters"
	"github.com/chestnutsail/chestnutsail/estimate"
	"github.com/chestnutsail/chestnutsail/evacuation"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/mirror"
	"github.com/chestnutsail/chestnutsail/peak"
	"github.com/chestnutsail/chestnutsail/site"
)

// Store is the part of the store's API that a controller uses.
type Store interface {
	mirror.Store
	Commit(ctx context.Context, ops []kv.Op) (uint64, error)
	Get(ctx context.Context, key string) (kv.Entry, error)
	List(ctx context.Context, prefix string) ([]kv.Entry, uint64, error)
}

// Workers sends requests to workers. After an error other than agent.ErrAbsent, agent.ErrNotSent and
// agent.ErrReplaced, the worker may have carried the request out.
//
// Start orders a run to start and returns the worker's verdict and clock. Stop stops a run and
// makes the worker reject a later order to start it. Renew renews the lease of all runs on a
// worker. It returns the runs that are present there and the ended runs that are not acknowledged
// yet.
type Workers interface {
	Start(ctx context.Context, w agent.Worker, o agent.Order) (agent.Verdict, clock.Millis, error)
	Stop(ctx context.Context, w agent.Worker, task agent.Task, run int, fence uint64) error
	Renew(ctx context.Context, w agent.Worker, r agent.Renewal) (agent.Report, error)
}

// Limits are the limits of the installation. Times are in milliseconds.
type Limits struct {
	// MaxValue is the largest size in bytes of a value in the store; 0 means kv.MaxValue.
	MaxValue int
	// Lease is the longest lease that a worker grants.
	Lease clock.Millis
	// Stop is the longest time that a worker takes to stop a run.
	Stop clock.Millis
	// Restore is the longest time that a run takes to resume from a checkpoint.
	Restore clock.Millis
	// ReportInterval is the time between two entries that a worker writes; 0 if it is not known.
	ReportInterval clock.Millis
	// Retention is how long the state of a finished job is kept; 0 keeps it forever.
	Retention clock.Millis
}

// Options configures a Controller.
type Options struct {
	Store   Store
	Workers Workers
	// Hosts lists the workers' hosts; nil means that there is no such list.
	Hosts Hosts
	Board *board.Board
	// Prefix is the prefix of the store's keys of workers. Decode decodes their values.
	Prefix string
	Decode func(key string, raw []byte) (agent.Worker, error)
	// Term returns the current term, and whether this instance certainly still leads.
	Term func() (uint64, bool)
	// LeaderTTL is how long in milliseconds an earlier leader may go on believing that it leads after
	// this one was elected; 0 means that it does not.
	LeaderTTL clock.Millis
	// PageTimeout is the timeout in milliseconds for reading one page of the jobs' keys; 0
	// means storeTimeout.
	PageTimeout clock.Millis
	// SinceStoreChange returns the time in milliseconds since the watch of the jobs' keys last
	// delivered a change. If it is nil, the watch is taken to be reliable and notices are
	// never read.
	SinceStoreChange func() clock.Millis
	// ShareEnds makes ends of jobs known that the store does not record. It must not block; nil
	// means that ends are not shared.
	ShareEnds func(term uint64, ends []board.End)
	// Evacuations holds the requests to evacuate failure domains; nil means that there are none. The keys of the
	// requests in the store consist of EvacuationsPrefix and the domain.
	Evacuations       *evacuation.Requests
	EvacuationsPrefix string
	// Config returns the current configuration.
	Config func() *site.Config
	// OnNewerConfig is called with the version of a newer configuration by which a job runs; nil
	// means that nothing is called.
	OnNewerConfig func(version int64)
	// Limits returns the current limits.
	Limits   func() Limits
	Clock    *clock.Clock
	Counters *counters.Counters
	Log      *logrus.Entry
}

const (
	// minPlanInterval is the minimum time in milliseconds between the starts of two plans.
	// The interval is also at least planIntervalFactor times as long as the last plan took,
	// because the leader must have time to answer callers and workers, too.
	minPlanInterval    = 15 * clock.Millisecond
	planIntervalFactor = 4
	// tickPeriod is the interval of the checks that depend on time alone, such as expiry.
	tickPeriod = 100 * clock.Millisecond
	// storeTimeout is the timeout of one call to the store.
	storeTimeout = 1200 * clock.Millisecond
	// retryDelay is the delay before a failed call is retried.
	retryDelay = 150 * clock.Millisecond
	// eventQueueSize is the number of events that the event loop's queue holds.
	eventQueueSize = 1024
)

// Controller runs the jobs of an installation while its instance is the leader.
type Controller struct {
	opts   Options
	events chan func()
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup

	// Only the event loop uses the fields below.

	// term is the term in which this instance leads; 0 while it doesn't.
	term          uint64
	leadingSince  clock.Millis
	jobsLoaded    bool
	workersListed bool
	jobs          map[string]*job
	nodes         map[string]*node
	workersMirror *mirror.Mirror
	// invalidEntries holds the version of each entry that was found to be no worker's, by key.
	invalidEntries map[string]uint64
	dirty          map[*job]bool
	// policyVersion is the version of the configuration whose policies the jobs have.
	policyVersion int64
	// flushing is set while progress is being written to the store. dirty holds the jobs whose
	// progress has yet to be written.
	flushing bool
	// storeRetryAt is the earliest time of the next store call after a failed one.
	storeRetryAt clock.Millis
	planNeeded   bool
	lastPlan     clock.Millis
	// planInterval is the minimum time in milliseconds from lastPlan, the start of the last plan,
	// to the start of the next one.
	planInterval clock.Millis
	// lastStuckCheck is when a plan last searched for units that wait although there is room.
	lastStuckCheck clock.Millis
	// unreachable holds, by name, whether a failure domain does not answer.
	unreachable map[string]bool
	// demandPeaks is, by service, the recent peak of the number of accelerators that urgent
	// work used or waited for.
	demandPeaks map[string]*peak.Peak
	// fleets is what is known of the speeds of the workers of each service.
	fleets fleets
	// pastUnits are the last units that have started or have become late.
	pastUnits pastUnits
	// runTimes predicts the run times of tasks, by queue.
	runTimes    *estimate.Estimator[string]
	evacuations *evacuations
	// readingNotices is set while notices are being read from the store.
	readingNotices bool
	// listingHosts is set while the hosts are being listed; nextHostList is the earliest time of the next list.
	listingHosts bool
	nextHostList clock.Millis
	// orders and stops limit the calls that start and that stop runs.
	orders callQueue
	stops  callQueue
	// firstOrderPending is set until the first order of the term is sent.
	firstOrderPending bool
}

// New returns a controller that does nothing until StartLeading is called. Stop must be called to
// release it.
func New(opts Options) *Controller {
	if opts.PageTimeout == 0 {
		opts.PageTimeout = storeTimeout
	}
	if opts.OnNewerConfig == nil {
		opts.OnNewerConfig = func(int64) {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{
		opts: opts, events: make(chan func(), eventQueueSize), ctx: ctx, cancel: cancel,
		orders: callQueue{most: maxOrdersInFlight}, stops: callQueue{most: maxStopsInFlight},
	}
	c.evacuations = c.newEvacuations()
	opts.Board.Watch(func(v board.View) { c.postAsync(func() { c.onJobChange(v) }) })
	c.done.Go(c.run)
	return c
}

// StartLeading makes the controller run the jobs as the leader of a term.
func (c *Controller) StartLeading(term uint64) { c.post(func() { c.startLeading(term) }) }

// StopLeading makes the controller stop running the jobs and discard its state. StartLeading
// may be called again.
func (c *Controller) StopLeading() { c.post(c.stopLeading) }

// Stop stops the controller and waits until its event loop has ended. The error is nil.
func (c *Controller) Stop(context.Context) error {
	c.cancel()
	c.done.Wait()
	return nil
}

func (c *Controller) post(f func()) {
	// This blocks while the queue is full, unless the controller is stopped.
	select {
	case c.events <- f:
	case <-c.ctx.Done():
	}
}

// postAsync queues f for the event loop without blocking, since the event loop itself may be
// the caller. It may run f out of order with other events.
func (c *Controller) postAsync(f func()) {
	select {
	case c.events <- f:
	default:
		go c.post(f)
	}
}

// run is the event loop.
func (c *Controller) run() {
	ticker := clock.NewTicker(tickPeriod)
	defer ticker.Stop()
	plan := time.NewTimer(time.Hour)
	defer plan.Stop()
	for {
		select {
		case <-c.ctx.Done():
			c.stopLeading()
			return
		case f := <-c.events:
			f()
			c.handleQueuedEvents()
		case <-ticker.C:
			c.tick()
		case <-plan.C:
		}
		if c.term == 0 || !c.jobsLoaded {
			continue
		}
		if c.planNeeded {
			if wait := c.lastPlan + c.planInterval - c.opts.Clock.Now(); wait > 0 {
				plan.Reset(wait.Duration())
			} else {
				c.plan()
			}
		}
		c.flush()
	}
}

// handleQueuedEvents runs the events that are already queued, at most eventQueueSize of
// them, so that one plan follows them all.
func (c *Controller) handleQueuedEvents() {
	for range eventQueueSize {
		select {
		case f := <-c.events:
			f()
		default:
			return
		}
	}
}

// leadershipConfirmed reports whether this instance certainly still leads the term under
// which the controller runs. Only then may it write to the store, give orders or renew leases.
func (c *Controller) leadershipConfirmed() bool {
	term, confirmed := c.opts.Term()
	return confirmed && term == c.term && c.term != 0
}

// runInTerm runs f if term is still the current term.
func (c *Controller) runInTerm(term uint64, f func()) {
	if c.term == term {
		f()
	}
}

// loadJobs reads all jobs from the store and retries until that succeeds. Other leaders may
// have changed the jobs since the board's last update.
func (c *Controller) loadJobs(term uint64) {
	go func() {
		entries, _, err := kv.ListAll(c.ctx, c.opts.Store, board.Prefix, "", c.opts.PageTimeout)
		if err != nil {
			c.opts.Log.WithError(err).WithField("term", term).Warn("controller: jobs not loaded")
			clock.Sleep(c.ctx, retryDelay)
			c.post(func() { c.runInTerm(term, func() { c.loadJobs(term) }) })
			return
		}
		c.post(func() { c.runInTerm(term, func() { c.onJobsLoaded(entries) }) })
	}()
}

func (c *Controller) onJobsLoaded(entries []kv.Entry) {
	c.opts.Board.Add(entries...)
	for _, v := range c.opts.Board.All() {
		c.trackJob(v)
	}
	// An older list may have taken jobs from the board meanwhile.
	listed := board.New(nil)
	listed.Add(entries...)
	for _, v := range listed.All() {
		c.trackJob(v)
	}
	c.jobsLoaded = true
	c.opts.Log.WithFields(logrus.Fields{
		"term": c.term, "jobs": len(c.jobs), "stored_bytes": c.opts.Board.StoredTotal(), "took_ms": int64(c.opts.Clock.Now() - c.leadingSince),
	}).Info("controller: jobs loaded")
	c.reconcile()
	c.planNeeded = true
}

// reconcile compares the recorded runs with the workers: it restores the runs and polls all
// workers. It does nothing until both the jobs and the workers are known.
func (c *Controller) reconcile() {
	if !c.jobsLoaded || !c.workersListed {
		return
	}
	for _, j := range c.jobs {
		c.restoreRuns(j)
	}
	for _, n := range c.nodes {
		c.poll(n)
	}
}

// onJobChange handles a change of a job on the board: a new job or a cancellation.
func (c *Controller) onJobChange(v board.View) {
	if c.term == 0 || !c.jobsLoaded || v.Record == nil {
		return
	}
	j := c.jobs[v.ID]
	if j == nil {
		c.trackJob(v)
		c.planNeeded = true
		return
	}
	if v.Cancelled && !j.cancelled {
		c.cancelJob(j)
	}
}

// tick does the checks that depend on time alone.
func (c *Controller) tick() {
	if c.term == 0 || !c.jobsLoaded {
		return
	}
	now := c.opts.Clock.Now()
	c.adoptPolicies()
	for _, n := range c.nodes {
		c.checkNodeTimeouts(n, now)
	}
	c.updateFleets(now)
	c.listHosts(now)
	c.recordJobStarts(now)
	c.shareUnrecordedEnds(now)
	c.deleteExpiredJobs(now)
	c.readNotices(now)
	c.checkEvacuations()
	c.planNeeded = true
}
