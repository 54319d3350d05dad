package workload

import (
	"slices"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
)

// KindStats holds the completion times of the successful jobs of one kind.
type KindStats struct {
	Jobs int
	// MeanCompletion and P99Completion are the mean and the 99th percentile of the time
	// from the submission of a job to its end, in milliseconds.
	MeanCompletion, P99Completion clock.Millis
	// MeanSlowdown and P99Slowdown are the mean and the 99th percentile of the slowdown:
	// the time from submission to end, divided by the job's run time or by 10 s if the
	// run time is shorter.
	MeanSlowdown, P99Slowdown float64
}

// Result holds the measurements of one or several runs of workloads. The field largest
// is the size of the largest guaranteed cell in accelerators. The fields all, free and
// unusable are the sums of all, free and unusable accelerator time that
// sampleFragmentation has added, in accelerator milliseconds.
type Result struct {
	// ByKind holds the statistics by kind of job: urgent, quick, small and large (16
	// accelerators or more).
	ByKind map[string]KindStats
	// Fragmentation is the share of accelerator time, from 0 to 1, that was free but
	// unusable for the largest shape that was waiting or guaranteed. Utilization is the
	// share of accelerator time that was in use.
	Fragmentation, Utilization float64
	// GuaranteedStarts is the number of started jobs that fitted their account's
	// guarantee when they were submitted. GuaranteedLate is the number of them that
	// waited longer than startBound, and GuaranteedWaitMax the longest wait in milliseconds.
	GuaranteedStarts, GuaranteedLate int
	GuaranteedWaitMax                clock.Millis
	// UrgentWaitMax is the longest time in milliseconds from the submission of an urgent
	// job to its first start, and UrgentLate the number of urgent jobs that waited longer
	// than startBound.
	UrgentWaitMax clock.Millis
	UrgentLate    int
	// LostWork is the work that stopped jobs lost because it was not checkpointed, in
	// accelerator milliseconds. Stops is the number of stops of running jobs. Neither
	// counts canceled jobs or lost workers.
	LostWork clock.Millis
	Stops    int
	// GuaranteeViolations counts placements of unstoppable work beyond its account's guarantee.
	GuaranteeViolations int
	// Failed and Unknown count the jobs that ended in these states, and Unfinished the
	// jobs that had not ended when the run was over.
	Failed, Unknown, Unfinished int

	completions         map[string][]completion
	largest             int
	all, free, unusable int64
}

type completion struct {
	duration clock.Millis
	slowdown float64
}

func newResult() *Result {
	return &Result{ByKind: make(map[string]KindStats), completions: make(map[string][]completion)}
}

// Kinds returns the kinds of job that Result.ByKind uses as keys.
func Kinds() []string { return []string{"urgent", "quick", "small", "large"} }

func kindOf(spec job.Spec) string {
	switch {
	case spec.Class == job.Urgent:
		return "urgent"
	case spec.Class == job.Quick:
		return "quick"
	case totalAccelerators(spec) >= largeJobAccels:
		return "large"
	default:
		return "small"
	}
}

// started records the time that the job waited for its first start. Later starts and
// starts after a requeued attempt are ignored.
func (r *Result) started(j *activeJob, now clock.Millis) {
	if j.waitEnded {
		return
	}
	j.waitEnded = true
	wait := now - j.SubmitAt
	if j.withinGuarantee {
		r.GuaranteedStarts++
		r.GuaranteedWaitMax = max(r.GuaranteedWaitMax, wait)
		if wait > startBound {
			r.GuaranteedLate++
		}
	}
	if j.Spec.Class == job.Urgent {
		r.UrgentWaitMax = max(r.UrgentWaitMax, wait)
		if wait > startBound {
			r.UrgentLate++
		}
	}
}

// ended records the final state of a job, and its completion time if it succeeded.
func (r *Result) ended(j *activeJob, state job.State, now clock.Millis) {
	switch state {
	case job.Done:
		duration := now - j.SubmitAt
		kind := kindOf(j.Spec)
		r.completions[kind] = append(r.completions[kind], completion{duration, float64(duration) / float64(max(j.RunTime, 10*clock.Second))})
	case job.Failed:
		r.Failed++
	case job.Unknown:
		r.Unknown++
	}
}

func (r *Result) computeTotals(unfinished map[string]*activeJob) {
	r.Unfinished = len(unfinished)
	r.Fragmentation = float64(r.unusable) / float64(max(r.all, 1))
	r.Utilization = 1 - float64(r.free)/float64(max(r.all, 1))
	for kind, completions := range r.completions {
		r.ByKind[kind] = summarize(completions)
	}
}

// Merge combines the results of several runs: it sums the counts, takes the maxima of
// the waits, and computes the statistics and shares over all runs together.
func Merge(results []*Result) *Result {
	merged := newResult()
	for _, r := range results {
		for kind, completions := range r.completions {
			merged.completions[kind] = append(merged.completions[kind], completions...)
		}
		merged.all, merged.free, merged.unusable = merged.all+r.all, merged.free+r.free, merged.unusable+r.unusable
		merged.GuaranteedStarts, merged.GuaranteedLate, merged.GuaranteedWaitMax = merged.GuaranteedStarts+r.GuaranteedStarts, merged.GuaranteedLate+r.GuaranteedLate, max(merged.GuaranteedWaitMax, r.GuaranteedWaitMax)
		merged.UrgentWaitMax, merged.UrgentLate = max(merged.UrgentWaitMax, r.UrgentWaitMax), merged.UrgentLate+r.UrgentLate
		merged.LostWork, merged.Stops, merged.GuaranteeViolations = merged.LostWork+r.LostWork, merged.Stops+r.Stops, merged.GuaranteeViolations+r.GuaranteeViolations
		merged.Failed, merged.Unknown = merged.Failed+r.Failed, merged.Unknown+r.Unknown
	}
	unfinished := 0
	for _, r := range results {
		unfinished += r.Unfinished
	}
	merged.computeTotals(nil)
	merged.Unfinished = unfinished
	return merged
}

func summarize(completions []completion) KindStats {
	stats := KindStats{Jobs: len(completions)}
	duration := make([]clock.Millis, 0, len(completions))
	slowdown := make([]float64, 0, len(completions))
	var durationSum clock.Millis
	var slowdownSum float64
	for _, c := range completions {
		duration, slowdown = append(duration, c.duration), append(slowdown, c.slowdown)
		durationSum += c.duration
		slowdownSum += c.slowdown
	}
	slices.Sort(duration)
	slices.Sort(slowdown)
	p99 := (len(completions)*99+99)/100 - 1
	stats.MeanCompletion, stats.P99Completion = durationSum/clock.Millis(len(completions)), duration[p99]
	stats.MeanSlowdown, stats.P99Slowdown = slowdownSum/float64(len(completions)), slowdown[p99]
	return stats
}
