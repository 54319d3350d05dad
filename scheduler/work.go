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
	// modeGuaranteed work runs in its account's cells.
	modeGuaranteed mode = "own"
	// modeBorrowing work can be stopped and runs anywhere.
	modeBorrowing mode = "borrow"
	// modeExempt work needs no guarantee: it runs on workers without accelerators, or
	// started before a text was in force.
	modeExempt mode = "outside"
)

// work is a job that waits or runs.
type work struct {
	record job.Record
	id     string
	seq    int64
	since  clock.Millis
	rank   queue.Rank
	acct   *account
	class  *fitClass
	// queued tells that the job is in its account's queue.
	queued bool
	// planned work holds its workers and waits for waitFor to leave them.
	planned bool
	waitFor map[string]bool
	mode    mode
	parts   []part
	// charge is what the work is charged with in the fairness between accounts.
	charge   int64
	stopping Cause
	// attained is the run time of earlier attempts in milliseconds.
	attained clock.Millis
	failed   []string
	failures int
	// displacedOthers tells that borrowers were moved for this work.
	displacedOthers bool
	// reservedCell is the account's cell that is being emptied for this work.
	reservedCell *guarantee.VirtualCell
	// reservedWorkers lists the workers that are being emptied for this work.
	reservedWorkers []string
	// noRoomVersion is the version at which no room could be made for this work.
	noRoomVersion int64
}

// part is what work occupies on one worker, in one cell if it runs in its guarantee.
type part struct {
	node       *node
	tasks      int
	accelShare int
	cell       *guarantee.VirtualCell
	offset     int
}

// node is a worker with the work that holds it.
type node struct {
	*cell.Worker
	domain  string
	leaving bool
	gone    bool
	// coolUntil is the time until which the worker gets no new work after a refusal.
	coolUntil clock.Millis
	works     []*work
}

// account is a client account with its queue.
type account struct {
	name   string
	weight int64
	quota  job.Resources
	queue  *queue.Queue[*work]
	used   job.Resources
	// borrowedCharge is the sum of the shares of the account's work beyond its guarantee.
	borrowedCharge int64
}

// fitClassKey is what decides whether a job without failures fits.
type fitClassKey struct {
	account    string
	shape      job.Shape
	tier       queue.Tier
	idempotent bool
	stoppable  bool
}

// fitClass remembers at which version jobs of one kind were last seen not to fit.
type fitClass struct {
	noGuaranteedFit, noFitByMoving, noBorrowingFit, noUrgentFit int64
	// size is the largest cell that a task or an adjacent gang needs.
	size int
}

const maxFitClasses = 4096

func (c *Core) fitClassOf(s job.Spec, tier queue.Tier) *fitClass {
	key := fitClassKey{s.Account, s.Shape, tier, s.Idempotent, s.Stoppable()}
	k := c.fitClasses[key]
	if k == nil {
		if len(c.fitClasses) >= maxFitClasses {
			clear(c.fitClasses)
		}
		k = &fitClass{size: s.Shape.Accelerators}
		if s.Shape.Adjacent == job.Rack || s.Shape.Adjacent == job.Worker {
			k.size *= s.Shape.Count()
		}
		c.fitClasses[key] = k
	}
	return k
}

func (w *work) spec() *job.Spec { return &w.record.Spec }

func (w *work) tasks() int { return w.record.Spec.Shape.Count() }

func (w *work) taskNeeds() job.Resources { return w.record.Spec.Shape.Resources(1) }

func (w *work) needs(tasks int) job.Resources { return w.record.Spec.Shape.Resources(tasks) }

func (w *work) urgent() bool { return w.record.Spec.Class == job.Urgent }

func (w *work) needsAccels() bool { return w.record.Spec.Shape.Accelerators > 0 }

// accels returns the accelerators of the whole gang.
func (w *work) accels() int { return w.tasks() * w.record.Spec.Shape.Accelerators }

// fitsLikeClass reports whether the work fits exactly when any other of its class does.
func (w *work) fitsLikeClass() bool {
	return len(w.failed) == 0 && len(w.reservedWorkers) == 0 && w.reservedCell == nil
}

// usedOn returns what the work occupies on the worker.
func (w *work) usedOn(n *node) job.Resources {
	var r job.Resources
	for _, p := range w.parts {
		if p.node == n {
			r = r.Add(w.needs(p.tasks))
		}
	}
	return r
}

// lostWork returns the work that a stop at now loses, in accelerator milliseconds.
func (c *Core) lostWork(w *work) clock.Millis {
	size := clock.Millis(max(w.accels(), 1))
	if w.record.Spec.Checkpoints {
		return size * c.opts.Grace
	}
	if w.record.State != job.Running {
		return 0
	}
	return size * (c.now - w.record.Started)
}

func (c *Core) account(name string) *account {
	a := c.accountByName[name]
	if a == nil {
		a = &account{name: name, weight: 1, queue: queue.New[*work]()}
		c.accountByName[name] = a
		at, _ := slices.BinarySearchFunc(c.accounts, name, func(a *account, n string) int { return strings.Compare(a.name, n) })
		c.accounts = slices.Insert(c.accounts, at, a)
	}
	return a
}
