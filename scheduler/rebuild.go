package scheduler

import (
	"cmp"
	"slices"

	"github.com/chestnutsail/chestnutsail/cell"
	"github.com/chestnutsail/chestnutsail/guarantee"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/text"
)

// rebuild computes the accounts, the guaranteed cells and the assignment of placed jobs
// to cells anew from the cluster text and the workers. Planned jobs go back to the
// queue. Jobs that cannot be stopped are assigned to cells first.
func (c *Core) rebuild() {
	var placed []*liveJob
	for _, w := range c.jobsBySeq() {
		c.unreserve(w)
		switch {
		case w.planned:
			w.planned, w.waitFor, w.parts, w.mode, w.charge = false, nil, nil, "", 0
			c.enqueue(w)
		case len(w.parts) > 0:
			placed = append(placed, w)
		}
	}
	c.planned = nil
	for _, a := range c.accounts {
		a.weight, a.quota, a.used, a.borrowedCharge = 1, job.Resources{}, job.Resources{}, 0
	}
	if c.text != nil {
		for _, t := range c.text.Accounts {
			a := c.account(t.Name)
			a.weight, a.quota = int64(max(t.Weight, 1)), t.Quota
		}
	}
	for _, n := range c.nodes {
		n.jobs = nil
		c.space.Change(n.Worker, func(w *cell.Worker) { w.Free, w.Bound = w.Capacity, 0 })
	}
	previous := c.ledger
	c.ledger = guarantee.NewLedger(c.space, c.domainCells())
	rebound := c.rebindCells(previous)
	slices.SortFunc(placed, func(a, b *liveJob) int {
		order := func(w *liveJob) int {
			switch {
			case !w.spec().Stoppable():
				return 0
			case w.mode == modeGuaranteed:
				return 1
			default:
				return 2
			}
		}
		return cmp.Or(cmp.Compare(order(a), order(b)), cmp.Compare(a.seq, b.seq))
	})
	for _, w := range placed {
		c.occupyMembers(w, members(w.parts))
	}
	for _, v := range rebound {
		if v.TotalUsed() == 0 {
			c.ledger.Unbind(v)
		}
	}
	c.version++
}

// rebindCells binds cells of the new ledger at the positions where the old ledger had
// bound cells of the same account and size, and returns the cells that it bound.
func (c *Core) rebindCells(previous *guarantee.Ledger) []*guarantee.VirtualCell {
	var rebound []*guarantee.VirtualCell
	for _, old := range previous.Cells {
		if old.Row == nil {
			continue
		}
		for _, v := range c.ledger.CellsOf(old.Account) {
			if v.Row == nil && v.Accels == old.Accels && c.ledger.Vacant(v, old.Row, old.Start) {
				c.ledger.Bind(v, old.Row, old.Start)
				rebound = append(rebound, v)
				break
			}
		}
	}
	return rebound
}

// domainCells returns the guaranteed cells that lie in the core's failure domain.
func (c *Core) domainCells() []guarantee.Cell {
	if c.text == nil {
		return nil
	}
	fleet := slices.DeleteFunc(slices.Clone(c.text.Fleet), func(p text.Pool) bool { return p.Racks <= 0 || p.Workers <= 0 })
	byDomain, _ := guarantee.Assign(fleet, c.text.Accounts)
	if len(fleet) == 0 && c.opts.Domain != "" {
		return append(byDomain[c.opts.Domain], byDomain[""]...)
	}
	return byDomain[c.opts.Domain]
}

// adopt adds a job that was placed before the core knew it. Members on unknown workers
// are kept on workers that are marked as gone.
func (c *Core) adopt(j *liveJob) {
	for _, m := range j.record.Members {
		if c.nodes[m.Worker] == nil {
			c.addNode(Node{Name: m.Worker, Domain: c.opts.Domain}, -1)
			c.nodes[m.Worker].gone = true
			c.updateUsable(c.nodes[m.Worker])
		}
	}
	c.occupyMembers(j, j.record.Members)
}

