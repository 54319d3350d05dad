package scheduler

import (
	"github.com/chestnutsail/chestnutsail/cell"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/text"
)

// Admits reports whether the core's failure domain can ever run a job. If it can,
// guaranteed tells whether the job needs accelerators and fits its account's guarantee
// in the domain; if it cannot, reason tells why.
func (c *Core) Admits(s job.Spec) (guaranteed bool, reason outcome.Reason) {
	reason, ok := c.impossibleReason(&s)
	if !ok {
		return false, reason
	}
	return s.Shape.Accelerators > 0 && c.fitsGuarantee(&s), ""
}

// impossibleReason reports whether a job can ever run in the failure domain; if it
// cannot, the returned reason tells why.
func (c *Core) impossibleReason(spec *job.Spec) (outcome.Reason, bool) {
	if !c.fitsEmptyFleet(spec.Shape) {
		return outcome.ImpossibleShape, false
	}
	if c.text == nil {
		return "", true
	}
	a, _ := c.text.Account(spec.Account)
	if !fitsQuota(spec.Shape.Resources(spec.Shape.Count()), a.Quota) {
		return outcome.OverQuota, false
	}
	if !spec.Stoppable() && !c.fitsGuarantee(spec) {
		return outcome.NoGuarantee, false
	}
	return "", true
}

// fitsQuota reports whether r is at most quota in every resource that quota limits; 0
// in quota means that the resource is not limited.
func fitsQuota(r, quota job.Resources) bool {
	fits := func(used, limit int) bool { return limit == 0 || used <= limit }
	return fits(r.Cores, quota.Cores) && fits(r.Memory, quota.Memory) &&
		fits(r.Accelerators, quota.Accelerators) && fits(r.Slots, quota.Slots)
}

// fitsEmptyFleet reports whether the job would fit if no other job ran, on the fleet
// described in the cluster text or on the workers known so far. The result is true as
// long as there is neither a fleet nor a worker.
func (c *Core) fitsEmptyFleet(s job.Shape) bool {
	pools := c.domainPools()
	if len(pools) == 0 && len(c.nodes) == 0 {
		return true
	}
	sum := 0
	for _, p := range pools {
		fit := cell.Fit(s.Resources(1), p.workerCapacity(), s.Count())
		switch s.Adjacent {
		case job.Worker:
		case job.Rack:
			fit *= p.Workers
		default:
			sum += fit * p.Workers * p.Racks
			fit = sum
		}
		if fit >= s.Count() {
			return true
		}
	}
	return c.workersCanHold(s, func(*node) bool { return true })
}

// pool is a pool of the cluster text that lies in the core's failure domain.
type pool struct{ text.Pool }

func (p pool) workerCapacity() job.Resources {
	return job.Resources{Cores: p.Cores, Memory: p.Memory, Accelerators: p.Accels, Slots: p.Slots}
}

func (c *Core) domainPools() []pool {
	if c.text == nil {
		return nil
	}
	var pools []pool
	for _, p := range c.text.Fleet {
		if p.Domain == c.opts.Domain && p.Racks > 0 && p.Workers > 0 {
			pools = append(pools, pool{p})
		}
	}
	return pools
}

// workersCanHold reports whether the known workers for which include is true could hold
// a job of the shape if no other job ran.
func (c *Core) workersCanHold(s job.Shape, include func(*node) bool) bool {
	tasksByGroup := make(map[string]int)
	for _, w := range c.space.Workers {
		if !include(c.nodes[w.Name]) {
			continue
		}
		key := ""
		switch s.Adjacent {
		case job.Worker:
			key = w.Name
		case job.Rack:
			key = w.Rack
		}
		tasksByGroup[key] += cell.Fit(s.Resources(1), w.Capacity, s.Count())
		if tasksByGroup[key] >= s.Count() {
			return true
		}
	}
	return false
}

// fitsGuarantee reports whether the job would fit its account's guarantee if no other
// job ran. A job without accelerators needs no guarantee on workers without
// accelerators; it also fits if those can hold it.
func (c *Core) fitsGuarantee(s *job.Spec) bool {
	taskNeeds := s.Shape.Resources(1)
	if taskNeeds.Accelerators == 0 && c.workersWithoutAccelsCanHold(s.Shape) {
		return true
	}
	sum := 0
	for _, v := range c.ledger.CellsOf(s.Account) {
		n, largest := c.maxTasksInCell(v.Accels, taskNeeds, s.Shape.Count())
		if s.Shape.Adjacent == job.Worker {
			n = largest
			sum = 0
		}
		sum += n
		if sum >= s.Shape.Count() {
			return true
		}
	}
	return false
}

// workersWithoutAccelsCanHold reports whether workers without accelerators could hold a
// job of the shape if no other job ran. In a pool of the cluster text, it checks only
// that one task fits on a worker.
func (c *Core) workersWithoutAccelsCanHold(s job.Shape) bool {
	for _, p := range c.domainPools() {
		if p.Accels == 0 && cell.Fit(s.Resources(1), p.workerCapacity(), s.Count()) > 0 {
			return true
		}
	}
	return c.workersCanHold(s, func(n *node) bool { return n.Capacity.Accelerators == 0 })
}

// maxTasksInCell returns how many tasks a cell of size accelerators holds at most on
// the kinds of worker that the fleet has: in total, and on one of its workers. limit
// bounds the number of tasks on one worker.
func (c *Core) maxTasksInCell(size int, taskNeeds job.Resources, limit int) (total, perWorker int) {
	capacities := make([]job.Resources, 0, len(c.space.Rows))
	for _, p := range c.domainPools() {
		capacities = append(capacities, p.workerCapacity())
	}
	for _, r := range c.space.Rows {
		for _, w := range r.Workers {
			if w != nil {
				capacities = append(capacities, w.Capacity)
				break
			}
		}
	}
	for _, capacity := range capacities {
		if capacity.Accelerators == 0 {
			continue
		}
		n := tasksInShare(&cell.Worker{Capacity: capacity}, taskNeeds, min(size, capacity.Accelerators), limit)
		perWorker = max(perWorker, n)
		total = max(total, n*max(size/capacity.Accelerators, 1))
	}
	return total, perWorker
}

// tasksInShare returns how many tasks, at most limit, fit into the share of the worker
// that belongs to the given number of its accelerators.
func tasksInShare(worker *cell.Worker, taskNeeds job.Resources, accels, limit int) int {
	n := 0
	for n < limit && worker.AccelsNeeded(multiply(taskNeeds, n+1)) <= accels {
		n++
	}
	return n
}

func multiply(r job.Resources, n int) job.Resources {
	return job.Resources{Cores: n * r.Cores, Memory: n * r.Memory, Accelerators: n * r.Accelerators, Slots: n * r.Slots}
}
