package board

import "github.com/chestnutsail/chestnutsail/workflow"

// End is the end of a job that a leader knows and that is not recorded in the store yet. The state
// of Progress is final.
type End struct {
	Job      string
	Progress workflow.Progress
}

// Hold keeps ends of jobs until they are recorded, so that a leader elected later knows of them.
// Callers are not told of them. Ends that are recorded already are ignored. It returns the ends that
// are new.
func (b *Board) Hold(ends ...End) []End {
	b.mu.Lock()
	defer b.mu.Unlock()
	var added []End
	for _, e := range ends {
		if v := b.jobs[e.Job]; v != nil && v.Progress.State.Final() {
			continue
		}
		if _, known := b.held[e.Job]; !known {
			added = append(added, e)
		}
		b.held[e.Job] = e.Progress
	}
	return added
}

// withHeld returns a copy of a view with the end that is held for its job, if there is one.
func (b *Board) withHeld(v *View) View {
	view := *v
	if end, ok := b.held[v.ID]; ok {
		view.Held = &end
	}
	return view
}
