package soak

import (
	"fmt"
	"sort"
	"strings"

	"github.com/chestnutsail/chestnutsail/platform/platformtest"
)

// checkPromises compares the answers that callers received with the runs that workers
// recorded, and reports each broken promise as a violation.
func (r *run) checkPromises() {
	byTask := make(map[string][]platformtest.Interval)
	startedJobs := make(map[string]bool)
	intervals := r.history()
	for _, interval := range intervals {
		byTask[interval.Task] = append(byTask[interval.Task], interval)
		startedJobs[jobOf(interval)] = true
	}
	for task, intervals := range byTask {
		r.checkTask(task, intervals)
	}
	submitted := make(map[string]bool)
	r.report.Jobs = len(r.jobs)
	for _, j := range r.jobs {
		submitted[j.id] = true
		if j.accepted {
			r.report.Accepted++
		}
		r.checkJob(j, startedJobs[j.id], byTask)
		r.checkAnswers(j, intervals)
	}
	for id := range startedJobs {
		if !submitted[id] {
			r.violationf("job %s ran, and no caller submitted it", id)
		}
	}
	r.checkIdleJobs(intervals)
	r.checkEvacuations()
	r.checkChanges(intervals)
}

// history returns the runs that all workers recorded.
func (r *run) history() []platformtest.Interval {
	var intervals []platformtest.Interval
	for _, w := range r.allWorkers() {
		intervals = append(intervals, w.History()...)
	}
	return intervals
}

// jobOf returns the ID of the job that a run belongs to.
func jobOf(interval platformtest.Interval) string {
	id, _, _ := strings.Cut(interval.Task, ".")
	return id
}

// checkTask reports runs of one task that overlap in time. It also reports each run that
// starts after an earlier one that was done, if the end of the earlier one was acknowledged
// at any time.
func (r *run) checkTask(task string, intervals []platformtest.Interval) {
	sort.Slice(intervals, func(a, b int) bool { return intervals[a].Started.Before(intervals[b].Started) })
	for i, later := range intervals {
		for _, earlier := range intervals[:i] {
			if earlier.Ended.IsZero() || earlier.Ended.After(later.Started) {
				r.violationf("task %s had two runs at the same time: %s and %s", task, describe(earlier), describe(later))
			}
			if earlier.Outcome == "done" && !earlier.Acknowledged.IsZero() {
				r.violationf("task %s was started again as %s after %s", task, describe(later), describe(earlier))
			}
		}
	}
}

// describe returns the worker, times and end of a run.
func describe(i platformtest.Interval) string {
	const layout = "15:04:05.000"
	ended := "present"
	if !i.Ended.IsZero() {
		ended = i.Ended.UTC().Format(layout) + " " + i.Outcome
	}
	return fmt.Sprintf("run %d on %s (%s to %s)", i.Run, i.Worker, i.Started.UTC().Format(layout), ended)
}

func (r *run) checkJob(j *job, started bool, byTask map[string][]platformtest.Interval) {
	switch {
	case !j.accepted && !j.ambiguous && started:
		r.violationf("job %s was refused at every attempt, and it ran", j.id)
	case j.accepted && !j.ended():
		r.violationf("job %s was accepted, and its state after the run is %q", j.id, j.state)
	case j.state == "completed":
		r.checkCompleted(j, byTask)
	}
}

// checkCompleted reports the tasks of a completed job that were started and were never done. By the
// platform's protocol, one end of a gang's member as done stands for the whole gang.
func (r *run) checkCompleted(j *job, byTask map[string][]platformtest.Interval) {
	gangDone := false
	var missing []string
	for task, intervals := range byTask {
		if !strings.HasPrefix(task, j.id+".") {
			continue
		}
		done := false
		for _, interval := range intervals {
			done = done || interval.Outcome == "done"
		}
		if !done {
			missing = append(missing, task)
		}
		gangDone = gangDone || (j.body.Gang && done)
	}
	if gangDone {
		return
	}
	for _, task := range missing {
		r.violationf("job %s has the state completed, and task %s was never done", j.id, task)
	}
}

// String returns the counts of the report on one line.
func (r Report) String() string {
	return fmt.Sprintf("%d jobs, %d accepted, %d faults, %d violations", r.Jobs, r.Accepted, len(r.Faults), len(r.Violations))
}
