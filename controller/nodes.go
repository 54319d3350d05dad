package controller

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/agent"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/planner"
)

const (
	// lookWait is how long a look waits for an end; the workers' protocol allows 2 s.
	lookWait = 2 * clock.Second
	// looksPerLease is the number of looks, each renewing the lease, in one lease.
	looksPerLease = 3
	// lookTimeout bounds an answer beyond the wait.
	lookTimeout = 1200 * clock.Millisecond
	// beatsBeforeLapse is the number of heartbeats after its last sign of life in which a
	// worker's entry can't have lapsed; it lapses after three, and one may be on its way.
	beatsBeforeLapse = 2
	// lookPause is the time before a look that failed is repeated.
	lookPause = 300 * clock.Millisecond
	// unheard is the silence after which a worker's lease is no longer extended, so that
	// what it may run ends at a time that is known here.
	unheard = 1500 * clock.Millisecond
	// slowClock is the part by which a worker's clock may be slow, with a reserve; the
	// workers' protocol allows 2 %.
	slowClock = 0.03
	// lapseMargin is added to the end of a lease before it is taken to be over.
	lapseMargin = 300 * clock.Millisecond
	// suspectTime is how long a worker on which a task failed comes after the others,
	// quarantineTime how long one that failed several jobs takes nothing.
	suspectTime    = 3 * clock.Second
	quarantineTime = 6 * clock.Second
	// quarantineFails is the number of failures of different jobs in a row that
	// quarantine a worker.
	quarantineFails = 3
)

// node is a worker in the leader's memory.
type node struct {
	id string
	w  agent.Worker
	// listed tells that the store lists the worker.
	listed bool
	// leaves is the earliest time at which a draining worker leaves.
	leaves clock.Millis
	// resigned tells that it took itself off the list after it had drained.
	resigned bool
	// looked tells that it has answered under this term.
	looked  bool
	looking bool
	// due is when the answer to the look under way is expected at the latest.
	due clock.Millis
	// retry is when a look that failed is made again.
	retry clock.Millis
	heard clock.Millis
	// failing tells that a call has failed since the worker was heard.
	failing bool
	// closed is when the worker closed a connection on which a look waited; 0 if it has
	// answered since.
	closed clock.Millis
	// clock was the worker's time at the time read here.
	clock clock.Millis
	read  clock.Millis
	// leased is the latest time, on the worker's clock, of all leases asked for.
	leased clock.Millis
	born   clock.Millis
	// seen is the highest end that was handled, acked the highest that is recorded.
	seen    int
	acked   int
	pending []unacked
	runs    map[*run]bool
	// strangers are runs there that no job wants.
	strangers map[stranger]bool
	// fails counts failures of different jobs in a row, failedBy is the last of them.
	fails    int
	failedBy string
	// suspect is until when the worker comes after the others, shut until when it takes
	// nothing.
	suspect clock.Millis
	shut    clock.Millis
	// speed is how fast the worker is when it is sound; 0 if it is not known.
	speed float64
	// slowUntil is until when the worker counts as far slower than others.
	slowUntil clock.Millis
}

// unacked is an end that is acknowledged once its job's change is recorded.
type unacked struct {
	number int
	job    *job
	change int
}

// stranger names a run that no job wants.
type stranger struct {
	task agent.Task
	run  int
}

// nodeOf returns a worker by its ID, and a placeholder for one that is not listed.
func (c *Controller) nodeOf(id string) *node {
	n := c.nodes[id]
	if n == nil {
		n = &node{id: id, runs: make(map[*run]bool), strangers: make(map[stranger]bool)}
		c.nodes[id] = n
	}
	return n
}

