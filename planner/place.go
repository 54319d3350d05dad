package planner

import (
	"cmp"
	"math"
	"slices"

	"github.com/chestnutsail/chestnutsail/clock"
)

// eligible reports whether the node with index n may run tasks of a unit, regardless of the free
// resources there.
func (p *plan) eligible(u *Unit, n int) bool { return p.obstacle(u, n) == noObstacle }

// allowAvoided clears the avoided nodes of the units that would not fit on the other nodes even
// if these were empty. Such a unit could otherwise never start.
func (p *plan) allowAvoided() {
	for i := range p.Units {
		u := &p.Units[i]
		if len(u.Avoid) == 0 {
			continue
		}
		missing := p.requiredTasks(u)
		for n := range p.Nodes {
			if node := &p.Nodes[n]; !u.Avoid[n] && node.suits(u) && !node.unhealthyFor(u) {
				missing -= p.slots(u, n, node.Capacity)
			}
		}
		if missing > 0 {
			u.Avoid = nil
		}
	}
}

// slots returns how many tasks of a unit fit into the available resources of the node with index
// n, within the unit's limit for each worker.
func (p *plan) slots(u *Unit, n int, available Shape) int {
	fitting := available.Slots(u.Shape)
	if u.PerWorker > 0 {
		fitting = min(fitting, u.PerWorker-u.TasksOnNode[n])
	}
	return max(fitting, 0)
}

// requirements are the properties of a unit that decide where it can be placed, except for its
// avoided nodes and its limit for each worker.
type requirements struct {
	shape        Shape
	service      string
	label        string
	rack         string
	gang         bool
	sameRack     bool
	lastAttempt  bool
	usesHeadroom bool
	minSpeed     float64
}

// requirementsOf returns the requirements of a unit. complete is false if the unit also has
// avoided nodes or a limit for each worker, which are not part of the requirements.
func (p *plan) requirementsOf(u *Unit) (requirements, bool) {
	req := requirements{shape: u.Shape, service: u.Service, label: u.Label, gang: u.Gang, lastAttempt: u.LastAttempt, usesHeadroom: p.mayUseHeadroom(u), minSpeed: u.MinSpeed}
	if u.DataRack != "" && p.shouldWaitForData(u) {
		req.rack = u.DataRack
	}
	// As long as a gang may wait for a rack, it is not placed across racks. A gang with the same
	// shape that no longer waits may be, so the two have different requirements.
	req.sameRack = u.Gang && u.SameRack && (u.Waited < maxRackWait || p.shouldWaitForRack(u))
	return req, len(u.Avoid) == 0 && u.PerWorker == 0
}

// failedPlacements holds, by requirements, the smallest number of tasks of a unit that could not be
// placed.
type failedPlacements map[requirements]int

// includes reports whether an earlier failure shows that the unit can't be placed either.
func (m failedPlacements) includes(u *Unit, req requirements) bool {
	fewest, failed := m[req]
	return failed && (!u.Gang || u.Count >= fewest)
}

func (m failedPlacements) add(u *Unit, req requirements) {
	if fewest, failed := m[req]; !failed || u.Count < fewest {
		m[req] = u.Count
	}
}

// placeUnlessFailed does the same as place, but returns nil at once if another unit with the same
// requirements could not be placed before. For a gang, the other unit must not have had more tasks.
// complete and req come from requirementsOf; failed records the failures for these available
// resources.
func (p *plan) placeUnlessFailed(u *Unit, req requirements, complete bool, failed failedPlacements, available func(n int) Shape) []int {
	if complete && failed.includes(u, req) {
		return nil
	}
	nodes := p.place(u, available)
	if nodes == nil && complete {
		failed.add(u, req)
	}
	return nodes
}

// place returns one node for each task of a gang, or one node for each task that fits of
// another unit. It returns nil if nothing fits, or if the unit should wait for its data's rack
// or for a single rack. available returns the resources that may be used on a node.
func (p *plan) place(u *Unit, available func(n int) Shape) []int {
	if u.DataRack != "" {
		if nodes := p.pack(u, p.byRack[u.DataRack], available, noObstacle); nodes != nil {
			return nodes
		}
		if p.shouldWaitForData(u) {
			return nil
		}
	}
	if u.Gang && u.SameRack {
		if nodes := p.placeInOneRack(u, available); nodes != nil {
			return nodes
		}
		if p.shouldWaitForRack(u) || p.fitsRackSoon(u) {
			return nil
		}
	}
	return p.pack(u, p.allNodes, available, noObstacle)
}

func (p *plan) shouldWaitForData(u *Unit) bool {
	return u.Waited < placementWait(u, dataWaitFactor) && p.fitsWhenEmpty(u, p.byRack[u.DataRack])
}

func (p *plan) shouldWaitForRack(u *Unit) bool {
	if u.Waited >= placementWait(u, rackWaitFactor) {
		return false
	}
	return slices.ContainsFunc(p.racks, func(rack string) bool { return p.fitsWhenEmpty(u, p.byRack[rack]) })
}

