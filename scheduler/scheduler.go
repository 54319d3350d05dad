// Package scheduler decides which job runs where. It does no I/O, starts no goroutine
// and reads no clock, so the same events give the same actions in production, in a
// replay and in a benchmark.
//
// A core schedules the jobs of one failure domain. A job runs either within its
// account's guarantee, in cells bound to that account, or as a borrower on whatever is
// free, which only a job that can be stopped may do. Whatever the borrowers occupy, the
// cells guaranteed to all accounts can still be formed by stopping borrowers;
// docs/design/guarantees.md describes how.
//
// # Usage
//
//	c := scheduler.New(scheduler.Options{})
//	for _, a := range c.Step(now, scheduler.Event{Kind: scheduler.Submit, Record: r}) {
//		// carry out a, and report the result as events
//	}
package scheduler

import (
	"fmt"

	"github.com/chestnutsail/chestnutsail/cell"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/guarantee"
	"github.com/chestnutsail/chestnutsail/quarantine"
	"github.com/chestnutsail/chestnutsail/queue"
	"github.com/chestnutsail/chestnutsail/text"
)

// Options configures a Core. The zero value is ready to use.
type Options struct {
	// Domain is the failure domain; "" means the domain of the first worker.
	Domain string `json:"domain,omitempty"`
	// CheckpointGrace is the time in milliseconds that a job gets to write a checkpoint
	// before it is stopped; 0 means 3 s.
	CheckpointGrace clock.Millis `json:"grace,omitempty"`
	// LargeGangWait is the time in milliseconds for which a large gang waits before
	// borrowers are stopped to make room for it; 0 means 10 min.
	LargeGangWait clock.Millis `json:"wait,omitempty"`
	// MinLargeAccels is the smallest number of accelerators at which a job counts as
	// large; 0 means 8.
	MinLargeAccels int `json:"large,omitempty"`
	// MaxFailedWorkers is the number of different workers on which an idempotent job
	// may fail before it ends as failed; 0 means 3. A job also ends after twice as many
	// failures in total.
	MaxFailedWorkers int `json:"failures,omitempty"`
	// Cooldown is the time in milliseconds for which a worker gets no new jobs after it
	// has refused a reservation; 0 means 1 s.
	Cooldown   clock.Millis       `json:"cooldown,omitempty"`
	Quarantine quarantine.Options `json:"quarantine"`
}

const (
	defaultCheckpointGrace  = 3 * clock.Second
	defaultLargeGangWait    = 10 * clock.Minute
	defaultMinLargeAccels   = 8
	defaultMaxFailedWorkers = 3
	defaultCooldown         = clock.Second
)

// Core is the scheduler of one failure domain. It is not safe for concurrent use.
type Core struct {
	opts    Options
	now     clock.Millis
	seq     int64
	text    *text.Text
	actions []Action

	space         *cell.Space
	ledger        *guarantee.Ledger
	nodes         map[string]*node
	accounts      []*account
	accountByName map[string]*account
	jobs          map[string]*liveJob
	planned       []*liveJob
	reservedFor   map[string]string
	fitClasses    map[fitClassKey]*fitClass
	tracker       *quarantine.Tracker
	history       queue.History
	// demand counts the cells that waiting jobs need. planned lists the jobs that hold
	// their resources but wait for other jobs to be stopped, in the order in which they
	// became known. reservedFor maps the name of a reserved worker to the ID of the
	// large gang for which it is reserved.
	demand cell.Counts
	// version is increased whenever a job may fit that did not fit before. nextCheck is
	// the next time at which version has to be increased without an event, or 0.
	version   int64
	nextCheck clock.Millis
}

// New returns a core that knows no workers and no jobs.
func New(opts Options) *Core {
	opts.CheckpointGrace = orDefault(opts.CheckpointGrace, defaultCheckpointGrace)
	opts.LargeGangWait = orDefault(opts.LargeGangWait, defaultLargeGangWait)
	opts.MinLargeAccels = orDefault(opts.MinLargeAccels, defaultMinLargeAccels)
	opts.MaxFailedWorkers = orDefault(opts.MaxFailedWorkers, defaultMaxFailedWorkers)
	opts.Cooldown = orDefault(opts.Cooldown, defaultCooldown)
	space := cell.NewSpace()
	return &Core{
		opts:          opts,
		space:         space,
		ledger:        guarantee.NewLedger(space, nil),
		nodes:         make(map[string]*node),
		accountByName: make(map[string]*account),
		jobs:          make(map[string]*liveJob),
		reservedFor:   make(map[string]string),
		fitClasses:    make(map[fitClassKey]*fitClass),
		tracker:       quarantine.New(opts.Quarantine),
		version:       1,
	}
}

func orDefault[T comparable](value, def T) T {
	var zero T
	if value == zero {
		return def
	}
	return value
}

// Step applies one event at the time now and returns the actions to carry out, in
// order. A result that does not match the job's current attempt is ignored. The time
// never goes back: if now is earlier than in a previous call, the latest time so far is
// used. Step panics if the kind of the event is unknown or the event lacks a field that
// its kind needs.
func (c *Core) Step(now clock.Millis, e Event) []Action {
	if !e.Valid() {
		panic(fmt.Sprintf("scheduler: event of kind %q is unknown or lacks a field", e.Kind))
	}
	c.actions, c.now = nil, max(now, c.now)
	if e.Kind == Load {
		c.load(*e.State)
		return c.actions
	}
	c.apply(e)
	if c.nextCheck != 0 && c.now >= c.nextCheck {
		c.endOverdueQuarantines()
		c.version++
		c.nextCheck = c.nextCheckTime()
	}
	c.decide()
	return c.actions
}

// apply updates the state of the core by the event.
func (c *Core) apply(e Event) {
	switch e.Kind {
	case Submit:
		c.submit(*e.Record)
	case Cancel:
		c.cancel(e.ID)
	case WorkerUp:
		c.workerUp(*e.Node)
	case WorkerLeaving:
		c.workerLeaving(e.Worker)
	case WorkerGone:
		c.workerGone(e.Worker)
	case Text:
		c.text = e.Text
		c.rebuild()
	case Tick:
	default:
		c.handleResult(e)
	}
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }
