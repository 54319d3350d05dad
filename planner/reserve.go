package planner

import (
	"cmp"
	"slices"
)

// reserve reserves nodes for a waiting gang: later units of this plan may not use them. It takes
// the rack where the most tasks of the gang fit soon. If the gang would not fit into any single
// rack even if it were empty, reserve takes the nodes with the most accelerators that are free
// soon.
func (p *plan) reserve(u *Unit) {
	nodes := p.bestRackToReserve(u)
	if nodes == nil {
		nodes = p.bestNodesToReserve(u)
	}
	if nodes == nil {
		return
	}
	p.reservations[u.Service]++
	for _, n := range nodes {
		p.reserved[n] = p.reserved[n] || p.Nodes[n].Speed >= u.MinSpeed
	}
}

// bestRackToReserve returns the nodes of the rack where the most tasks of a gang fit soon, among the
// racks where the whole gang would fit if they were empty. It returns nil if there is none.
func (p *plan) bestRackToReserve(u *Unit) []int {
	best, mostSlots, mostAccels := "", -1, 0
	for _, rack := range p.racks {
		slots, slotsWhenEmpty, accels := 0, 0, 0
		for _, n := range p.byRack[rack] {
			if p.eligible(u, n) {
				slots += p.slots(u, n, p.Nodes[n].FreeSoon)
				slotsWhenEmpty += p.slots(u, n, p.Nodes[n].Capacity)
				accels += p.Nodes[n].FreeSoon.Accels
			}
		}
		if slotsWhenEmpty >= u.Count && (slots > mostSlots || (slots == mostSlots && accels > mostAccels)) {
			best, mostSlots, mostAccels = rack, slots, accels
		}
	}
	if mostSlots < 0 {
		return nil
	}
	return p.byRack[best]
}

// bestNodesToReserve returns just enough nodes for a gang to fit if they were empty, those with the
// most accelerators that are free soon first. It returns nil if there are not enough nodes.
func (p *plan) bestNodesToReserve(u *Unit) []int {
	var nodes []int
	for n := range p.Nodes {
		if p.eligible(u, n) && p.slots(u, n, p.Nodes[n].Capacity) > 0 {
			nodes = append(nodes, n)
		}
	}
	slices.SortStableFunc(nodes, func(a, b int) int { return cmp.Compare(p.Nodes[b].FreeSoon.Accels, p.Nodes[a].FreeSoon.Accels) })
	missing := u.Count
	for i, n := range nodes {
		missing -= p.slots(u, n, p.Nodes[n].Capacity)
		if missing <= 0 {
			return nodes[:i+1]
		}
	}
	return nil
}

// mayReserve reports whether nodes may be reserved for one more gang of the unit's service. While
// less than half of the service is in use, only one gang has a reservation; more would make
// other work wait that could run.
func (p *plan) mayReserve(u *Unit) bool {
	limit := maxReservations
	if p.usages[u.Service].halfEmpty() {
		limit = 1
	}
	return p.reservations[u.Service] < limit
}
