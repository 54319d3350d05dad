package cell

import "github.com/chestnutsail/chestnutsail/job"

// Worker is a worker whose resources are divided into cells. Its fields may be changed
// only in a call of Space.Change.
type Worker struct {
	Name string
	Rack string
	// Slot is the worker's position in its Row.
	Slot     int
	Capacity job.Resources
	// Free is what no job occupies. A planned job already counts, although the jobs
	// that have to make room for it may still run; meanwhile Free may be negative.
	Free job.Resources
	// Bound is the number of the worker's accelerators in bound guaranteed cells, or
	// under jobs that cannot be stopped and run in no guaranteed cell.
	Bound int
	// Usable is false while the worker is gone, leaving or in quarantine.
	Usable bool
}

// UnboundIfUsable returns what Unbound would return if the worker were usable.
func (w *Worker) UnboundIfUsable() int { return max(w.Capacity.Accelerators-w.Bound, 0) }

// Unbound returns the number of accelerators in which guaranteed cells can still be
// bound.
func (w *Worker) Unbound() int {
	if !w.Usable {
		return 0
	}
	return w.UnboundIfUsable()
}

// Idle returns the number of accelerators that are free together with their share of
// the worker's other resources.
func (w *Worker) Idle() int {
	if !w.Usable {
		return 0
	}
	return max(w.Capacity.Accelerators-w.accelsFor(w.Capacity.Sub(w.Free)), 0)
}

// AccelsNeeded returns the number of accelerators whose share of the worker's resources
// is needed to hold r. It is the number of accelerators in r, or more if r needs more
// than their share of another resource, and at least 1. On a worker without
// accelerators it is 0.
func (w *Worker) AccelsNeeded(r job.Resources) int {
	if w.Capacity.Accelerators == 0 {
		return 0
	}
	return max(w.accelsFor(r), 1)
}

func (w *Worker) accelsFor(r job.Resources) int {
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

// Fit returns how many tasks that need taskNeeds each fit into free. The result is at
// most limit.
func Fit(taskNeeds, free job.Resources, limit int) int {
	fit := limit
	limitBy := func(need, have int) {
		if need > 0 {
			fit = min(fit, max(have, 0)/need)
		}
	}
	limitBy(taskNeeds.Cores, free.Cores)
	limitBy(taskNeeds.Memory, free.Memory)
	limitBy(taskNeeds.Accelerators, free.Accelerators)
	limitBy(taskNeeds.Slots, free.Slots)
	return fit
}
