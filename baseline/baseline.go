// Package baseline implements two common schedulers with which package scheduler is
// compared: first-in-first-out with first fit, and priority order with best fit and
// backfill. Both have the Step method of scheduler.Core. Neither knows guarantees, and
// neither stops work except to cancel it.
//
// # Usage
//
//	c := baseline.New(baseline.Options{Policy: baseline.BestFit})
//	actions := c.Step(now, event)
package baseline

import (
	"cmp"
	"maps"
	"slices"

	"github.com/chestnutsail/chestnutsail/cell"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/scheduler"
)

// Policy selects one of the schedulers.
type Policy string

// The policies.
const (
	// FirstFit starts jobs strictly in the order of arrival, each on the first workers,
	// by name, that have room.
	FirstFit Policy = "first-fit"
	// BestFit starts jobs by class, the most urgent first, on the workers with the least
	// room that still fit. A later job starts ahead of the first waiting job (backfill)
	// if by its declared run time it ends before the first waiting job can start, or if
	// it uses none of the workers reserved for that job.
	BestFit Policy = "best-fit"
)

// Options configures a Core. The zero value is ready to use.
type Options struct {
	// Policy defaults to FirstFit.
	Policy Policy
}

// defaultRunTime is assumed for jobs without a declared run time.
const defaultRunTime = 10 * clock.Minute

type node struct {
	scheduler.Node
	free job.Resources
	up   bool
}

type jobState struct {
	record          job.Record
	seq             int
	cancelRequested bool
	startedAt       clock.Millis
}

// Core is a baseline scheduler. It is not safe for concurrent use. The field headBlocked
// says that the first waiting job did not fit when it was last tried; place does not try
// that job again until capacity is added or the head of the queue may have changed.
type Core struct {
	opts        Options
	now         clock.Millis
	nodes       map[string]*node
	sortedNodes []*node
	jobs        map[string]*jobState
	waiting     []*jobState
	seq         int
	headBlocked bool
	actions     []scheduler.Action
}

// New returns a core without workers and jobs.
func New(opts Options) *Core {
	return &Core{opts: opts, nodes: make(map[string]*node), jobs: make(map[string]*jobState)}
}

// Step processes one event at the time now and returns the actions to carry out.
func (c *Core) Step(now clock.Millis, e scheduler.Event) []scheduler.Action {
	c.now, c.actions = now, nil
	switch e.Kind {
	case scheduler.Submit:
		c.submit(*e.Record)
	case scheduler.Cancel:
		c.cancel(e.ID)
	case scheduler.WorkerUp:
		c.workerUp(*e.Node)
	case scheduler.WorkerLeaving, scheduler.WorkerGone:
		if n := c.nodes[e.Worker]; n != nil {
			n.up = false
		}
	case scheduler.Text, scheduler.Tick:
	default:
		c.handleResult(e)
	}
	c.place()
	return c.actions
}

func (c *Core) emit(a scheduler.Action) { c.actions = append(c.actions, a) }

func (c *Core) submit(r job.Record) {
	c.seq++
	j := &jobState{record: r, seq: c.seq}
	if c.jobs[r.Spec.ID()] != nil {
		return
	}
	if !c.fitsEmptyFleet(r.Spec.Shape) {
		c.emit(scheduler.Action{Kind: scheduler.End, ID: r.Spec.ID(), State: job.Failed, Reason: outcome.ImpossibleShape})
		return
	}
	c.jobs[r.Spec.ID()] = j
	c.enqueue(j)
}

func (c *Core) enqueue(j *jobState) {
	j.record.State, j.record.Members = job.Waiting, nil
	position, _ := slices.BinarySearchFunc(c.waiting, j, c.compare)
	c.waiting = slices.Insert(c.waiting, position, j)
	c.headBlocked = c.headBlocked && position > 0
}

// compare orders jobs by arrival, and with BestFit by class first.
func (c *Core) compare(a, b *jobState) int {
	rank := func(j *jobState) int {
		if c.opts.Policy != BestFit {
			return 0
		}
		return slices.Index(job.Classes(), j.record.Spec.Class)
	}
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.seq, b.seq))
}