func (c *Controller) replaceNodes(entries []kv.Entry) {
	there := make(map[string]bool, len(entries))
	for _, e := range entries {
		there[e.Key[len(c.opts.Prefix):]] = true
		c.list(e)
	}
	for id, n := range c.nodes {
		if !there[id] {
			c.unlist(n, c.opts.Clock.Now())
		}
	}
	if !c.listed {
		c.listed = true
		c.opts.Log.WithFields(logrus.Fields{"term": c.term, "workers": len(c.nodes)}).Info("controller: workers listed")
		c.settle()
	}
	c.forget()
	c.wantPlan = true
}

func (c *Controller) applyNodes(changes []kv.Change) {
	for _, e := range changes {
		if e.Deleted {
			id := e.Key[len(c.opts.Prefix):]
			if n := c.nodes[id]; n != nil {
				c.unlist(n, c.opts.Clock.Now())
			}
			continue
		}
		c.list(e.Entry)
	}
	c.forget()
	c.wantPlan = true
}

// list takes a worker's entry.
func (c *Controller) list(e kv.Entry) {
	w, err := c.opts.Decode(e.Key, e.Value)
	if err != nil {
		c.opts.Log.WithError(err).Warn("controller: entry of a worker can't be used")
		return
	}
	n := c.nodeOf(w.ID)
	moved := n.w.Address != "" && n.w.Address != w.Address
	if w.State == agent.Draining && n.w.State != w.State {
		n.leaves = c.opts.Clock.Now() + w.Remaining
	}
	if n.w.State != w.State && n.w.State != "" {
		c.opts.Log.WithFields(logrus.Fields{"worker": w.ID, "state": string(w.State), "remaining_ms": int64(w.Remaining), "version": e.Version}).Info("controller: worker changed")
	}
	n.w, n.listed, n.resigned = w, true, false
	if (w.Born != 0 && n.born != 0 && w.Born > n.born) || moved {
		c.reborn(n, w.Born, "its entry names a new start")
	}
	if c.listed && !n.looked {
		c.look(n)
	}
}

// forget drops workers that are gone and hold nothing.
func (c *Controller) forget() {
	for id, n := range c.nodes {
		if !n.listed && len(n.runs) == 0 && len(n.strangers) == 0 {
			delete(c.nodes, id)
		}
	}
}

// shape returns the capacity of a worker.
func (n *node) shape() planner.Shape {
	return planner.Shape{Cores: n.w.Cores, Memory: n.w.Memory, Accels: n.w.Accels}
}

// now estimates the worker's time; factor below 1 gives a time that it has surely passed.
func (n *node) now(here clock.Millis, factor float64) clock.Millis {
	return n.clock + clock.Millis(float64(here-n.read)*factor)
}

// lease returns the lease to ask for, or 0 if the worker is not to be extended.
func (c *Controller) lease(n *node) clock.Millis {
	now := c.opts.Clock.Now()
	if n.read == 0 || n.silent(now) {
		return 0
	}
	until := n.now(now, 1) + c.opts.Limits().Lease
	n.leased = max(n.leased, until)
	return until
}

// silent reports whether a worker has left calls unanswered for so long that its lease
// is no longer extended.
func (n *node) silent(now clock.Millis) bool { return n.failing && now-n.heard > unheard }

// hear takes note of an answer.
func (n *node) hear(at, now clock.Millis) {
	n.clock, n.read, n.heard, n.failing, n.closed = at, now, now, false, 0
}

// lapsed reports whether all that may have run on a worker has surely ended.
func (c *Controller) lapsed(n *node, now clock.Millis) bool {
	if n.read == 0 {
		// Another leader may have extended the lease up to its last moment.
		return now-c.led > clock.Millis(float64(c.opts.Limits().Lease)*(1+slowClock))+lapseMargin
	}
	return n.now(now, 1-slowClock) > n.leased+lapseMargin
}

// needsLook reports whether a worker has something to tell. One that failed a call gets no
// work before it has answered again.
func (n *node) needsLook() bool {
	return n.w.Address != "" && (!n.looked || (n.failing && n.listed) || len(n.runs) > 0 || len(n.strangers) > 0 || len(n.pending) > 0 || n.seen > n.acked)
}

