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

// allowSlow clears the speeds that units under a guarantee need once they have waited for maxGuaranteedWait: a
// guarantee has to be met in a bounded time, on whatever nodes there are.
func (p *plan) allowSlow() {
	for i := range p.Units {
		if u := &p.Units[i]; u.Guaranteed && u.Waited >= maxGuaranteedWait {
			u.MinSpeed = 0
		}
	}
}
