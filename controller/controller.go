// Package controller runs the jobs of an installation while this instance leads it:
// it keeps the state of jobs and workers, has a plan made after each change, records
// what it is about to order, gives the orders and records the ends.
//
// All state belongs to one goroutine; calls to the store and to workers run beside it
// and post their results back.
//
// # Usage
//
//	c := controller.New(controller.Options{Store: store, Workers: workers, Board: b, Term: e.Term})
//	c.Lead(term) // from the election
//	c.Lose()
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
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/mirror"
	"github.com/chestnutsail/chestnutsail/peak"
	"github.com/chestnutsail/chestnutsail/site"
)

// Store is what a controller needs of the store.
type Store interface {
	mirror.Store
	Commit(ctx context.Context, ops []kv.Op) (uint64, error)
	Get(ctx context.Context, key string) (kv.Entry, error)
	List(ctx context.Context, prefix string) ([]kv.Entry, uint64, error)
}

// Workers gives orders to workers. An error other than Absent means that an order may
// have been carried out.
type Workers interface {
	Start(ctx context.Context, w agent.Worker, o agent.Order) (agent.Verdict, clock.Millis, error)
	Stop(ctx context.Context, w agent.Worker, task agent.Task, run int, fence uint64) error
	Hold(ctx context.Context, w agent.Worker, h agent.Hold) (agent.Look, error)
}

// Limits are the installation's bounds in milliseconds.
type Limits struct {
	// Lease is the longest lease that a worker grants.
	Lease clock.Millis
	// Stop is how long a worker takes to stop a run.
	Stop clock.Millis
	// Restore is how long a start takes to resume from a checkpoint.
	Restore clock.Millis
	// Beat is the time between two heartbeats of a worker.
	Beat clock.Millis
	// Retention is how long a finished job is kept.
	Retention clock.Millis
}

// Options configures a Controller.
type Options struct {
	Store   Store
	Workers Workers
	Board   *board.Board
	// Prefix begins the store's keys of workers, Decode reads their values.
	Prefix string
	Decode func(key string, raw []byte) (agent.Worker, error)
	// Term returns the term and whether the leadership is sure to be alive.
	Term func() (uint64, bool)
	// PageTimeout bounds the reading of one page of the jobs' keys, in milliseconds; 0
	// means storeTimeout.
	PageTimeout clock.Millis
	// Heard returns the age in milliseconds of the last change that the watch of jobs
	// brought; nil means that the watch is never silent.
	Heard func() clock.Millis
	// Config returns the configuration in force.
	Config func() *site.Config
	// Limits returns the bounds in force.
	Limits   func() Limits
	Clock    *clock.Clock
	Counters *counters.Counters
	Log      *logrus.Entry
}

const (
	// planGap is the least time in milliseconds between two plans, planRest how many times
	// as long as the last plan took it is: a leader has to answer callers and workers, too.
	planGap  = 15 * clock.Millisecond
	planRest = 4
	// tickPeriod is the time between two looks at what only time changes.
	tickPeriod = 100 * clock.Millisecond
	// storeTimeout bounds one call of the store.
	storeTimeout = 1200 * clock.Millisecond
	// retryPause is the time before a failed call is made again.
	retryPause = 150 * clock.Millisecond
	// mailboxSize is the number of results that may wait for the goroutine of the state.
	mailboxSize = 1024
)

// Controller runs the jobs while it leads.
type Controller struct {
	opts   Options
	events chan func()
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup

	// The rest belongs to the goroutine of the state.
	term    uint64
	led     clock.Millis
	ready   bool
	listed  bool
	jobs    map[string]*job
	nodes   map[string]*node
	servers *mirror.Mirror
	dirty   map[*job]bool
	// flushing tells that a write of progress is under way.
	flushing bool
	// resting is when progress may be written again after a failure.
	resting  clock.Millis
	wantPlan bool
	planned  clock.Millis
	// gap is the time in milliseconds from one plan to the next.
	gap clock.Millis
	// explained is when a plan last told why units wait that have room.
	explained clock.Millis
	// cut are the failure domains that do not answer.
	cut map[string]bool
	// demand is the recent peak of accelerators asked for by urgent work, by service.
	demand map[string]*peak.Peak
	// polling tells that notices are being read.
	polling bool
	// orders are starts that wait for their turn; sending counts those under way.
	orders  []func()
	sending int
	// first tells that no order was given in this term yet.
	first bool
}

