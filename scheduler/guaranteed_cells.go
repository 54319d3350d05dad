package scheduler

import (
	"slices"

	"github.com/chestnutsail/chestnutsail/cell"
	"github.com/chestnutsail/chestnutsail/guarantee"
	"github.com/chestnutsail/chestnutsail/job"
)

// trySeveralCells spreads the job over several cells of the account, and binds as many
// as needed. It reports whether the job was placed.
func (p *guaranteedPlacement) trySeveralCells() bool {
	if len(p.cells) < 2 || p.j.tasks() < 2 {
		return false
	}
	switch p.j.spec().Shape.Adjacent {
	case job.Worker:
		return false
	case job.Rack:
		rack := ""
		for _, row := range p.c.space.Rows {
			if row.Rack != rack && p.rowSuffices(row) && p.trySeveralCellsIn(row.Rack) {
				return true
			}
			rack = row.Rack
		}
		return false
	default:
		return p.trySeveralCellsIn("")
	}
}

// rowSuffices reports whether the account's unbound cells and the unused part of its
// cells bound in the row are large enough for the job, and the row has enough unbound
// accelerators. It is a quick check that rules out racks before any cell is bound.
func (p *guaranteedPlacement) rowSuffices(row *cell.Row) bool {
	if row.Accels == 0 {
		return true
	}
	cellSize, unboundAccels := 0, 0
	for _, v := range p.cells {
		if v.Row == nil {
			cellSize, unboundAccels = v.Accels, unboundAccels+v.Accels
		}
	}
	missing := p.j.accels()
	for _, v := range p.cells {
		if v.Row == row {
			missing -= v.Accels - v.TotalUsed()
		}
	}
	return missing <= unboundAccels && (cellSize == 0 || row.Unbound.Sum() >= missing)
}

func (p *guaranteedPlacement) trySeveralCellsIn(rack string) bool {
	var bound []*guarantee.VirtualCell
	for {
		spots := p.spots(rack)
		if totalTasks(spots) >= p.j.tasks() {
			parts, ok := p.chooseParts(spots)
			if ok && p.c.commit(p.j, modeGuaranteed, parts, p.preemptible, p.cause) {
				p.unbindUnused(bound)
				return true
			}
		}
		v := p.bindLargest(rack)
		if v == nil {
			p.unbindUnused(bound)
			return false
		}
		bound = append(bound, v)
	}
}

// bindLargest binds the largest unbound cell of the account that has a position with
// room for at least one task. It returns nil if there is none.
func (p *guaranteedPlacement) bindLargest(rack string) *guarantee.VirtualCell {
	size := 0
	for _, v := range slices.Backward(p.cells) {
		if v.Row != nil || v.Accels == size {
			continue
		}
		size = v.Accels
		if row, start, ok := p.bestPosition(v, rack, 1); ok {
			p.c.ledger.Bind(v, row, start)
			return v
		}
	}
	return nil
}

// unbindUnused unbinds those of the cells that no job uses.
func (p *guaranteedPlacement) unbindUnused(bound []*guarantee.VirtualCell) {
	for _, v := range bound {
		if v.TotalUsed() == 0 {
			p.c.ledger.Unbind(v)
		}
	}
}

func totalTasks(spots []spot) int {
	sum := 0
	for _, s := range spots {
		sum += s.tasks
	}
	return sum
}
