package planner

import (
	"cmp"
	"math"
	"slices"
)

// evict adds running work to the plan's evictions so that the unit fits once that work has
// stopped, and claims the resources for the unit. Of all node sets that the unit can use, it
// takes the one with the least cost. It returns false and changes nothing if it finds no
// eviction within the cost that the unit may cause (MaxLoss) that makes the unit fit.
func (p *plan) evict(u *Unit) bool {
	if u.Hopeless && !u.Guaranteed {
		// Hopeless units are served last. Other units would take the freed resources first and
		// be evicted again in the next plan.
		return false
	}
	var best []int
	leastCost := math.Inf(1)
	for _, set := range p.candidateSets(u) {
		victims, cost, ok := p.victims(u, set)
		if ok && cost < leastCost {
			best, leastCost = victims, cost
		}
	}
	if best == nil || leastCost > u.MaxLoss {
		return false
	}
	p.countAsFreeSoon(best, 1)
	nodes := p.place(u, func(n int) Shape { return p.Nodes[n].FreeSoon })
	if nodes == nil {
		p.countAsFreeSoon(best, -1)
		return false
	}
	for _, w := range best {
		p.evicted[w] = true
		p.out.Evict = append(p.out.Evict, w)
	}
	p.claimSoon(u, nodes)
	return true
}

// UrgentTaskWorth is how much work, in core-seconds, may be thrown away so that one urgent task ends
// in time. At the prices of both sites, that work is worth less than such a task.
const UrgentTaskWorth = 250

// evictionCost returns what it costs to evict running work, in core-seconds: the work that is lost
// and, for urgent work, which comes late by it, what that is worth.
func (p *plan) evictionCost(w int) float64 {
	work := &p.Running[w]
	if work.Priority > 0 {
		return work.Loss
	}
	return work.Loss + UrgentTaskWorth*float64(len(work.Nodes))
}

// candidateSets returns the sets of nodes on which the unit may be placed. The unit must fit
// into a single one of them.
func (p *plan) candidateSets(u *Unit) [][]int {
	if u.DataRack != "" && p.shouldWaitForData(u) {
		return [][]int{p.byRack[u.DataRack]}
	}
	if !u.Gang || !u.SameRack || !p.shouldWaitForRack(u) {
		return [][]int{p.allNodes}
	}
	var sets [][]int
	for _, rack := range p.racks {
		sets = append(sets, p.byRack[rack])
	}
	return sets
}

// countAsFreeSoon adds the resources of the victims to FreeSoon of their nodes if times is 1, and
// subtracts them again if times is -1.
func (p *plan) countAsFreeSoon(victims []int, times int) {
	clear(p.failedSoon)
	for _, w := range victims {
		for _, n := range p.Running[w].Nodes {
			p.Nodes[n].FreeSoon = p.Nodes[n].FreeSoon.Add(p.Running[w].Shape.Times(times))
		}
	}
}

// victims selects the running work to evict so that the unit fits on a set of nodes. It returns
// the indices in Running and their total cost in core-seconds. It selects greedily, by the cost for
// each additional task. ok is false if nothing has to be evicted, if evictions can't make enough
// room, or if the selection exceeds u.MaxLoss.
func (p *plan) victims(u *Unit, set []int) (chosen []int, cost float64, ok bool) {
	c := victimSelection{plan: p, unit: u, free: make(map[int]Shape), selected: make(map[int]bool), inSet: make([]bool, len(p.Nodes))}
	c.missing = p.requiredTasks(u)
	for _, n := range set {
		c.inSet[n] = true
		if p.eligible(u, n) {
			c.missing -= p.slots(u, n, p.Nodes[n].FreeSoon)
		}
	}
	for c.missing > 0 {
		nodeEvictions := c.nodeEvictions(set)
		missingBefore := c.missing
		for _, eviction := range nodeEvictions {
			if c.missing <= 0 {
				break
			}
			if !c.add(eviction) {
				return nil, 0, false
			}
		}
		if c.missing == missingBefore {
			return nil, 0, false
		}
	}
	return c.chosen, c.cost, len(c.chosen) > 0
}

// victimSelection is the state of the search for work to evict for one unit. inSet marks the nodes
// on which the unit may be placed. free holds, by node, the resources that are free after the
// evictions selected so far; nodes without an entry are unchanged. selected and chosen both hold
// the indices in Running of the work to evict, and cost is its total cost in core-seconds.
type victimSelection struct {
	plan     *plan
	unit     *Unit
	inSet    []bool
	free     map[int]Shape
	selected map[int]bool
	chosen   []int
	cost     float64
	// missing is the number of tasks of the unit that still have no place.
	missing int
}

