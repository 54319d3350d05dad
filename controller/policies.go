package controller

import (
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/site"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// adoptPolicies gives all unfinished jobs the policies of a new version of the configuration.
func (c *Controller) adoptPolicies() {
	cfg := c.opts.Config()
	if cfg.Version == c.policyVersion || !c.workersListed {
		// A change before the recorded runs are restored would be recorded without them.
		return
	}
	c.policyVersion = cfg.Version
	changed := make(map[string]int)
	for _, j := range c.jobs {
		if !j.state.Final() && c.adoptPolicy(j, cfg) {
			changed[j.record.Queue]++
		}
	}
	for _, q := range cfg.Queues {
		if changed[q.Name] > 0 {
			c.opts.Log.WithFields(logrus.Fields{
				"queue": q.Name, "version": cfg.Version, "jobs": changed[q.Name], "service": q.Service, "priority": q.Priority, "attempts": q.Attempts,
			}).Info("controller: accepted jobs have a new policy")
		}
	}
}

// adoptPolicy gives a job the policy of its queue in a configuration, and reports whether that differs from the one
// that it had. A job that was accepted by a newer configuration, or whose queue was removed, keeps its policy.
func (c *Controller) adoptPolicy(j *job, cfg *site.Config) bool {
	q, ok := cfg.Queue(j.record.Queue)
	if !ok || cfg.Version < j.policy.Version {
		return false
	}
	next, before := workflow.PolicyOf(q, cfg.Version), j.policy
	j.policy = next
	if next.Equal(before) {
		return false
	}
	j.policyChanged = true
	if next.Service != before.Service {
		// The queue may be removed before the job changes again.
		c.markChanged(j)
	}
	c.planNeeded = true
	c.failIfExhausted(j)
	return true
}

// reportNewerPolicy reports a job whose policy is from a newer configuration than the one that is known here.
func (c *Controller) reportNewerPolicy(j *job) {
	if known := c.opts.Config().Version; j.policy.Version > known {
		c.opts.Log.WithFields(logrus.Fields{"job": j.id, "queue": j.record.Queue, "version": j.policy.Version, "config": known}).
			Info("controller: job goes by a newer configuration than is known here")
		c.opts.OnNewerConfig(j.policy.Version)
	}
}

// failIfExhausted fails a job if a task that is not done, or its gang, has failed as often as the queue allows.
func (c *Controller) failIfExhausted(j *job) {
	for _, p := range j.allParts() {
		if p.step.UntilCancelled || p.isDone() {
			continue
		}
		for _, t := range p.begun {
			if !t.done && p.failuresOf(t) >= j.policy.Attempts {
				c.finish(j, workflow.Failed, "a task has failed as often as its queue allows")
				return
			}
		}
	}
}

// failuresOf returns the number of failed runs of a task that count towards the queue's attempts. Those of a gang count
// for each of its tasks.
func (p *part) failuresOf(t *task) int {
	if p.step.Gang {
		return p.gangFailures
	}
	return t.failures
}
