// Package scheduler decides which job runs where. It is pure: it does no I/O,
// starts no goroutine and reads no clock, so the same events give the same actions
// in production, in a replay and in a benchmark.
//
// # Usage
//
//	c := scheduler.New(scheduler.Options{})
//	for _, a := range c.Step(now, scheduler.Event{Kind: scheduler.Submit, Record: r}) {
//		// carry out a, and report what came of it as events
//	}
package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/text"
)

// Options configures a Core. The zero value is ready to use.
type Options struct{}

// Core is the scheduler of one failure domain. It is not safe for concurrent use.
type Core struct {
	opts    Options
	nodes   map[string]*node
	order   []string
	jobs    map[string]*job.Record
	waiting []string
	actions []Action

	now      clock.Millis
	text     *text.Text
	since    map[string]clock.Millis
	stopping map[string]Cause
}

type node struct {
	Node
	free    job.Resources
	leaving bool
}

// New returns a core that knows no workers and no jobs.
func New(opts Options) *Core {
	return &Core{
		opts: opts, nodes: make(map[string]*node), jobs: make(map[string]*job.Record),
		since: make(map[string]clock.Millis), stopping: make(map[string]Cause),
	}
}

// Step takes one event at the time now and returns what has to be done. It panics
// when the event lacks a field that its kind needs.
func (c *Core) Step(now clock.Millis, e Event) []Action {
	c.actions, c.now = nil, now
	switch e.Kind {
	case Submit:
		c.submit(now, *e.Record)
	case Cancel:
		c.cancel(e.ID)
	case Started:
		c.started(now, e)
	case Refused, Lost, Stopped:
		c.back(now, e)
	case Finished, Broken:
		if r, ok := c.jobs[e.ID]; ok && r.Attempt == e.Attempt && r.State != job.Waiting {
			c.forget(e.ID)
		}
	case WorkerUp:
		c.workerUp(*e.Node)
	case WorkerLeaving, WorkerGone:
		if n, ok := c.nodes[e.Worker]; ok {
			n.leaving = true
		}
	case Load:
		c.load(*e.State)
		return nil
	case Text:
		c.text = e.Text
	case Tick:
	default:
		panic(fmt.Sprintf("scheduler: unknown event kind %q", e.Kind))
	}
	c.place()
	return c.actions
}

func (c *Core) submit(now clock.Millis, r job.Record) {
	id := r.Spec.ID()
	if _, known := c.jobs[id]; known || r.State.Ended() {
		return
	}
	c.jobs[id] = &r
	if r.State == job.Waiting {
		c.since[id] = now
		c.waiting = append(c.waiting, id)
		return
	}
	c.occupy(&r, -1)
}

func (c *Core) cancel(id string) {
	r, ok := c.jobs[id]
	if !ok {
		return
	}
	if r.State != job.Waiting {
		if c.stopping[id] == CauseCancel {
			return
		}
		c.stopping[id] = CauseCancel
		c.actions = append(c.actions, Action{Kind: Stop, ID: id, Attempt: r.Attempt, Cause: CauseCancel})
		return
	}
	c.forget(id)
	c.actions = append(c.actions, Action{Kind: End, ID: id, State: job.Canceled, Reason: outcome.Canceled})
}

func (c *Core) started(now clock.Millis, e Event) {
	if r, ok := c.jobs[e.ID]; ok && r.Attempt == e.Attempt {
		r.State, r.Started = job.Running, now
	}
}