// fitsRackSoon reports whether a gang fits into a single rack once the stops in progress have
// finished. Waiting for them is worthwhile: a gang that is spread over racks takes a multiple of
// its run time, while the stops are short.
func (p *plan) fitsRackSoon(u *Unit) bool {
	if u.Waited >= maxRackWait {
		return false
	}
	return p.placeInOneRack(u, func(n int) Shape { return p.Nodes[n].FreeSoon }) != nil
}

func placementWait(u *Unit, factor float64) clock.Millis {
	wait := max(clock.Millis(factor*float64(u.Estimate)), minPlacementWait)
	if u.Guaranteed {
		return min(wait, maxGuaranteedWait)
	}
	return wait
}

// fitsWhenEmpty reports whether all tasks of a gang, or one task of another unit, would fit on
// the nodes if nothing else ran there.
func (p *plan) fitsWhenEmpty(u *Unit, nodes []int) bool {
	missing := 1
	if u.Gang {
		missing = u.Count
	}
	for _, n := range nodes {
		if p.eligible(u, n) {
			missing -= p.slots(u, n, p.Nodes[n].Capacity)
		}
	}
	return missing <= 0
}

// placeInOneRack places a unit within a single rack. Of the racks where the unit fits, it takes
// one where the unit needs the fewest nodes that may be too slow for it, and of these the one with the
// fewest available accelerators. It returns nil if there is none.
func (p *plan) placeInOneRack(u *Unit, available func(n int) Shape) []int {
	var best []int
	fewestDoubtful, leastUnused := math.MaxInt, math.MaxInt
	for _, rack := range p.racks {
		nodes := p.pack(u, p.byRack[rack], available, noObstacle)
		if nodes == nil {
			continue
		}
		unused, doubtful := 0, p.countDoubtful(u, nodes)
		for _, n := range p.byRack[rack] {
			unused += available(n).Accels
		}
		if cmp.Or(cmp.Compare(doubtful, fewestDoubtful), cmp.Compare(unused, leastUnused)) < 0 {
			best, fewestDoubtful, leastUnused = nodes, doubtful, unused
		}
	}
	return best
}

// candidate is a node with room for one or more tasks. Lower sort keys are preferred.
type candidate struct {
	sortKey uint64
	node    int32
	slots   int32
}

// pack places a unit on the nodes of a set that have no worse obstacle than the given one, in their
// order of preference. It returns one node for each task, or nil if a gang does not fit whole or no
// task of another unit fits.
func (p *plan) pack(u *Unit, set []int, available func(n int) Shape, worst obstacle) []int {
	candidates := p.candidates[:0]
	total := 0
	for _, n := range set {
		free := available(n)
		fitting := p.slots(u, n, free)
		if fitting == 0 || p.obstacle(u, n) > worst {
			continue
		}
		candidates = append(candidates, candidate{p.preference(u, n, free), int32(n), int32(fitting)})
		total += fitting
	}
	p.candidates = candidates
	if total == 0 || (u.Gang && total < u.Count) {
		return nil
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.sortKey, b.sortKey) })
	nodes := make([]int, 0, min(total, u.Count))
	for _, c := range candidates {
		for range min(int(c.slots), u.Count-len(nodes)) {
			nodes = append(nodes, int(c.node))
		}
		if len(nodes) == u.Count {
			break
		}
	}
	return nodes
}

// Widths in bits of the parts of a node's sort key. Together, with three flags, they fill 64 bits.
// The last part is the node's index, which makes every key unique.
const (
	flagBits  = 1
	speedBits = 6
	accelBits = 8
	rackBits  = 13
	coreBits  = 18
	indexBits = 16
)

// preference returns the sort key of a node for a unit; lower keys are preferred. Nodes that are
// neither suspect nor slow come first. Among these, urgent units prefer faster nodes. Then come
// nodes in the rack of the unit's data, then nodes with the fewest free accelerators, in the racks
// with the fewest free accelerators, so that whole workers and racks stay free for gangs. A
// single integer makes the comparisons in the sort cheap.
func (p *plan) preference(u *Unit, n int, available Shape) uint64 {
	node := &p.Nodes[n]
	var key sortKey
	key.addFlag(node.Suspect)
	key.addFlag(node.Slow)
	key.add(p.speedRank(u, node), speedBits)
	key.addFlag(u.DataRack != "" && node.Rack != u.DataRack)
	key.add(available.Accels, accelBits)
	key.add(p.rackFree[p.rackOf[n]], rackBits)
	key.add(available.Cores, coreBits)
	key.add(n, indexBits)
	return uint64(key)
}

// sortKey is an integer that is composed of bit fields, the most significant criterion first.
type sortKey uint64

// add appends a field of the given width. A value outside the range of the field is clamped.
func (k *sortKey) add(value, bits int) {
	largest := 1<<bits - 1
	*k = *k<<bits | sortKey(min(max(value, 0), largest))
}

func (k *sortKey) addFlag(set bool) {
	value := 0
	if set {
		value = 1
	}
	k.add(value, flagBits)
}
