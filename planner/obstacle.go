package planner

// obstacle is what keeps a unit from a node, regardless of the free resources there. A higher value
// is a stronger reason.
type obstacle int

const (
	noObstacle obstacle = iota
	// urgentOnlyNode nodes are kept free for urgent units.
	urgentOnlyNode
	// reservedNode nodes are reserved for a waiting gang.
	reservedNode
	// unhealthyNode nodes were recently slow or had task failures. They are an obstacle to gangs and
	// to last attempts.
	unhealthyNode
	// avoidedNode nodes are those where tasks of the unit have failed before.
	avoidedNode
	// failingNode nodes had task failures recently, while a further failure fails the unit's job.
	failingNode
	// unsuitableNode nodes can't run the unit at all.
	unsuitableNode
	obstacleKinds
)

// obstacle returns the strongest obstacle that keeps a unit from the node with index n.
func (p *plan) obstacle(u *Unit, n int) obstacle {
	node := &p.Nodes[n]
	switch {
	case !node.Usable || node.Service != u.Service || !node.hasLabel(u.Label):
		return unsuitableNode
	case node.Suspect && u.LastAttempt:
		return failingNode
	case u.Avoid[n]:
		return avoidedNode
	case (node.Suspect || node.Slow) && (u.LastAttempt || u.Gang):
		return unhealthyNode
	case p.reserved[n]:
		return reservedNode
	case p.urgentOnly[n] && !p.mayUseHeadroom(u):
		return urgentOnlyNode
	}
	return noObstacle
}

// healthy reports whether the node with index n may run tasks of a unit, regardless of what other
// units need it for and of earlier failures of the unit's tasks there.
func (p *plan) healthy(u *Unit, n int) bool {
	node := &p.Nodes[n]
	if (node.Suspect || node.Slow) && (u.LastAttempt || u.Gang) {
		return false
	}
	return node.Usable && node.Service == u.Service && node.hasLabel(u.Label)
}

// freeSlots returns how many tasks of a unit fit into the free resources, by the obstacle that keeps
// them from there. Unsuitable nodes don't count.
func (p *plan) freeSlots(u *Unit) (slots [obstacleKinds]int) {
	for n := range p.Nodes {
		if kind := p.obstacle(u, n); kind != unsuitableNode {
			slots[kind] += p.slots(u, n, p.Nodes[n].Free)
		}
	}
	return slots
}