// look asks a worker what runs there, and renews its lease. It waits until the jobs are
// loaded: without them every run is unknown and every end would be acknowledged unrecorded.
func (c *Controller) look(n *node) {
	now := c.opts.Clock.Now()
	witness := c.isWitness(n, now)
	wanted := witness || n.needsLook()
	if !wanted || !c.ready || !c.listed || n.looking || now < n.retry || !c.acts() {
		return
	}
	if n.looked && len(n.pending) > 0 && now-n.heard < lookPause {
		// The answer would list the same ends again at once.
		return
	}
	h := agent.Hold{Fence: c.term, Acked: n.acked, Lease: c.lease(n)}
	if n.looked && len(n.pending) == 0 && !n.unclear() && !witness {
		h.Wait = min(lookWait, c.opts.Limits().Lease/looksPerLease)
		if n.young(now) {
			h.Wait = min(h.Wait, youngLook)
		}
	}
	n.looking, n.due = true, now+h.Wait
	term, w := c.term, n.w
	c.opts.Counters.Counter("chestnutsail_worker_looks_total").Inc()
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, (h.Wait + lookTimeout).Duration())
		defer cancel()
		sent := c.opts.Clock.Now()
		answer, err := c.opts.Workers.Hold(ctx, w, h)
		c.post(func() {
			c.onTerm(term, func() {
				n.looking = false
				if err != nil {
					c.lookFailed(n, w, err)
					return
				}
				c.looked(n, w, h, sent, answer)
			})
		})
	}()
}

// young reports whether a run there is so young that its rate is not known yet.
func (n *node) young(now clock.Millis) bool {
	for r := range n.runs {
		if r.state == ordered || (r.state == present && r.pace.total == 0 && now-r.began < stallTime) {
			return true
		}
	}
	return false
}

// unclear reports whether a run there has to be told apart soon.
func (n *node) unclear() bool {
	for r := range n.runs {
		if r.state == unclear || r.state == recalled {
			return true
		}
	}
	return len(n.strangers) > 0
}

func (c *Controller) lookFailed(n *node, w agent.Worker, err error) {
	now := c.opts.Clock.Now()
	n.retry, n.failing = now+lookPause, true
	c.retried("look")
	if n.heard != 0 && now-n.heard > unheard {
		c.opts.Log.WithError(err).WithFields(logrus.Fields{
			"worker": n.id, "silent_ms": int64(now - n.heard), "runs": len(n.runs), "listed": n.listed,
		}).Warn("controller: worker does not answer")
	}
	if n.w.Address != w.Address {
		return
	}
	switch {
	case errors.Is(err, agent.ErrReplaced):
		c.reborn(n, 0, "another instance answers at its address")
	case errors.Is(err, agent.ErrClosed):
		n.closed = now
	case errors.Is(err, agent.ErrAbsent) && n.exited(now):
		c.reborn(n, n.born, "its process has ended: it closed a connection in use, and nothing listens")
	}
}

// checkNode looks at a worker again, and gives up runs whose lease has surely lapsed.
func (c *Controller) checkNode(n *node, now clock.Millis) {
	if (n.read == 0 || n.silent(now)) && (len(n.runs) > 0 || len(n.strangers) > 0) && c.lapsed(n, now) {
		c.opts.Log.WithFields(logrus.Fields{"worker": n.id, "runs": len(n.runs), "leased": int64(n.leased), "silent_ms": int64(now - n.heard)}).Warn("controller: leases of a silent worker have lapsed")
		clear(n.strangers)
		for r := range n.runs {
			c.gone(r, agent.Lapsed, "")
		}
		n.looked = false
	}
	if n.left(now) && (len(n.runs) > 0 || len(n.strangers) > 0) {
		c.reborn(n, 0, "it drained, took itself off the list and no longer answers")
	}
	if n.listed && n.w.State == agent.Draining {
		c.empty(n, now)
	}
	c.look(n)
}
