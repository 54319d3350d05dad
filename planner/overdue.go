package planner

import "github.com/chestnutsail/chestnutsail/clock"

const (
	// maxHold is how long a unit that could run waits at most while its service has spare
	// capacity, whatever the reason. The platform allows work that could run to wait for 3 s, of
	// which recording and ordering the start take a part.
	maxHold = 2 * clock.Second
	// spareRoomFactor is how many times over a unit must fit into the free resources for that
	// limit to hold: with less room, it might take what a gang needs that has waited for longer.
	spareRoomFactor = 2
)

// overdue reports whether a unit has waited for as long as it may. Only lasting units have that limit
// also in a service without spare capacity.
func (p *plan) overdue(u *Unit) bool {
	return u.Waited >= maxHold && (u.Lasting || p.usages[u.Service].hasSpareCapacity())
}

// placeOverdue places an overdue unit that fits into the free resources with room to spare, although
// something keeps it from them, and returns the cause. It takes nodes with weaker obstacles if these are
// enough. Of a unit that is no gang, it places one task, and unless it is lasting only if none is
// running: the unit's job is then at work, and the other tasks wait on. It returns nil if the unit has
// to wait.
func (p *plan) placeOverdue(u *Unit) ([]int, Cause) {
	if !p.overdue(u) || (!u.Gang && !u.Lasting && len(u.TasksOnNode) > 0) {
		return nil, ""
	}
	slots := p.freeSlots(u)
	fitting, required := 0, p.requiredTasks(u)
	for _, count := range slots {
		fitting += count
	}
	if fitting < spareRoomFactor*required {
		return nil, ""
	}
	free := func(n int) Shape { return p.Nodes[n].Free }
	for worst := noObstacle; worst < failingNode; worst++ {
		if nodes := p.pack(u, p.allNodes, free, worst); nodes != nil {
			return nodes[:required], p.waitCause(u, slots)
		}
	}
	return nil, ""
}
