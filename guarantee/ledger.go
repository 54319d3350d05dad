package guarantee

import (
	"slices"

	"github.com/chestnutsail/chestnutsail/cell"
)

// VirtualCell is one guaranteed cell of an account. It is unbound, that is owed, while
// no work of the account runs in it, and otherwise bound to an aligned group of
// accelerators, in which only that account's work cannot be told to leave.
type VirtualCell struct {
	Cell
	Index int
	// Row is nil while the cell is unbound.
	Row *cell.Row
	// Start is the slot of the first worker and Used the accelerators that the
	// account's work occupies on each worker from there; change it through Take.
	Start int
	Used  []int
	sum   int
	// Reserved is the job for which the cell is being emptied, or "".
	Reserved string
}

// AccelsPerWorker returns the accelerators of the cell on each of its workers.
func (v *VirtualCell) AccelsPerWorker() int { return min(v.Accels, v.Row.Accels) }

// Sum returns the accelerators that the account's work occupies in the cell.
func (v *VirtualCell) Sum() int { return v.sum }

// AddUsed adds n to the accelerators in use on the worker at position i.
func (v *VirtualCell) AddUsed(i, n int) {
	v.Used[i] += n
	v.sum += n
}

// Worker returns the worker at position i of the cell, or nil.
func (v *VirtualCell) Worker(i int) *cell.Worker {
	if v.Start+i >= len(v.Row.Workers) {
		return nil
	}
	return v.Row.Workers[v.Start+i]
}

// Ledger keeps the guaranteed cells of one failure domain.
type Ledger struct {
	Cells []*VirtualCell
	// Owed counts the unbound cells.
	Owed      cell.Counts
	space     *cell.Space
	byAccount map[string][]*VirtualCell
}

// NewLedger returns a ledger in which all cells are unbound.
func NewLedger(space *cell.Space, cells []Cell) *Ledger {
	l := &Ledger{space: space, byAccount: make(map[string][]*VirtualCell)}
	for i, c := range cells {
		v := &VirtualCell{Cell: c, Index: i}
		l.Cells = append(l.Cells, v)
		l.byAccount[c.Account] = append(l.byAccount[c.Account], v)
		l.Owed.Add(c.Accels, 1)
	}
	for _, cells := range l.byAccount {
		slices.SortStableFunc(cells, func(a, b *VirtualCell) int { return a.Accels - b.Accels })
	}
	return l
}

// CellsOf returns the account's cells, the smallest first.
func (l *Ledger) CellsOf(account string) []*VirtualCell { return l.byAccount[account] }

// Shortfall returns the accelerators of owed cells that cannot be formed from the
// free accelerators and those held by borrowers; it is more than 0 only after
// workers were lost.
func (l *Ledger) Shortfall() int { return l.Owed.Short(l.space.Unbound) }

// Bind binds the cell to the row from the slot start on.
func (l *Ledger) Bind(v *VirtualCell, row *cell.Row, start int) {
	v.Row, v.Start = row, start
	v.Used = make([]int, max(v.Accels/max(row.Accels, 1), 1))
	l.Owed.Add(v.Accels, -1)
	l.addBound(v, 1)
}

// Unbind makes the cell owed again.
func (l *Ledger) Unbind(v *VirtualCell) {
	l.addBound(v, -1)
	l.Owed.Add(v.Accels, 1)
	v.Row, v.Used, v.sum = nil, nil, 0
}

func (l *Ledger) addBound(v *VirtualCell, sign int) {
	for i := range v.Used {
		if w := v.Worker(i); w != nil {
			l.space.Change(w, func(w *cell.Worker) { w.Bound += sign * v.AccelsPerWorker() })
		}
	}
}

// CanBind reports whether the cell v can be bound to the row from the slot start on
// so that no more owed cells become impossible than already are. It is whole when
// that also holds once all workers are usable again.
func (l *Ledger) CanBind(v *VirtualCell, row *cell.Row, start int) (whole, ok bool) {
	after, ok := CellsAfter(row, v.Accels, start, (*cell.Worker).Unbound)
	if !ok || !l.keepsFormable(v, l.space.Unbound, row.Unbound, after) {
		return false, false
	}
	after, ok = CellsAfter(row, v.Accels, start, (*cell.Worker).UnboundIfUsable)
	return ok && l.keepsFormable(v, l.space.UnboundIfUsable, row.UnboundIfUsable, after), true
}

// keepsFormable reports whether no more owed cells become impossible when v is bound and
// the cells before of a row turn into after.
func (l *Ledger) keepsFormable(v *VirtualCell, have, before, after cell.Counts) bool {
	shortfall := l.Owed.Short(have)
	for i := range have {
		have[i] += after[i] - before[i]
	}
	owed := l.Owed
	owed.Add(v.Accels, -1)
	return owed.Short(have) <= shortfall
}

// Vacant reports whether no cell is bound where v would be, whatever the health of
// the workers there and whatever becomes impossible elsewhere. It is for work that
// runs there already.
func (l *Ledger) Vacant(v *VirtualCell, row *cell.Row, start int) bool {
	if !aligned(row, v.Accels, start) {
		return false
	}
	for _, w := range row.Workers[start : start+max(v.Accels/row.Accels, 1)] {
		if w != nil && w.Bound+min(v.Accels, row.Accels) > row.Accels {
			return false
		}
	}
	return true
}

// aligned reports whether a cell of that size can start at the slot of the row.
func aligned(row *cell.Row, size, start int) bool {
	if row.Accels == 0 || size > row.Accels && row.Accels&(row.Accels-1) != 0 {
		return false
	}
	width := max(size/row.Accels, 1)
	return start%width == 0 && start+width <= len(row.Workers)
}

// CellsAfter returns the maximal cells of the row once size accelerators were taken
// from the slot start on, and whether that many are free there; free tells the
// free accelerators of a worker.
func CellsAfter(row *cell.Row, size, start int, free func(*cell.Worker) int) (cell.Counts, bool) {
	if !aligned(row, size, start) {
		return cell.Counts{}, false
	}
	accels, width := min(size, row.Accels), max(size/row.Accels, 1)
	for _, w := range row.Workers[start : start+width] {
		if w == nil || free(w) < accels {
			return cell.Counts{}, false
		}
	}
	return row.MaximalCells(func(w *cell.Worker) int {
		if w.Slot >= start && w.Slot < start+width {
			return free(w) - accels
		}
		return free(w)
	}), true
}

// BoundAt returns the accelerators of the cells that are bound at a slot of the row.
func (l *Ledger) BoundAt(row *cell.Row, slot int) int {
	sum := 0
	for _, v := range l.Cells {
		if v.Row == row && slot >= v.Start && slot < v.Start+len(v.Used) {
			sum += v.AccelsPerWorker()
		}
	}
	return sum
}
