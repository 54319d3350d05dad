package cell

import "github.com/chestnutsail/chestnutsail/job"

// Worker is one worker as a holder of cells. Change its fields only through
// Space.Change.
type Worker struct {
	Name string
	Rack string
	// Slot is the worker's position in its Row.
	Slot     int
	Capacity job.Resources
	// Free is what no placed and no planned work occupies. It is negative while
	// planned work waits for other work to be stopped.
	Free job.Resources
	// Bound is the number of accelerators in guaranteed cells that are bound here, or
	// under work that cannot be stopped and belongs to no cell.
	Bound int
	// Usable is false while the worker is gone, leaving or quarantined.
	Usable bool
}

// Whole returns what Unbound would be if the worker were usable.
func (w *Worker) Whole() int { return max(w.Capacity.Accelerators-w.Bound, 0) }

// Unbound returns the accelerators in which guaranteed cells can still be bound.
func (w *Worker) Unbound() int {
	if !w.Usable {
		return 0
	}
	return w.Whole()
}

// Idle returns the accelerators that are free together with their share of the
// worker's other resources.
func (w *Worker) Idle() int {
	if !w.Usable {
		return 0
	}
	return max(w.Capacity.Accelerators-w.share(w.Capacity.Sub(w.Free)), 0)
}

// Cover returns the accelerators whose share of the worker is needed to hold r:
// its accelerators, or more when r takes more than their share of another
// resource, and at least 1. It is 0 on a worker without accelerators.
func (w *Worker) Cover(r job.Resources) int {
	if w.Capacity.Accelerators == 0 {
		return 0
	}
	return max(w.share(r), 1)
}

func (w *Worker) share(r job.Resources) int {
	n := w.Capacity.Accelerators
	if n == 0 {
		return 0
	}
	cover := r.Accelerators
	share := func(used, capacity int) {
		if used > 0 && capacity > 0 {
			cover = max(cover, (used*n+capacity-1)/capacity)
		}
	}
	share(r.Cores, w.Capacity.Cores)
	share(r.Memory, w.Capacity.Memory)
	share(r.Slots, w.Capacity.Slots)
	return cover
}

// Fit returns how many tasks that need r each, at most limit, fit into free.
func Fit(r, free job.Resources, limit int) int {
	n := limit
	bound := func(need, have int) {
		if need > 0 {
			n = min(n, max(have, 0)/need)
		}
	}
	bound(r.Cores, free.Cores)
	bound(r.Memory, free.Memory)
	bound(r.Accelerators, free.Accelerators)
	bound(r.Slots, free.Slots)
	return n
}
