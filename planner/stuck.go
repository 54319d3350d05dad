package planner

// maxStuckUnits is the largest number of units that one plan reports as stuck.
const maxStuckUnits = 8

// Cause is the reason why a unit waits although there are free resources for its tasks.
type Cause string

const (
	// CauseData means that the unit fits, and waits for the rack of its data.
	CauseData Cause = "data"
	// CauseRack means that the unit fits, and waits for a single rack.
	CauseRack Cause = "rack"
	// CauseHeadroom means that the unit needs nodes that are kept free for urgent units.
	CauseHeadroom Cause = "headroom"
	// CauseReserved means that the unit needs nodes that are reserved for a waiting gang.
	CauseReserved Cause = "reserved"
	// CauseUnhealthy means that the unit needs nodes that were recently slow or had failures.
	CauseUnhealthy Cause = "unhealthy"
	// CauseAvoided means that the unit needs nodes where its own tasks have failed before.
	CauseAvoided Cause = "avoided"
	// CauseSlow means that the unit needs nodes that are too slow for it to be in time.
	CauseSlow Cause = "slow"
	// CauseUnknown means that the unit fits and no reason to wait is known.
	CauseUnknown Cause = "unknown"
)

// Stuck describes a unit that waits although there are free resources for its tasks. It counts
// the tasks that would fit, by the obstacle that keeps them from starting. Each node counts for
// one obstacle only. Unit is the index in Input.Units.
type Stuck struct {
	Unit int
	// Cause is the obstacle without which the unit would fit. If it takes several, it is the last
	// of them in the order of the constants.
	Cause Cause
	// Usage is the share of the unit's service that is in use, from 0 to 1.
	Usage float64
	// Free counts the tasks that would fit on nodes without an obstacle. If these are enough, the
	// unit waits for a single rack or for the rack of its data.
	Free int
	// Reserved counts the tasks that would fit on nodes reserved for a waiting gang, which may
	// be the unit itself. Headroom counts those on nodes that are kept free for urgent units.
	Reserved int
	Headroom int
	// Avoided counts those on nodes where tasks of the unit have failed before. Unhealthy counts
	// those on nodes that were recently slow, had task failures or are in quarantine.
	Avoided   int
	Unhealthy int
	// Slow counts those on nodes that are too slow for the unit to be in time.
	Slow int
}

// Slots returns the number of tasks that would fit into the free resources.
func (s *Stuck) Slots() int {
	return s.Free + s.Reserved + s.Headroom + s.Avoided + s.Unhealthy + s.Slow
}

// recordIfStuck adds a blocked unit to the stuck units of the plan if it has waited for long enough
// and fits spareRoomFactor times over into the free resources.
func (p *plan) recordIfStuck(i int) {
	u := &p.Units[i]
	if p.StuckAfter == 0 || u.Waited < p.StuckAfter || len(p.out.Stuck) == maxStuckUnits {
		return
	}
	slots := p.freeSlots(u)
	s := Stuck{
		Unit: i, Usage: p.usages[u.Service].share(), Free: slots[noObstacle], Reserved: slots[reservedNode], Headroom: slots[urgentOnlyNode],
		Avoided: slots[avoidedNode], Unhealthy: slots[unhealthyNode] + slots[quarantinedNode] + slots[failingNode],
		Slow: slots[tooSlowNode],
	}
	if s.Slots() >= spareRoomFactor*p.requiredTasks(u) {
		s.Cause = p.waitCause(u, slots)
		p.out.Stuck = append(p.out.Stuck, s)
	}
}

// waitCause returns why a unit waits although there are free resources for it, given the tasks that
// fit by their obstacles.
func (p *plan) waitCause(u *Unit, slots [obstacleKinds]int) Cause {
	required := p.requiredTasks(u)
	worst, fitting := noObstacle, slots[noObstacle]
	for fitting < required && worst < failingNode {
		worst++
		fitting += slots[worst]
	}
	switch {
	case worst == tooSlowNode:
		return CauseSlow
	case worst == urgentOnlyNode:
		return CauseHeadroom
	case worst == reservedNode:
		return CauseReserved
	case worst == avoidedNode:
		return CauseAvoided
	case worst > noObstacle:
		return CauseUnhealthy
	case u.DataRack != "" && u.Waited < placementWait(u, dataWaitFactor):
		return CauseData
	case u.Gang && u.SameRack:
		return CauseRack
	}
	return CauseUnknown
}
