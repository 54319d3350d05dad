// Package baseline holds two common schedulers to measure ours against, behind the
// same Step method: first-in-first-out with first fit, and priority order with best
// fit and backfill. Neither knows guarantees, and neither stops work.
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

// Policy chooses the scheduler.
type Policy string

// The policies.
const (
	// FirstFit starts jobs in the order of arrival on the first workers with room,
	// and none before the one that arrived before it.
	FirstFit Policy = "first-fit"
	// BestFit starts the more urgent classes first, on the fullest workers with room.
	// Later jobs go ahead when by their declared run times they end before the first
	// job that waits can start.
	BestFit Policy = "best-fit"
)

// Options configures a Core. The zero value is ready to use.
type Options struct {
	// Policy defaults to FirstFit.
	Policy Policy
}

// defaultDeclared stands in for a run time that was not declared.
const defaultDeclared = 10 * clock.Minute

type node struct {
	scheduler.Node
	free job.Resources
	up   bool
}

type entry struct {
	rec     job.Record
	seq     int
	cancel  bool
	started clock.Millis
}

// Core is a baseline scheduler. It is not safe for concurrent use.
type Core struct {
	opts    Options
	now     clock.Millis
	nodes   map[string]*node
	order   []*node
	jobs    map[string]*entry
	waiting []*entry
	seq     int
	blocked bool
	actions []scheduler.Action
}

// New returns a core that knows no workers and no jobs.
func New(opts Options) *Core {
	return &Core{opts: opts, nodes: make(map[string]*node), jobs: make(map[string]*entry)}
}

// Step takes one event at the time now and returns what has to be done.
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
		c.answer(e)
	}
	c.place()
	return c.actions
}

func (c *Core) emit(a scheduler.Action) { c.actions = append(c.actions, a) }

func (c *Core) submit(r job.Record) {
	c.seq++
	e := &entry{rec: r, seq: c.seq}
	if c.jobs[r.Spec.ID()] != nil {
		return
	}
	if !c.everFits(r.Spec.Shape) {
		c.emit(scheduler.Action{Kind: scheduler.End, ID: r.Spec.ID(), State: job.Failed, Reason: outcome.ImpossibleShape})
		return
	}
	c.jobs[r.Spec.ID()] = e
	c.enqueue(e)
}

func (c *Core) enqueue(e *entry) {
	e.rec.State, e.rec.Members = job.Waiting, nil
	at, _ := slices.BinarySearchFunc(c.waiting, e, c.compare)
	c.waiting = slices.Insert(c.waiting, at, e)
	c.blocked = c.blocked && at > 0
}

// compare orders by arrival, or by class and then arrival.
func (c *Core) compare(a, b *entry) int {
	rank := func(e *entry) int {
		if c.opts.Policy != BestFit {
			return 0
		}
		return slices.Index(job.Classes(), e.rec.Spec.Class)
	}
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.seq, b.seq))
}

func (c *Core) cancel(id string) {
	e := c.jobs[id]
	if e == nil || e.cancel {
		return
	}
	if e.rec.State != job.Waiting {
		e.cancel = true
		c.emit(scheduler.Action{Kind: scheduler.Stop, ID: id, Attempt: e.rec.Attempt, Cause: scheduler.CauseCancel})
		return
	}
	c.waiting = slices.DeleteFunc(c.waiting, func(w *entry) bool { return w == e })
	c.blocked = false
	c.end(e, job.Canceled, outcome.Canceled)
}

func (c *Core) end(e *entry, s job.State, r outcome.Reason) {
	delete(c.jobs, e.rec.Spec.ID())
	c.emit(scheduler.Action{Kind: scheduler.End, ID: e.rec.Spec.ID(), State: s, Reason: r})
}

func (c *Core) answer(ev scheduler.Event) {
	e := c.jobs[ev.ID]
	if e == nil || e.rec.Attempt != ev.Attempt || e.rec.State == job.Waiting {
		return
	}
	if ev.Kind == scheduler.Started {
		e.rec.State, e.started = job.Running, c.now
		return
	}
	c.occupy(e, 1)
	c.blocked = false
	again := ev.Kind != scheduler.Finished && (ev.Kind != scheduler.Broken || e.rec.Spec.Idempotent)
	switch {
	case ev.Kind == scheduler.Lost && !e.rec.Spec.Stoppable():
		c.end(e, job.Unknown, outcome.AnswerLost)
	case again && e.cancel:
		c.end(e, job.Canceled, outcome.Canceled)
	case again:
		c.emit(scheduler.Action{Kind: scheduler.Requeue, ID: ev.ID, Attempt: ev.Attempt, Checkpoint: ev.Checkpoint})
		c.enqueue(e)
	default:
		delete(c.jobs, ev.ID)
	}
}

// occupy takes the resources of a placed job from its workers, or gives them back.
func (c *Core) occupy(e *entry, sign int) {
	for _, m := range e.rec.Members {
		n := c.nodes[m.Worker]
		n.free = n.free.Add(e.rec.Spec.Shape.Resources(sign * m.Tasks))
	}
}

func (c *Core) workerUp(in scheduler.Node) {
	c.blocked = false
	if n := c.nodes[in.Name]; n != nil {
		n.up = true
		return
	}
	c.nodes[in.Name] = &node{Node: in, free: in.Capacity, up: true}
	names := slices.Sorted(maps.Keys(c.nodes))
	c.order = c.order[:0]
	for _, name := range names {
		c.order = append(c.order, c.nodes[name])
	}
}

