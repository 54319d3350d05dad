// Package explain tells from the logs of `chestnutsail serve` what became of each job and why jobs
// came late. The time of a job is divided into three parts, which add up to it: the time in which
// it waited, the time in which it ran in vain, since its runs were lost later, and the time of the
// runs that succeeded.
//
// # Usage
//
//	r := explain.NewReader()
//	err := r.Read("e1.log", file) // for the log of each instance, in any order
//	report := explain.Explain(r.Lines())
//	for _, j := range report.Jobs { fmt.Println(j.ID, j.Cause, j.Waited, j.Lost, j.Ran) }
package explain

import (
	"cmp"
	"slices"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// Cause says why a job came late or did not end.
type Cause string

// The causes. Those of lost runs follow the end of the run or the reason for which it was stopped.
const (
	InTime      Cause = "in time"
	Refused     Cause = "refused at first"
	Waited      Cause = "waited for room"
	Evicted     Cause = "evicted for urgent work"
	TaskFailed  Cause = "a task failed"
	WorkerGone  Cause = "its worker was lost or cut off"
	Stalled     Cause = "a run stood still"
	Drained     Cause = "its worker was drained"
	OtherLoss   Cause = "a run was lost otherwise"
	Unrecorded  Cause = "its end was recorded late"
	ManyRacks   Cause = "spread over racks"
	RanLong     Cause = "ran for long"
	NotOver     Cause = "not over"
	NotComplete Cause = "failed or cancelled"
)

// Job is what became of one job. All times are in milliseconds.
type Job struct {
	ID       string         `json:"job"`
	Queue    string         `json:"queue,omitempty"`
	State    workflow.State `json:"state,omitempty"`
	Cause    Cause          `json:"cause"`
	Priority int            `json:"priority"`
	// Begin and End are times of day: the job's acceptance and its end as first known to a leader.
	Begin clock.Millis `json:"begin"`
	End   clock.Millis `json:"end,omitempty"`
	// Objective is the latency objective as the leader reckoned it, LateBy how long after it the
	// end was recorded.
	Objective clock.Millis `json:"objective"`
	LateBy    clock.Millis `json:"late_by,omitempty"`
	// Waited, Lost and Ran add up to the time from Begin to End. Recording is the time from End
	// until a leader could record it. Refusing is the time from the first refused
	// call to the acceptance.
	Waited    clock.Millis `json:"waited"`
	Lost      clock.Millis `json:"lost"`
	Ran       clock.Millis `json:"ran"`
	Recording clock.Millis `json:"recording,omitempty"`
	Refusing  clock.Millis `json:"refusing,omitempty"`
	// Placements is the number of decisions that placed tasks of the job. LostRuns counts lost
	// runs by cause, and LostWork is the work in core-seconds that was thrown away with them.
	Placements int           `json:"placements"`
	LostRuns   map[Cause]int `json:"lost_runs,omitempty"`
	LostWork   int64         `json:"lost_core_s,omitempty"`
	// WaitedFor counts the reports of waiting tasks by the obstacle that held most of the room.
	WaitedFor map[string]int `json:"waited_for,omitempty"`
}

// Report is what became of all jobs.
type Report struct {
	// Jobs is sorted by Begin.
	Jobs []*Job `json:"jobs"`
	// Classes sums the jobs up by priority.
	Classes []Class `json:"classes"`
	// LostWork is the work in core-seconds that was thrown away, by the leader's reason.
	LostWork map[string]int64 `json:"lost_core_s"`
}

// Class sums up the jobs of one priority.
type Class struct {
	Priority int           `json:"priority"`
	Jobs     int           `json:"jobs"`
	Causes   map[Cause]int `json:"causes"`
}

// Explain divides the jobs' times and finds their causes.
func Explain(lines []Line) Report {
	h := history{jobs: make(map[string]*jobHistory), lostWork: make(map[string]int64)}
	for i := range lines {
		h.add(&lines[i])
	}
	report := Report{LostWork: h.lostWork}
	for _, j := range h.jobs {
		if job := j.explain(); job != nil {
			report.Jobs = append(report.Jobs, job)
		}
	}
	slices.SortFunc(report.Jobs, func(a, b *Job) int { return cmp.Or(cmp.Compare(a.Begin, b.Begin), cmp.Compare(a.ID, b.ID)) })
	report.Classes = classes(report.Jobs)
	return report
}

func classes(jobs []*Job) []Class {
	var list []Class
	for _, j := range jobs {
		i := slices.IndexFunc(list, func(c Class) bool { return c.Priority == j.Priority })
		if i < 0 {
			i = len(list)
			list = append(list, Class{Priority: j.Priority, Causes: make(map[Cause]int)})
		}
		list[i].Jobs++
		list[i].Causes[j.Cause]++
	}
	slices.SortFunc(list, func(a, b Class) int { return cmp.Compare(a.Priority, b.Priority) })
	return list
}