// back returns a job to the queue after an attempt that did not end it.
func (c *Core) back(now clock.Millis, e Event) {
	r, ok := c.jobs[e.ID]
	if !ok || r.Attempt != e.Attempt || r.State == job.Waiting {
		return
	}
	if c.stopping[e.ID] == CauseCancel && e.Kind != Lost {
		c.forget(e.ID)
		c.actions = append(c.actions, Action{Kind: End, ID: e.ID, State: job.Canceled, Reason: outcome.Canceled})
		return
	}
	if e.Kind == Lost && !r.Spec.Stoppable() {
		c.forget(e.ID)
		c.actions = append(c.actions, Action{Kind: End, ID: e.ID, State: job.Unknown, Reason: outcome.AnswerLost})
		return
	}
	c.occupy(r, 1)
	r.State, r.Members, r.Checkpoint = job.Waiting, nil, e.Checkpoint
	c.since[e.ID] = now
	c.waiting = append(c.waiting, e.ID)
	c.actions = append(c.actions, Action{Kind: Requeue, ID: e.ID, Attempt: e.Attempt, Checkpoint: e.Checkpoint})
}

func (c *Core) forget(id string) {
	r, ok := c.jobs[id]
	if !ok {
		return
	}
	c.occupy(r, 1)
	delete(c.jobs, id)
	delete(c.since, id)
	delete(c.stopping, id)
	c.waiting = slices.DeleteFunc(c.waiting, func(w string) bool { return w == id })
}

// occupy takes the resources of a placed job from its workers, or gives them back.
func (c *Core) occupy(r *job.Record, sign int) {
	for _, m := range r.Members {
		if n, ok := c.nodes[m.Worker]; ok {
			n.free = n.free.Add(r.Spec.Shape.Resources(sign * m.Tasks))
		}
	}
}

func (c *Core) workerUp(in Node) {
	if _, known := c.nodes[in.Name]; known {
		return
	}
	n := &node{Node: in, free: in.Capacity}
	c.nodes[in.Name] = n
	c.order = append(c.order, in.Name)
	slices.SortFunc(c.order, strings.Compare)
	for _, id := range c.placedOn(in.Name) {
		r := c.jobs[id]
		for _, m := range r.Members {
			if m.Worker == in.Name {
				n.free = n.free.Sub(r.Spec.Shape.Resources(m.Tasks))
			}
		}
	}
}

func (c *Core) ids() []string {
	return slices.Sorted(maps.Keys(c.jobs))
}

func (c *Core) placedOn(worker string) []string {
	var ids []string
	for id, r := range c.jobs {
		if slices.ContainsFunc(r.Members, func(m job.Member) bool { return m.Worker == worker }) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// place starts waiting jobs in the order of their arrival until one does not fit.
func (c *Core) place() {
	for len(c.waiting) > 0 {
		r := c.jobs[c.waiting[0]]
		members, ok := c.firstFit(r.Spec.Shape)
		if !ok {
			return
		}
		c.waiting = c.waiting[1:]
		r.State, r.Members = job.Placed, members
		r.Attempt++
		c.occupy(r, -1)
		c.actions = append(c.actions, Action{Kind: Place, ID: r.Spec.ID(), Attempt: r.Attempt, Members: members})
	}
}

// firstFit takes the first workers with room, all in one rack if the shape says so.
func (c *Core) firstFit(s job.Shape) ([]job.Member, bool) {
	if s.Adjacent != job.Rack && s.Adjacent != job.Worker {
		return c.fill(s, func(*node) bool { return true })
	}
	for _, name := range c.order {
		first := c.nodes[name]
		near := func(n *node) bool { return n.Rack == first.Rack }
		if s.Adjacent == job.Worker {
			near = func(n *node) bool { return n == first }
		}
		if members, ok := c.fill(s, near); ok {
			return members, true
		}
	}
	return nil, false
}

func (c *Core) fill(s job.Shape, near func(*node) bool) ([]job.Member, bool) {
	left := s.Count()
	var members []job.Member
	for _, name := range c.order {
		n := c.nodes[name]
		if n.leaving || !near(n) {
			continue
		}
		fit := 0
		for fit < left && s.Resources(fit+1).Fits(n.free) {
			fit++
		}
		if fit > 0 {
			members = append(members, job.Member{Worker: name, Tasks: fit})
			left -= fit
		}
		if left == 0 {
			return members, true
		}
	}
	return nil, false
}