func (c *Core) everFits(s job.Shape) bool {
	if len(c.order) == 0 {
		return true
	}
	free := make(map[*node]job.Resources, len(c.order))
	for _, n := range c.order {
		free[n] = n.Capacity
	}
	_, ok := c.fit(s, free)
	return ok
}

func (c *Core) free() map[*node]job.Resources {
	free := make(map[*node]job.Resources, len(c.order))
	for _, n := range c.order {
		if n.up {
			free[n] = n.free
		}
	}
	return free
}

// place starts waiting jobs until the first that does not fit, and then backfills.
func (c *Core) place() {
	for !c.blocked && len(c.waiting) > 0 {
		if !c.try(0, nil, 0) {
			c.blocked = true
		}
	}
	if c.opts.Policy == BestFit && len(c.waiting) > 1 {
		c.backfill()
	}
}

// try starts the i-th waiting job if it fits, and if it would end by the time until
// or stay off the workers kept.
func (c *Core) try(i int, kept map[*node]bool, until clock.Millis) bool {
	e := c.waiting[i]
	free := c.free()
	if len(kept) > 0 && c.now+declared(e) > until {
		for n := range kept {
			delete(free, n)
		}
	}
	members, ok := c.fit(e.rec.Spec.Shape, free)
	if !ok {
		return false
	}
	c.waiting = slices.Delete(c.waiting, i, i+1)
	e.rec.State, e.rec.Members, e.started = job.Placed, members, c.now
	e.rec.Attempt++
	c.occupy(e, -1)
	c.emit(scheduler.Action{Kind: scheduler.Place, ID: e.rec.Spec.ID(), Attempt: e.rec.Attempt, Members: members})
	return true
}

// backfill keeps the workers on which the first waiting job can start the soonest
// by the declared run times, and starts later jobs that do not delay it.
func (c *Core) backfill() {
	until, kept := c.shadow(c.waiting[0])
	failed := make(map[job.Shape]bool)
	for i := 1; i < len(c.waiting); {
		shape := c.waiting[i].rec.Spec.Shape
		late := c.now+declared(c.waiting[i]) > until
		if late && failed[shape] || !c.try(i, kept, until) {
			failed[shape] = failed[shape] || late
			i++
		}
	}
}

func declared(e *entry) clock.Millis {
	if e.rec.Spec.Declared > 0 {
		return e.rec.Spec.Declared
	}
	return defaultDeclared
}

// shadow returns when and where the job can start if all running work ends as
// declared.
func (c *Core) shadow(head *entry) (clock.Millis, map[*node]bool) {
	var running []*entry
	for _, e := range c.jobs {
		if e.rec.State != job.Waiting {
			running = append(running, e)
		}
	}
	ends := func(e *entry) clock.Millis { return max(e.started+declared(e), c.now) }
	slices.SortFunc(running, func(a, b *entry) int { return cmp.Or(cmp.Compare(ends(a), ends(b)), cmp.Compare(a.seq, b.seq)) })
	free := c.free()
	for _, e := range running {
		for _, m := range e.rec.Members {
			n := c.nodes[m.Worker]
			if f, ok := free[n]; ok {
				free[n] = f.Add(e.rec.Spec.Shape.Resources(m.Tasks))
			}
		}
		if e.rec.Spec.Shape.Accelerators == 0 && head.rec.Spec.Shape.Accelerators > 0 {
			continue
		}
		if members, ok := c.fit(head.rec.Spec.Shape, free); ok {
			kept := make(map[*node]bool)
			for _, m := range members {
				kept[c.nodes[m.Worker]] = true
			}
			return ends(e), kept
		}
	}
	return c.now, nil
}

// fit finds workers for the shape: the first in the order of their names, or those
// with the least room.
func (c *Core) fit(s job.Shape, free map[*node]job.Resources) ([]job.Member, bool) {
	order := make([]*node, 0, len(free))
	for _, n := range c.order {
		if f, ok := free[n]; ok && cell.Fit(s.Resources(1), f, 1) == 1 {
			order = append(order, n)
		}
	}
	if c.opts.Policy == BestFit {
		slices.SortStableFunc(order, func(a, b *node) int {
			return cmp.Or(cmp.Compare(free[a].Accelerators, free[b].Accelerators), cmp.Compare(free[a].Cores, free[b].Cores))
		})
	}
	group := func(n *node) string {
		switch s.Adjacent {
		case job.Worker:
			return n.Name
		case job.Rack:
			return n.Rack
		default:
			return ""
		}
	}
	room := make(map[string]int)
	for _, n := range order {
		room[group(n)] += cell.Fit(s.Resources(1), free[n], s.Count())
	}
	for _, n := range order {
		if room[group(n)] >= s.Count() {
			return fill(s, free, order, func(x *node) bool { return group(x) == group(n) }), true
		}
	}
	return nil, false
}

func fill(s job.Shape, free map[*node]job.Resources, order []*node, in func(*node) bool) []job.Member {
	left := s.Count()
	var members []job.Member
	for _, n := range order {
		if !in(n) || left == 0 {
			continue
		}
		if tasks := cell.Fit(s.Resources(1), free[n], left); tasks > 0 {
			members = append(members, job.Member{Worker: n.Name, Tasks: tasks})
			left -= tasks
		}
	}
	return members
}
