package controller

import (
	"math"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/speed"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// minSpeedPeers is the number of other finished tasks of a part that a task has to be compared with.
const minSpeedPeers = 2

// runTime holds the measured run times of the finished tasks of a part, in milliseconds and
// converted to a worker of speed 1. last is that of the task that finished last, 0 before.
type runTime struct {
	last  float64
	total float64
	tasks int
}

// add adds the run time of a task. It ignores a time of 0.
func (t *runTime) add(duration float64) {
	if duration <= 0 {
		return
	}
	t.last = duration
	t.total += duration
	t.tasks++
}

// mean returns the mean run time, or 0 if nothing was measured.
func (t *runTime) mean() clock.Millis {
	if t.tasks == 0 {
		return 0
	}
	return clock.Millis(t.total / float64(t.tasks))
}

// measure records the run time of a successful run. It skips runs whose time says little about
// the task: those that continued earlier work, ran on a slow worker or ran away from their data
// or from the rest of their gang.
func (p *part) measure(r *run, now clock.Millis) {
	if r.firstSeen == 0 || r.resumed || r.adopted || r.node.isSlow(now) || p.runsRemotely(r) {
		if r.node.isSlow(now) {
			r.sample = speed.Sample{}
		}
		return
	}
	duration := float64(now - r.firstSeen)
	if p.step.Gang {
		p.measured.add(duration * p.slowestSpeed())
		return
	}
	if p.measured.tasks >= minSpeedPeers && duration > 0 {
		r.sample = speed.Compare(float64(p.measured.mean()), duration, speed.TaskWeight)
	}
	p.measured.add(duration * r.node.expectedSpeed())
}

// slowestSpeed returns the speed of the slowest worker that a part runs on. A gang takes as long as
// its slowest member.
func (p *part) slowestSpeed() float64 {
	slowest := math.Inf(1)
	for _, r := range p.runs() {
		slowest = min(slowest, r.node.expectedSpeed())
	}
	return slowest
}

// runsRemotely reports whether a run is not in the rack of its data, or its gang should be in one
// rack and is not.
func (p *part) runsRemotely(r *run) bool {
	if p.step.DataRack != "" && r.node.worker.Rack != p.step.DataRack {
		return true
	}
	if !p.step.SameRack {
		return false
	}
	for _, other := range p.runs() {
		if other.node.worker.Rack != r.node.worker.Rack {
			return true
		}
	}
	return false
}

// predictRunTime returns the predicted run time in milliseconds of a task of a part. Declared
// times may be off by a factor of ten, so it is learned from the queue's finished jobs how much
// they tell.
func (c *Controller) predictRunTime(p *part) clock.Millis { return c.predictStep(p.job)(p.step) }

// predictStep returns a function that predicts the run time of a task of a step of a job.
func (c *Controller) predictStep(j *job) func(*workflow.Step) clock.Millis {
	return func(s *workflow.Step) clock.Millis { return c.runTimes.Predict(j.record.Queue, s.Estimate) }
}

// objective returns the latency objective of a job in milliseconds, based on predicted run times.
func (c *Controller) objective(j *job) clock.Millis {
	return j.policy.Objective(&j.record.Spec, c.predictStep(j))
}

// longestChainFrom returns the predicted run time in milliseconds of the longest chain of dependent
// steps that begins with a part.
func (c *Controller) longestChainFrom(p *part) clock.Millis {
	return p.job.record.Spec.LongestChains(c.predictStep(p.job))[p.index]
}

// timeRun estimates for how long a run has been running, in milliseconds. For a run that an
// earlier leader started, it is derived from the progress, and is at most the time since the acceptance of its job.
func (c *Controller) timeRun(r *run, now clock.Millis) clock.Millis {
	switch {
	case r.firstSeen == 0:
		return now - r.stateSince
	case r.adopted:
		duration := r.pace.totalTime
		if duration == 0 {
			duration = float64(c.predictRunTime(r.task.part))
		}
		since := now - r.task.part.job.record.AcceptedAt
		return max(now-r.firstSeen, min(clock.FromFloat(duration*float64(r.percent)/100), since))
	}
	return now - r.firstSeen
}
