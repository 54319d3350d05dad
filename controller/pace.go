package controller

import (
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
)

const (
	// minRateAge is the minimum time in milliseconds, and minRateProgress the minimum progress
	// in percent, over which the rate of a run is computed. Progress is reported in whole
	// percents, so a smaller step would be inaccurate.
	minRateAge      = 600 * clock.Millisecond
	minRateProgress = 4
	// slowRatio is the ratio of a task's duration on a worker to its duration on a worker of
	// speed 1 above which the worker counts as slow. Normal workers differ by less.
	slowRatio = 2.8
	// slowDuration is how long a worker counts as slow after it was last found to be slow,
	// unless a later measurement is normal.
	slowDuration = 4 * clock.Second
	// minStallTime is the shortest time without progress after which a run counts as stalled. A
	// worker is polled at least stallPolls times in that time, and the run should have progressed
	// by stallPercents, since progress is reported in whole percents.
	minStallTime  = 1500 * clock.Millisecond
	stallPolls    = 1.5
	stallPercents = 3
	// newRunWindow is how long a run without a measured pace counts as new.
	newRunWindow = 2500 * clock.Millisecond
	// restartCost is the time that stopping a run and starting it again takes. A stalled run
	// is restarted only if its remaining time is at least minRestartGain times the run time
	// after a restart, plus restartCost.
	restartCost    = 400 * clock.Millisecond
	minRestartGain = 1.3
	// maxRestarts is how often a task may be restarted because it stalled.
	maxRestarts = 2
	// newRunPollWait is how long a worker with newly started runs may delay the answer to a
	// poll.
	newRunPollWait = clock.Second
)

// pace is the measured rate of progress of a run.
type pace struct {
	// startPercent is the progress at the time startedAt. The rate is computed from there.
	startPercent int
	startedAt    clock.Millis
	// totalTime is the time in milliseconds that the whole task, from 0 to 100 percent, would
	// take at the measured rate; 0 until that is known.
	totalTime float64
}

// updatePace updates the pace of a run after a report of its progress.
func (r *run) updatePace(percent int, now clock.Millis) {
	if r.pace.startedAt == 0 {
		r.pace.startedAt = r.firstSeen
		if r.resumed || r.adopted {
			// The progress at which the run was resumed or adopted is not known before the
			// first report.
			r.pace.startPercent, r.pace.startedAt = percent, now
		}
	}
	done := percent - r.pace.startPercent
	if percent >= 100 || done < minRateProgress || now-r.pace.startedAt < minRateAge {
		return
	}
	r.pace.totalTime = float64(now-r.pace.startedAt) * 100 / float64(done)
}

// stallTime returns the time in milliseconds without progress after which a run counts as stalled.
func (c *Controller) stallTime(r *run) clock.Millis {
	perPercent := float64(c.predictRunTime(r.task.part)) / 100
	return max(minStallTime, clock.Millis(stallPolls*float64(c.pollWait())), clock.Millis(stallPercents*perPercent))
}

// stalled reports whether a run made no progress for its stallTime up to the worker's last report.
func (r *run) stalled() bool {
	return r.state == present && r.percent < 100 && r.lastSeen-r.lastProgress > r.stallTime
}

// remaining returns the estimated time in milliseconds until a run ends, and whether it is known.
// For a stalled run it is an hour.
func (r *run) remaining() (float64, bool) {
	switch {
	case r.state != present:
		return 0, false
	case r.percent >= 100:
		return 0, true
	case r.stalled():
		return float64(clock.Hour), true
	case r.pace.totalTime == 0:
		return 0, false
	}
	return r.pace.totalTime * float64(100-r.percent) / 100, true
}

