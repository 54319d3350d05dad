package guarantee

import (
	"slices"

	"github.com/chestnutsail/chestnutsail/cell"
)

// Virtual is one guaranteed cell of an account. It is unbound, that is owed, while
// no work of the account runs in it, and otherwise bound to an aligned group of
// accelerators, in which only that account's work cannot be told to leave.
type Virtual struct {
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

// Size returns the accelerators of the cell on each of its workers.
func (v *Virtual) Size() int { return min(v.Accels, v.Row.Accels) }

// Sum returns the accelerators that the account's work occupies in the cell.
func (v *Virtual) Sum() int { return v.sum }

// Take adds n to the accelerators in use on the worker at position i.
func (v *Virtual) Take(i, n int) {
	v.Used[i] += n
	v.sum += n
}

// Worker returns the worker at position i of the cell, or nil.
func (v *Virtual) Worker(i int) *cell.Worker {
	if v.Start+i >= len(v.Row.Workers) {
		return nil
	}
	return v.Row.Workers[v.Start+i]
}

// Ledger keeps the guaranteed cells of one failure domain.
type Ledger struct {
	Cells []*Virtual
	// Owed counts the unbound cells.
	Owed  cell.Counts
	space *cell.Space
	by    map[string][]*Virtual
}

// NewLedger returns a ledger in which all cells are unbound.
func NewLedger(space *cell.Space, cells []Cell) *Ledger {
	l := &Ledger{space: space, by: make(map[string][]*Virtual)}
	for i, c := range cells {
		v := &Virtual{Cell: c, Index: i}
		l.Cells = append(l.Cells, v)
		l.by[c.Account] = append(l.by[c.Account], v)
		l.Owed.Add(c.Accels, 1)
	}
	for _, cells := range l.by {
		slices.SortStableFunc(cells, func(a, b *Virtual) int { return a.Accels - b.Accels })
	}
	return l
}

// Of returns the account's cells, the smallest first.
func (l *Ledger) Of(account string) []*Virtual { return l.by[account] }

// Short returns the accelerators of owed cells that cannot be formed from the
// free accelerators and those held by borrowers; it is more than 0 only after
// workers were lost.
func (l *Ledger) Short() int { return l.Owed.Short(l.space.Unbound) }

// Bind binds the cell to the row from the slot start on.
func (l *Ledger) Bind(v *Virtual, row *cell.Row, start int) {
	v.Row, v.Start = row, start
	v.Used = make([]int, max(v.Accels/max(row.Accels, 1), 1))
	l.Owed.Add(v.Accels, -1)
	l.mark(v, 1)
}

// Unbind makes the cell owed again.
func (l *Ledger) Unbind(v *Virtual) {
	l.mark(v, -1)
	l.Owed.Add(v.Accels, 1)
	v.Row, v.Used, v.sum = nil, nil, 0
}

func (l *Ledger) mark(v *Virtual, sign int) {
	for i := range v.Used {
		if w := v.Worker(i); w != nil {
			l.space.Change(w, func(w *cell.Worker) { w.Bound += sign * v.Size() })
		}
	}
}

// Fits reports whether the cell v can be bound to the row from the slot start on
// so that no more owed cells become impossible than already are. It is whole when
// that also holds once all workers are usable again.
func (l *Ledger) Fits(v *Virtual, row *cell.Row, start int) (whole, ok bool) {
	after, ok := After(row, v.Accels, start, (*cell.Worker).Unbound)
	if !ok || !l.keeps(v, l.space.Unbound, row.Unbound, after) {
		return false, false
	}
	after, ok = After(row, v.Accels, start, (*cell.Worker).Whole)
	return ok && l.keeps(v, l.space.Whole, row.Whole, after), true
}

// keeps reports whether no more owed cells become impossible when v is bound and
// the cells before of a row turn into after.
func (l *Ledger) keeps(v *Virtual, have, before, after cell.Counts) bool {
	short := l.Owed.Short(have)
	for i := range have {
		have[i] += after[i] - before[i]
	}
	owed := l.Owed
	owed.Add(v.Accels, -1)
	return owed.Short(have) <= short
}

// Vacant reports whether no cell is bound where v would be, whatever the health of
// the workers there and whatever becomes impossible elsewhere. It is for work that
// runs there already.
func (l *Ledger) Vacant(v *Virtual, row *cell.Row, start int) bool {
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

// After returns the maximal cells of the row once size accelerators were taken
// from the slot start on, and whether that many are free there; free tells the
// free accelerators of a worker.
func After(row *cell.Row, size, start int, free func(*cell.Worker) int) (cell.Counts, bool) {
	if !aligned(row, size, start) {
		return cell.Counts{}, false
	}
	each, width := min(size, row.Accels), max(size/row.Accels, 1)
	for _, w := range row.Workers[start : start+width] {
		if w == nil || free(w) < each {
			return cell.Counts{}, false
		}
	}
	return row.Blocks(func(w *cell.Worker) int {
		if w.Slot >= start && w.Slot < start+width {
			return free(w) - each
		}
		return free(w)
	}), true
}

// BoundAt returns the accelerators of the cells that are bound at a slot of the row.
func (l *Ledger) BoundAt(row *cell.Row, slot int) int {
	sum := 0
	for _, v := range l.Cells {
		if v.Row == row && slot >= v.Start && slot < v.Start+len(v.Used) {
			sum += v.Size()
		}
	}
	return sum
}