// occupyMembers makes the job occupy the workers of the members. It assigns the job to
// its account's cells if possible; otherwise the job is a borrower, or exempt if it
// cannot be stopped or no cluster text is in force.
func (c *Core) occupyMembers(j *liveJob, members []job.Member) {
	j.parts = c.partsOf(members)
	j.mode = modeBorrowing
	if !j.spec().Stoppable() || c.text == nil {
		j.mode = modeExempt
	}
	if c.text != nil && c.assignCells(j) {
		j.mode = modeGuaranteed
	}
	c.occupy(j)
}

// assignCells assigns all parts of the job to cells of its account on the workers where
// they already run, and binds cells if needed. If it cannot, it reports false and
// leaves parts and cells unchanged.
func (c *Core) assignCells(j *liveJob) bool {
	cells := c.ledger.CellsOf(j.spec().Account)
	var bound []*guarantee.VirtualCell
	parts := slices.Clone(j.parts)
	used := make(map[*guarantee.VirtualCell][]int)
	for i := range parts {
		p := &parts[i]
		p.accelShare = p.node.AccelsNeeded(j.needs(p.tasks))
		if p.accelShare == 0 {
			c.unbindAll(bound)
			return false
		}
		v, newlyBound := c.cellFor(j, cells, p, used)
		if v == nil {
			c.unbindAll(bound)
			return false
		}
		if newlyBound {
			bound = append(bound, v)
		}
		if used[v] == nil {
			used[v] = make([]int, len(v.Used))
		}
		p.cell, p.offset = v, p.node.Slot-v.Start
		used[v][p.offset] += p.accelShare
	}
	j.parts = parts
	return true
}

func (c *Core) unbindAll(cells []*guarantee.VirtualCell) {
	for _, v := range cells {
		c.ledger.Unbind(v)
	}
}

// cellFor returns a cell of the account with room for the part on its worker, or nil,
// and whether it has newly bound the cell. For a job that cannot be stopped, it binds a
// cell if necessary even though other guaranteed cells then cannot be formed. used holds
// the accelerators in each cell that earlier parts of the same job take.
func (c *Core) cellFor(j *liveJob, cells []*guarantee.VirtualCell, p *part, used map[*guarantee.VirtualCell][]int) (*guarantee.VirtualCell, bool) {
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
		if taken+p.accelShare <= v.AccelsPerWorker() {
			return v, false
		}
	}
	keepsAll := func(v *guarantee.VirtualCell, row *cell.Row, start int) bool {
		keepsAll, ok := c.ledger.CanBind(v, row, start)
		return ok && keepsAll
	}
	for _, canBind := range []func(*guarantee.VirtualCell, *cell.Row, int) bool{keepsAll, c.ledger.Vacant} {
		for _, v := range inPreferenceOrder(cells, j.accels()) {
			if v.Row != nil || min(v.Accels, row.Accels) < p.accelShare {
				continue
			}
			width := max(v.Accels/max(row.Accels, 1), 1)
			start := p.node.Slot / width * width
			if canBind(v, row, start) {
				c.ledger.Bind(v, row, start)
				return v, true
			}
		}
		if j.spec().Stoppable() {
			break
		}
	}
	return nil, false
}

// inPreferenceOrder returns the cells in the order in which to try them: first those
// that hold the entire gang, the smallest first, then the others, the largest first.
// cells is sorted by size.
func inPreferenceOrder(cells []*guarantee.VirtualCell, accels int) []*guarantee.VirtualCell {
	firstFit := slices.IndexFunc(cells, func(v *guarantee.VirtualCell) bool { return v.Accels >= accels })
	if firstFit < 0 {
		firstFit = len(cells)
	}
	ordered := slices.Clone(cells[firstFit:])
	tooSmall := slices.Clone(cells[:firstFit])
	slices.Reverse(tooSmall)
	return append(ordered, tooSmall...)
}
