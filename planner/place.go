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
	if p.urgentOnly[n] && u.Priority > 0 {
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
	urgent   bool
}

// wantOf returns a unit's want, and whether nothing else bounds its places.
func (p *plan) wantOf(u *Unit) (want, bool) {
	w := want{shape: u.Shape, service: u.Service, label: u.Label, gang: u.Gang, fragile: u.Fragile, urgent: u.Priority == 0}
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

// option is a node with room for some tasks.
type option struct{ node, slots int }

// fill returns nodes out of a set, the tightest first.
func (p *plan) fill(u *Unit, among []int, room func(n int) Shape) []int {
	options := p.options[:0]
	total := 0
	for _, n := range among {
		s := p.slots(u, n, room(n))
		if s == 0 || !p.suits(u, n) {
			continue
		}
		options = append(options, option{n, s})
		total += s
	}
	p.options = options
	if total == 0 || (u.Gang && total < u.Count) {
		return nil
	}
	slices.SortStableFunc(options, func(a, b option) int { return p.prefer(u, a.node, b.node, room) })
	nodes := make([]int, 0, min(total, u.Count))
	for _, o := range options {
		for range min(o.slots, u.Count-len(nodes)) {
			nodes = append(nodes, o.node)
		}
		if len(nodes) == u.Count {
			break
		}
	}
	return nodes
}

// prefer orders nodes: sound before suspect and slow ones, those near the data first, then
// those with the least room, in the racks with the least room, so that whole workers and
// whole racks stay whole for gangs.
func (p *plan) prefer(u *Unit, a, b int, room func(n int) Shape) int {
	x, y := &p.Nodes[a], &p.Nodes[b]
	ra, rb := room(a), room(b)
	return cmp.Or(
		falseFirst(x.Suspect, y.Suspect),
		falseFirst(x.Slow, y.Slow),
		fasterFirst(u, x, y),
		falseFirst(u.DataRack != "" && x.Rack != u.DataRack, u.DataRack != "" && y.Rack != u.DataRack),
		cmp.Compare(ra.Accels, rb.Accels),
		cmp.Compare(p.rackFree[x.Rack], p.rackFree[y.Rack]),
		cmp.Compare(ra.Cores, rb.Cores),
	)
}

// speedStep is the difference in speed that counts.
const speedStep = 0.1

// fasterFirst orders nodes for urgent work, whose objective is a small multiple of its length.
func fasterFirst(u *Unit, x, y *Node) int {
	if u.Priority > 0 {
		return 0
	}
	return cmp.Compare(math.Round(y.Speed/speedStep), math.Round(x.Speed/speedStep))
}
