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

// UnboundIfUsable returns what Unbound would be if the worker were usable.
func (w *Worker) UnboundIfUsable() int { return max(w.Capacity.Accelerators-w.Bound, 0) }

// Unbound returns the accelerators in which guaranteed cells can still be bound.
func (w *Worker) Unbound() int {
	if !w.Usable {
		return 0
	}
	return w.UnboundIfUsable()
}

// Idle returns the accelerators that are free together with their share of the
// worker's other resources.
func (w *Worker) Idle() int {
	if !w.Usable {
		return 0
	}
	return max(w.Capacity.Accelerators-w.share(w.Capacity.Sub(w.Free)), 0)
}

// AccelsNeeded returns the accelerators whose share of the worker is needed to hold r:
// its accelerators, or more when r takes more than their share of another
// resource, and at least 1. It is 0 on a worker without accelerators.
func (w *Worker) AccelsNeeded(r job.Resources) int {
	if w.Capacity.Accelerators == 0 {
		return 0
	}
	return max(w.share(r), 1)
}

func (w *Worker) share(r job.Resources) int {
	total := w.Capacity.Accelerators
	if total == 0 {
		return 0
	}
	accels := r.Accelerators
	share := func(used, capacity int) {
		if used > 0 && capacity > 0 {
			accels = max(accels, (used*total+capacity-1)/capacity)
		}
	}
	share(r.Cores, w.Capacity.Cores)
	share(r.Memory, w.Capacity.Memory)
	share(r.Slots, w.Capacity.Slots)
	return accels
}

// Fit returns how many tasks that need r each, at most limit, fit into free.
func Fit(each, free job.Resources, limit int) int {
	fit := limit
	limitBy := func(need, have int) {
		if need > 0 {
			fit = min(fit, max(have, 0)/need)
		}
	}
	limitBy(each.Cores, free.Cores)
	limitBy(each.Memory, free.Memory)
	limitBy(each.Accelerators, free.Accelerators)
	limitBy(each.Slots, free.Slots)
	return fit
}
