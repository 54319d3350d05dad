package scheduler

import (
	"slices"

	"github.com/chestnutsail/chestnutsail/cell"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/queue"
)

func (c *Core) submit(r job.Record) {
	id := r.Spec.ID()
	if c.works[id] != nil || r.State.Ended() {
		return
	}
	if c.turnedAway(&r) {
		return
	}
	if r.Submitted == 0 {
		r.Submitted = c.now
	}
	w := c.know(r)
	if r.State == job.Waiting {
		c.enqueue(w)
		return
	}
	c.adopt(w)
}

// turnedAway ends a job that was never placed and can never run, and reports
// whether it did.
func (c *Core) turnedAway(r *job.Record) bool {
	if r.State != job.Waiting || r.Attempt > 0 {
		return false
	}
	reason, ok := c.admit(&r.Spec)
	if !ok {
		c.emit(Action{Kind: End, ID: r.Spec.ID(), State: job.Failed, Reason: reason})
	}
	return !ok
}

// know makes a work of the record, in no queue and on no worker.
func (c *Core) know(r job.Record) *work {
	r.Spec.Payload, r.Outcome.Body = nil, nil
	c.seq++
	w := &work{rec: r, id: r.Spec.ID(), seq: c.seq, since: c.now, acct: c.account(r.Spec.Account), class: c.classOf(r.Spec, queue.Normal)}
	c.works[w.id] = w
	return w
}

func (c *Core) enqueue(w *work) {
	s := w.spec()
	expected := c.history.Expect(s.Account, s.Service, s.Declared)
	w.rec.State, w.rec.Members = job.Waiting, nil
	w.rank = queue.Rank{Tier: queue.TierOf(s.Class, expected), At: queue.At(s.Class, w.rec.Submitted, expected, w.attained), Seq: w.seq}
	w.class = c.classOf(w.rec.Spec, w.rank.Tier)
	w.acct.queue.Add(w, w.rank)
	w.queued = true
	c.demand.Add(w.class.size, 1)
	c.wake(w.since + c.drainAfter())
	c.wake(w.since + c.opts.Wait)
}

func (c *Core) dequeue(w *work) {
	if w.queued {
		w.acct.queue.Remove(w.rank)
		w.queued = false
		c.demand[cell.Level(w.class.size)] -= min(w.class.size, 1)
	}
}

// forget drops a work that holds no workers.
func (c *Core) forget(w *work) {
	c.dequeue(w)
	c.unreserve(w)
	delete(c.works, w.id)
}

func (c *Core) cancel(id string) {
	w := c.works[id]
	if w == nil || w.stopping == CauseCancel {
		return
	}
	if w.rec.State != job.Waiting {
		if w.stopping == "" {
			c.emit(Action{Kind: Stop, ID: id, Attempt: w.rec.Attempt, Cause: CauseCancel})
		}
		w.stopping = CauseCancel
		c.version++
		return
	}
	c.release(w)
	c.end(w, job.Canceled, outcome.Canceled)
}

func (c *Core) end(w *work, state job.State, reason outcome.Reason) {
	c.forget(w)
	c.emit(Action{Kind: End, ID: w.id, State: state, Reason: reason})
}

// stop asks for the end of a placed work, after a checkpoint if it can make one.
func (c *Core) stop(w *work, cause Cause) {
	if w.stopping != "" {
		return
	}
	w.stopping = cause
	c.version++
	a := Action{Kind: Stop, ID: w.id, Attempt: w.rec.Attempt, Cause: cause}
	if w.spec().Checkpoints {
		a.Grace = c.opts.Grace
	}
	c.emit(a)
}

// answer takes in what came of an action.
func (c *Core) answer(e Event) {
	w := c.works[e.ID]
	if w == nil || w.rec.State == job.Waiting || w.rec.Attempt != e.Attempt {
		return
	}
	switch e.Kind {
	case Started:
		w.rec.State, w.rec.Started = job.Running, c.now
		for _, p := range w.parts {
			if p.node.cool > c.now {
				p.node.cool = 0
				c.version++
			}
		}
	case Finished:
		c.finished(w)
	case Broken:
		c.broken(w, e.Worker)
	case Stopped:
		w.rec.Checkpoint = e.Checkpoint
		c.again(w)
	case Refused:
		c.refused(w, e.Worker)
	case Lost:
		c.lostGang(w)
	}
}

func (c *Core) finished(w *work) {
	s := w.spec()
	for _, p := range w.parts {
		if c.tracker.Worked(p.node.Name, w.service()) {
			c.usable(p.node)
			c.emit(Action{Kind: Restore, Worker: p.node.Name})
		}
	}
	if w.rec.State == job.Running {
		c.history.Learn(s.Account, s.Service, s.Declared, w.attained+c.now-w.rec.Started)
	}
	c.release(w)
	c.forget(w)
}

func (w *work) service() string { return w.rec.Spec.Account + "/" + w.rec.Spec.Service }

// broken gives an idempotent job another try on other workers.
func (c *Core) broken(w *work, worker string) {
	out := c.tracker.Broke(c.now, worker, w.service(), w.id)
	c.release(w)
	switch {
	case !w.spec().Idempotent:
		c.forget(w)
	case w.stopping == CauseCancel:
		c.end(w, job.Canceled, outcome.Canceled)
	default:
		w.failures++
		if !slices.Contains(w.failed, worker) {
			w.failed = append(w.failed, worker)
		}
		if len(w.failed) >= c.opts.Failures || w.failures >= 2*c.opts.Failures || !c.elsewhere(w) {
			c.tracker.Forgive(w.id)
			c.end(w, job.Failed, outcome.KeepsFailing)
		} else {
			c.requeue(w)
		}
	}
	if out {
		c.keepOut(worker)
	}
}

// elsewhere reports whether the workers on which the job has not failed can hold it.
func (c *Core) elsewhere(w *work) bool {
	return c.holds(w.spec().Shape, func(n *node) bool { return !n.gone && !slices.Contains(w.failed, n.Name) })
}

func (c *Core) refused(w *work, worker string) {
	if n := c.nodes[worker]; n != nil {
		n.cool = c.now + c.opts.Cooldown
		c.wake(n.cool)
	}
	c.again(w)
}

// again puts a work that has been stopped back into the queue.
func (c *Core) again(w *work) {
	c.release(w)
	if w.stopping == CauseCancel {
		c.end(w, job.Canceled, outcome.Canceled)
		return
	}
	c.requeue(w)
}

// lostGang ends a gang of which a member was lost: it runs again only if that is safe.
func (c *Core) lostGang(w *work) {
	if w.spec().Stoppable() {
		c.again(w)
		return
	}
	c.release(w)
	c.end(w, job.Unknown, outcome.AnswerLost)
}

func (c *Core) requeue(w *work) {
	if w.rec.State == job.Running {
		w.attained += c.now - w.rec.Started
	}
	w.since, w.stopping, w.gang = c.now, "", false
	c.emit(Action{Kind: Requeue, ID: w.id, Attempt: w.rec.Attempt, Checkpoint: w.rec.Checkpoint})
	c.enqueue(w)
}
