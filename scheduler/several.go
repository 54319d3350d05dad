package scheduler

import (
	"slices"

	"github.com/chestnutsail/chestnutsail/cell"
	"github.com/chestnutsail/chestnutsail/guarantee"
	"github.com/chestnutsail/chestnutsail/job"
)

// inSeveral spreads the work over several cells, and binds as many as it needs.
func (p *ownPlace) inSeveral() bool {
	if len(p.cells) < 2 || p.w.tasks() < 2 {
		return false
	}
	switch p.w.spec().Shape.Adjacent {
	case job.Worker:
		return false
	case job.Rack:
		rack := ""
		for _, row := range p.c.space.Rows {
			if row.Rack != rack && p.enough(row) && p.inSeveralOf(row.Rack) {
				return true
			}
			rack = row.Rack
		}
		return false
	default:
		return p.inSeveralOf("")
	}
}

// enough reports whether the row's unbound cells and the room in the account's
// bound ones could hold the work.
func (p *ownPlace) enough(row *cell.Row) bool {
	if row.Accels == 0 {
		return true
	}
	size, owed := 0, 0
	for _, v := range p.cells {
		if v.Row == nil {
			size, owed = v.Accels, owed+v.Accels
		}
	}
	missing := p.w.accels()
	for _, v := range p.cells {
		if v.Row == row {
			missing -= v.Accels - v.Sum()
		}
	}
	return missing <= owed && (size == 0 || row.Unbound.Sum() >= missing)
}

func (p *ownPlace) inSeveralOf(rack string) bool {
	var bound []*guarantee.Virtual
	for {
		spots := p.spots(rack)
		if tasksOf(spots) >= p.w.tasks() {
			parts, ok := p.spread(spots)
			if ok && p.c.commit(p.w, own, parts, p.may, p.cause) {
				p.drop(bound)
				return true
			}
		}
		v := p.bindNext(rack)
		if v == nil {
			p.drop(bound)
			return false
		}
		bound = append(bound, v)
	}
}

// bindNext binds the largest owed cell of the account that holds at least a task.
func (p *ownPlace) bindNext(rack string) *guarantee.Virtual {
	size := 0
	for _, v := range slices.Backward(p.cells) {
		if v.Row != nil || v.Accels == size {
			continue
		}
		size = v.Accels
		if row, start, ok := p.position(v, rack, 1); ok {
			p.c.ledger.Bind(v, row, start)
			return v
		}
	}
	return nil
}

// drop unbinds those of the cells that are not in use.
func (p *ownPlace) drop(bound []*guarantee.Virtual) {
	for _, v := range bound {
		if v.Sum() == 0 {
			p.c.ledger.Unbind(v)
		}
	}
}

func tasksOf(spots []spot) int {
	sum := 0
	for _, s := range spots {
		sum += s.tasks
	}
	return sum
}
