package controller

import (
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/agent"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// looked handles the answer of a worker.
func (c *Controller) looked(n *node, w agent.Worker, h agent.Hold, sent clock.Millis, look agent.Look) {
	now := c.opts.Clock.Now()
	if n.w.Address != w.Address {
		return
	}
	if look.Born != 0 && n.born != 0 && look.Born != n.born {
		c.reborn(n, look.Born, "it has started anew")
	}
	if n.born == 0 {
		n.born = look.Born
	}
	first := !n.looked
	n.looked = true
	n.hear(look.Clock, now)
	if h.Lease == 0 {
		// What an earlier leader asked for is at most the longest lease from now.
		n.leased = max(n.leased, look.Clock+c.opts.Limits().Lease)
	}
	for _, e := range look.Ended {
		c.ended(n, e)
	}
	c.running(n, sent, look)
	c.acknowledge(n)
	if first {
		c.wantPlan = true
	}
	c.look(n)
}

// running compares the runs that a worker lists with those expected there.
func (c *Controller) running(n *node, sent clock.Millis, look agent.Look) {
	now := c.opts.Clock.Now()
	listed := make(map[stranger]agent.Run, len(look.Running))
	for _, r := range look.Running {
		listed[stranger{r.Task, r.Run}] = r
	}
	parts := make(map[*part]bool)
	for r := range n.runs {
		key := stranger{r.task.id(), r.number}
		seen, here := listed[key]
		delete(listed, key)
		if here {
			c.seen(r, seen, now)
			parts[r.task.part] = true
			continue
		}
		c.missing(r, sent)
	}
	for p := range parts {
		c.assess(p, now)
	}
	for s := range n.strangers {
		if _, here := listed[s]; !here {
			delete(n.strangers, s)
		}
	}
	for s := range listed {
		if n.strangers[s] {
			continue
		}
		n.strangers[s] = true
		c.opts.Log.WithFields(logrus.Fields{"worker": n.id, "task": s.task.String(), "run": s.run}).Warn("controller: unknown run is stopped")
		c.stop(n, s, func() bool { return n.strangers[s] }, func() {})
	}
}

// seen takes note of a run that is present.
func (c *Controller) seen(r *run, seen agent.Run, now clock.Millis) {
	switch r.state {
	case ordered, unclear, recalled:
		c.arrived(r, now)
		if r.task.part.job.state.Over() {
			c.halt(r, "its job is over")
		}
	}
	if seen.Percent != r.percent {
		r.percent, r.moved = seen.Percent, now
	}
	r.looked = now
	r.measure(seen.Percent, now)
}

// missing handles a run that a worker does not list. It is gone if the look was sent
// after the run was known to be there, or after its stop.
func (c *Controller) missing(r *run, sent clock.Millis) {
	switch r.state {
	case present, unclear:
		if sent > r.since {
			c.opts.Log.WithFields(r.fields()).Warn("controller: run is no longer on its worker")
			c.gone(r, agent.Lapsed, "")
		}
	case stopping:
		// Until a stop is confirmed, an order may still be carried out.
		if r.halted > 0 && sent > r.halted+c.opts.Limits().Stop {
			c.gone(r, agent.Stopped, "")
		}
	case recalled:
		// The order of the earlier leader did not arrive, and is fenced from now on. Its
		// room may have been given away since, so the task waits for a new place.
		c.gone(r, agent.Stopped, "")
	}
}

// ended handles one end that a worker lists.
func (c *Controller) ended(n *node, e agent.End) {
	if e.Number <= n.seen {
		return
	}
	n.seen = e.Number
	j := c.jobs[e.Task.Job]
	p := c.partOf(j, e.Task)
	if p == nil {
		c.acknowledgeLater(n, e.Number, nil)
		return
	}
	t := p.tasks[e.Task.Index]
	r := t.run
	current := r != nil && r.number == e.Run && r.node == n
	c.opts.Log.WithFields(logrus.Fields{
		"job": j.id, "task": e.Task.String(), "run": e.Run, "worker": n.id, "how": string(e.How), "number": e.Number, "current": current,
	}).Info("controller: run has ended")
	c.opts.Counters.Counter(`chestnutsail_ends_total{how="` + string(e.How) + `"}`).Inc()
	switch {
	case e.How == agent.Done:
		c.doneTask(n, t, r, current, e)
	case current:
		c.failedTask(n, t, r, e)
	}
	c.acknowledgeLater(n, e.Number, j)
	c.finishIfDone(j)
}

func (c *Controller) partOf(j *job, t agent.Task) *part {
	if j == nil || t.Step >= len(j.record.Spec.Steps) || t.Occurrence >= j.record.Spec.Times() {
		return nil
	}
	if t.Index >= j.record.Spec.Steps[t.Step].Count {
		return nil
	}
	return j.partOf(t.Occurrence, t.Step)
}

// doneTask marks a task as done; of a gang, one member's end stands for all.
func (c *Controller) doneTask(n *node, t *task, r *run, current bool, e agent.End) {
	n.fails, n.failedBy, n.suspect = 0, "", 0
	if r != nil && !current && r.state != planned && r.state != written {
		// A later run is under way already.
		if !t.part.step.Gang {
			return
		}
	}
	p := t.part
	if current && r.began > 0 && !r.resumed && !n.isSlow(c.opts.Clock.Now()) {
		p.taken = float64(c.opts.Clock.Now()-r.began) * n.pacing()
	}
	if p.step.Lasting {
		if current {
			c.gone(r, e.How, "")
		}
		return
	}
	mark := func(x *task) {
		if !x.done {
			x.done = true
			p.done++
		}
	}
	mark(t)
	if p.step.Gang && current {
		for _, x := range p.tasks {
			mark(x)
		}
	}
	if r != nil && (current || r.state == planned || r.state == written) {
		c.gone(r, agent.Done, "")
	}
	c.touch(p.job)
}

// failedTask handles an end that is not done.
func (c *Controller) failedTask(n *node, t *task, r *run, e agent.End) {
	p := t.part
	if e.How == agent.Failed && !p.step.Lasting {
		c.blame(n, t)
		t.fails++
		if p.step.Gang && p.failed != e.Run {
			p.failed = e.Run
			p.fails++
		}
	}
	c.gone(r, e.How, e.Saved)
	if p.job.state.Over() {
		return
	}
	fails := t.fails
	if p.step.Gang {
		fails = p.fails
	}
	if fails >= p.job.record.Attempts {
		c.finish(p.job, workflow.Failed, "a task has failed as often as its queue allows")
	}
}

// blame takes note of a failure on a worker. Failures of one job count once, since the
// job may be at fault.
func (c *Controller) blame(n *node, t *task) {
	if t.avoid == nil {
		t.avoid = make(map[string]bool)
	}
	t.avoid[n.id] = true
	now := c.opts.Clock.Now()
	if n.failedBy != t.part.job.id {
		n.fails++
		n.failedBy = t.part.job.id
	}
	n.suspect = now + suspectTime
	if n.fails >= quarantineFails {
		n.shut = now + quarantineTime
		c.opts.Log.WithFields(logrus.Fields{"worker": n.id, "fails": n.fails, "for_ms": int64(quarantineTime)}).Warn("controller: worker is quarantined")
	}
}

// acknowledgeLater has an end acknowledged once the job's change is recorded.
func (c *Controller) acknowledgeLater(n *node, number int, j *job) {
	u := unacked{number: number, job: j}
	if j != nil {
		u.change = j.changes
	}
	n.pending = append(n.pending, u)
}

// acknowledge moves the acknowledged number of a worker up to the first end that is not recorded.
func (c *Controller) acknowledge(n *node) {
	for len(n.pending) > 0 {
		u := n.pending[0]
		if u.job != nil && u.job.written < u.change {
			return
		}
		n.acked = u.number
		n.pending = n.pending[1:]
	}
}
