package controller

import (
	"slices"

	"github.com/chestnutsail/chestnutsail/agent"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// part is one step of one occurrence of a job. Its memory grows with the tasks that have begun, not with those that a
// caller has asked for.
type part struct {
	job        *job
	occurrence int
	index      int
	step       *workflow.Step
	// begun holds the tasks that have been placed, apart from those that are done and not needed any more, sorted by
	// index.
	begun []*task
	// done holds the tasks that are done, unless all are, and doneTasks is their number.
	done      workflow.IndexSet
	doneTasks int
	// failedOn holds the IDs of the workers on which a task has failed, and mostFailures is the largest number of
	// failures of one task.
	failedOn     map[string]bool
	mostFailures int
	// gangFailures is the number of failed runs of a gang, lastFailedRun the number of the
	// last run that failed.
	gangFailures  int
	lastFailedRun int
	// readySince is when tasks of the part were first ready to start; 0 before. doneAt is when the last one was
	// done; 0 before, or if that is not known.
	readySince clock.Millis
	doneAt     clock.Millis
	// deferredSince is when the part was first deferred, since there was too little room; 0 if it never was.
	deferredSince clock.Millis
	// past is set once the part has started or has become late.
	past bool
	// comparedAt is when the progress of the part's runs was last compared.
	comparedAt clock.Millis
	// measured holds the measured run times of finished tasks.
	measured runTime
}

// task is one task of a part that has begun.
type task struct {
	part     *part
	index    int
	done     bool
	failures int
	// lastRun is the number of the last run that was placed; 0 before.
	lastRun int
	// checkpoint is the last checkpoint, "" if there is none. checkpointPercent is the run's
	// progress when it was saved, in percent.
	checkpoint        string
	checkpointPercent int
	run               *run
	// removed is the last run that was removed.
	removed removal
	// restarts is the number of runs that were stopped because they or their gang stalled.
	restarts int
}

func (t *task) id() agent.Task {
	return agent.Task{Job: t.part.job.id, Occurrence: t.part.occurrence, Step: t.part.index, Index: t.index}
}

// size returns the number of the part's tasks.
func (p *part) size() int { return p.step.Count }

// isDone reports whether all tasks of the part are done.
func (p *part) isDone() bool { return p.doneTasks == p.size() }

// isTaskDone reports whether the task with an index is done.
func (p *part) isTaskDone(index int) bool { return p.isDone() || p.done.Has(index) }

func (p *part) position(index int) (int, bool) {
	return slices.BinarySearchFunc(p.begun, index, func(t *task, i int) int { return t.index - i })
}

// find returns the task with an index, or nil if it has not begun or is done.
func (p *part) find(index int) *task {
	if at, found := p.position(index); found {
		return p.begun[at]
	}
	return nil
}

// task returns the task with an index, which counts as begun from now on. Release has to be called for tasks that are
// not placed.
func (p *part) task(index int) *task {
	at, found := p.position(index)
	if !found {
		p.begun = slices.Insert(p.begun, at, &task{part: p, index: index, done: p.isTaskDone(index)})
	}
	return p.begun[at]
}

// release forgets a task that was never placed, or that is done and not needed any more. What showed that its last run
// had ended is kept, unless its worker reported the end.
func (p *part) release(t *task) {
	switch {
	case t.run != nil:
		return
	case t.lastRun == 0 && t.failures == 0:
	case !t.done || (t.removed.evidence != "" && t.removed.evidence != endReported):
		return
	}
	if at, found := p.position(t.index); found && p.begun[at] == t {
		p.begun = slices.Delete(p.begun, at, at+1)
	}
}

// markDone marks the task with an index as done.
func (p *part) markDone(index int) {
	if p.isTaskDone(index) {
		return
	}
	p.done.Add(index)
	p.doneTasks++
	if p.isDone() {
		p.done = nil
	}
	if t := p.find(index); t != nil {
		t.done = true
		p.release(t)
	}
}

func (p *part) markAllDone() {
	p.doneTasks, p.done = p.size(), nil
	for _, t := range slices.Clone(p.begun) {
		t.done = true
		p.release(t)
	}
}

// waiting returns the tasks that have begun, have no run and are not done, and how many others have not begun.
func (p *part) waiting() (begun []*task, others int) {
	others = p.size() - p.doneTasks
	for _, t := range p.begun {
		if t.done {
			continue
		}
		others--
		if t.run == nil {
			begun = append(begun, t)
		}
	}
	return begun, others
}

// take returns n tasks to be placed, sorted by index: first those that have begun, and then others, which count as
// begun from now on.
func (p *part) take(n int) []*task {
	list, _ := p.waiting()
	list = list[:min(n, len(list))]
	for i := 0; i < p.size() && len(list) < n; i++ {
		if !p.isTaskDone(i) && p.find(i) == nil {
			list = append(list, p.task(i))
		}
	}
	slices.SortFunc(list, func(a, b *task) int { return a.index - b.index })
	return list
}

// runs returns the current runs of the part's tasks.
func (p *part) runs() []*run {
	var list []*run
	for _, t := range p.begun {
		if t.run != nil {
			list = append(list, t.run)
		}
	}
	return list
}

// restore applies the recorded progress of a part that is not done to its tasks.
func (p *part) restore(recorded workflow.StepProgress) {
	for _, i := range recorded.DoneTasks() {
		if i >= 0 && i < p.size() {
			p.markDone(i)
		}
	}
	if p.step.Gang && p.doneTasks > 0 {
		p.markAllDone()
	}
	p.lastFailedRun = recorded.FailedRun
	for _, r := range recorded.Tasks {
		if r.Index < 0 || r.Index >= p.size() || p.isTaskDone(r.Index) {
			continue
		}
		t := p.task(r.Index)
		t.lastRun, t.failures, t.checkpoint = r.Run, r.Failures, r.Checkpoint
		p.mostFailures = max(p.mostFailures, r.Failures)
		p.gangFailures = max(p.gangFailures, r.Failures)
	}
}

// encode returns the progress of a part as it is recorded, and whether there is any.
func (p *part) encode() (workflow.StepProgress, bool) {
	out := workflow.StepProgress{Occurrence: p.occurrence, Step: p.index, AllDone: p.isDone(), FailedRun: p.lastFailedRun}
	switch {
	case out.AllDone:
		out.RunTime, out.DoneAt = p.measured.mean(), p.doneAt
	case p.doneTasks > maxDoneList:
		out.DoneSet = slices.Clone(p.done)
	default:
		out.Done = p.done.Indices()
	}
	for _, t := range p.begun {
		if t.run != nil && t.run.state != planned {
			out.Places = append(out.Places, workflow.PlacedRun{Index: t.index, Run: t.run.number, Worker: t.run.node.id, WorkerStartedAt: t.run.workerStart})
			if t.run.copiesUntil != 0 {
				if out.Unanswered == nil {
					out.Unanswered = make(map[int]clock.Millis)
				}
				out.Unanswered[t.index] = t.run.copiesUntil
			}
		}
		if !out.AllDone && !t.done && t.lastRun > 0 {
			out.Tasks = append(out.Tasks, workflow.TaskProgress{Index: t.index, Run: t.lastRun, Failures: p.failuresOf(t), Checkpoint: t.checkpoint})
		}
	}
	return out, out.AllDone || len(out.Places) > 0 || p.doneTasks > 0 || len(out.Tasks) > 0
}
