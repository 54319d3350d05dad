package controller

import (
	"slices"

	"github.com/chestnutsail/chestnutsail/agent"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// maxOfferedParts is the number of parts of a job with many that a plan may consider of occurrences that have not
// begun; it suffices for one of them. As occurrences have the same steps, the next one can't start where the first
// can't.
const maxOfferedParts = workflow.MaxSteps

// row returns the parts of an occurrence, or nil if it is not in use.
func (j *job) row(occurrence int) []*part {
	at := occurrence - j.doneBefore
	if at < 0 || at >= len(j.rows) {
		return nil
	}
	return j.rows[at]
}

// partOf returns the part of an occurrence and a step. On first use of an occurrence it creates all its parts. It
// returns nil if the occurrence and all before it are done.
func (j *job) partOf(occurrence, step int) *part {
	at := occurrence - j.doneBefore
	if at < 0 {
		return nil
	}
	for len(j.rows) <= at {
		j.rows = append(j.rows, nil)
	}
	if j.rows[at] == nil {
		row := make([]*part, len(j.record.Spec.Steps))
		for i := range row {
			row[i] = &part{job: j, occurrence: occurrence, index: i, step: &j.record.Spec.Steps[i]}
		}
		j.rows[at] = row
	}
	return j.rows[at][step]
}

// partOfTask returns the part of a task that a worker has named, or nil if the task has never begun or its occurrence
// is done.
func (c *Controller) partOfTask(j *job, t agent.Task) *part {
	if j == nil || t.Step < 0 || t.Step >= len(j.record.Spec.Steps) {
		return nil
	}
	if t.Index < 0 || t.Index >= j.record.Spec.Steps[t.Step].Count {
		return nil
	}
	row := j.row(t.Occurrence)
	if row == nil {
		return nil
	}
	return row[t.Step]
}

// hasManyParts reports whether only some of the job's occurrences are open at a time: those that follow the last one
// before which all are done, and have workflow.MaxOpenParts parts together.
func (j *job) hasManyParts() bool {
	return j.record.Spec.Parts() > workflow.MaxOpenParts
}

// openOccurrences calls f for the occurrences that may run now, in their order: those that are due and open.
func (j *job) openOccurrences(now clock.Millis, f func(occurrence int)) {
	end, offers := j.record.Spec.OccurrenceCount(), j.record.Spec.OccurrenceCount()
	if j.hasManyParts() {
		steps := len(j.record.Spec.Steps)
		end = min(end, j.doneBefore+workflow.MaxOpenParts/steps)
		offers = maxOfferedParts / steps
	}
	for k := j.doneBefore; k < end; k++ {
		due := j.record.Spec.EarliestStart(k)
		if due > 0 && now < due+occurrenceStartMargin {
			return
		}
		if !j.hasBegun(k) {
			if offers == 0 {
				return
			}
			offers--
		}
		f(k)
	}
}

// hasBegun reports whether a task of an occurrence has begun.
func (j *job) hasBegun(occurrence int) bool {
	for _, p := range j.row(occurrence) {
		if p.doneTasks > 0 || len(p.begun) > 0 {
			return true
		}
	}
	return false
}

// allParts returns the parts of the occurrences that are in use.
func (j *job) allParts() []*part {
	var list []*part
	for _, row := range j.rows {
		list = append(list, row...)
	}
	return list
}

// allDone reports whether all tasks of all occurrences are done.
func (j *job) allDone() bool {
	parts := j.allParts()
	inUse := j.doneBefore*len(j.record.Spec.Steps) + len(parts)
	return inUse == j.record.Spec.Parts() && !slices.ContainsFunc(parts, func(p *part) bool { return !p.isDone() })
}

// closeOccurrences forgets the parts of the first occurrences that are done, if the job has many parts.
func (j *job) closeOccurrences() {
	if !j.hasManyParts() {
		return
	}
	for len(j.rows) > 0 && isRowOver(j.rows[0]) {
		for i, p := range j.rows[0] {
			if mean := p.measured.mean(); mean > 0 {
				if j.doneRunTimes == nil {
					j.doneRunTimes = make([]clock.Millis, len(j.record.Spec.Steps))
				}
				j.doneRunTimes[i] = mean
			}
		}
		j.rows[0] = nil
		j.rows = j.rows[1:]
		j.doneBefore++
	}
}

// isRowOver reports whether all tasks of an occurrence are done and none of them has a run any more.
func isRowOver(row []*part) bool {
	for _, p := range row {
		if !p.isDone() || len(p.runs()) > 0 {
			return false
		}
	}
	return row != nil
}

// restoreDone takes over how many occurrences are done, and the run times of their steps.
func (c *Controller) restoreDone(j *job, recorded workflow.Progress) {
	if recorded.DoneBefore <= 0 || recorded.DoneBefore > j.record.Spec.OccurrenceCount() {
		return
	}
	j.doneBefore, j.doneRunTimes = recorded.DoneBefore, recorded.RunTimes
	for i, runTime := range recorded.RunTimes {
		if i < len(j.record.Spec.Steps) {
			c.runTimes.Observe(j.record.Queue, j.record.Spec.Steps[i].Estimate, runTime)
		}
	}
}
