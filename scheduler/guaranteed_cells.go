package scheduler

import (
	"slices"

	"github.com/chestnutsail/chestnutsail/cell"
	"github.com/chestnutsail/chestnutsail/guarantee"
	"github.com/chestnutsail/chestnutsail/job"
)

// trySeveralCells spreads the work over several cells, and binds as many as it needs.
func (p *guaranteedPlacement) trySeveralCells() bool {
	if len(p.cells) < 2 || p.w.tasks() < 2 {
		return false
	}
	switch p.w.spec().Shape.Adjacent {
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

// rowSuffices reports whether the row's unbound cells and the room in the account's
// bound ones could hold the work.
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
	missing := p.w.accels()
	for _, v := range p.cells {
		if v.Row == row {
			missing -= v.Accels - v.Sum()
		}
	}
	return missing <= unboundAccels && (cellSize == 0 || row.Unbound.Sum() >= missing)
}

func (p *guaranteedPlacement) trySeveralCellsIn(rack string) bool {
	var bound []*guarantee.VirtualCell
	for {
		spots := p.spots(rack)
		if totalTasks(spots) >= p.w.tasks() {
			parts, ok := p.chooseParts(spots)
			if ok && p.c.commit(p.w, modeGuaranteed, parts, p.preemptible, p.cause) {
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

// bindLargest binds the largest owed cell of the account that holds at least a task.
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

// unbindUnused unbinds those of the cells that are not in use.
func (p *guaranteedPlacement) unbindUnused(bound []*guarantee.VirtualCell) {
	for _, v := range bound {
		if v.Sum() == 0 {
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
