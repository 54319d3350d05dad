package workload

import (
	"slices"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
)

// Group is the completion of the jobs of one kind.
type Group struct {
	Jobs int
	// Mean and P99 are of the time from submission to the end, in milliseconds.
	Mean, P99 clock.Millis
	// Slow and Slow99 are the mean and the 99th percentile of that time divided by the
	// run time, or by 10 s for shorter runs.
	Slow, Slow99 float64
}

// Result is what came of a workload.
type Result struct {
	// Groups holds the kinds of job: urgent, quick, small and large (16 accelerators
	// and more).
	Groups map[string]Group
	// Frag is the share of accelerator time that was free but of no use to the largest
	// shape that waited or was guaranteed, Busy the share that was in use.
	Frag, Busy float64
	// Waits is the number of jobs that fitted their account's guarantee when they came,
	// Late how many of them started after the bound for a reclaim, WaitMax the longest.
	Waits, Late int
	WaitMax     clock.Millis
	// UrgentMax is the longest time to the first start of urgent work, UrgentLate how
	// many exceeded the bound.
	UrgentMax  clock.Millis
	UrgentLate int
	// Lost is the work lost by stops, in accelerator milliseconds; Stops their number.
	Lost  clock.Millis
	Stops int
	// Against counts starts of work that cannot be stopped beyond its guarantee.
	Against int
	// Failed, Unknown and Unfinished count jobs that did not end in success.
	Failed, Unknown, Unfinished int

	times               map[string][]done
	largest             int
	all, free, unusable int64
}

type done struct {
	took clock.Millis
	slow float64
}

func newResult() *Result {
	return &Result{Groups: make(map[string]Group), times: make(map[string][]done)}
}

// Kinds lists the kinds of job in the order of the tables.
func Kinds() []string { return []string{"urgent", "quick", "small", "large"} }

func kind(s job.Spec) string {
	switch {
	case s.Class == job.Urgent:
		return "urgent"
	case s.Class == job.Quick:
		return "quick"
	case size(s) >= largeAccels:
		return "large"
	default:
		return "small"
	}
}

// started takes in the start of an attempt.
func (r *Result) started(l *live, now clock.Millis) {
	if l.waited {
		return
	}
	l.waited = true
	wait := now - l.At
	if l.entitled {
		r.Waits++
		r.WaitMax = max(r.WaitMax, wait)
		if wait > waitBound {
			r.Late++
		}
	}
	if l.Spec.Class == job.Urgent {
		r.UrgentMax = max(r.UrgentMax, wait)
		if wait > waitBound {
			r.UrgentLate++
		}
	}
}

// ended takes in the end of a job.
func (r *Result) ended(l *live, s job.State, now clock.Millis) {
	switch s {
	case job.Done:
		took := now - l.At
		k := kind(l.Spec)
		r.times[k] = append(r.times[k], done{took, float64(took) / float64(max(l.Run, 10*clock.Second))})
	case job.Failed:
		r.Failed++
	case job.Unknown:
		r.Unknown++
	}
}

func (r *Result) finish(left map[string]*live) {
	r.Unfinished = len(left)
	r.Frag = float64(r.unusable) / float64(max(r.all, 1))
	r.Busy = 1 - float64(r.free)/float64(max(r.all, 1))
	for k, times := range r.times {
		r.Groups[k] = group(times)
	}
}

// Merge adds the jobs of several results up, and takes means and maxima of the rest.
func Merge(results []*Result) *Result {
	sum := newResult()
	for _, r := range results {
		for k, times := range r.times {
			sum.times[k] = append(sum.times[k], times...)
		}
		sum.all, sum.free, sum.unusable = sum.all+r.all, sum.free+r.free, sum.unusable+r.unusable
		sum.Waits, sum.Late, sum.WaitMax = sum.Waits+r.Waits, sum.Late+r.Late, max(sum.WaitMax, r.WaitMax)
		sum.UrgentMax, sum.UrgentLate = max(sum.UrgentMax, r.UrgentMax), sum.UrgentLate+r.UrgentLate
		sum.Lost, sum.Stops, sum.Against = sum.Lost+r.Lost, sum.Stops+r.Stops, sum.Against+r.Against
		sum.Failed, sum.Unknown = sum.Failed+r.Failed, sum.Unknown+r.Unknown
	}
	unfinished := 0
	for _, r := range results {
		unfinished += r.Unfinished
	}
	sum.finish(nil)
	sum.Unfinished = unfinished
	return sum
}

func group(times []done) Group {
	g := Group{Jobs: len(times)}
	took := make([]clock.Millis, 0, len(times))
	slow := make([]float64, 0, len(times))
	var sum clock.Millis
	var slows float64
	for _, d := range times {
		took, slow = append(took, d.took), append(slow, d.slow)
		sum += d.took
		slows += d.slow
	}
	slices.Sort(took)
	slices.Sort(slow)
	at := (len(times)*99+99)/100 - 1
	g.Mean, g.P99 = sum/clock.Millis(len(times)), took[at]
	g.Slow, g.Slow99 = slows/float64(len(times)), slow[at]
	return g
}
