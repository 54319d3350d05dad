package scheduler

import (
	"fmt"
	"slices"

	"github.com/chestnutsail/chestnutsail/cell"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
)

// WaitReason is the reason why a job waits.
type WaitReason string

// The reasons why a job waits.
const (
	// WaitCapacity means that the job does not fit on the free workers.
	WaitCapacity WaitReason = "capacity"
	// WaitGuarantee means that the job cannot be stopped and its account's guarantee is
	// in use.
	WaitGuarantee WaitReason = "guarantee"
	// WaitReclaim means that other jobs are being stopped to make room for the job.
	WaitReclaim WaitReason = "reclaim"
	// WaitReserved means that a cell or workers are reserved for the job and being
	// emptied.
	WaitReserved WaitReason = "reserved"
	// WaitQuota means that the job would exceed its account's quota.
	WaitQuota WaitReason = "quota"
	// WaitShortfall means that the job cannot be stopped and that guaranteed cells
	// cannot be formed because workers are lost or in quarantine.
	WaitShortfall WaitReason = "shortfall"
)

// Health is the state of a worker as the scheduler sees it.
type Health string

// The health states of a worker.
const (
	Up          Health = "up"
	Leaving     Health = "leaving"
	Gone        Health = "gone"
	Quarantined Health = "quarantined"
)

// Status is the state of a core in a form for operators. Jobs lists the jobs that wait
// in a queue or for other jobs to be stopped.
type Status struct {
	Now      clock.Millis    `json:"now"`
	Accounts []AccountStatus `json:"accounts"`
	Jobs     []JobStatus     `json:"waiting"`
	Workers  []WorkerStatus  `json:"workers"`
}

// AccountStatus is the use of the domain by one client account. Waiting and Running
// count jobs; all other amounts are in accelerators.
type AccountStatus struct {
	Name string `json:"name"`
	// Guarantee is what is guaranteed to the account in the domain, Held what its jobs
	// occupy within the guarantee, and Borrowed what they occupy beyond it.
	Guarantee int `json:"guarantee"`
	Held      int `json:"held"`
	Borrowed  int `json:"borrowed"`
	// Owed is the part of the guarantee that the account's jobs do not occupy.
	Owed int `json:"owed"`
	// Shortfall is the part of the guarantee that cannot be provided because workers
	// are lost or in quarantine.
	Shortfall int `json:"shortfall"`
	Waiting   int `json:"waiting"`
	Running   int `json:"running"`
}

// JobStatus tells why a job waits and since when.
type JobStatus struct {
	ID           string       `json:"id"`
	Account      string       `json:"account"`
	Class        job.Class    `json:"class"`
	Why          WaitReason   `json:"why"`
	WaitingSince clock.Millis `json:"since"`
	// Detail explains the reason in a sentence for people.
	Detail string `json:"detail,omitempty"`
}

// WorkerStatus is the state of one worker. Jobs counts the jobs that hold resources of
// the worker.
type WorkerStatus struct {
	Name   string        `json:"name"`
	Rack   string        `json:"rack"`
	Health Health        `json:"health"`
	Free   job.Resources `json:"free"`
	// Total is the worker's capacity.
	Total job.Resources `json:"total"`
	Jobs  int           `json:"jobs"`
}

// Status returns the accounts sorted by name; the waiting jobs, sorted by account and
// in the order of its queue, followed by the planned jobs; and the workers sorted by
// name.
func (c *Core) Status() Status {
	s := Status{Now: c.now}
	byAccount := c.shortfalls()
	for _, a := range c.accounts {
		s.Accounts = append(s.Accounts, c.accountStatus(a, byAccount[a.name]))
		for i := range a.queue.Len() {
			s.Jobs = append(s.Jobs, c.jobStatus(a.queue.At(i)))
		}
	}
	for _, w := range c.planned {
		s.Jobs = append(s.Jobs, c.jobStatus(w))
	}
	for _, w := range c.space.Workers {
		n := c.nodes[w.Name]
		s.Workers = append(s.Workers, WorkerStatus{
			Name: w.Name, Rack: w.Rack, Health: c.health(n), Free: w.Free, Total: w.Capacity, Jobs: len(n.jobs),
		})
	}
	return s
}

func (c *Core) accountStatus(a *account, shortfall int) AccountStatus {
	s := AccountStatus{Name: a.name, Waiting: a.queue.Len(), Shortfall: shortfall}
	for _, v := range c.ledger.CellsOf(a.name) {
		s.Guarantee += v.Accels
	}
	for _, j := range c.jobs {
		if j.acct != a || len(j.parts) == 0 {
			continue
		}
		if j.planned {
			s.Waiting++
		} else {
			s.Running++
		}
		if j.mode == modeGuaranteed {
			s.Held += j.accels()
		} else {
			s.Borrowed += j.accels()
		}
	}
	s.Owed = max(s.Guarantee-s.Held, 0)
	return s
}

// shortfalls returns, by account, the accelerators of unbound guaranteed cells that
// cannot be formed, and the free accelerators of bound cells on unusable workers.
func (c *Core) shortfalls() map[string]int {
	missing := c.ledger.Owed.ShortfallBySize(c.space.Unbound)
	shortfall := make(map[string]int)
	for _, v := range slices.Backward(c.ledger.Cells) {
		if v.Row == nil {
			if level := cell.Level(v.Accels); missing[level] > 0 {
				missing[level]--
				shortfall[v.Account] += v.Accels
			}
			continue
		}
		for i := range v.Used {
			if w := v.Worker(i); w == nil || !w.Usable {
				shortfall[v.Account] += max(v.AccelsPerWorker()-v.Used[i], 0)
			}
		}
	}
	return shortfall
}

func (c *Core) health(n *node) Health {
	switch {
	case n.gone:
		return Gone
	case n.leaving:
		return Leaving
	case c.tracker.InQuarantine(n.Name):
		return Quarantined
	default:
		return Up
	}
}

func (c *Core) jobStatus(j *liveJob) JobStatus {
	s := JobStatus{ID: j.id, Account: j.acct.name, Class: j.spec().Class, WaitingSince: j.since, Why: WaitCapacity}
	switch {
	case j.planned:
		s.Why = WaitReclaim
		s.Detail = fmt.Sprintf("waits for %d jobs to stop", len(j.waitFor))
	case !c.withinQuota(j):
		s.Why = WaitQuota
		s.Detail = fmt.Sprintf("the account occupies %d accelerators and %d cores", j.acct.used.Accelerators, j.acct.used.Cores)
	case len(j.reservedWorkers) > 0 || j.reservedCell != nil:
		s.Why = WaitReserved
		s.Detail = fmt.Sprintf("workers are being emptied; borrowers leave by %d", j.since+c.opts.LargeGangWait)
	case c.text != nil && !j.spec().Stoppable() && c.ledger.Shortfall() > 0:
		s.Why = WaitShortfall
	case c.text != nil && !j.spec().Stoppable():
		s.Why = WaitGuarantee
	}
	return s
}