// assessPace finds slow workers by comparing the runs of a part with each other, and restarts
// stalled runs.
func (c *Controller) assessPace(p *part, now clock.Millis) {
	if p.step.UntilCancelled || p.isDone() || p.job.state.Final() {
		return
	}
	taskDuration, known := c.taskDuration(p)
	if known {
		for _, r := range p.runs() {
			// The members of a gang are remote together, and can still be compared.
			if r.pace.totalTime > 0 && (p.step.Gang || !p.runsRemotely(r)) {
				r.node.updateSlowness(r.pace.totalTime*min(c.earlierSpeed(r.node), 1)/taskDuration, now)
			}
		}
		c.learnSpeeds(p, taskDuration, now)
	}
	if p.step.Gang {
		c.restartIfStalled(p, p.runs(), taskDuration, now)
		return
	}
	for _, r := range p.runs() {
		c.restartIfStalled(p, []*run{r}, taskDuration, now)
	}
}

// taskDuration estimates the time in milliseconds that a task of a part takes on a worker of
// speed 1, and reports whether there is enough data. It is the lower median over the tasks of
// the part, which slow workers hardly change. It needs runs on at least two workers, or a task
// that has finished.
func (c *Controller) taskDuration(p *part) (float64, bool) {
	var samples []float64
	workers := make(map[*node]bool)
	for _, r := range p.runs() {
		if r.pace.totalTime > 0 {
			samples = append(samples, r.pace.totalTime*c.earlierSpeed(r.node))
			workers[r.node] = true
		}
	}
	if p.measured.last > 0 {
		samples = append(samples, p.measured.last)
	}
	if len(workers) < 2 && p.measured.last == 0 {
		return 0, false
	}
	slices.Sort(samples)
	return samples[(len(samples)-1)/2], true
}

// updateSlowness marks a worker as slow or not after a measurement. ratio is a task's duration on
// the worker divided by the duration that its speed in earlier runs lets expect.
func (n *node) updateSlowness(ratio float64, now clock.Millis) {
	n.slowUntil = 0
	if ratio > slowRatio {
		n.slowUntil = now + slowDuration
	}
}

// isSlow reports whether a worker was found to be slow within the last slowDuration and has had no
// normal measurement since.
func (n *node) isSlow(now clock.Millis) bool { return now < n.slowUntil }

// restartIfStalled stops a single run or all runs of a gang, to be started again elsewhere, if the
// one with the longest remaining time is stalled and a restart is clearly faster. taskDuration
// is the expected duration of a task in milliseconds, or 0 if it is unknown.
func (c *Controller) restartIfStalled(p *part, runs []*run, taskDuration float64, now clock.Millis) {
	longest, highestPercent := 0.0, 0
	var slowest *run
	for _, r := range runs {
		if now-r.firstSeen < r.stallTime && r.percent == 0 {
			// The members of a gang make no progress until all of them are present.
			return
		}
		remaining, known := r.remaining()
		if !known {
			return
		}
		if remaining > longest {
			longest, slowest = remaining, r
		}
		highestPercent = max(highestPercent, r.percent)
	}
	// Runs that are slow but not stalled continue: under load, they would have to wait for
	// room again.
	if slowest == nil || !slowest.stalled() || slowest.task.restarts >= maxRestarts {
		return
	}
	if taskDuration == 0 {
		taskDuration = float64(c.predictRunTime(p))
	}
	restartTime := taskDuration
	if p.step.Checkpointing {
		restartTime *= float64(100-highestPercent) / 100
	}
	if longest < minRestartGain*restartTime+float64(restartCost) {
		return
	}
	slowest.node.suspectUntil = now + suspectDuration
	slowest.node.slowUntil = now + slowDuration
	c.opts.Log.WithFields(slowest.logFields()).WithFields(logrus.Fields{
		"left_ms": int64(longest), "anew_ms": int64(restartTime), "percent": slowest.percent, "runs": len(runs),
	}).Info("controller: restarting a stalled run")
	c.opts.Counters.Counter("chestnutsail_stalled_restarts_total").Inc()
	for _, r := range runs {
		r.task.restarts++
		c.stopRun(r, "a run stands still on its worker")
	}
}
