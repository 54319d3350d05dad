package explain

import (
	"strings"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// history collects what the lines say of each job.
type history struct {
	jobs     map[string]*jobHistory
	lostWork map[string]int64
}

// jobHistory is what the lines say of one job. refused is the time of the first refused call; 0 if there
// is none. recorded is the time at which the last leader that handled the end learned of it.
type jobHistory struct {
	job        Job
	runs       []*runHistory
	refused    clock.Millis
	accepted   clock.Millis
	recorded   clock.Millis
	manyRacks  bool
	placements int
}

// runHistory is one run of a task, from its placement until it ended. task is "" until a line names it.
type runHistory struct {
	task       string
	worker     string
	number     int
	begin, end clock.Millis
	ended      bool
	done       bool
	stopReason string
	how        string
}

func (h *history) add(l *Line) {
	id := l.Job
	if id == "" {
		id, _, _ = strings.Cut(l.Task, ".")
	}
	if id == "" {
		return
	}
	j := h.jobs[id]
	if j == nil {
		j = &jobHistory{job: Job{ID: id, LostRuns: make(map[Cause]int), WaitedFor: make(map[string]int)}}
		h.jobs[id] = j
	}
	switch l.Message {
	case "callers: request answered":
		j.addCall(l)
	case "controller: tasks are placed":
		j.addPlacement(l)
	case "controller: stopping a run":
		h.lostWork[l.Reason] += l.LostWork
		j.job.LostWork += l.LostWork
		if r := j.findRun(l); r != nil {
			r.stopReason = l.Reason
		}
	case "controller: run has ended":
		if r := j.findRun(l); r != nil {
			r.end, r.ended, r.how, r.done = l.At, true, l.How, l.How == "done"
		}
	case "controller: tasks wait although there is room":
		j.job.WaitedFor[obstacle(l)]++
	case "controller: job is over":
		j.addEnd(l)
	case "controller: taking over an end that is not recorded":
		j.recorded = l.At
	}
}

func (j *jobHistory) addCall(l *Line) {
	accepted := l.Verdict == "ok" || (l.Status >= 200 && l.Status < 300)
	switch {
	case l.Verb != "POST" || j.accepted != 0:
	case accepted:
		j.accepted, j.job.Queue = l.At, l.Queue
	case j.refused == 0:
		j.refused = l.At
	}
}

func (j *jobHistory) addPlacement(l *Line) {
	j.placements++
	j.job.Priority = l.Priority
	j.manyRacks = j.manyRacks || (l.SameRack && l.Racks > 1)
	for _, worker := range l.Workers {
		j.runs = append(j.runs, &runHistory{worker: worker, number: l.Run, begin: l.At})
	}
}

// findRun returns the run that a line is about, or nil. A placement does not tell which task went to
// which of its workers, so the first line about a task binds it to a run there.
func (j *jobHistory) findRun(l *Line) *runHistory {
	var unbound *runHistory
	for _, r := range j.runs {
		switch {
		case r.worker != l.Worker || r.number != l.Run || r.ended:
		case r.task == l.Task:
			return r
		case r.task == "" && unbound == nil:
			unbound = r
		}
	}
	if unbound != nil {
		unbound.task = l.Task
	}
	return unbound
}

// addEnd notes the end of the job. A later leader that did not know of it logs it again.
func (j *jobHistory) addEnd(l *Line) {
	if j.job.End == 0 {
		j.job.End, j.job.State, j.job.Objective, j.job.Queue = l.At, l.State, l.Objective, l.Queue
		j.job.Begin = l.At - l.Age
	}
	j.recorded = l.At
}

// obstacle names what keeps the tasks from most of the room that a report counts.
func obstacle(l *Line) string {
	name, most := "one rack or its data", l.Free
	for _, o := range []struct {
		name  string
		tasks int
	}{{"headroom", l.Headroom}, {"reservations", l.Reserved}, {"workers where it failed", l.Avoided}, {"unsound workers", l.Unsound}, {"workers that are too slow", l.Slow}} {
		if o.tasks > most {
			name, most = o.name, o.tasks
		}
	}
	return name
}

// explain divides the time of the job and finds its cause. It returns nil for a job that was never
// accepted, as far as the lines tell.
func (j *jobHistory) explain() *Job {
	job := &j.job
	job.Placements = j.placements
	if job.Begin == 0 {
		job.Begin = j.accepted
	}
	if job.Begin == 0 && len(j.runs) > 0 {
		job.Begin = j.runs[0].begin
	}
	switch {
	case job.Begin == 0:
		return nil
	case job.End == 0:
		job.Cause = NotOver
		return job
	}
	if j.refused != 0 && j.refused < job.Begin {
		job.Refusing = job.Begin - j.refused
	}
	job.Recording = max(j.recorded-job.End, 0)
	lostTimes := j.divide()
	job.LateBy = max(job.End-job.Begin+job.Recording+job.Refusing-job.Objective, 0)
	switch {
	case job.State != workflow.Completed:
		job.Cause = NotComplete
	case job.LateBy == 0:
		job.Cause = InTime
	default:
		job.Cause = j.mainCause(lostTimes)
	}
	return job
}
