package scheduler

import (
	"slices"
	"strings"

	"github.com/chestnutsail/chestnutsail/cell"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/guarantee"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/queue"
)

// mode says by what right work occupies its workers.
type mode string

const (
	// own work runs in its account's cells.
	own mode = "own"
	// borrow work can be stopped and runs anywhere.
	borrow mode = "borrow"
	// outside work needs no guarantee: it runs on workers without accelerators, or
	// started before a text was in force.
	outside mode = "outside"
)

// work is a job that waits or runs.
type work struct {
	rec   job.Record
	id    string
	seq   int64
	since clock.Millis
	rank  queue.Rank
	acct  *account
	class *class
	// queued tells that the job is in its account's queue.
	queued bool
	// planned work holds its workers and waits for waitFor to leave them.
	planned bool
	waitFor map[string]bool
	mode    mode
	parts   []part
	// share is what the work is charged with in the fairness between accounts.
	share    int64
	stopping Cause
	// attained is the run time of earlier attempts in milliseconds.
	attained clock.Millis
	failed   []string
	failures int
	// gang tells that borrowers were moved for this work.
	gang bool
	// held is the account's cell that is being emptied for this work.
	held *guarantee.Virtual
	// emptied lists the workers that are being emptied for this work.
	emptied []string
	// tried is the version at which no room could be made for this work.
	tried int64
}

// part is what work occupies on one worker, in one cell if it runs in its guarantee.
type part struct {
	node   *node
	tasks  int
	cover  int
	cell   *guarantee.Virtual
	offset int
}

// node is a worker with the work that holds it.
type node struct {
	*cell.Worker
	domain  string
	leaving bool
	gone    bool
	// cool is the time until which the worker gets no new work after a refusal.
	cool  clock.Millis
	works []*work
}

// account is a client account with its queue.
type account struct {
	name   string
	weight int64
	quota  job.Resources
	queue  *queue.Queue[*work]
	used   job.Resources
	// borrowed is the sum of the shares of the account's work beyond its guarantee.
	borrowed int64
}

// classKey is what decides whether a job without failures fits.
type classKey struct {
	account    string
	shape      job.Shape
	tier       queue.Tier
	idempotent bool
	stoppable  bool
}

// class remembers at which version jobs of one kind were last seen not to fit.
type class struct {
	own, packed, borrow, over int64
	// size is the largest cell that a task or an adjacent gang needs.
	size int
}

const maxClasses = 4096

func (c *Core) classOf(s job.Spec, tier queue.Tier) *class {
	key := classKey{s.Account, s.Shape, tier, s.Idempotent, s.Stoppable()}
	k := c.classes[key]
	if k == nil {
		if len(c.classes) >= maxClasses {
			clear(c.classes)
		}
		k = &class{size: s.Shape.Accelerators}
		if s.Shape.Adjacent == job.Rack || s.Shape.Adjacent == job.Worker {
			k.size *= s.Shape.Count()
		}
		c.classes[key] = k
	}
	return k
}

func (w *work) spec() *job.Spec { return &w.rec.Spec }

func (w *work) tasks() int { return w.rec.Spec.Shape.Count() }

func (w *work) each() job.Resources { return w.rec.Spec.Shape.Resources(1) }

func (w *work) needs(tasks int) job.Resources { return w.rec.Spec.Shape.Resources(tasks) }

func (w *work) urgent() bool { return w.rec.Spec.Class == job.Urgent }

func (w *work) needsAccels() bool { return w.rec.Spec.Shape.Accelerators > 0 }

// accels returns the accelerators of the whole gang.
func (w *work) accels() int { return w.tasks() * w.rec.Spec.Shape.Accelerators }

// plain reports whether the work fits exactly when any other of its class does.
func (w *work) plain() bool { return len(w.failed) == 0 && len(w.emptied) == 0 && w.held == nil }

// on returns what the work occupies on the worker.
func (w *work) on(n *node) job.Resources {
	var r job.Resources
	for _, p := range w.parts {
		if p.node == n {
			r = r.Add(w.needs(p.tasks))
		}
	}
	return r
}

// lost returns the work that a stop at now loses, in accelerator milliseconds.
func (c *Core) lost(w *work) clock.Millis {
	size := clock.Millis(max(w.accels(), 1))
	if w.rec.Spec.Checkpoints {
		return size * c.opts.Grace
	}
	if w.rec.State != job.Running {
		return 0
	}
	return size * (c.now - w.rec.Started)
}

func (c *Core) account(name string) *account {
	a := c.byName[name]
	if a == nil {
		a = &account{name: name, weight: 1, queue: queue.New[*work]()}
		c.byName[name] = a
		at, _ := slices.BinarySearchFunc(c.accounts, name, func(a *account, n string) int { return strings.Compare(a.name, n) })
		c.accounts = slices.Insert(c.accounts, at, a)
	}
	return a
}
