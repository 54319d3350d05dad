package board

import "github.com/chestnutsail/chestnutsail/workflow"

// End is the end of a job that a leader knows and that is not recorded in the store yet. The state
// of Progress is final.
type End struct {
	Job      string
	Progress workflow.Progress
}

// heldEnd is the end of a job that is not recorded yet. shown reports whether callers may be told.
type heldEnd struct {
	progress workflow.Progress
	shown    bool
}

// Hold keeps ends of jobs until they are recorded, so that a leader elected later knows of them.
// Callers are told of them if shown is set, now or in an earlier call. Ends that are recorded
// already are ignored. It returns the ends that are new, or shown for the first time.
func (b *Board) Hold(shown bool, ends ...End) []End {
	b.mu.Lock()
	defer b.mu.Unlock()
	var changed []End
	for _, e := range ends {
		if v := b.jobs[e.Job]; v != nil && v.Progress.State.Final() {
			continue
		}
		before, known := b.held[e.Job]
		b.held[e.Job] = heldEnd{progress: e.Progress, shown: shown || before.shown}
		if !known || (shown && !before.shown) {
			changed = append(changed, e)
		}
	}
	return changed
}

// withHeld returns a copy of a view with the end that is held for its job, if there is one.
func (b *Board) withHeld(v *View) View {
	view := *v
	if end, ok := b.held[v.ID]; ok {
		view.Held, view.Shown = &end.progress, end.shown
	}
	return view
}
