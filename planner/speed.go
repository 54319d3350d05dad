package planner

import "math"

const (
	// speedStep is the resolution at which the speeds of nodes are compared.
	speedStep = 0.1
	// doubtfulRank is added to the rank of nodes that may be too slow for a unit.
	doubtfulRank = 1 << speedBits / 2
)

// speedRank returns a number that is lower for nodes that a unit prefers for their speed. Urgent units prefer
// nodes that are surely fast enough and, of these, faster ones, because their latency objective is a small
// multiple of their run time. Other units have no preference, unless the service has nodes that are too
// slow for urgent work: then they leave those to urgent work that are surely fast enough for it. Of the
// others, they take the unknown ones first, because their run times tell how fast these are.
func (p *plan) speedRank(u *Unit, node *Node) int {
	if u.Priority > 0 {
		switch {
		case p.suitsUrgent(node):
			return 2
		case node.Speed < p.TightSpeed[node.Service]:
			return 1
		}
		return 0
	}
	rank := 1<<speedBits/2 - int(math.Round(node.Speed/speedStep))
	if isDoubtful(u, node) {
		rank += doubtfulRank
	}
	return rank
}

// isDoubtful reports whether a node may be too slow for a unit.
func isDoubtful(u *Unit, node *Node) bool { return node.SureSpeed < u.MinSpeed }

// countDoubtful returns how many tasks of a unit are placed on nodes that may be too slow for it.
func (p *plan) countDoubtful(u *Unit, nodes []int) int {
	count := 0
	for _, n := range nodes {
		if isDoubtful(u, &p.Nodes[n]) {
			count++
		}
	}
	return count
}

// suitsUrgent reports whether a node is surely fast enough for urgent work.
func (p *plan) suitsUrgent(node *Node) bool { return node.SureSpeed >= p.TightSpeed[node.Service] }

// allowSlow clears the needed speeds that can't be had: those of units for which there are too few nodes that are
// fast enough, even if these were empty, and that are therefore late; and those of units under a guarantee that
// have waited for maxGuaranteedWait, since a guarantee has to be met in a bounded time on whatever nodes there are.
func (p *plan) allowSlow() {
	for i := range p.Units {
		u := &p.Units[i]
		if u.MinSpeed == 0 {
			continue
		}
		switch {
		case u.Guaranteed && u.Waited >= maxGuaranteedWait:
			u.MinSpeed = 0
		case !p.fitsFastNodes(u):
			u.MinSpeed, u.Late = 0, true
		}
	}
}

// fitsFastNodes reports whether a unit fits on nodes that are fast enough for it if they are empty. A gang that is
// kept in one rack must fit into one, unless it fits into no rack at all.
func (p *plan) fitsFastNodes(u *Unit) bool {
	if !u.Gang || !u.SameRack {
		fast, _ := p.slotsWhenEmpty(u, p.allNodes)
		return fast >= p.requiredTasks(u)
	}
	fitsRack := false
	for _, rack := range p.racks {
		fast, all := p.slotsWhenEmpty(u, p.byRack[rack])
		if fast >= u.Count {
			return true
		}
		fitsRack = fitsRack || all >= u.Count
	}
	if fitsRack {
		return false
	}
	fast, _ := p.slotsWhenEmpty(u, p.allNodes)
	return fast >= u.Count
}

// slotsWhenEmpty returns how many tasks of a unit fit on the nodes of a set if these are empty: on those that are fast
// enough for it, and on all.
func (p *plan) slotsWhenEmpty(u *Unit, set []int) (fast, all int) {
	for _, n := range set {
		node := &p.Nodes[n]
		if !node.suits(u) {
			continue
		}
		slots := p.slots(u, n, node.Capacity)
		all += slots
		if node.Speed >= u.MinSpeed {
			fast += slots
		}
	}
	return fast, all
}
