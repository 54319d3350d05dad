// Package gang starts and stops the members of a gang, which are the parts of one job on
// its workers, so that no member runs unless all members run.
//
// Start reserves resources on the worker of every member, records the placement (the
// commit point), starts every member throttled to zero, and lifts the throttles once all
// members have confirmed their start. Until all lifts are confirmed, the members hold
// leases of Times.StartLease, so a member that runs without the others ends by itself
// within that time.
//
// # Usage
//
//	g := gang.New(gang.Options{Record: r, Term: term, Agent: agents, Commit: write})
//	result := g.Start(ctx)   // Started, Refused, Lost, Broken or Stopped
//	result = g.Stop(ctx, grace)
//
// A scheduler that takes over a domain calls Adopt for each gang that it finds.
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

// Agent is the part of a worker agent's API that a gang uses.
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
	// Record is the job's record with the attempt and the members. Term is the term under
	// which the gang's calls to the workers are made.
	Record job.Record
	Term   int64
	// Agent returns the agent of the named worker, or nil when the worker is not listed.
	Agent func(name string) Agent
	// Commit writes the placement of the members to the job's record. Nothing is started
	// unless it returns nil.
	Commit func(ctx context.Context, members []job.Member) error
	// Foreign is set when another scheduler has recorded the placement. That scheduler may
	// have run a member whose worker no longer answers.
	Foreign bool
	// Leads reports whether this scheduler still holds the term. It is called before each
	// step of a start. nil means that the term always holds.
	Leads func() bool
	// Broadcast asks every instance of the domain to stop those members of the gang whose
	// leases the instance renews, and reports whether all instances acknowledged. nil means
	// that there are no other instances.
	Broadcast func(ctx context.Context, grace clock.Millis) bool
	// OrphanTimeout is the time in milliseconds for which an instance that cannot be reached
	// may keep renewing the leases of the gang's members.
	OrphanTimeout clock.Millis
	Times         Times
	Clock         *clock.Clock
	Log           *logrus.Entry
}

// Result is the result of a start, an adoption, a check or a stop.
type Result struct {
	// Kind is Started, Refused, Finished, Broken, Stopped or Lost. It is empty when Check
	// could not query every member.
	Kind scheduler.EventKind
	// Worker is the worker of the member that failed, if any.
	Worker string
	// Committed is set when the placement may have been recorded.
	Committed bool
	// Lifted is set when a member may have run unthrottled.
	Lifted     bool
	Checkpoint string
	// Tasks holds the last known task of each member, in the order of the members.
	Tasks []worker.Task
	// Err is the cause of a failure.
	Err error
}

// States of the gang's state machine.
const (
	stateIdle       = "idle"
	stateReserving  = "reserving"
	stateCommitting = "committing"
	stateStarting   = "starting"
	stateLifting    = "lifting"
	stateRunning    = "running"
	stateStopping   = "stopping"
	stateEnded      = "ended"
)

// Events of the gang's state machine.
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

var errLeaseLapsed = errors.New("the scheduler's lease has lapsed")

// errStopRequested aborts a start after a call of Halt or Stop.
var errStopRequested = errors.New("a stop was requested")

// Gang is one attempt of one job. Call either Start or Adopt, at most once. A Gang is safe
// for concurrent use.
type Gang struct {
	opts          Options
	state         *fsm.FSM
	haltRequested chan struct{}
	haltOnce      sync.Once
	// operation is held while Start, Adopt or Stop runs.
	operation sync.Mutex

	mu    sync.Mutex
	tasks []worker.Task
	// incarnations maps the name of a member's worker to the process that holds the member.
	incarnations map[string]string
	committed    bool
	lifted       bool
	// renewable is set when other instances may be renewing a member.
	renewable bool
}

// New returns an idle gang.
func New(opts Options) *Gang {
	opts.Times = opts.Times.WithDefaults()
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
	incarnations := make(map[string]string)
	for _, m := range r.Members {
		incarnations[m.Worker] = m.Incarnation
	}
	return &Gang{
		opts: opts, incarnations: incarnations, haltRequested: make(chan struct{}), tasks: make([]worker.Task, len(r.Members)),
		state: fsm.NewFSM(stateIdle, fsm.Events{
			{Name: reserve, Src: []string{stateIdle}, Dst: stateReserving},
			{Name: commit, Src: []string{stateReserving}, Dst: stateCommitting},
			{Name: start, Src: []string{stateCommitting, stateIdle}, Dst: stateStarting},
			{Name: lift, Src: []string{stateStarting}, Dst: stateLifting},
			{Name: run, Src: []string{stateLifting, stateIdle}, Dst: stateRunning},
			{Name: stop, Src: []string{stateIdle, stateReserving, stateCommitting, stateStarting, stateLifting, stateRunning}, Dst: stateStopping},
			{Name: end, Src: []string{stateStopping, stateRunning}, Dst: stateEnded},
		}, fsm.Callbacks{}),
	}
}

// State returns the name of the gang's current state.
func (g *Gang) State() string { return g.state.Current() }

// IsRunning reports whether all members were seen running and the gang was not stopped.
func (g *Gang) IsRunning() bool { return g.state.Is(stateRunning) }

