package planner

import (
	"cmp"
	"slices"
)

// reserveHeadroom marks the nodes that only urgent units may use in the rest of the plan. It
// takes the nodes of the racks with the least non-urgent work first, until their free
// accelerators make up the headroom of each service. Urgent gangs that arrive later can then
// start at once and within one rack, without evicting other work.
func (p *plan) reserveHeadroom() {
	p.headroomReserved = true
	if len(p.Headroom) == 0 {
		return
	}
	missing := make(map[string]int, len(p.Headroom))
	for service, accels := range p.Headroom {
		missing[service] = accels
		if use := p.usages[service]; use.halfEmpty() {
			missing[service] = min(accels, use.total.Accels/headroomDivisor)
		}
	}
	nonUrgent := p.nonUrgentByRack()
	racks := slices.Clone(p.racks)
	slices.SortStableFunc(racks, func(a, b string) int { return cmp.Compare(nonUrgent[a], nonUrgent[b]) })
	for _, rack := range racks {
		for _, n := range p.byRack[rack] {
			node := &p.Nodes[n]
			if missing[node.Service] <= 0 || !node.Usable || node.Quarantined || !p.suitsUrgent(node) {
				continue
			}
			p.urgentOnly[n] = true
			missing[node.Service] -= max(node.Free.Accels, 0)
		}
	}
}

// headroomDivisor limits the headroom while less than half of a service is in use: it is at most
// the service's number of accelerators divided by headroomDivisor.
const headroomDivisor = 4

// mayUseHeadroom reports whether a unit may use the nodes that are reserved for urgent work.
func (p *plan) mayUseHeadroom(u *Unit) bool {
	return u.Priority == 0 || p.overdue(u)
}

// nonUrgentByRack returns the number of accelerators in each rack that non-urgent work uses,
// without the work that this plan evicts.
func (p *plan) nonUrgentByRack() map[string]int {
	accels := make(map[string]int, len(p.racks))
	for w := range p.Running {
		work := &p.Running[w]
		if work.Priority == 0 || p.evicted[w] {
			continue
		}
		for _, n := range work.Nodes {
			accels[p.Nodes[n].Rack] += work.Shape.Accels
		}
	}
	return accels
}
