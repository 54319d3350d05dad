package planner

import (
	"cmp"
	"math"
	"slices"

	"github.com/chestnutsail/chestnutsail/clock"
)

// suits reports whether a node may run a unit's tasks at all.
func (p *plan) suits(u *Unit, n int) bool {
	node := &p.Nodes[n]
	if !node.Usable || node.Service != u.Service || u.Avoid[n] || p.reserved[n] {
		return false
	}
	if p.urgentOnly[n] && !p.mayUseHeadroom(u) {
		return false
	}
	if (node.Suspect || node.Slow) && (u.Fragile || u.Gang) {
		return false
	}
	return node.labelled(u.Label)
}

// labelled reports whether a node has a label; every node has "".
func (n *Node) labelled(label string) bool { return label == "" || slices.Contains(n.Labels, label) }

// slots returns how many of a unit's tasks fit into room on a node.
func (p *plan) slots(u *Unit, n int, room Shape) int {
	s := room.Slots(u.Shape)
	if u.PerWorker > 0 {
		s = min(s, u.PerWorker-u.Here[n])
	}
	return max(s, 0)
}

// want is what decides where a unit fits, for units without bounds of their own.
type want struct {
	shape    Shape
	service  string
	label    string
	rack     string
	gang     bool
	sameRack bool
	fragile  bool
	headroom bool
}

// wantOf returns a unit's want, and whether nothing else bounds its places.
func (p *plan) wantOf(u *Unit) (want, bool) {
	w := want{shape: u.Shape, service: u.Service, label: u.Label, gang: u.Gang, fragile: u.Fragile, headroom: p.mayUseHeadroom(u)}
	if u.DataRack != "" && p.waitsForData(u) {
		w.rack = u.DataRack
	}
	// A gang that may still wait for a rack finds no room where others would be spread.
	w.sameRack = u.Gang && u.SameRack && (u.Waited < maxRackWait || p.waitsForRack(u))
	return w, len(u.Avoid) == 0 && u.PerWorker == 0
}

// misses remembers the least number of tasks with a want that found no room.
type misses map[want]int

// known reports whether a unit is sure to find no room either.
func (m misses) known(u *Unit, w want) bool {
	least, missed := m[w]
	return missed && (!u.Gang || u.Count >= least)
}

func (m misses) add(u *Unit, w want) {
	if least, missed := m[w]; !missed || u.Count < least {
		m[w] = u.Count
	}
}

// placeOnce places a unit unless one that wants no more has found no room before.
func (p *plan) placeOnce(u *Unit, w want, alike bool, m misses, room func(n int) Shape) []int {
	if alike && m.known(u, w) {
		return nil
	}
	nodes := p.place(u, room)
	if nodes == nil && alike {
		m.add(u, w)
	}
	return nodes
}

// place returns a node for each task of a gang, or for as many tasks as have room, or
// nil. Room tells what a node offers.
func (p *plan) place(u *Unit, room func(n int) Shape) []int {
	if u.DataRack != "" {
		if nodes := p.fill(u, p.byRack[u.DataRack], room); nodes != nil {
			return nodes
		}
		if p.waitsForData(u) {
			return nil
		}
	}
	if u.Gang && u.SameRack {
		if nodes := p.oneRack(u, room); nodes != nil {
			return nodes
		}
		if p.waitsForRack(u) || p.rackComes(u) {
			return nil
		}
	}
	return p.fill(u, p.everywhere, room)
}

func (p *plan) waitsForData(u *Unit) bool {
	return u.Waited < patience(u, dataPatience) && p.couldHold(u, p.byRack[u.DataRack])
}

func (p *plan) waitsForRack(u *Unit) bool {
	if u.Waited >= patience(u, rackPatience) {
		return false
	}
	return slices.ContainsFunc(p.racks, func(rack string) bool { return p.couldHold(u, p.byRack[rack]) })
}

// rackComes reports whether a rack for a gang is free as soon as the stops under way are
// done. Work that is spread over racks takes a multiple of its time, the stops do not.
func (p *plan) rackComes(u *Unit) bool {
	if u.Waited >= maxRackWait {
		return false
	}
	return p.oneRack(u, func(n int) Shape { return p.Nodes[n].Soon }) != nil
}

