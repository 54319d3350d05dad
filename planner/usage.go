package planner

// usage is the used and the total amount of resources on the usable nodes of a service. largest is the most of each
// resource that any of them has.
type usage struct{ used, total, largest Shape }

// halfEmpty reports whether less than half of a service is in use. It counts accelerators if the
// service has any, and cores otherwise. Work that could run must not wait for long in a half-empty
// service.
func (u usage) halfEmpty() bool {
	if u.total.Accels > 0 {
		return 2*u.used.Accels < u.total.Accels
	}
	return 2*u.used.Cores < u.total.Cores
}

// share returns the share of a service that is in use, from 0 to 1, in the same resource as
// halfEmpty. It returns 0 for a service without resources.
func (u usage) share() float64 {
	switch {
	case u.total.Accels > 0:
		return float64(u.used.Accels) / float64(u.total.Accels)
	case u.total.Cores > 0:
		return float64(u.used.Cores) / float64(u.total.Cores)
	}
	return 0
}

// accelCores is the number of cores that one accelerator counts as. It is the ratio at which the
// platform charges for work.
const accelCores = 8

// Weight returns the amount of cores and accelerators as one number, in thousandths of a core.
func (s Shape) Weight() int { return s.Cores + 1000*accelCores*s.Accels }

// hasSpareCapacity reports whether less than half of a service is in use, by halfEmpty or by the
// weight of cores and accelerators together. The service may be short of one resource that a
// task hardly needs.
func (u usage) hasSpareCapacity() bool { return u.halfEmpty() || 2*u.used.Weight() < u.total.Weight() }

// usageByService returns the use of resources of each service.
func usageByService(nodes []Node) map[string]usage {
	byService := make(map[string]usage)
	for i := range nodes {
		n := &nodes[i]
		if !n.Usable {
			continue
		}
		u := byService[n.Service]
		u.used = u.used.Add(n.Capacity.Sub(n.Free))
		u.total = u.total.Add(n.Capacity)
		u.largest = u.largest.maximum(n.Capacity)
		byService[n.Service] = u
	}
	return byService
}

// canHold reports whether a unit could start if all usable nodes of the service were empty, as far as sums and
// maxima of the resources tell.
func (u usage) canHold(unit *Unit) bool {
	needed := unit.Shape
	if unit.Gang {
		needed = unit.Shape.Times(unit.Count)
	}
	return unit.Shape.within(u.largest) && needed.within(u.total)
}

// Unplaceable reports, for each unit, whether it requests so much that it could not start even if all usable nodes of
// its service were empty. Such a unit waits, and must not count as demand or as work that came late for want of room.
func (in *Input) Unplaceable() []bool {
	usages := usageByService(in.Nodes)
	unplaceable := make([]bool, len(in.Units))
	for i := range in.Units {
		unplaceable[i] = !usages[in.Units[i].Service].canHold(&in.Units[i])
	}
	return unplaceable
}
