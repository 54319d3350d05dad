package guarantee

import (
	"slices"

	"github.com/chestnutsail/chestnutsail/cell"
)

// VirtualCell is one guaranteed cell of an account. As long as no job of the account
// runs in it, the cell is owed, which means that it is bound to no accelerators.
// Otherwise it is bound to an aligned group of accelerators, and jobs of the account
// that run there are not stopped for other accounts.
type VirtualCell struct {
	Cell
	Index int
	// Row is the row in which the cell is bound, or nil while it is not bound.
	Row *cell.Row
	// Start is the slot of the cell's first worker. Used holds the number of
	// accelerators that jobs of the account occupy on each worker of the cell; it may
	// be changed only through AddUsed.
	Start     int
	Used      []int
	totalUsed int
	// ReservedFor is the ID of the job for which the cell is being emptied, or "".
	ReservedFor string
}

// AccelsPerWorker returns the number of accelerators that the cell has on each of its
// workers. The cell has to be bound.
func (v *VirtualCell) AccelsPerWorker() int { return min(v.Accels, v.Row.Accels) }

// TotalUsed returns the number of accelerators that jobs of the account occupy in the cell.
func (v *VirtualCell) TotalUsed() int { return v.totalUsed }

// AddUsed adds n, which may be negative, to the accelerators in use on the worker at
// position i of the cell.
func (v *VirtualCell) AddUsed(i, n int) {
	v.Used[i] += n
	v.totalUsed += n
}

// Worker returns the worker at position i of the cell, or nil if the slot is empty.
func (v *VirtualCell) Worker(i int) *cell.Worker {
	if v.Start+i >= len(v.Row.Workers) {
		return nil
	}
	return v.Row.Workers[v.Start+i]
}

// Ledger keeps track of the guaranteed cells of one failure domain and where they are
// bound.
type Ledger struct {
	Cells []*VirtualCell
	// Owed counts the cells that are not bound.
	Owed      cell.Counts
	space     *cell.Space
	byAccount map[string][]*VirtualCell
}

// NewLedger returns a ledger in which no cell is bound.
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

// CellsOf returns the account's cells, sorted by size, the smallest first.
func (l *Ledger) CellsOf(account string) []*VirtualCell { return l.byAccount[account] }

// Shortfall returns the number of accelerators in owed cells that cannot be formed from
// accelerators that are free or held by borrowers. It can be more than 0 while workers
// are unusable, after the guarantees have changed, and while jobs that cannot be stopped
// run in no guaranteed cell.
func (l *Ledger) Shortfall() int { return l.Owed.Shortfall(l.space.Unbound) }

// Bind binds the cell to accelerators of the row; its first worker is at slot start.
func (l *Ledger) Bind(v *VirtualCell, row *cell.Row, start int) {
	v.Row, v.Start = row, start
	v.Used = make([]int, max(v.Accels/max(row.Accels, 1), 1))
	l.Owed.Add(v.Accels, -1)
	l.addBound(v, 1)
}

// Unbind releases the accelerators to which the cell is bound; the cell is owed again.
func (l *Ledger) Unbind(v *VirtualCell) {
	l.addBound(v, -1)
	l.Owed.Add(v.Accels, 1)
	v.Row, v.Used, v.totalUsed = nil, nil, 0
}

func (l *Ledger) addBound(v *VirtualCell, sign int) {
	for i := range v.Used {
		if w := v.Worker(i); w != nil {
			l.space.Change(w, func(w *cell.Worker) { w.Bound += sign * v.AccelsPerWorker() })
		}
	}
}

// CanBind reports whether the cell v can be bound in the row from the slot start on
// without making the shortfall of the owed cells larger (ok). keepsAll tells whether
// this also holds once all workers are usable again.
func (l *Ledger) CanBind(v *VirtualCell, row *cell.Row, start int) (keepsAll, ok bool) {
	after, ok := CellsAfter(row, v.Accels, start, (*cell.Worker).Unbound)
	if !ok || !l.keepsFormable(v, l.space.Unbound, row.Unbound, after) {
		return false, false
	}
	after, ok = CellsAfter(row, v.Accels, start, (*cell.Worker).UnboundIfUsable)
	return ok && l.keepsFormable(v, l.space.UnboundIfUsable, row.UnboundIfUsable, after), true
}

// keepsFormable reports whether binding v does not increase the shortfall of the owed
// cells. have counts the cells of the domain, and binding v changes those of one row
// from before to after.
func (l *Ledger) keepsFormable(v *VirtualCell, have, before, after cell.Counts) bool {
	shortfall := l.Owed.Shortfall(have)
	for i := range have {
		have[i] += after[i] - before[i]
	}
	owed := l.Owed
	owed.Add(v.Accels, -1)
	return owed.Shortfall(have) <= shortfall
}

// Vacant reports whether the accelerators at the position for the cell v are not
// already bound to other cells. It ignores whether the workers there are usable, and
// whether other owed cells become impossible, because it is meant for jobs that already
// run there.
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

// aligned reports whether a cell of the given size in accelerators can start at the
// slot of the row.
func aligned(row *cell.Row, size, start int) bool {
	if row.Accels == 0 || size > row.Accels && row.Accels&(row.Accels-1) != 0 {
		return false
	}
	width := max(size/row.Accels, 1)
	return start%width == 0 && start+width <= len(row.Workers)
}

// CellsAfter returns the largest cells that can be formed from the free accelerators of
// the row after another cell is taken from them. That cell has size accelerators, and
// its first worker is the one at slot start. CellsAfter reports false if no cell of this
// size can start there, or if its accelerators are not free. free returns the number of
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

// BoundAt returns the number of accelerators of the cells that are bound at a slot of
// the row.
func (l *Ledger) BoundAt(row *cell.Row, slot int) int {
	sum := 0
	for _, v := range l.Cells {
		if v.Row == row && slot >= v.Start && slot < v.Start+len(v.Used) {
			sum += v.AccelsPerWorker()
		}
	}
	return sum
}