func (c *Core) cancel(id string) {
	j := c.jobs[id]
	if j == nil || j.cancelRequested {
		return
	}
	if j.record.State != job.Waiting {
		j.cancelRequested = true
		c.emit(scheduler.Action{Kind: scheduler.Stop, ID: id, Attempt: j.record.Attempt, Cause: scheduler.CauseCancel})
		return
	}
	c.waiting = slices.DeleteFunc(c.waiting, func(w *jobState) bool { return w == j })
	c.headBlocked = false
	c.end(j, job.Canceled, outcome.Canceled)
}

func (c *Core) end(j *jobState, state job.State, reason outcome.Reason) {
	delete(c.jobs, j.record.Spec.ID())
	c.emit(scheduler.Action{Kind: scheduler.End, ID: j.record.Spec.ID(), State: state, Reason: reason})
}

func (c *Core) handleResult(event scheduler.Event) {
	j := c.jobs[event.ID]
	if j == nil || j.record.Attempt != event.Attempt || j.record.State == job.Waiting {
		return
	}
	if event.Kind == scheduler.Started {
		j.record.State, j.startedAt = job.Running, c.now
		return
	}
	c.occupy(j, 1)
	c.headBlocked = false
	requeue := event.Kind != scheduler.Finished && (event.Kind != scheduler.Broken || j.record.Spec.Idempotent)
	switch {
	case event.Kind == scheduler.Lost && !j.record.Spec.Stoppable():
		c.end(j, job.Unknown, outcome.AnswerLost)
	case requeue && j.cancelRequested:
		c.end(j, job.Canceled, outcome.Canceled)
	case requeue:
		c.emit(scheduler.Action{Kind: scheduler.Requeue, ID: event.ID, Attempt: event.Attempt, Checkpoint: event.Checkpoint})
		c.enqueue(j)
	default:
		delete(c.jobs, event.ID)
	}
}

// occupy adds sign times the resources of a placed job to the free resources of its
// workers: -1 takes them, 1 returns them.
func (c *Core) occupy(j *jobState, sign int) {
	for _, m := range j.record.Members {
		n := c.nodes[m.Worker]
		n.free = n.free.Add(j.record.Spec.Shape.Resources(sign * m.Tasks))
	}
}

func (c *Core) workerUp(info scheduler.Node) {
	c.headBlocked = false
	if n := c.nodes[info.Name]; n != nil {
		n.up = true
		return
	}
	c.nodes[info.Name] = &node{Node: info, free: info.Capacity, up: true}
	names := slices.Sorted(maps.Keys(c.nodes))
	c.sortedNodes = c.sortedNodes[:0]
	for _, name := range names {
		c.sortedNodes = append(c.sortedNodes, c.nodes[name])
	}
}

func (c *Core) fitsEmptyFleet(shape job.Shape) bool {
	if len(c.sortedNodes) == 0 {
		return true
	}
	free := make(map[*node]job.Resources, len(c.sortedNodes))
	for _, n := range c.sortedNodes {
		free[n] = n.Capacity
	}
	_, ok := c.findWorkers(shape, free)
	return ok
}

func (c *Core) free() map[*node]job.Resources {
	free := make(map[*node]job.Resources, len(c.sortedNodes))
	for _, n := range c.sortedNodes {
		if n.up {
			free[n] = n.free
		}
	}
	return free
}

// place starts waiting jobs in order up to the first that does not fit. With BestFit
// it then backfills.
func (c *Core) place() {
	for !c.headBlocked && len(c.waiting) > 0 {
		if !c.tryPlace(0, nil, 0) {
			c.headBlocked = true
		}
	}
	if c.opts.Policy == BestFit && len(c.waiting) > 1 {
		c.backfill()
	}
}

// tryPlace starts the i-th waiting job, counted from 0, and reports whether it fitted.
// If the job would end after reservedFrom, it may not use the reserved workers.
func (c *Core) tryPlace(i int, reserved map[*node]bool, reservedFrom clock.Millis) bool {
	j := c.waiting[i]
	free := c.free()
	if len(reserved) > 0 && c.now+declaredRunTime(j) > reservedFrom {
		for n := range reserved {
			delete(free, n)
		}
	}
	members, ok := c.findWorkers(j.record.Spec.Shape, free)
	if !ok {
		return false
	}
	c.waiting = slices.Delete(c.waiting, i, i+1)
	j.record.State, j.record.Members, j.startedAt = job.Placed, members, c.now
	j.record.Attempt++
	c.occupy(j, -1)
	c.emit(scheduler.Action{Kind: scheduler.Place, ID: j.record.Spec.ID(), Attempt: j.record.Attempt, Members: members})
	return true
}

