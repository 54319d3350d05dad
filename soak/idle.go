package soak

import (
	"slices"
	"time"

	"github.com/chestnutsail/chestnutsail/platform/platformtest"
)

const (
	// calmTime is the time without faults after which accepted jobs must not be idle, with leases
	// of maxLease.
	calmTime = 4 * time.Second
	// maxIdleTime is the promise to callers: for no longer on end has an accepted job nothing
	// running while a task of it could run.
	maxIdleTime = 3 * time.Second
)

// moment is a span of time in which no run starts or ends and no job is accepted or ends.
type moment struct {
	from, to time.Time
	// used is the number of runs by worker, inUse that on all workers.
	used  map[string]int
	inUse int
	// running and done are the numbers of a job's tasks that run and that have been done.
	running, done map[string]int
}

// idleSpan is a span in which a job is idle although it could run, with the least room for its
// tasks and the most accelerators in use.
type idleSpan struct {
	from, to    time.Time
	room, inUse int
}

// checkIdleJobs reports each accepted job of which nothing runs for maxIdleTime on end in calm
// times, although a task of it could run by what the workers saw. The job has not been
// cancelled, and its callers have not been told that it has ended.
func (r *run) checkIdleJobs(intervals []platformtest.Interval) {
	moments := r.moments(intervals)
	for _, j := range r.jobs {
		if !j.accepted || j.cancelSent {
			continue
		}
		for _, span := range r.idleSpans(j, moments) {
			if idle := span.to.Sub(span.from); idle >= maxIdleTime {
				r.violationf("job %s (%d tasks, gang %t) had nothing running for %d ms, from %d ms after the last fault on, with room for %d tasks and %d of %d accelerators in use",
					j.id, j.body.Count, j.body.Gang, idle.Milliseconds(), span.from.Sub(r.calmFrom).Milliseconds(), span.room, span.inUse, r.accels())
			}
		}
	}
}

// moments divides the time from calmTime after the last fault until the end of the observation.
func (r *run) moments(intervals []platformtest.Interval) []moment {
	begin := r.calmFrom.Add(calmTime + r.longerLease())
	times := []time.Time{begin, r.observedUntil}
	for _, interval := range intervals {
		times = append(times, interval.Started, interval.Ended)
	}
	for _, j := range r.jobs {
		times = append(times, j.acceptedAt, j.endedAt)
	}
	times = slices.DeleteFunc(times, func(t time.Time) bool { return t.Before(begin) || t.After(r.observedUntil) })
	slices.SortFunc(times, time.Time.Compare)
	var moments []moment
	for i := 1; i < len(times); i++ {
		moments = append(moments, newMoment(times[i-1], times[i], intervals))
	}
	return moments
}

// accels returns the number of all accelerators.
func (r *run) accels() int { return len(r.slots) * workerAccels }

func newMoment(from, to time.Time, intervals []platformtest.Interval) moment {
	m := moment{from: from, to: to, used: make(map[string]int), running: make(map[string]int), done: make(map[string]int)}
	doneTasks := make(map[string]bool)
	for _, interval := range intervals {
		switch {
		case interval.Started.After(from):
		case interval.Ended.IsZero() || interval.Ended.After(from):
			m.used[interval.Worker]++
			m.inUse++
			m.running[jobOf(interval)]++
		case interval.Outcome == "done" && !doneTasks[interval.Task]:
			doneTasks[interval.Task] = true
			m.done[jobOf(interval)]++
		}
	}
	return m
}

// idleSpans returns the spans in which a job is idle although a task of it could run.
func (r *run) idleSpans(j *job, moments []moment) []idleSpan {
	var spans []idleSpan
	for _, m := range moments {
		if m.from.Before(j.acceptedAt) || (j.ended() && !m.from.Before(j.endedAt)) || m.running[j.id] > 0 || !r.couldRun(j, m) {
			continue
		}
		room := r.room(j, m)
		if last := len(spans) - 1; last >= 0 && spans[last].to.Equal(m.from) {
			spans[last].to, spans[last].room, spans[last].inUse = m.to, min(spans[last].room, room), max(spans[last].inUse, m.inUse)
			continue
		}
		spans = append(spans, idleSpan{m.from, m.to, room, m.inUse})
	}
	return spans
}

// couldRun reports whether a task of a job, or a gang as a whole, is still to be done, there is room
// for it twice over, and under half of all accelerators are in use. Jobs here have one step, so
// that no other step has to be done first.
func (r *run) couldRun(j *job, m moment) bool {
	needed, missing := 1, j.body.Count-m.done[j.id]
	if j.body.Gang {
		needed = j.body.Count
		if m.done[j.id] > 0 {
			// One member's end as done stands for the whole gang.
			missing = 0
		}
	}
	return missing > 0 && r.room(j, m) >= 2*needed && 2*m.inUse < r.accels()
}

// room returns the number of a job's tasks that fit on the workers beside the present runs.
func (r *run) room(j *job, m moment) int {
	room := 0
	for i, s := range r.slots {
		if j.body.Label == "" || j.body.Label == rackName(i) {
			room += max(workerAccels-m.used[s.worker.ID()], 0)
		}
	}
	return room
}
