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

// mode is the right by which a job occupies its workers. The values are part of a
// snapshot.
type mode string

const (
	// modeGuaranteed means that the job runs in cells that are guaranteed to its
	// account.
	modeGuaranteed mode = "own"
	// modeBorrowing means that the job is a borrower: it can be stopped and may run on
	// any worker.
	modeBorrowing mode = "borrow"
	// modeExempt means that the job needs no guarantee: it runs on workers without
	// accelerators, or no cluster text was in force, or it cannot be stopped and ran
	// already when the core got to know it.
	modeExempt mode = "outside"
)

// liveJob is a job that waits or runs. It began to wait at since, and is being stopped
// if stopping is not "". All jobs with the same fitClass fit under the same conditions.
// failed lists the workers on which the job has failed, and failures counts its
// failures.
type liveJob struct {
	record job.Record
	id     string
	seq    int64
	since  clock.Millis
	rank   queue.Rank
	acct   *account
	class  *fitClass
	// queued tells that the job is in its account's queue.
	queued bool
	// planned tells that the job holds its parts but has not started, because the jobs
	// in waitFor have to leave first.
	planned bool
	waitFor map[string]bool
	mode    mode
	parts   []part
	// charge is what the job adds to its account's borrowedCharge.
	charge   int64
	stopping Cause
	// attained is the run time of earlier attempts in milliseconds.
	attained clock.Millis
	failed   []string
	failures int
	// displacedOthers tells that borrowers were stopped to make room for this large
	// gang. Such a gang is not moved for another one.
	displacedOthers bool
	// reservedCell is the cell of the account that is reserved for this large gang, or
	// nil.
	reservedCell *guarantee.VirtualCell
	// reservedWorkers lists the workers that are reserved for this large gang.
	reservedWorkers []string
	// noRoomVersion is the value of Core.version at which no room could be made for
	// this large gang.
	noRoomVersion int64
}

// part is what a job occupies on one worker. accelShare is the number of the worker's
// accelerators whose share of the worker's resources the tasks need. A job within its
// guarantee has one part for each cell and worker: cell is the guaranteed cell and
// offset the position of the worker in it. Otherwise cell is nil.
type part struct {
	node       *node
	tasks      int
	accelShare int
	cell       *guarantee.VirtualCell
	offset     int
}

// node is a worker with the jobs that hold its resources.
type node struct {
	*cell.Worker
	domain  string
	leaving bool
	gone    bool
	// coolUntil is the time until which the worker gets no new jobs because it refused
	// a reservation.
	coolUntil clock.Millis
	jobs      []*liveJob
}

// account is a client account with its queue.
type account struct {
	name   string
	weight int64
	quota  job.Resources
	queue  *queue.Queue[*liveJob]
	used   job.Resources
	// borrowedCharge is the sum of the charges for the account's jobs beyond its
	// guarantee.
	borrowedCharge int64
}

// fitClassKey identifies a fitClass. It holds the properties that determine whether a job
// fits, except for the workers on which the job has failed or that are reserved for it.
type fitClassKey struct {
	account    string
	shape      job.Shape
	tier       queue.Tier
	idempotent bool
	stoppable  bool
}

// fitClass remembers for the jobs of one class the value of Core.version at which none
// of them was found to fit: within the guarantee, within the guarantee by moving other
// jobs, as a borrower, and as an urgent job. As long as the version is the same,
// another attempt is pointless.
type fitClass struct {
	noGuaranteedFit, noFitByMoving, noBorrowingFit, noUrgentFit int64
	// size is the size in accelerators of the cell that a task needs, or that the
	// entire gang needs if its tasks have to be adjacent.
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

func (j *liveJob) spec() *job.Spec { return &j.record.Spec }

func (j *liveJob) tasks() int { return j.record.Spec.Shape.Count() }

func (j *liveJob) taskNeeds() job.Resources { return j.record.Spec.Shape.Resources(1) }

func (j *liveJob) needs(tasks int) job.Resources { return j.record.Spec.Shape.Resources(tasks) }

func (j *liveJob) urgent() bool { return j.record.Spec.Class == job.Urgent }

func (j *liveJob) needsAccels() bool { return j.record.Spec.Shape.Accelerators > 0 }

// accels returns the number of accelerators of the entire gang.
func (j *liveJob) accels() int { return j.tasks() * j.record.Spec.Shape.Accelerators }

// fitsLikeClass reports whether the job fits under the same conditions as the others of
// its fitClass: it has no failures and nothing is reserved for it.
func (j *liveJob) fitsLikeClass() bool {
	return len(j.failed) == 0 && len(j.reservedWorkers) == 0 && j.reservedCell == nil
}

// usedOn returns the resources that the job occupies on the worker.
func (j *liveJob) usedOn(n *node) job.Resources {
	var r job.Resources
	for _, p := range j.parts {
		if p.node == n {
			r = r.Add(j.needs(p.tasks))
		}
	}
	return r
}

// lostWork returns the work that is lost if the job is stopped now, in accelerator
// milliseconds. For a job that writes checkpoints it is the work done during the grace
// period.
func (c *Core) lostWork(j *liveJob) clock.Millis {
	size := clock.Millis(max(j.accels(), 1))
	if j.record.Spec.Checkpoints {
		return size * c.opts.CheckpointGrace
	}
	if j.record.State != job.Running {
		return 0
	}
	return size * (c.now - j.record.Started)
}

func (c *Core) account(name string) *account {
	a := c.accountByName[name]
	if a == nil {
		a = &account{name: name, weight: 1, queue: queue.New[*liveJob]()}
		c.accountByName[name] = a
		at, _ := slices.BinarySearchFunc(c.accounts, name, func(a *account, n string) int { return strings.Compare(a.name, n) })
		c.accounts = slices.Insert(c.accounts, at, a)
	}
	return a
}
