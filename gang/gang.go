// Package gang starts and stops the parts of one job on its workers, so that no
// part runs unless the whole runs.
//
// The start reserves on every member, records the placement (the commit point),
// starts every member throttled to zero, and lifts the throttles once all have
// confirmed. Until every lift is confirmed the members hold short leases, so a
// part that runs without the whole ends within Times.Short by itself.
//
// # Usage
//
//	g := gang.New(gang.Options{Record: r, Term: term, Agent: agents, Commit: write})
//	result := g.Start(ctx)   // Started, Refused, Lost, Broken or Stopped
//	result = g.Stop(ctx, grace)
//
// A scheduler that takes over a domain adopts the gangs it finds with Adopt.
package gang

import (
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/looplab/fsm"
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/scheduler"
	"github.com/chestnutsail/chestnutsail/worker"
)

// Agent is what a gang needs of the agent of a worker.
type Agent interface {
	Reserve(ctx context.Context, t worker.Task) (worker.Task, error)
	Start(ctx context.Context, t worker.Task) (worker.Task, error)
	Lift(ctx context.Context, t worker.Task) (worker.Task, error)
	Stop(ctx context.Context, s worker.Stop) (worker.Task, error)
	Task(ctx context.Context, id string) (worker.Task, error)
	Release(ctx context.Context, id string, attempt int) error
}

// Options configures a Gang.
type Options struct {
	// Record is the job with its attempt and members.
	Record job.Record
	Term   int64
	// Agent returns the agent of a worker, or nil when the worker is not listed.
	Agent func(name string) Agent
	// Commit records the placement on these members; nothing is started unless it returns nil.
	Commit func(ctx context.Context, members []job.Member) error
	// Foreign tells that another scheduler has recorded the placement, and so may have
	// run a member that does not answer for itself.
	Foreign bool
	// Leads reports whether the term still holds; it is asked before each step. nil means yes.
	Leads func() bool
	// Broadcast asks every entry of the domain to stop the gang's members on the workers
	// that it renews, and reports whether all of them answered. nil means there are none.
	Broadcast func(ctx context.Context, grace clock.Millis) bool
	// Orphan is the time in milliseconds for which an entry that can't be asked may go on
	// renewing the gang.
	Orphan clock.Millis
	Times  Times
	Clock  *clock.Clock
	Log    *logrus.Entry
}

// Result tells what came of a start, an adoption or a stop.
type Result struct {
	// Kind is Started, Refused, Finished, Broken, Stopped or Lost.
	Kind scheduler.EventKind
	// Worker is the member at which it failed, if any.
	Worker string
	// Committed tells that the placement may have been recorded.
	Committed bool
	// Lifted tells that a member may have run unthrottled.
	Lifted     bool
	Checkpoint string
	// Tasks are the members' tasks as last seen, in the order of the members.
	Tasks []worker.Task
	// Err is the cause of a failure.
	Err error
}

// States of a gang.
const (
	idle       = "idle"
	reserving  = "reserving"
	committing = "committing"
	starting   = "starting"
	lifting    = "lifting"
	running    = "running"
	stopping   = "stopping"
	ended      = "ended"
)

// Events of a gang.
const (
	reserve = "reserve"
	commit  = "commit"
	start   = "start"
	lift    = "lift"
	run     = "run"
	stop    = "stop"
	end     = "end"
)

var errNotListed = errors.New("worker is not listed")

var errDeposed = errors.New("the scheduler's lease has lapsed")

// errHalted ends a start because a stop was asked for.
var errHalted = errors.New("a stop was asked for")

// Gang is one attempt of one job. Start and Adopt are called at most once. It is
// safe for concurrent use.
type Gang struct {
	opts Options
	life *fsm.FSM
	halt chan struct{}
	once sync.Once
	// begun is held while Start, Adopt or Stop works.
	begun sync.Mutex

	mu        sync.Mutex
	tasks     []worker.Task
	committed bool
	lifted    bool
	// renewable tells that a member may be renewed by other entries.
	renewable bool
}

// New returns an idle gang.
func New(opts Options) *Gang {
	opts.Times = opts.Times.Filled()
	if opts.Clock == nil {
		opts.Clock = clock.New()
	}
	if opts.Leads == nil {
		opts.Leads = func() bool { return true }
	}
	if opts.Broadcast == nil {
		opts.Broadcast = func(context.Context, clock.Millis) bool { return true }
	}
	if opts.Log == nil {
		opts.Log = logrus.NewEntry(logrus.StandardLogger())
	}
	r := opts.Record
	opts.Log = opts.Log.WithFields(logrus.Fields{"job": r.Spec.ID(), "attempt": r.Attempt})
	return &Gang{
		opts: opts, halt: make(chan struct{}), tasks: make([]worker.Task, len(r.Members)),
		life: fsm.NewFSM(idle, fsm.Events{
			{Name: reserve, Src: []string{idle}, Dst: reserving},
			{Name: commit, Src: []string{reserving}, Dst: committing},
			{Name: start, Src: []string{committing, idle}, Dst: starting},
			{Name: lift, Src: []string{starting}, Dst: lifting},
			{Name: run, Src: []string{lifting, idle}, Dst: running},
			{Name: stop, Src: []string{idle, reserving, committing, starting, lifting, running}, Dst: stopping},
			{Name: end, Src: []string{stopping, running}, Dst: ended},
		}, fsm.Callbacks{}),
	}
}