// NotHalted reports whether neither Halt nor Stop was called.
func (g *Gang) NotHalted() bool { return !g.stopRequested() }

// Members returns the members of the gang.
func (g *Gang) Members() []job.Member { return g.opts.Record.Members }

// Size returns the number of members.
func (g *Gang) Size() int { return len(g.opts.Record.Members) }

// Has reports whether a worker holds a member of the gang.
func (g *Gang) Has(worker string) bool {
	return slices.ContainsFunc(g.opts.Record.Members, func(m job.Member) bool { return m.Worker == worker })
}

// transition applies an event to the state machine. It panics if the event is not allowed in
// the current state.
func (g *Gang) transition(event string) {
	if err := g.state.Event(context.Background(), event); err != nil {
		panic("gang: " + err.Error())
	}
}

// Start starts all members of the gang. When a step fails, it stops the members that were
// started and returns the result of the stop, with the cause in Result.Err.
func (g *Gang) Start(ctx context.Context) Result {
	g.operation.Lock()
	defer g.operation.Unlock()
	if g.state.Is(stateEnded) || g.stopRequested() {
		return g.abortStart(ctx, "", errStopRequested)
	}
	g.transition(reserve)
	reservedAt := g.opts.Clock.Now()
	if name, err := g.forEachMember(ctx, g.reserve); err != nil {
		return g.abortStart(ctx, name, err)
	}
	g.recordIncarnations()
	g.transition(commit)
	if err := g.mayContinue(reservedAt, g.opts.Times.Reservation); err != nil {
		return g.abortStart(ctx, "", err)
	}
	g.locked(func() { g.committed = true })
	if err := g.opts.Commit(ctx, g.placement()); err != nil {
		return g.abortStart(ctx, "", err)
	}
	if err := g.mayContinue(reservedAt, g.opts.Times.Reservation); err != nil {
		return g.abortStart(ctx, "", err)
	}
	return g.launch(ctx)
}

// recordIncarnations records which processes hold the reservations.
func (g *Gang) recordIncarnations() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, m := range g.opts.Record.Members {
		g.incarnations[m.Worker] = g.tasks[i].Incarnation
	}
}

// placement returns the members with the incarnations of the worker processes that hold
// them.
func (g *Gang) placement() []job.Member {
	members := slices.Clone(g.opts.Record.Members)
	for i, m := range members {
		members[i].Incarnation = g.incarnation(m.Worker)
	}
	return members
}

// incarnation returns the incarnation of the process that holds the member on a worker, or ""
// when it is not known.
func (g *Gang) incarnation(name string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.incarnations[name]
}

// launch starts the members throttled, lifts the throttles, and confirms to each member
// that the whole gang runs.
func (g *Gang) launch(ctx context.Context) Result {
	g.transition(start)
	startedAt := g.opts.Clock.Now()
	if name, err := g.forEachMember(ctx, g.start); err != nil {
		return g.abortStart(ctx, name, err)
	}
	if err := g.mayContinue(startedAt, g.opts.Times.StartLease/2); err != nil {
		return g.abortStart(ctx, "", err)
	}
	g.transition(lift)
	g.locked(func() { g.lifted = true })
	if name, err := g.forEachMember(ctx, g.lift); err != nil {
		return g.abortStart(ctx, name, err)
	}
	g.locked(func() { g.renewable = true })
	if name, err := g.forEachMember(ctx, g.confirm); err != nil {
		return g.abortStart(ctx, name, err)
	}
	g.transition(run)
	return g.result(scheduler.Started, "", nil)
}

// mayContinue returns an error when a stop was requested, when the scheduler no longer
// holds the term, or when the span in milliseconds has passed since the given time.
func (g *Gang) mayContinue(since, span clock.Millis) error {
	switch {
	case g.stopRequested():
		return errStopRequested
	case !g.opts.Leads():
		return errLeaseLapsed
	case g.opts.Clock.Now()-since >= span:
		return context.DeadlineExceeded
	}
	return nil
}

func (g *Gang) stopRequested() bool {
	select {
	case <-g.haltRequested:
		return true
	default:
		return false
	}
}

// abortStart stops the members after a failed start and returns the result. The result is
// Refused when no member can have run, and Lost instead of Stopped when no stop was
// requested.
func (g *Gang) abortStart(ctx context.Context, name string, cause error) Result {
	g.opts.Log.WithError(cause).WithField("worker", name).Info("gang: start aborted")
	r := g.stopAll(ctx, 0)
	r.Err = cause
	if r.Kind == scheduler.Stopped && !g.stopRequested() {
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

// Halt makes a start in progress abort at its next step. It does not wait.
func (g *Gang) Halt() { g.haltOnce.Do(func() { close(g.haltRequested) }) }

// Stop stops every member, which has grace milliseconds to write a checkpoint. The result is
// Finished when all members had finished, Broken when a member had failed, Stopped when all
// members confirmed the stop, and Lost when a member did not: the process that holds it did
// not answer for as long as it may still run, a newer scheduler or attempt has replaced it, or
// ctx ended.
func (g *Gang) Stop(ctx context.Context, grace clock.Millis) Result {
	g.Halt()
	g.operation.Lock()
	defer g.operation.Unlock()
	return g.stopAll(ctx, grace)
}

func (g *Gang) locked(f func()) {
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
