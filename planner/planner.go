// Package planner decides which waiting tasks start on which workers, and which
// running ones have to make way. It is pure: the same input gives the same plan.
//
// The load it answers: gangs that want whole workers of one rack beside many small
// tasks, more of both than there is room for, with urgent gangs that hold a guarantee.
//
// # Usage
//
//	out := planner.Plan(planner.Input{Nodes: nodes, Units: units, Held: held})
//	for _, s := range out.Starts { ... }
//	for _, i := range out.Evict { ... }
package planner

import (
	"cmp"
	"slices"

	"github.com/chestnutsail/chestnutsail/clock"
)

// Shape is an amount of resources.
type Shape struct {
	// Cores is in thousandths of a core, Memory in megabytes.
	Cores  int
	Memory int
	Accels int
}

// Add returns the sum of s and o.
func (s Shape) Add(o Shape) Shape {
	return Shape{s.Cores + o.Cores, s.Memory + o.Memory, s.Accels + o.Accels}
}

// Sub returns s without o.
func (s Shape) Sub(o Shape) Shape {
	return Shape{s.Cores - o.Cores, s.Memory - o.Memory, s.Accels - o.Accels}
}

// Times returns n times s.
func (s Shape) Times(n int) Shape { return Shape{s.Cores * n, s.Memory * n, s.Accels * n} }

// Slots returns how many times one fits into s.
func (s Shape) Slots(one Shape) int {
	n := fits(maxSlots, s.Accels, one.Accels)
	n = fits(n, s.Cores, one.Cores)
	return fits(n, s.Memory, one.Memory)
}

// fits bounds a number of tasks by one resource. Dividing is dear, and most nodes are full.
func fits(n, has, one int) int {
	switch {
	case one <= 0 || n == 0:
		return n
	case has < one:
		return 0
	}
	return min(n, has/one)
}

// least returns the smaller of s and o in each dimension.
func (s Shape) least(o Shape) Shape {
	return Shape{min(s.Cores, o.Cores), min(s.Memory, o.Memory), min(s.Accels, o.Accels)}
}

const (
	// maxSlots bounds the tasks that ask for nothing on one worker.
	maxSlots = 64
	// maxReservations bounds the gangs of a service for which room is kept free at a time.
	maxReservations = 4
	// maxEvictions bounds the units for which others make way in one plan.
	maxEvictions = 6
	// rackPatience and dataPatience are the multiples of a task's estimate that a unit
	// waits for its rack before it takes any; work elsewhere takes a multiple of that.
	rackPatience = 1.0
	dataPatience = 0.7
	// minPatience is the least of these waits, in milliseconds.
	minPatience = 400 * clock.Millisecond
	// guaranteedPatience is the most that a unit within its guarantee waits: the bound on
	// a reclaim is 2.7 s, and stopping others and ordering takes up to 1.2 s of it.
	guaranteedPatience = clock.Second
	// maxRackWait is the most that a gang waits for a rack that is being emptied; the bound
	// on a reclaim is 2.7 s.
	maxRackWait = 2 * clock.Second
)

// Node is a worker.
type Node struct {
	ID       string
	Service  string
	Rack     string
	Labels   []string
	Capacity Shape
	// Free is what may be used now, Soon what will be once the stops under way are done.
	Free Shape
	Soon Shape
	// Usable nodes take new tasks.
	Usable bool
	// Suspect nodes have failed tasks of late.
	Suspect bool
	// Speed is how fast the node is when it is sound; 1 is usual.
	Speed float64
	// Slow nodes were seen to be far slower than others of late.
	Slow bool
}

// Unit is a number of like tasks of one step that wait.
type Unit struct {
	Service  string
	Label    string
	DataRack string
	Priority int
	// Guaranteed units are within their account's guarantee.
	Guaranteed bool
	Shape      Shape
	// Count is the number of tasks that wait; a gang starts all of them or none.
	Count    int
	Gang     bool
	SameRack bool
	// PerWorker bounds the tasks on one node, Here counts those that are there.
	PerWorker int
	Here      map[int]int
	// Avoid are nodes on which the tasks have failed before.
	Avoid map[int]bool
	// Fragile units must not be put on suspect nodes: another failure ends their job.
	Fragile bool
	// Hopeless units can't earn anything any more.
	Hopeless bool
	// Late units can't meet their objective any more, even if they start at once.
	Late bool
	// Rank orders units of the same priority, the least first.
	Rank     clock.Millis
	Waited   clock.Millis
	Estimate clock.Millis
	// Pay is the work in core-seconds that may be thrown away for the unit.
	Pay float64
}

// Held is running work: a task or a whole gang.
type Held struct {
	Priority   int
	Guaranteed bool
	Shape      Shape
	// Nodes has one entry a member.
	Nodes []int
	// Loss is the work in core-seconds that a stop throws away.
	Loss float64
	// Pinned work is not to be stopped.
	Pinned bool
}

// Input is all that a plan depends on.
type Input struct {
	Nodes []Node
	Units []Unit
	Held  []Held
	// Headroom is the number of accelerators of each service that are kept free for urgent
	// units that are still to come; units of other priorities do not use them.
	Headroom map[string]int
	// Patience is the wait in milliseconds after which a unit that has room is explained;
	// 0 explains none.
	Patience clock.Millis
}

