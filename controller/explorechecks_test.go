package controller_test

import (
	"fmt"
	"sort"
	"time"

	"github.com/chestnutsail/chestnutsail/platform/platformtest"
)

// runPair is two runs of a task, in the order of their starts.
type runPair struct {
	earlier, later platformtest.Interval
}

// runPairs returns all pairs of runs of the same task on all workers ever started. Runs that start
// while the workers are asked one after the other are left out, because the end of an earlier run
// on a worker that was asked before would be missed.
func (c *cluster) runPairs() []runPair {
	asked := time.Now()
	byTask := make(map[string][]platformtest.Interval)
	for _, x := range c.workers {
		for _, i := range x.History() {
			if i.Started.Before(asked) {
				byTask[i.Task] = append(byTask[i.Task], i)
			}
		}
	}
	var pairs []runPair
	for _, intervals := range byTask {
		sort.Slice(intervals, func(a, b int) bool { return intervals[a].Started.Before(intervals[b].Started) })
		for i, later := range intervals {
			for _, earlier := range intervals[:i] {
				pairs = append(pairs, runPair{earlier, later})
			}
		}
	}
	return pairs
}

// overlap reports whether both runs were present at the same time.
func (p runPair) overlap() bool {
	return p.earlier.Ended.IsZero() || p.earlier.Ended.After(p.later.Started)
}

// repeatsDone reports whether the later run began although the earlier one was done and its end was
// acknowledged while its lease held.
func (p runPair) repeatsDone() bool {
	return p.earlier.Outcome == "done" && !p.earlier.Acknowledged.IsZero()
}

func (p runPair) String() string {
	return fmt.Sprintf("%s: %s, %s", p.later.Task, describeRun(p.earlier), describeRun(p.later))
}

func describeRun(i platformtest.Interval) string {
	const layout = "05.000"
	ended := "now"
	if !i.Ended.IsZero() {
		ended = fmt.Sprintf("%s (%s)", i.Ended.Format(layout), i.Outcome)
	}
	return fmt.Sprintf("run %d on %s from %s to %s", i.Run, i.Worker, i.Started.Format(layout), ended)
}

// overlaps describes each pair of runs of one task that were present at the same time.
func (c *cluster) overlaps() []string {
	var found []string
	for _, p := range c.runPairs() {
		if p.overlap() {
			found = append(found, "two runs at once: "+p.String())
		}
	}
	return found
}

// repeats describes each pair of runs of one task of which the later one must not have been started.
func (c *cluster) repeats() []string {
	found := c.overlaps()
	for _, p := range c.runPairs() {
		if p.repeatsDone() {
			found = append(found, "started again after it was done: "+p.String())
		}
	}
	return found
}
