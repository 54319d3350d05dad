package cell

import (
	"cmp"
	"slices"
	"strings"
)

// Row consists of the workers of one rack that have the same number of accelerators.
// Cells larger than a worker are aligned groups of workers of a row.
type Row struct {
	Rack   string
	Accels int
	// Workers is indexed by slot. An empty slot is nil.
	Workers []*Worker
	// Unbound, UnboundIfUsable and Idle count the largest cells that can be formed in
	// the row; see Space.
	Unbound, UnboundIfUsable, Idle Counts
}

// Space holds the workers of one failure domain and counts the cells that they form.
type Space struct {
	// Workers is sorted by name.
	Workers []*Worker
	Rows    []*Row
	// Unbound counts the largest cells in which guaranteed cells can still be bound.
	// UnboundIfUsable is what Unbound would be if all workers were usable. Idle counts
	// the largest cells that no job occupies.
	Unbound, UnboundIfUsable, Idle Counts
	byName                         map[string]*Worker
	rowOf                          map[*Worker]*Row
}

// NewSpace returns a space without workers.
func NewSpace() *Space {
	return &Space{byName: make(map[string]*Worker), rowOf: make(map[*Worker]*Row)}
}

// Worker returns the worker of the given name, or nil if there is none.
func (s *Space) Worker(name string) *Worker { return s.byName[name] }

// Row returns the row of the worker, which has to be in the space.
func (s *Space) Row(w *Worker) *Row { return s.rowOf[w] }

// Add adds the worker at the slot of its row. A negative slot means the first empty
// one.
func (s *Space) Add(w *Worker, slot int) {
	r := s.row(w.Rack, w.Capacity.Accelerators)
	if slot < 0 {
		slot = slices.Index(r.Workers, nil)
	}
	if slot < 0 {
		slot = len(r.Workers)
	}
	s.subtract(r)
	for len(r.Workers) <= slot {
		r.Workers = append(r.Workers, nil)
	}
	w.Slot = slot
	r.Workers[slot] = w
	s.rowOf[w], s.byName[w.Name] = r, w
	at, _ := slices.BinarySearchFunc(s.Workers, w.Name, func(x *Worker, name string) int { return strings.Compare(x.Name, name) })
	s.Workers = slices.Insert(s.Workers, at, w)
	s.recount(r)
}

// Remove removes the worker and leaves its slot empty.
func (s *Space) Remove(w *Worker) {
	r := s.rowOf[w]
	s.subtract(r)
	r.Workers[w.Slot] = nil
	delete(s.rowOf, w)
	delete(s.byName, w.Name)
	s.Workers = slices.DeleteFunc(s.Workers, func(x *Worker) bool { return x == w })
	s.recount(r)
}

// Change calls f, which may change the worker's fields, and updates the counts of
// cells.
func (s *Space) Change(w *Worker, f func(w *Worker)) {
	r := s.rowOf[w]
	s.subtract(r)
	f(w)
	s.recount(r)
}

func (s *Space) row(rack string, accels int) *Row {
	order := func(r *Row, _ struct{}) int {
		return cmp.Or(strings.Compare(r.Rack, rack), cmp.Compare(r.Accels, accels))
	}
	at, found := slices.BinarySearchFunc(s.Rows, struct{}{}, order)
	if !found {
		s.Rows = slices.Insert(s.Rows, at, &Row{Rack: rack, Accels: accels})
	}
	return s.Rows[at]
}

func (s *Space) subtract(r *Row) {
	for i := range r.Unbound {
		s.Unbound[i] -= r.Unbound[i]
		s.UnboundIfUsable[i] -= r.UnboundIfUsable[i]
		s.Idle[i] -= r.Idle[i]
	}
}

func (s *Space) recount(r *Row) {
	r.Unbound, r.UnboundIfUsable, r.Idle = Counts{}, Counts{}, Counts{}
	if r.Accels > 0 {
		r.Unbound = r.MaximalCells((*Worker).Unbound)
		r.UnboundIfUsable = r.MaximalCells((*Worker).UnboundIfUsable)
		r.Idle = r.MaximalCells((*Worker).Idle)
	}
	for i := range r.Unbound {
		s.Unbound[i] += r.Unbound[i]
		s.UnboundIfUsable[i] += r.UnboundIfUsable[i]
		s.Idle[i] += r.Idle[i]
	}
}

// MaximalCells counts the largest cells that can be formed in the row, where free
// returns the number of free accelerators of a worker.
func (r *Row) MaximalCells(free func(*Worker) int) Counts {
	var buf [64]int
	row := buf[:0]
	for _, w := range r.Workers {
		n := 0
		if w != nil {
			n = free(w)
		}
		row = append(row, n)
	}
	var c Counts
	c.AddMaximal(row, r.Accels, 1)
	return c
}
