package scheduler

import (
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
)

// Why says why a job waits.
type Why string

// The reasons for which a job waits.
const (
	// WhyCapacity means that no free workers fit the job.
	WhyCapacity Why = "capacity"
	// WhyGuarantee means that the job cannot be stopped and its account's guarantee is in use.
	WhyGuarantee Why = "guarantee"
	// WhyReclaim means that borrowers are being stopped to make room for the job.
	WhyReclaim Why = "reclaim"
	// WhyReserved means that workers are being emptied for the job.
	WhyReserved Why = "reserved"
	// WhyQuota means that the account's quota is in use.
	WhyQuota Why = "quota"
	// WhyShortfall means that lost or quarantined workers leave no room for the job.
	WhyShortfall Why = "shortfall"
)

// Health says what the scheduler makes of a worker.
type Health string

// The states of health of a worker.
const (
	Up          Health = "up"
	Leaving     Health = "leaving"
	Gone        Health = "gone"
	Quarantined Health = "quarantined"
)

// Status is what a core knows, for people to read.
type Status struct {
	Now      clock.Millis    `json:"now"`
	Accounts []AccountStatus `json:"accounts"`
	Jobs     []JobStatus     `json:"waiting"`
	Workers  []WorkerStatus  `json:"workers"`
}

// AccountStatus tells how one client account stands in the domain, in accelerators.
type AccountStatus struct {
	Name string `json:"name"`
	// Guarantee is what the account is guaranteed, Held what its work occupies of it,
	// and Borrowed what its work occupies beyond it.
	Guarantee int `json:"guarantee"`
	Held      int `json:"held"`
	Borrowed  int `json:"borrowed"`
	// Owed is the part of the guarantee that no work of the account occupies.
	Owed int `json:"owed"`
	// Shortfall is the part of Owed that lost or quarantined workers make impossible.
	Shortfall int `json:"shortfall"`
	Waiting   int `json:"waiting"`
	Running   int `json:"running"`
}

// JobStatus tells why a job waits and since when.
type JobStatus struct {
	ID      string       `json:"id"`
	Account string       `json:"account"`
	Class   job.Class    `json:"class"`
	Why     Why          `json:"why"`
	Since   clock.Millis `json:"since"`
	// Detail explains the wait to a person.
	Detail string `json:"detail,omitempty"`
}

// WorkerStatus tells how one worker stands.
type WorkerStatus struct {
	Name   string        `json:"name"`
	Rack   string        `json:"rack"`
	Health Health        `json:"health"`
	Free   job.Resources `json:"free"`
	// Total is the worker's capacity.
	Total job.Resources `json:"total"`
	Jobs  int           `json:"jobs"`
}

// Status returns what the core knows, accounts in the order of the text, jobs in
// the order of the queue, workers by name.
func (c *Core) Status() Status {
	s := Status{Now: c.now}
	if c.text != nil {
		for _, a := range c.text.Accounts {
			s.Accounts = append(s.Accounts, AccountStatus{Name: a.Name})
		}
	}
	for _, id := range c.waiting {
		spec := c.jobs[id].Spec
		s.Jobs = append(s.Jobs, JobStatus{ID: id, Account: spec.Account, Class: spec.Class, Why: WhyCapacity, Since: c.since[id]})
	}
	for _, name := range c.order {
		n := c.nodes[name]
		w := WorkerStatus{Name: name, Rack: n.Rack, Health: Up, Free: n.free, Total: n.Capacity, Jobs: len(c.placedOn(name))}
		if n.leaving {
			w.Health = Leaving
		}
		s.Workers = append(s.Workers, w)
	}
	return s
}