// State returns the name of the gang's present state.
func (g *Gang) State() string { return g.life.Current() }

// Runs reports whether the whole gang was seen running and has not been stopped.
func (g *Gang) Runs() bool { return g.life.Is(running) }

// Wanted reports whether no stop was asked for.
func (g *Gang) Wanted() bool { return !g.halted() }

// Members returns the parts of the gang.
func (g *Gang) Members() []job.Member { return g.opts.Record.Members }

// Size returns the number of members.
func (g *Gang) Size() int { return len(g.opts.Record.Members) }

// Has reports whether a worker holds a part of the gang.
func (g *Gang) Has(worker string) bool {
	return slices.ContainsFunc(g.opts.Record.Members, func(m job.Member) bool { return m.Worker == worker })
}

// move takes the gang to its next state. It panics on a step that the life of a gang does not have.
func (g *Gang) move(event string) {
	if err := g.life.Event(context.Background(), event); err != nil {
		panic("gang: " + err.Error())
	}
}

// Start brings the gang to run as a whole, or leaves nothing of it behind.
func (g *Gang) Start(ctx context.Context) Result {
	g.begun.Lock()
	defer g.begun.Unlock()
	if g.life.Is(ended) || g.halted() {
		return g.fail(ctx, "", errHalted)
	}
	g.move(reserve)
	held := g.opts.Clock.Now()
	if name, err := g.each(ctx, g.reserve); err != nil {
		return g.fail(ctx, name, err)
	}
	g.move(commit)
	if err := g.mayGoOn(held, g.opts.Times.Hold); err != nil {
		return g.fail(ctx, "", err)
	}
	g.note(func() { g.committed = true })
	if err := g.opts.Commit(ctx, g.placed()); err != nil {
		return g.fail(ctx, "", err)
	}
	if err := g.mayGoOn(held, g.opts.Times.Hold); err != nil {
		return g.fail(ctx, "", err)
	}
	return g.launch(ctx)
}

// placed returns the members with the processes that hold their parts.
func (g *Gang) placed() []job.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	members := slices.Clone(g.opts.Record.Members)
	for i := range members {
		members[i].Incarnation = g.tasks[i].Incarnation
	}
	return members
}

// launch starts the members throttled and lifts the throttles.
func (g *Gang) launch(ctx context.Context) Result {
	g.move(start)
	begun := g.opts.Clock.Now()
	if name, err := g.each(ctx, g.start); err != nil {
		return g.fail(ctx, name, err)
	}
	if err := g.mayGoOn(begun, g.opts.Times.Short/2); err != nil {
		return g.fail(ctx, "", err)
	}
	g.move(lift)
	g.note(func() { g.lifted = true })
	if name, err := g.each(ctx, g.lift); err != nil {
		return g.fail(ctx, name, err)
	}
	g.note(func() { g.renewable = true })
	if name, err := g.each(ctx, g.confirm); err != nil {
		return g.fail(ctx, name, err)
	}
	g.move(run)
	return g.result(scheduler.Started, "", nil)
}

// mayGoOn returns an error when the span since a point in time has passed, the
// term was lost, or a stop was asked for.
func (g *Gang) mayGoOn(since, span clock.Millis) error {
	switch {
	case g.halted():
		return errHalted
	case !g.opts.Leads():
		return errDeposed
	case g.opts.Clock.Now()-since >= span:
		return context.DeadlineExceeded
	}
	return nil
}

func (g *Gang) halted() bool {
	select {
	case <-g.halt:
		return true
	default:
		return false
	}
}

// fail stops what was begun and returns what that amounts to.
func (g *Gang) fail(ctx context.Context, name string, cause error) Result {
	g.opts.Log.WithError(cause).WithField("worker", name).Info("gang: start given up")
	r := g.end(ctx, 0)
	r.Err = cause
	if r.Kind == scheduler.Stopped && !g.halted() {
		r.Kind = scheduler.Lost
	}
	if r.Kind == scheduler.Lost && !r.Lifted {
		r.Kind = scheduler.Refused
	}
	if r.Worker == "" {
		r.Worker = name
	}
	return r
}

// Halt lets a start in progress give up at its next step.
func (g *Gang) Halt() { g.once.Do(func() { close(g.halt) }) }

// Stop ends every member, after a checkpoint within grace, and returns Finished or
// Broken when the gang had ended by itself, Stopped when all members confirmed, and
// Lost when one could not be asked before its lease ended.
func (g *Gang) Stop(ctx context.Context, grace clock.Millis) Result {
	g.Halt()
	g.begun.Lock()
	defer g.begun.Unlock()
	return g.end(ctx, grace)
}

func (g *Gang) note(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
}

func (g *Gang) result(kind scheduler.EventKind, name string, err error) Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	tasks := append([]worker.Task(nil), g.tasks...)
	return Result{Kind: kind, Worker: name, Committed: g.committed, Lifted: g.lifted, Tasks: tasks, Err: err}
}