func patience(u *Unit, factor float64) clock.Millis {
	wait := max(clock.Millis(factor*float64(u.Estimate)), minPatience)
	if u.Guaranteed {
		return min(wait, guaranteedPatience)
	}
	return wait
}

// couldHold reports whether empty nodes would hold a gang, or one task of another unit.
func (p *plan) couldHold(u *Unit, nodes []int) bool {
	need := 1
	if u.Gang {
		need = u.Count
	}
	for _, n := range nodes {
		if p.suits(u, n) {
			need -= p.slots(u, n, p.Nodes[n].Capacity)
		}
	}
	return need <= 0
}

// oneRack returns the nodes of the rack that is left with the least room.
func (p *plan) oneRack(u *Unit, room func(n int) Shape) []int {
	var best []int
	least := math.MaxInt
	for _, rack := range p.racks {
		nodes := p.fill(u, p.byRack[rack], room)
		if nodes == nil {
			continue
		}
		left := 0
		for _, n := range p.byRack[rack] {
			left += room(n).Accels
		}
		if left < least {
			best, least = nodes, left
		}
	}
	return best
}

// option is a node with room for some tasks, by the order in which nodes are preferred.
type option struct {
	order uint64
	node  int32
	slots int32
}

// fill returns nodes out of a set, the tightest first.
func (p *plan) fill(u *Unit, among []int, room func(n int) Shape) []int {
	options := p.options[:0]
	total := 0
	for _, n := range among {
		free := room(n)
		s := p.slots(u, n, free)
		if s == 0 || !p.suits(u, n) {
			continue
		}
		options = append(options, option{p.prefer(u, n, free), int32(n), int32(s)})
		total += s
	}
	p.options = options
	if total == 0 || (u.Gang && total < u.Count) {
		return nil
	}
	slices.SortFunc(options, func(a, b option) int { return cmp.Compare(a.order, b.order) })
	nodes := make([]int, 0, min(total, u.Count))
	for _, o := range options {
		for range min(int(o.slots), u.Count-len(nodes)) {
			nodes = append(nodes, int(o.node))
		}
		if len(nodes) == u.Count {
			break
		}
	}
	return nodes
}

// Widths in bits of the parts of a node's order. Together they fill 64; the last part, the
// node's index, makes every order unlike all others.
const (
	flagBits  = 1
	speedBits = 6
	accelBits = 8
	rackBits  = 13
	coreBits  = 18
	indexBits = 16
)

// prefer returns the place of a node in the order of preference, the least first: sound
// before suspect and slow ones, those near the data first, then those with the least room,
// in the racks with the least room, so that whole workers and whole racks stay whole for
// gangs. Comparing numbers keeps the sorting cheap.
func (p *plan) prefer(u *Unit, n int, room Shape) uint64 {
	x := &p.Nodes[n]
	var o order
	o.flag(x.Suspect)
	o.flag(x.Slow)
	o.add(slowness(u, x), speedBits)
	o.flag(u.DataRack != "" && x.Rack != u.DataRack)
	o.add(room.Accels, accelBits)
	o.add(p.rackFree[p.rackOf[n]], rackBits)
	o.add(room.Cores, coreBits)
	o.add(n, indexBits)
	return uint64(o)
}

// order is a number that is made of parts, the most important first.
type order uint64

// add appends a part; what does not fit counts as the most that does.
func (o *order) add(value, bits int) {
	most := 1<<bits - 1
	*o = *o<<bits | order(min(max(value, 0), most))
}

func (o *order) flag(set bool) {
	value := 0
	if set {
		value = 1
	}
	o.add(value, flagBits)
}

// speedStep is the difference in speed that counts.
const speedStep = 0.1

// slowness orders nodes by their speed for urgent work, whose objective is a small multiple
// of its length; other work takes them as they come.
func slowness(u *Unit, x *Node) int {
	if u.Priority > 0 {
		return 0
	}
	return 1<<speedBits/2 - int(math.Round(x.Speed/speedStep))
}
