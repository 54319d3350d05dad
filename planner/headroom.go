package planner

import (
	"cmp"
	"slices"

	"github.com/chestnutsail/chestnutsail/clock"
)

// keepHeadroom marks the nodes that only urgent units may use from now on in the plan: the
// racks with the least other work, until their free accelerators make up each service's
// headroom. Urgent gangs then start at once, in one rack, and stop nobody.
func (p *plan) keepHeadroom() {
	p.headroomKept = true
	if len(p.Headroom) == 0 {
		return
	}
	missing := make(map[string]int, len(p.Headroom))
	for service, accels := range p.Headroom {
		missing[service] = accels
		if use := p.uses[service]; use.halfEmpty() {
			missing[service] = min(accels, use.all.Accels/idlePart)
		}
	}
	others := p.othersByRack()
	racks := slices.Clone(p.racks)
	slices.SortStableFunc(racks, func(a, b string) int { return cmp.Compare(others[a], others[b]) })
	for _, rack := range racks {
		for _, n := range p.byRack[rack] {
			node := &p.Nodes[n]
			if missing[node.Service] <= 0 || !node.Usable {
				continue
			}
			p.urgentOnly[n] = true
			missing[node.Service] -= max(node.Free.Accels, 0)
		}
	}
}

const (
	// idlePart is the divisor for the part of a service's accelerators that headroom is at the
	// most while the service is half empty.
	idlePart = 4
	// headroomPatience is how long work that could run waits for headroom while the service is
	// roomy; the platform's bound on such a wait is 3 s.
	headroomPatience = 2 * clock.Second
)

// mayUseHeadroom reports whether a unit may use the nodes that are kept for urgent work.
func (p *plan) mayUseHeadroom(u *Unit) bool {
	return u.Priority == 0 || (u.Waited >= headroomPatience && p.uses[u.Service].isRoomy())
}

// othersByRack returns the accelerators in use by work that is not urgent.
func (p *plan) othersByRack() map[string]int {
	use := make(map[string]int, len(p.racks))
	for h := range p.Held {
		held := &p.Held[h]
		if held.Priority == 0 || p.evicted[h] {
			continue
		}
		for _, n := range held.Nodes {
			use[p.Nodes[n].Rack] += held.Shape.Accels
		}
	}
	return use
}
