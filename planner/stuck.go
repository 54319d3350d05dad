package planner

const (
	// stuckRoomFactor is how many times over a unit must fit into the free resources to be reported
	// as stuck.
	stuckRoomFactor = 2
	// maxStuckUnits is the largest number of units that one plan reports as stuck.
	maxStuckUnits = 8
)

// Stuck describes a unit that waits although there are free resources for its tasks. It counts
// the tasks that would fit, by the obstacle that keeps them from starting. Each node counts for
// one obstacle only. Unit is the index in Input.Units.
type Stuck struct {
	Unit int
	// Free counts the tasks that would fit on nodes without an obstacle. The unit then waits for
	// a single rack or for the rack of its data.
	Free int
	// Reserved counts the tasks that would fit on nodes reserved for a waiting gang, which may
	// be the unit itself. Headroom counts those on nodes that are kept free for urgent units.
	Reserved int
	Headroom int
	// Avoided counts those on nodes where tasks of the unit have failed before. Unhealthy counts
	// those on nodes that were recently slow or had task failures.
	Avoided   int
	Unhealthy int
}

// Slots returns the number of tasks that would fit into the free resources.
func (s *Stuck) Slots() int { return s.Free + s.Reserved + s.Headroom + s.Avoided + s.Unhealthy }

// recordIfStuck adds a blocked unit to the stuck units of the plan if it has waited for long enough
// and the free resources would be enough for it.
func (p *plan) recordIfStuck(i int) {
	u := &p.Units[i]
	if p.StuckAfter == 0 || u.Waited < p.StuckAfter || len(p.out.Stuck) == maxStuckUnits {
		return
	}
	s := Stuck{Unit: i}
	for n := range p.Nodes {
		node := &p.Nodes[n]
		if !node.Usable || node.Service != u.Service || !node.hasLabel(u.Label) {
			continue
		}
		*p.obstacleCounter(&s, u, n) += p.slots(u, n, node.Free)
	}
	if s.Slots() >= stuckRoomFactor*p.requiredTasks(u) {
		p.out.Stuck = append(p.out.Stuck, s)
	}
}

// obstacleCounter returns the counter in s of the obstacle that keeps a unit from a node.
func (p *plan) obstacleCounter(s *Stuck, u *Unit, n int) *int {
	node := &p.Nodes[n]
	switch {
	case u.Avoid[n]:
		return &s.Avoided
	case (node.Suspect || node.Slow) && (u.LastAttempt || u.Gang):
		return &s.Unhealthy
	case p.reserved[n]:
		return &s.Reserved
	case p.urgentOnly[n] && !p.mayUseHeadroom(u):
		return &s.Headroom
	}
	return &s.Free
}
