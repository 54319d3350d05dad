package planner

import (
	"cmp"
	"slices"
)

// reserve keeps nodes from later units until a gang finds room there: those of the rack
// that is closest to holding it, or those closest to being free where no rack could.
func (p *plan) reserve(u *Unit) {
	nodes := p.closestRack(u)
	if nodes == nil {
		nodes = p.closestNodes(u)
	}
	if nodes == nil {
		return
	}
	p.reservations[u.Service]++
	for _, n := range nodes {
		p.reserved[n] = true
	}
}

// closestRack returns the nodes of the rack with the most room for a gang among those that
// would hold it if they were empty, or nil.
func (p *plan) closestRack(u *Unit) []int {
	best, most, free := "", -1, 0
	for _, rack := range p.racks {
		slots, whole, accels := 0, 0, 0
		for _, n := range p.byRack[rack] {
			if p.suits(u, n) {
				slots += p.slots(u, n, p.Nodes[n].Soon)
				whole += p.slots(u, n, p.Nodes[n].Capacity)
				accels += p.Nodes[n].Soon.Accels
			}
		}
		if whole >= u.Count && (slots > most || (slots == most && accels > free)) {
			best, most, free = rack, slots, accels
		}
	}
	if most < 0 {
		return nil
	}
	return p.byRack[best]
}

// closestNodes returns as many nodes as would hold a gang if they were empty, those with
// the most free accelerators first, or nil.
func (p *plan) closestNodes(u *Unit) []int {
	var nodes []int
	for n := range p.Nodes {
		if p.suits(u, n) && p.slots(u, n, p.Nodes[n].Capacity) > 0 {
			nodes = append(nodes, n)
		}
	}
	slices.SortStableFunc(nodes, func(a, b int) int { return cmp.Compare(p.Nodes[b].Soon.Accels, p.Nodes[a].Soon.Accels) })
	need := u.Count
	for i, n := range nodes {
		need -= p.slots(u, n, p.Nodes[n].Capacity)
		if need <= 0 {
			return nodes[:i+1]
		}
	}
	return nil
}

// mayReserve reports whether room may be kept for one more gang of a service. While the
// service is half empty only one gang holds room, or work would wait that could run.
func (p *plan) mayReserve(u *Unit) bool {
	most := maxReservations
	if p.uses[u.Service].halfEmpty() {
		most = 1
	}
	return p.reservations[u.Service] < most
}
