package planner

const (
	// plenty is how many times over a unit has to have room for its wait to want a reason.
	plenty = 2
	// maxStuck bounds the units of one plan whose wait is explained.
	maxStuck = 8
)

// Stuck is a unit that waits although its tasks would have room, with the number of
// them that would have it by what keeps them from it. A node counts for one obstacle.
type Stuck struct {
	Unit int
	// Free tasks are kept back by no mark on a node: they wait for one rack or their data.
	Free int
	// Reserved nodes are kept for a gang that waits, the unit itself included, Headroom for
	// urgent units to come.
	Reserved int
	Headroom int
	// Avoided nodes have failed the unit's tasks before, Unsound ones were slow or failed
	// others of late.
	Avoided int
	Unsound int
}

// Slots returns the number of tasks that would have room.
func (s *Stuck) Slots() int { return s.Free + s.Reserved + s.Headroom + s.Avoided + s.Unsound }

// explain notes a unit that found no room as stuck if what is free would hold it.
func (p *plan) explain(i int) {
	u := &p.Units[i]
	if p.Patience == 0 || u.Waited < p.Patience || len(p.out.Stuck) == maxStuck {
		return
	}
	s := Stuck{Unit: i}
	for n := range p.Nodes {
		node := &p.Nodes[n]
		if !node.Usable || node.Service != u.Service || !node.labelled(u.Label) {
			continue
		}
		*p.obstacle(&s, u, n) += p.slots(u, n, node.Free)
	}
	if s.Slots() >= plenty*p.wanted(u) {
		p.out.Stuck = append(p.out.Stuck, s)
	}
}

// obstacle returns the count of what keeps a unit from a node.
func (p *plan) obstacle(s *Stuck, u *Unit, n int) *int {
	node := &p.Nodes[n]
	switch {
	case u.Avoid[n]:
		return &s.Avoided
	case (node.Suspect || node.Slow) && (u.Fragile || u.Gang):
		return &s.Unsound
	case p.reserved[n]:
		return &s.Reserved
	case p.urgentOnly[n] && !p.mayUseHeadroom(u):
		return &s.Headroom
	}
	return &s.Free
}