// nodeEviction is running work on one node whose eviction lets at least one more task of the
// unit run there.
type nodeEviction struct {
	node    int
	victims []int
	// costPerTask is the cost in core-seconds for each additional task that fits.
	costPerTask float64
}

func (c *victimSelection) freeOn(n int) Shape {
	if shape, changed := c.free[n]; changed {
		return shape
	}
	return c.plan.Nodes[n].FreeSoon
}

// nodeEvictions returns the next possible eviction of each node, ordered by the cost for each
// additional task.
func (c *victimSelection) nodeEvictions(set []int) []nodeEviction {
	var list []nodeEviction
	for _, n := range set {
		if !c.plan.eligible(c.unit, n) {
			continue
		}
		if eviction, ok := c.nodeEviction(n); ok {
			list = append(list, eviction)
		}
	}
	slices.SortStableFunc(list, func(a, b nodeEviction) int { return cmp.Compare(a.costPerTask, b.costPerTask) })
	return list
}

func (c *victimSelection) nodeEviction(n int) (nodeEviction, bool) {
	free := c.freeOn(n)
	before := c.plan.slots(c.unit, n, free)
	eviction := nodeEviction{node: n}
	cost := 0.0
	for _, w := range c.plan.evictable(c.unit, n, c.selected) {
		work := &c.plan.Running[w]
		eviction.victims = append(eviction.victims, w)
		cost += c.plan.evictionCost(w)
		for _, member := range work.Nodes {
			if member == n {
				free = free.Add(work.Shape)
			}
		}
		if gained := c.plan.slots(c.unit, n, free) - before; gained > 0 {
			eviction.costPerTask = cost / float64(gained)
			return eviction, true
		}
	}
	return nodeEviction{}, false
}

// add adds the victims of an eviction to the selection. It reports whether the total cost is
// still within what the unit may cause.
func (c *victimSelection) add(eviction nodeEviction) bool {
	for _, w := range eviction.victims {
		if c.selected[w] {
			// The work is a gang that was already selected for another node. Its resources on
			// this node were added at that time.
			continue
		}
		work := &c.plan.Running[w]
		c.selected[w] = true
		c.chosen = append(c.chosen, w)
		c.cost += c.plan.evictionCost(w)
		for _, n := range work.Nodes {
			c.addFree(n, work.Shape)
		}
	}
	return c.cost <= c.unit.MaxLoss
}

// addFree adds free resources on a node and lowers missing by the tasks that now fit there.
func (c *victimSelection) addFree(n int, shape Shape) {
	freeBefore := c.freeOn(n)
	c.free[n] = freeBefore.Add(shape)
	if c.inSet[n] && c.plan.eligible(c.unit, n) {
		c.missing -= c.plan.slots(c.unit, n, c.free[n]) - c.plan.slots(c.unit, n, freeBefore)
	}
}

// requiredTasks returns the number of tasks of a unit that must fit for evictions to be worthwhile:
// all tasks of a gang, or one task of another unit.
func (p *plan) requiredTasks(u *Unit) int {
	if u.Gang {
		return u.Count
	}
	return 1
}

// isProtectedFrom reports whether work is not evicted for a unit, since it is within a guarantee. Guarantees are of
// accelerators: work that has none makes way for a unit within its guarantee that needs some.
func (w *RunningWork) isProtectedFrom(u *Unit) bool {
	return w.Guaranteed && (w.Shape.Accels > 0 || u.Shape.Accels == 0)
}

// evictable returns the indices in Running of the work on a node that may be evicted for a unit and
// is not selected yet, ordered by cost. Work that is protected and pinned work are never
// evicted; other work must have a lower priority, unless the unit is within its guarantee.
func (p *plan) evictable(u *Unit, n int, selected map[int]bool) []int {
	var list []int
	for _, w := range p.onNode[n] {
		work := &p.Running[w]
		outranked := !work.isProtectedFrom(u) && (u.Guaranteed || work.Priority > u.Priority)
		if outranked && !work.Pinned && !p.evicted[w] && !selected[w] && !slices.Contains(list, w) {
			list = append(list, w)
		}
	}
	if len(list) < 2 {
		return list
	}
	slices.SortStableFunc(list, func(a, b int) int { return cmp.Compare(p.evictionCost(a), p.evictionCost(b)) })
	return list
}