// Start tells where tasks of a unit start: one entry in Nodes a task.
type Start struct {
	Unit  int
	Nodes []int
}

// Output is a plan.
type Output struct {
	Starts []Start
	// Evict are the indices of held work to stop.
	Evict []int
	// Blocked are the units that found no room, in their order.
	Blocked []int
	// Stuck are some of those that wait although what is free would hold them.
	Stuck []Stuck
}

type plan struct {
	Input
	out    Output
	byRack map[string][]int
	// rackOf is each node's rack, rackFree the number of accelerators that are free in each.
	rackOf   []int
	rackFree []int
	racks    []string
	onNode   [][]int
	evicted  []bool
	// everywhere lists all nodes.
	everywhere []int
	// noneFree and noneSoon are the wants that found no room; what is free only shrinks,
	// and what is free soon grows by an eviction alone.
	noneFree misses
	noneSoon misses
	options  []option
	// reserved nodes are kept for a gang that waits; reservations counts those gangs and uses
	// what is in use, by service.
	reserved     []bool
	reservations map[string]int
	uses         map[string]use
	// urgentOnly nodes are part of the headroom, once headroomKept.
	urgentOnly   []bool
	headroomKept bool
	evictions    int
}

// Plan decides on all units, in their order.
func Plan(in Input) Output {
	p := newPlan(in)
	for _, i := range p.order() {
		if p.Units[i].Priority > 0 && !p.headroomKept {
			p.keepHeadroom()
		}
		if !p.serve(i) {
			p.out.Blocked = append(p.out.Blocked, i)
			p.explain(i)
		}
	}
	return p.out
}

func newPlan(in Input) *plan {
	p := &plan{Input: in, byRack: make(map[string][]int), onNode: make([][]int, len(in.Nodes))}
	p.Nodes = slices.Clone(in.Nodes)
	p.noneFree, p.noneSoon = make(misses), make(misses)
	for i, n := range p.Nodes {
		p.everywhere = append(p.everywhere, i)
		if _, seen := p.byRack[n.Rack]; !seen {
			p.racks = append(p.racks, n.Rack)
		}
		p.byRack[n.Rack] = append(p.byRack[n.Rack], i)
	}
	slices.Sort(p.racks)
	p.countRacks()
	p.reserved = make([]bool, len(p.Nodes))
	p.reservations, p.uses = make(map[string]int), countUse(p.Nodes)
	p.urgentOnly = make([]bool, len(p.Nodes))
	p.evicted = make([]bool, len(in.Held))
	for h, held := range in.Held {
		for _, n := range held.Nodes {
			p.onNode[n] = append(p.onNode[n], h)
		}
	}
	return p
}

// countRacks numbers the racks and counts what is free in each.
func (p *plan) countRacks() {
	p.rackOf, p.rackFree = make([]int, len(p.Nodes)), make([]int, len(p.racks))
	for r, rack := range p.racks {
		for _, n := range p.byRack[rack] {
			p.rackOf[n] = r
			p.rackFree[r] += p.Nodes[n].Free.Accels
		}
	}
}

// order returns the units' indices in the order in which they are served.
func (p *plan) order() []int {
	order := make([]int, len(p.Units))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return compare(&p.Units[a], &p.Units[b]) })
	return order
}

func compare(a, b *Unit) int {
	return cmp.Or(
		falseFirst(!a.Guaranteed, !b.Guaranteed),
		falseFirst(a.Hopeless, b.Hopeless),
		cmp.Compare(a.Priority, b.Priority),
		falseFirst(a.Late, b.Late),
		cmp.Compare(a.Rank, b.Rank),
	)
}

func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// serve starts a unit, makes room for it or keeps room free. It reports whether
// anything of the unit started.
func (p *plan) serve(i int) bool {
	u := &p.Units[i]
	w, alike := p.wantOf(u)
	if nodes := p.placeOnce(u, w, alike, p.noneFree, func(n int) Shape { return p.Nodes[n].Free }); nodes != nil {
		p.start(i, nodes)
		return true
	}
	if !u.Gang && u.Priority > 0 {
		return false
	}
	if nodes := p.placeOnce(u, w, alike, p.noneSoon, func(n int) Shape { return p.Nodes[n].Soon }); nodes != nil {
		p.keep(u, nodes)
		return false
	}
	if u.Pay > 0 && p.evictions < maxEvictions && p.evict(u) {
		p.evictions++
		return false
	}
	if u.Gang && !u.Hopeless && p.mayReserve(u) {
		p.reserve(u)
	}
	return false
}

func (p *plan) start(i int, nodes []int) {
	u := &p.Units[i]
	for _, n := range nodes {
		p.rackFree[p.rackOf[n]] -= u.Shape.Accels
		p.Nodes[n].Free = p.Nodes[n].Free.Sub(u.Shape)
		p.Nodes[n].Soon = p.Nodes[n].Soon.Sub(u.Shape)
	}
	p.out.Starts = append(p.out.Starts, Start{Unit: i, Nodes: nodes})
}

// keep holds room that is about to become free for a unit.
func (p *plan) keep(u *Unit, nodes []int) {
	for _, n := range nodes {
		node := &p.Nodes[n]
		node.Soon = node.Soon.Sub(u.Shape)
		node.Free = node.Free.least(node.Soon)
	}
}
