package controller_test

import (
	"fmt"
	"sort"

	"github.com/chestnutsail/chestnutsail/platform/platformtest"
)

// repeats describes each pair of runs of one task that overlap in time, and each run that began
// after an earlier one was done and its end was acknowledged while its lease held.
func (c *cluster) repeats() []string {
	byTask := make(map[string][]platformtest.Interval)
	for _, x := range c.workers {
		for _, i := range x.History() {
			byTask[i.Task] = append(byTask[i.Task], i)
		}
	}
	var found []string
	for _, intervals := range byTask {
		sort.Slice(intervals, func(a, b int) bool { return intervals[a].Started.Before(intervals[b].Started) })
		for i, later := range intervals {
			for _, earlier := range intervals[:i] {
				if earlier.Ended.IsZero() || earlier.Ended.After(later.Started) {
					found = append(found, describePair("two runs at once", earlier, later))
				}
				if earlier.Outcome == "done" && !earlier.Acknowledged.IsZero() {
					found = append(found, describePair("started again after it was done", earlier, later))
				}
			}
		}
	}
	return found
}

func describePair(what string, earlier, later platformtest.Interval) string {
	const layout = "05.000"
	return fmt.Sprintf("%s: %s: run %d on %s from %s to %s (%s), run %d on %s from %s to %s (%s)", later.Task, what,
		earlier.Run, earlier.Worker, earlier.Started.Format(layout), earlier.Ended.Format(layout), earlier.Outcome,
		later.Run, later.Worker, later.Started.Format(layout), later.Ended.Format(layout), later.Outcome)
}
