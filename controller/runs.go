package controller

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/agent"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/planner"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// runState is how far a run has come.
type runState int

const (
	// planned runs are not recorded yet, written ones are being recorded.
	planned runState = iota
	written
	// ordered runs are recorded, and their order is on its way.
	ordered
	// unclear runs may be there: their order was answered in a way that does not tell.
	unclear
	// recalled runs were recorded by an earlier leader.
	recalled
	// present runs are on their worker.
	present
	// stopping runs are told to stop.
	stopping
)

// run is one run of a task that may be on a worker.
type run struct {
	task   *task
	number int
	node   *node
	born   clock.Millis
	state  runState
	// since is when the state was entered, began when the run was first seen present.
	since clock.Millis
	began clock.Millis
	// percent is the progress, moved when it last changed.
	percent int
	moved   clock.Millis
	// looked is when the run was last seen present.
	looked clock.Millis
	pace   pace
	// resumed runs began from a checkpoint.
	resumed bool
	// unanswered tells that an order was sent and may be carried out, even later.
	unanswered bool
	// halted is when the worker confirmed a stop; 0 before.
	halted clock.Millis
}

const (
	orderTimeout = 1000 * clock.Millisecond
	// unwellPause is how long a worker that does nothing gets no orders.
	unwellPause = clock.Second
)

// occupy puts a run onto a worker.
func (c *Controller) occupy(t *task, n *node, number int, state runState) *run {
	now := c.opts.Clock.Now()
	r := &run{task: t, number: number, node: n, born: n.born, state: state, since: now, moved: now}
	t.run = r
	n.runs[r] = true
	return r
}

func (r *run) enter(s runState, now clock.Millis) { r.state, r.since = s, now }

// shape returns what one task of a part takes of a worker.
func (p *part) shape() planner.Shape {
	s := planner.Shape{Cores: p.step.Cores, Memory: p.step.Memory, Accels: p.step.Accels}
	if p.step.Filler {
		s.Cores = 0
	}
	return s
}

// answered handles the answer to an order.
func (c *Controller) answered(r *run, o agent.Order, verdict agent.Verdict, at clock.Millis, err error) {
	if r.task.run != r || r.state != ordered {
		return
	}
	now := c.opts.Clock.Now()
	if at > 0 {
		r.node.hear(at, now)
	}
	switch {
	case errors.Is(err, agent.ErrAbsent) && !r.unanswered:
		// A refused connection proves that the order was not delivered. It proves nothing
		// of the worker's life: a cut between two failure domains may refuse as well.
		r.node.failing = true
		c.opts.Log.WithFields(r.fields()).Warn("controller: order not delivered")
		c.gone(r, agent.Stopped, "")
	case err != nil:
		r.node.failing, r.unanswered = true, true
		c.opts.Log.WithError(err).WithFields(r.fields()).Warn("controller: order without an answer")
		c.resend(r, o)
	case verdict == agent.Taken:
		c.arrived(r, now)
		c.look(r.node)
	case verdict == agent.Replaced:
		c.reborn(r.node, 0, "another instance answers at its address")
	case verdict == agent.Stale:
		r.enter(unclear, now)
		c.look(r.node)
	default:
		c.opts.Log.WithFields(r.fields()).WithField("verdict", string(verdict)).Warn("controller: order rejected")
		c.opts.Counters.Counter(`chestnutsail_orders_rejected_total{verdict="` + string(verdict) + `"}`).Inc()
		if verdict == agent.Unwell {
			r.node.shut = now + unwellPause
		}
		if verdict == agent.Full {
			r.node.looked = false
		}
		if r.unanswered {
			// An earlier copy of the order may still be carried out: a stop forbids it.
			c.halt(r, "its order was rejected")
			return
		}
		c.gone(r, agent.Stopped, "")
	}
}

// arrived takes note that a run is on its worker.
func (c *Controller) arrived(r *run, now clock.Millis) {
	r.enter(present, now)
	if r.began == 0 {
		r.began, r.moved = now, now
	}
	if j := r.task.part.job; !j.state.Over() && j.state != workflow.Running {
		j.state, j.begun = workflow.Running, now
	}
}

// halt stops a run, wherever it is.
func (c *Controller) halt(r *run, reason string) {
	switch r.state {
	case planned:
		c.gone(r, agent.Stopped, "")
		return
	case stopping:
		return
	}
	lost := 0.0
	if r.state == present && !r.task.done {
		lost = c.loss(r, c.opts.Clock.Now())
	}
	c.opts.Counters.Counter(`chestnutsail_lost_core_seconds_total{reason="` + reason + `"}`).Add(int(lost))
	c.opts.Log.WithFields(r.fields()).WithFields(logrus.Fields{"reason": reason, "lost_core_s": int64(lost)}).Info("controller: run is stopped")
	if r.state == written {
		// It was never sent: once the record is written, it is simply not ordered.
		c.gone(r, agent.Stopped, "")
		return
	}
	r.enter(stopping, c.opts.Clock.Now())
	c.forbid(r)
}

// forbid sends the stop of a run until the worker confirms it.
func (c *Controller) forbid(r *run) {
	wanted := func() bool { return r.task.run == r && r.state == stopping }
	c.stop(r.node, stranger{r.task.id(), r.number}, wanted, func() { r.halted = c.opts.Clock.Now() })
}

// stop sends a stop until it is answered or no longer wanted.
func (c *Controller) stop(n *node, s stranger, wanted func() bool, confirmed func()) {
	term, w := c.term, n.w
	if w.Address == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, orderTimeout.Duration())
		defer cancel()
		err := c.opts.Workers.Stop(ctx, w, s.task, s.run, term)
		if err != nil {
			clock.Sleep(c.ctx, retryPause)
		}
		c.post(func() {
			c.onTerm(term, func() {
				switch {
				case err == nil:
					confirmed()
					c.look(n)
				case wanted():
					c.retried("stop")
					c.stop(n, s, wanted, confirmed)
				}
			})
		})
	}()
}

// gone takes a run off its worker. Its task waits again unless it is done.
func (c *Controller) gone(r *run, how agent.How, saved string) {
	t := r.task
	delete(r.node.runs, r)
	if t.run != r {
		return
	}
	t.run = nil
	if saved != "" {
		t.saved, t.reached = saved, r.percent
	}
	p := t.part
	if !t.done && p.step.Gang && how != agent.Done {
		c.breakUp(p)
	}
	c.touch(p.job)
}

// breakUp stops the other members of a gang, which can't go on without the one that ended.
func (c *Controller) breakUp(p *part) {
	for _, other := range p.tasks {
		if other.run != nil {
			c.halt(other.run, "another member of its gang has ended")
		}
	}
}

// saved returns the checkpoint from which a gang resumes: any member's is valid for all,
// and the one that came furthest saves the most.
func (p *part) saved() string {
	best, reached := "", -1
	for _, t := range p.tasks {
		if t.saved != "" && t.reached > reached {
			best, reached = t.saved, t.reached
		}
	}
	return best
}

// fields describes a run in the log.
func (r *run) fields() logrus.Fields {
	return logrus.Fields{"job": r.task.part.job.id, "task": r.task.id().String(), "run": r.number, "worker": r.node.id}
}
