package scheduler

import (
	"github.com/chestnutsail/chestnutsail/cell"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/text"
)

// Admits reports whether a job fits its account's guarantee in the core's failure
// domain, and why it can never run there, if it can't.
func (c *Core) Admits(s job.Spec) (owns bool, reason outcome.Reason) {
	reason, ok := c.admit(&s)
	if !ok {
		return false, reason
	}
	return s.Shape.Accelerators > 0 && c.everOwn(&s), ""
}

// admit reports whether a job can ever run, and if not why.
func (c *Core) admit(s *job.Spec) (outcome.Reason, bool) {
	if !c.everFits(s.Shape) {
		return outcome.ImpossibleShape, false
	}
	if c.text == nil {
		return "", true
	}
	a, _ := c.text.Account(s.Account)
	if !within(s.Shape.Resources(s.Shape.Count()), a.Quota) {
		return outcome.OverQuota, false
	}
	if !s.Stoppable() && !c.everOwn(s) {
		return outcome.NoGuarantee, false
	}
	return "", true
}

// within reports whether r is at most quota in every resource that quota bounds.
func within(r, quota job.Resources) bool {
	ok := func(used, bound int) bool { return bound == 0 || used <= bound }
	return ok(r.Cores, quota.Cores) && ok(r.Memory, quota.Memory) &&
		ok(r.Accelerators, quota.Accelerators) && ok(r.Slots, quota.Slots)
}

// everFits reports whether the fleet of the text or the known workers could hold
// the shape when empty. It is true as long as neither is known.
func (c *Core) everFits(s job.Shape) bool {
	pools := c.pools()
	if len(pools) == 0 && len(c.nodes) == 0 {
		return true
	}
	sum := 0
	for _, p := range pools {
		n := cell.Fit(s.Resources(1), p.worker(), s.Count())
		switch s.Adjacent {
		case job.Worker:
		case job.Rack:
			n *= p.Workers
		default:
			sum += n * p.Workers * p.Racks
			n = sum
		}
		if n >= s.Count() {
			return true
		}
	}
	return c.holds(s, func(*node) bool { return true })
}

// pool is a pool of the text in the core's failure domain.
type pool struct{ text.Pool }

func (p pool) worker() job.Resources {
	return job.Resources{Cores: p.Cores, Memory: p.Memory, Accelerators: p.Accels, Slots: p.Slots}
}

func (c *Core) pools() []pool {
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

// holds reports whether those known workers for which ok is true could hold the
// shape when empty.
func (c *Core) holds(s job.Shape, ok func(*node) bool) bool {
	racks := make(map[string]int)
	for _, w := range c.space.Workers {
		if !ok(c.nodes[w.Name]) {
			continue
		}
		key := ""
		switch s.Adjacent {
		case job.Worker:
			key = w.Name
		case job.Rack:
			key = w.Rack
		}
		racks[key] += cell.Fit(s.Resources(1), w.Capacity, s.Count())
		if racks[key] >= s.Count() {
			return true
		}
	}
	return false
}

// everOwn reports whether work that cannot be stopped fits its account's
// guarantee, or workers without accelerators.
func (c *Core) everOwn(s *job.Spec) bool {
	each := s.Shape.Resources(1)
	if each.Accelerators == 0 && c.plainWorkers(s.Shape) {
		return true
	}
	sum := 0
	for _, v := range c.ledger.Of(s.Account) {
		n, largest := c.cellTasks(v.Accels, each, s.Shape.Count())
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

// plainWorkers reports whether workers without accelerators could hold the shape.
func (c *Core) plainWorkers(s job.Shape) bool {
	for _, p := range c.pools() {
		if p.Accels == 0 && cell.Fit(s.Resources(1), p.worker(), s.Count()) > 0 {
			return true
		}
	}
	return c.holds(s, func(n *node) bool { return n.Capacity.Accelerators == 0 })
}

// cellTasks returns how many tasks a cell of the given size holds at most on the
// kinds of worker that the fleet has, in all and on one worker.
func (c *Core) cellTasks(size int, each job.Resources, limit int) (all, one int) {
	kinds := make([]job.Resources, 0, len(c.space.Rows))
	for _, p := range c.pools() {
		kinds = append(kinds, p.worker())
	}
	for _, r := range c.space.Rows {
		for _, w := range r.Workers {
			if w != nil {
				kinds = append(kinds, w.Capacity)
				break
			}
		}
	}
	for _, k := range kinds {
		if k.Accelerators == 0 {
			continue
		}
		n := tasksWithin(&cell.Worker{Capacity: k}, each, min(size, k.Accelerators), limit)
		one = max(one, n)
		all = max(all, n*max(size/k.Accelerators, 1))
	}
	return all, one
}

// tasksWithin returns how many tasks, at most limit, the share of room
// accelerators of the worker covers.
func tasksWithin(w *cell.Worker, each job.Resources, room, limit int) int {
	n := 0
	for n < limit && w.Cover(times(each, n+1)) <= room {
		n++
	}
	return n
}

func times(r job.Resources, n int) job.Resources {
	return job.Resources{Cores: n * r.Cores, Memory: n * r.Memory, Accelerators: n * r.Accelerators, Slots: n * r.Slots}
}
