package planner

// use is what is in use of a service's usable nodes.
type use struct{ busy, all Shape }

// halfEmpty reports whether less than half of a service is in use, by its accelerators if it
// has any and by its cores otherwise: work that could run must not wait for long then.
func (u use) halfEmpty() bool {
	if u.all.Accels > 0 {
		return 2*u.busy.Accels < u.all.Accels
	}
	return 2*u.busy.Cores < u.all.Cores
}

// accelCores is the number of cores that an accelerator counts as, as the platform prices work.
const accelCores = 8

// Weight returns an amount of resources in thousandths of a core.
func (s Shape) Weight() int { return s.Cores + 1000*accelCores*s.Accels }

// isRoomy reports whether a service is half empty, or would be by all of its resources
// together: it may be short of one of them that a given task hardly needs.
func (u use) isRoomy() bool { return u.halfEmpty() || 2*u.busy.Weight() < u.all.Weight() }

// countUse returns what is in use of each service.
func countUse(nodes []Node) map[string]use {
	uses := make(map[string]use)
	for i := range nodes {
		n := &nodes[i]
		if !n.Usable {
			continue
		}
		u := uses[n.Service]
		u.busy = u.busy.Add(n.Capacity.Sub(n.Free))
		u.all = u.all.Add(n.Capacity)
		uses[n.Service] = u
	}
	return uses
}