// New returns a controller that waits to lead.
func New(opts Options) *Controller {
	if opts.PageTimeout == 0 {
		opts.PageTimeout = storeTimeout
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{opts: opts, events: make(chan func(), mailboxSize), ctx: ctx, cancel: cancel}
	opts.Board.Watch(func(v board.View) { c.hint(func() { c.noticed(v) }) })
	c.done.Go(c.run)
	return c
}

// Lead begins to run the jobs under a term.
func (c *Controller) Lead(term uint64) { c.post(func() { c.lead(term) }) }

// Lose ends it.
func (c *Controller) Lose() { c.post(c.lose) }

// Stop ends the controller.
func (c *Controller) Stop(context.Context) error {
	c.cancel()
	c.done.Wait()
	return nil
}

func (c *Controller) post(f func()) {
	select {
	case c.events <- f:
	case <-c.ctx.Done():
	}
}

// hint posts f without ever blocking, since it may be called by the goroutine of the
// state itself. Its order among other events does not matter.
func (c *Controller) hint(f func()) {
	select {
	case c.events <- f:
	default:
		go c.post(f)
	}
}

// run is the goroutine of the state.
func (c *Controller) run() {
	ticker := clock.NewTicker(tickPeriod)
	defer ticker.Stop()
	plan := time.NewTimer(time.Hour)
	defer plan.Stop()
	for {
		select {
		case <-c.ctx.Done():
			c.lose()
			return
		case f := <-c.events:
			f()
			c.catchUp()
		case <-ticker.C:
			c.tick()
		case <-plan.C:
		}
		if c.term == 0 || !c.ready {
			continue
		}
		if c.wantPlan {
			if wait := c.planned + c.gap - c.opts.Clock.Now(); wait > 0 {
				plan.Reset(wait.Duration())
			} else {
				c.plan()
			}
		}
		c.flush()
	}
}

// catchUp handles the results that have come in meanwhile.
func (c *Controller) catchUp() {
	for range mailboxSize {
		select {
		case f := <-c.events:
			f()
		default:
			return
		}
	}
}

// acts reports whether orders may be given.
func (c *Controller) acts() bool {
	term, sure := c.opts.Term()
	return sure && term == c.term && c.term != 0
}

func (c *Controller) lead(term uint64) {
	c.lose()
	c.term, c.led, c.first = term, c.opts.Clock.Now(), true
	c.jobs = make(map[string]*job)
	c.nodes = make(map[string]*node)
	c.dirty = make(map[*job]bool)
	c.cut = nil
	c.demand = make(map[string]*peak.Peak)
	c.load(term)
	c.servers = mirror.New(mirror.Options{
		Store: c.opts.Store, Prefix: c.opts.Prefix, Clock: c.opts.Clock, Log: c.opts.Log,
		Gap:     func() clock.Millis { return serversGap },
		Replace: func(entries []kv.Entry) { c.post(func() { c.onTerm(term, func() { c.replaceNodes(entries) }) }) },
		Apply:   func(changes []kv.Change) { c.post(func() { c.onTerm(term, func() { c.applyNodes(changes) }) }) },
	})
}

// serversGap is the least time in milliseconds between two answers of the watch of workers.
const serversGap = 250 * clock.Millisecond

// Retries returns the name of the counter of calls that are made again for a reason.
func Retries(reason string) string {
	return `chestnutsail_retries_total{reason="` + reason + `"}`
}

// retried counts a call that is made again.
func (c *Controller) retried(reason string) { c.opts.Counters.Counter(Retries(reason)).Inc() }

// onTerm runs f unless the term has passed.
func (c *Controller) onTerm(term uint64, f func()) {
	if c.term == term {
		f()
	}
}

func (c *Controller) lose() {
	if c.term == 0 {
		return
	}
	if c.servers != nil {
		// Its goroutine may be about to post to this one, so there is no waiting for it.
		c.servers.Cancel()
	}
	c.opts.Log.WithField("term", c.term).Info("controller: no longer leading")
	c.term, c.ready, c.listed, c.flushing, c.wantPlan, c.polling = 0, false, false, false, false, false
	c.jobs, c.nodes, c.dirty, c.servers, c.orders, c.sending = nil, nil, nil, nil, nil, 0
}

// load reads all jobs, which other leaders may have changed since the last event here.
func (c *Controller) load(term uint64) {
	go func() {
		entries, _, err := kv.ListAll(c.ctx, c.opts.Store, board.Prefix, "", c.opts.PageTimeout)
		if err != nil {
			c.opts.Log.WithError(err).WithField("term", term).Warn("controller: jobs not loaded")
			clock.Sleep(c.ctx, retryPause)
			c.post(func() { c.onTerm(term, func() { c.load(term) }) })
			return
		}
		c.post(func() { c.onTerm(term, func() { c.loaded(entries) }) })
	}()
}

func (c *Controller) loaded(entries []kv.Entry) {
	c.opts.Board.Add(entries...)
	for _, v := range c.opts.Board.All() {
		c.adopt(v)
	}
	c.ready = true
	c.opts.Log.WithFields(logrus.Fields{
		"term": c.term, "jobs": len(c.jobs), "took_ms": int64(c.opts.Clock.Now() - c.led),
	}).Info("controller: jobs loaded")
	c.settle()
	c.wantPlan = true
}

// settle matches what was recorded with the workers once both are known.
func (c *Controller) settle() {
	if !c.ready || !c.listed {
		return
	}
	for _, j := range c.jobs {
		c.place(j)
	}
	for _, n := range c.nodes {
		c.look(n)
	}
}

// noticed takes a new record or a cancellation.
func (c *Controller) noticed(v board.View) {
	if c.term == 0 || !c.ready || v.Record == nil {
		return
	}
	j := c.jobs[v.ID]
	if j == nil {
		c.adopt(v)
		c.wantPlan = true
		return
	}
	if v.Cancelled && !j.cancelled {
		c.cancelJob(j)
	}
}

// tick looks at what only time changes.
func (c *Controller) tick() {
	if c.term == 0 || !c.ready {
		return
	}
	now := c.opts.Clock.Now()
	for _, n := range c.nodes {
		c.checkNode(n, now)
	}
	c.recordBegun(now)
	c.expire(now)
	c.poll(now)
	c.wantPlan = true
}