// backfill reserves the workers on which the first waiting job can start the earliest
// by the declared run times, and starts later jobs that do not delay it.
func (c *Core) backfill() {
	reservedFrom, reserved := c.earliestStart(c.waiting[0])
	unplaceable := make(map[job.Shape]bool)
	for i := 1; i < len(c.waiting); {
		shape := c.waiting[i].record.Spec.Shape
		endsLate := c.now+declaredRunTime(c.waiting[i]) > reservedFrom
		if endsLate && unplaceable[shape] || !c.tryPlace(i, reserved, reservedFrom) {
			unplaceable[shape] = unplaceable[shape] || endsLate
			i++
		}
	}
}

func declaredRunTime(j *jobState) clock.Millis {
	if j.record.Spec.Declared > 0 {
		return j.record.Spec.Declared
	}
	return defaultRunTime
}

// earliestStart returns the time at which the job head can start and the workers it
// would use, if all placed jobs end at their declared times. If the job does not fit
// even then, it returns the present time and no workers.
func (c *Core) earliestStart(head *jobState) (clock.Millis, map[*node]bool) {
	var running []*jobState
	for _, j := range c.jobs {
		if j.record.State != job.Waiting {
			running = append(running, j)
		}
	}
	expectedEnd := func(j *jobState) clock.Millis { return max(j.startedAt+declaredRunTime(j), c.now) }
	slices.SortFunc(running, func(a, b *jobState) int {
		return cmp.Or(cmp.Compare(expectedEnd(a), expectedEnd(b)), cmp.Compare(a.seq, b.seq))
	})
	free := c.free()
	for _, j := range running {
		for _, m := range j.record.Members {
			n := c.nodes[m.Worker]
			if f, ok := free[n]; ok {
				free[n] = f.Add(j.record.Spec.Shape.Resources(m.Tasks))
			}
		}
		if j.record.Spec.Shape.Accelerators == 0 && head.record.Spec.Shape.Accelerators > 0 {
			continue
		}
		if members, ok := c.findWorkers(head.record.Spec.Shape, free); ok {
			reserved := make(map[*node]bool)
			for _, m := range members {
				reserved[c.nodes[m.Worker]] = true
			}
			return expectedEnd(j), reserved
		}
	}
	return c.now, nil
}

// findWorkers returns workers with room for the shape and whether there are any. It
// prefers the first workers by name, and with BestFit those with the least room.
func (c *Core) findWorkers(shape job.Shape, free map[*node]job.Resources) ([]job.Member, bool) {
	sortedNodes := make([]*node, 0, len(free))
	for _, n := range c.sortedNodes {
		if f, ok := free[n]; ok && cell.Fit(shape.Resources(1), f, 1) == 1 {
			sortedNodes = append(sortedNodes, n)
		}
	}
	if c.opts.Policy == BestFit {
		slices.SortStableFunc(sortedNodes, func(a, b *node) int {
			return cmp.Or(cmp.Compare(free[a].Accelerators, free[b].Accelerators), cmp.Compare(free[a].Cores, free[b].Cores))
		})
	}
	groupOf := func(n *node) string {
		switch shape.Adjacent {
		case job.Worker:
			return n.Name
		case job.Rack:
			return n.Rack
		default:
			return ""
		}
	}
	groupCapacity := make(map[string]int)
	for _, n := range sortedNodes {
		groupCapacity[groupOf(n)] += cell.Fit(shape.Resources(1), free[n], shape.Count())
	}
	for _, n := range sortedNodes {
		if groupCapacity[groupOf(n)] >= shape.Count() {
			return assignTasks(shape, free, sortedNodes, func(other *node) bool { return groupOf(other) == groupOf(n) }), true
		}
	}
	return nil, false
}

func assignTasks(shape job.Shape, free map[*node]job.Resources, candidates []*node, inGroup func(*node) bool) []job.Member {
	remaining := shape.Count()
	var members []job.Member
	for _, n := range candidates {
		if !inGroup(n) || remaining == 0 {
			continue
		}
		if tasks := cell.Fit(shape.Resources(1), free[n], remaining); tasks > 0 {
			members = append(members, job.Member{Worker: n.Name, Tasks: tasks})
			remaining -= tasks
		}
	}
	return members
}
