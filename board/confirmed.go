package board

import "github.com/chestnutsail/chestnutsail/workflow"

// Confirm notes the final state of a job that another instance has read from the store. This instance
// reports it from then on, although its own view is older. It ignores jobs that are not known here.
func (b *Board) Confirm(id string, s workflow.State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if v := b.jobs[id]; v != nil && v.Record != nil && !v.Progress.State.Final() {
		v.Confirmed = s
	}
}
