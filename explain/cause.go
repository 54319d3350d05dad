package explain

import (
	"slices"
	"strings"

	"github.com/chestnutsail/chestnutsail/clock"
)

// divide divides the time from the job's begin to its end into Waited, Lost and Ran, and returns
// the lost time by cause. At a moment at which a run is present that succeeded later the job runs,
// even if other runs are lost.
func (j *jobHistory) divide() map[Cause]clock.Millis {
	job := &j.job
	var moments []clock.Millis
	for _, r := range j.runs {
		r.finish(job.End)
		if cause, lost := r.lossCause(); lost {
			job.LostRuns[cause]++
		}
		moments = append(moments, r.begin, r.end)
	}
	moments = append(moments, job.Begin, job.End)
	slices.Sort(moments)
	moments = slices.Compact(moments)
	lostTimes := make(map[Cause]clock.Millis)
	for i := 0; i+1 < len(moments); i++ {
		from, length := moments[i], moments[i+1]-moments[i]
		if from < job.Begin || from >= job.End {
			continue
		}
		switch cause, present, succeeds := j.at(from); {
		case succeeds:
			job.Ran += length
		case present:
			job.Lost += length
			lostTimes[cause] += length
		default:
			job.Waited += length
		}
	}
	return lostTimes
}

// at tells whether a run is present at a time, whether one of these succeeds, and, if none does, the
// cause of the loss of one of them.
func (j *jobHistory) at(t clock.Millis) (cause Cause, present, succeeds bool) {
	for _, r := range j.runs {
		if t < r.begin || t >= r.end {
			continue
		}
		present = true
		lossCause, lost := r.lossCause()
		if !lost {
			return "", true, true
		}
		cause = lossCause
	}
	return cause, present, false
}

// finish ends a run of which no end is known with its job, which then succeeded by it.
func (r *runHistory) finish(jobEnd clock.Millis) {
	if !r.ended {
		r.end, r.ended, r.done = max(jobEnd, r.begin), true, r.stopReason == "" || r.stopReason == jobOver
	}
}

// jobOver is the reason of the stop of runs that a job does not need any more.
const jobOver = "its job is over"

// lossCause returns why a run was lost, and whether it was.
func (r *runHistory) lossCause() (Cause, bool) {
	switch {
	case r.done || r.stopReason == jobOver:
		return "", false
	case r.how == "failed", r.how == "broken", strings.Contains(r.stopReason, "another member"):
		return TaskFailed, true
	case strings.Contains(r.stopReason, "urgent work"):
		return Evicted, true
	case strings.Contains(r.stopReason, "stands still"):
		return Stalled, true
	case strings.Contains(r.stopReason, "drains"):
		return Drained, true
	case r.how == "lapsed", r.how == "":
		return WorkerGone, true
	}
	return OtherLoss, true
}

// mainCause returns the cause of a late job: what took most time beside the runs that succeeded. If
// all that is less than half of the time by which the job is late, its runs took long.
func (j *jobHistory) mainCause(lostTimes map[Cause]clock.Millis) Cause {
	job := &j.job
	times := map[Cause]clock.Millis{Waited: job.Waited, Unrecorded: job.Recording, Refused: job.Refusing}
	for cause, t := range lostTimes {
		times[cause] += t
	}
	var most Cause
	for _, cause := range []Cause{Refused, Unrecorded, TaskFailed, WorkerGone, Evicted, Stalled, Drained, OtherLoss, Waited} {
		if most == "" || times[cause] > times[most] {
			most = cause
		}
	}
	switch {
	case most == Waited && job.Lost > 0 && 2*times[most] >= job.LateBy:
		// The job waited again because its runs were lost.
		return j.mostLost(lostTimes)
	case 2*times[most] >= job.LateBy:
		return most
	case j.manyRacks:
		return ManyRacks
	}
	return RanLong
}

func (j *jobHistory) mostLost(lostTimes map[Cause]clock.Millis) Cause {
	most := OtherLoss
	for _, cause := range []Cause{TaskFailed, WorkerGone, Evicted, Stalled, Drained} {
		if lostTimes[cause] > lostTimes[most] {
			most = cause
		}
	}
	return most
}
