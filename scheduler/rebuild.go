package scheduler

import (
	"cmp"
	"slices"

	"github.com/chestnutsail/chestnutsail/cell"
	"github.com/chestnutsail/chestnutsail/guarantee"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/text"
)

// rebuild brings accounts, cells and placed work into line with the text and the
// workers. Work that cannot be stopped finds its cells first.
func (c *Core) rebuild() {
	var held []*work
	for _, w := range c.bySeq() {
		c.unreserve(w)
		switch {
		case w.planned:
			w.planned, w.waitFor, w.parts, w.mode, w.share = false, nil, nil, "", 0
			c.enqueue(w)
		case len(w.parts) > 0:
			held = append(held, w)
		}
	}
	c.planned = nil
	for _, a := range c.accounts {
		a.weight, a.quota, a.used, a.borrowed = 1, job.Resources{}, job.Resources{}, 0
	}
	if c.text != nil {
		for _, t := range c.text.Accounts {
			a := c.account(t.Name)
			a.weight, a.quota = int64(max(t.Weight, 1)), t.Quota
		}
	}
	for _, n := range c.nodes {
		n.works = nil
		c.space.Change(n.Worker, func(w *cell.Worker) { w.Free, w.Bound = w.Capacity, 0 })
	}
	before := c.ledger
	c.ledger = guarantee.NewLedger(c.space, c.cells())
	kept := c.keepBound(before)
	slices.SortFunc(held, func(a, b *work) int {
		rank := func(w *work) int {
			switch {
			case !w.spec().Stoppable():
				return 0
			case w.mode == own:
				return 1
			default:
				return 2
			}
		}
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.seq, b.seq))
	})
	for _, w := range held {
		c.settle(w, members(w.parts))
	}
	for _, v := range kept {
		if v.Sum() == 0 {
			c.ledger.Unbind(v)
		}
	}
	c.version++
}

// keepBound binds cells of the new ledger where cells of the same account and size
// were bound before, and returns them.
func (c *Core) keepBound(before *guarantee.Ledger) []*guarantee.Virtual {
	var kept []*guarantee.Virtual
	for _, old := range before.Cells {
		if old.Row == nil {
			continue
		}
		for _, v := range c.ledger.Of(old.Account) {
			if v.Row == nil && v.Accels == old.Accels && c.ledger.Vacant(v, old.Row, old.Start) {
				c.ledger.Bind(v, old.Row, old.Start)
				kept = append(kept, v)
				break
			}
		}
	}
	return kept
}

// cells returns the guaranteed cells that the core's failure domain holds.
func (c *Core) cells() []guarantee.Cell {
	if c.text == nil {
		return nil
	}
	fleet := slices.DeleteFunc(slices.Clone(c.text.Fleet), func(p text.Pool) bool { return p.Racks <= 0 || p.Workers <= 0 })
	by, _ := guarantee.Assign(fleet, c.text.Accounts)
	if len(fleet) == 0 && c.opts.Domain != "" {
		return append(by[c.opts.Domain], by[""]...)
	}
	return by[c.opts.Domain]
}

// adopt takes in a work that was placed before the core knew it.
func (c *Core) adopt(w *work) {
	for _, m := range w.rec.Members {
		if c.nodes[m.Worker] == nil {
			c.addNode(Node{Name: m.Worker, Domain: c.opts.Domain}, -1)
			c.nodes[m.Worker].gone = true
			c.usable(c.nodes[m.Worker])
		}
	}
	c.settle(w, w.rec.Members)
}

// settle lets the work hold the workers of the members: in its account's cells
// where that is possible, and otherwise as a borrower, or outside if it cannot be
// stopped.
func (c *Core) settle(w *work, members []job.Member) {
	w.parts = c.partsOf(members)
	w.mode = borrow
	if !w.spec().Stoppable() || c.text == nil {
		w.mode = outside
	}
	if c.text != nil && c.inCells(w) {
		w.mode = own
	}
	c.occupy(w)
}

// inCells finds cells for all parts of the work where they are. It leaves parts
// and cells as they were when there are none.
func (c *Core) inCells(w *work) bool {
	cells := c.ledger.Of(w.spec().Account)
	var bound []*guarantee.Virtual
	parts := slices.Clone(w.parts)
	used := make(map[*guarantee.Virtual][]int)
	for i := range parts {
		p := &parts[i]
		p.cover = p.node.Cover(w.needs(p.tasks))
		if p.cover == 0 {
			c.unbindAll(bound)
			return false
		}
		v, fresh := c.cellAt(w, cells, p, used)
		if v == nil {
			c.unbindAll(bound)
			return false
		}
		if fresh {
			bound = append(bound, v)
		}
		if used[v] == nil {
			used[v] = make([]int, len(v.Used))
		}
		p.cell, p.offset = v, p.node.Slot-v.Start
		used[v][p.offset] += p.cover
	}
	w.parts = parts
	return true
}

func (c *Core) unbindAll(cells []*guarantee.Virtual) {
	for _, v := range cells {
		c.ledger.Unbind(v)
	}
}

// cellAt returns a cell of the account with room for the part on its worker, bound
// anew if need be.
func (c *Core) cellAt(w *work, cells []*guarantee.Virtual, p *part, used map[*guarantee.Virtual][]int) (*guarantee.Virtual, bool) {
	row := c.space.Row(p.node.Worker)
	for _, v := range cells {
		i := p.node.Slot - v.Start
		if v.Row != row || i < 0 || i >= len(v.Used) {
			continue
		}
		taken := v.Used[i]
		if used[v] != nil {
			taken += used[v][i]
		}
		if taken+p.cover <= v.Size() {
			return v, false
		}
	}
	whole := func(v *guarantee.Virtual, row *cell.Row, start int) bool {
		whole, ok := c.ledger.Fits(v, row, start)
		return ok && whole
	}
	for _, fit := range []func(*guarantee.Virtual, *cell.Row, int) bool{whole, c.ledger.Vacant} {
		for _, v := range preferred(cells, w.accels()) {
			if v.Row != nil || min(v.Accels, row.Accels) < p.cover {
				continue
			}
			width := max(v.Accels/max(row.Accels, 1), 1)
			start := p.node.Slot / width * width
			if fit(v, row, start) {
				c.ledger.Bind(v, row, start)
				return v, true
			}
		}
		if w.spec().Stoppable() {
			break
		}
	}
	return nil, false
}

// preferred puts the cells that hold the whole gang first, then the larger ones.
func preferred(cells []*guarantee.Virtual, accels int) []*guarantee.Virtual {
	at := slices.IndexFunc(cells, func(v *guarantee.Virtual) bool { return v.Accels >= accels })
	if at < 0 {
		at = len(cells)
	}
	out := slices.Clone(cells[at:])
	small := slices.Clone(cells[:at])
	slices.Reverse(small)
	return append(out, small...)
}
