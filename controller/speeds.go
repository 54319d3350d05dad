package controller

import (
	"fmt"
	"math"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/speed"
)

const (
	// precisePercents is the progress in percent from which a measured rate of progress is exact
	// enough to count in full. It is reported in whole percents.
	precisePercents = 16
	// restartFade is the share of what was measured of a worker that still counts once its process
	// has restarted. The new one may run on other hardware.
	restartFade = 0.25
	// comparisonInterval is the shortest time in milliseconds between two comparisons of the runs of a part.
	// Each of its workers reports about once a second.
	comparisonInterval = 500 * clock.Millisecond
	// fleetInterval is the time in milliseconds between two computations of the fleets.
	fleetInterval = clock.Second
)

// expectedSpeed returns the expected speed of a worker; 1 if nothing is known.
func (n *node) expectedSpeed() float64 {
	if n.speedNow.Expected == 0 {
		return 1
	}
	return n.speedNow.Expected
}

// sureSpeed returns the speed that a worker almost surely reaches.
func (n *node) sureSpeed() float64 {
	if n.speedNow.Sure == 0 {
		return speed.Unknown().Sure
	}
	return n.speedNow.Sure
}

// earlierSpeed returns the expected speed of a worker by the runs that have ended. A present run is judged by it: its
// own sample would hide that it is slow.
func (c *Controller) earlierSpeed(n *node) float64 {
	return n.speed.Estimate(c.fleets.byService[n.worker.Service].fleet).Expected
}

// measuredSpeed returns what is measured of a worker's speed, with the runs that are present.
func (n *node) measuredSpeed() speed.Mean {
	m := n.speed
	for r := range n.runs {
		m.Add(r.sample)
	}
	return m
}

func (c *Controller) updateSpeed(n *node) {
	m := n.measuredSpeed()
	n.speedNow = m.Estimate(c.fleets.byService[n.worker.Service].fleet)
}

// serviceSpeeds is what is known of the speeds of the workers of one service. fastest is the highest speed
// that a worker surely reaches.
type serviceSpeeds struct {
	fleet   speed.Fleet
	fastest float64
}

// fleets holds what is known of the speeds of the workers by service, as of updatedAt, and what an earlier
// leader has measured.
type fleets struct {
	byService map[string]serviceSpeeds
	updatedAt clock.Millis
	history   speedHistory
	// counted holds the services whose workers are counted by speed in the metrics.
	counted map[string]bool
}

func newFleets() fleets {
	return fleets{byService: make(map[string]serviceSpeeds), counted: make(map[string]bool)}
}

// updateFleets computes how much the speeds of the workers of each service differ.
func (c *Controller) updateFleets(now clock.Millis) {
	if now-c.fleets.updatedAt < fleetInterval {
		return
	}
	c.fleets.updatedAt = now
	measured := make(map[string][]speed.Mean)
	for _, n := range c.nodes {
		measured[n.worker.Service] = append(measured[n.worker.Service], n.measuredSpeed())
	}
	for service, workers := range measured {
		next, before := serviceSpeeds{}, c.fleets.byService[service]
		next.fleet = speed.FleetOf(slices.Values(workers), before.fleet)
		for i := range workers {
			next.fastest = max(next.fastest, workers[i].Estimate(next.fleet).Sure)
		}
		c.fleets.byService[service] = next
		if before.fleet.IsUneven() != next.fleet.IsUneven() {
			c.opts.Log.WithFields(logrus.Fields{
				"service": service, "uneven": next.fleet.IsUneven(), "spread": math.Round(100*next.fleet.Spread()) / 100, "workers": len(workers),
			}).Info("controller: spread of the workers' speeds changed")
		}
	}
	for _, n := range c.nodes {
		c.updateSpeed(n)
	}
	c.countSpeeds()
	c.keepSpeedHistory(now)
}

// countSpeeds updates the metrics of what is known of the workers' speeds. Those of services whose workers are no
// longer uneven are 0.
func (c *Controller) countSpeeds() {
	tight := c.tightSpeeds()
	for service := range c.fleets.counted {
		if _, uneven := tight[service]; !uneven {
			c.setSpeedCounts(service, 0, 0, 0)
			delete(c.fleets.counted, service)
		}
	}
	for service, least := range tight {
		var slow, doubtful, sure uint64
		for _, n := range c.nodes {
			switch {
			case n.worker.Service != service:
			case n.expectedSpeed() < least:
				slow++
			case n.sureSpeed() < least:
				doubtful++
			default:
				sure++
			}
		}
		c.setSpeedCounts(service, slow, doubtful, sure)
		c.fleets.counted[service] = true
	}
}

// clearSpeedCounts sets the metrics of the workers' speeds to 0 at the end of a term.
func (c *Controller) clearSpeedCounts() {
	for service := range c.fleets.counted {
		c.setSpeedCounts(service, 0, 0, 0)
	}
}

func (c *Controller) setSpeedCounts(service string, slow, doubtful, sure uint64) {
	for kind, count := range map[string]uint64{"slow": slow, "doubtful": doubtful, "sure": sure} {
		c.opts.Counters.Counter(fmt.Sprintf("chestnutsail_workers_speed{service=%q,speed=%q}", service, kind)).Set(count)
	}
}

// tightSpeeds returns, by service whose workers are uneven, the speed that urgent work needs to meet its
// objective if it starts at once.
func (c *Controller) tightSpeeds() map[string]float64 {
	tight := make(map[string]float64)
	for _, q := range c.opts.Config().Queues {
		if q.Priority == urgentPriority && q.ObjectiveFactor > 0 && c.fleets.byService[q.Service].fleet.IsUneven() {
			tight[q.Service] = max(tight[q.Service], min(1/q.ObjectiveFactor, 1))
		}
	}
	return tight
}

// minSpeedStep is the resolution of the speeds that units need.
const minSpeedStep = 0.05

// neededSpeed returns the speed that a part needs to end by its deadline, if it is urgent and the workers of its
// service are uneven, and 0 for others. chain is the time in milliseconds that the rest of its job takes at speed 1.
// It reports late if the part can't end by then on any worker.
func (c *Controller) neededSpeed(p *part, chain, deadline, now clock.Millis) (needed float64, late bool) {
	if p.step.UntilCancelled || chain <= 0 {
		return 0, !p.step.UntilCancelled && now > deadline
	}
	fastest := 1.0
	service := c.fleets.byService[p.job.policy.Service]
	demanding := service.fleet.IsUneven() && p.job.policy.Priority == urgentPriority
	if demanding {
		fastest = max(fastest, service.fastest)
	}
	if float64(now)+float64(chain)/fastest > float64(deadline) {
		return 0, true
	}
	if !demanding {
		return 0, false
	}
	needed = math.Ceil(float64(chain)/float64(deadline-now)/minSpeedStep) * minSpeedStep
	return min(needed, fastest), false
}

// learnSpeeds compares the progress of the runs of a part with each other. Members of a gang have
// equal work. Tasks of other steps differ, and are also compared with those that have finished. Runs that
// tell nothing of the usual speed of their workers have no sample. taskDuration is the time in milliseconds that a
// task of the part takes on a worker of speed 1.
func (c *Controller) learnSpeeds(p *part, taskDuration float64, now clock.Millis) {
	if now-p.comparedAt < comparisonInterval {
		return
	}
	p.comparedAt = now
	var compared []*run
	logSum := 0.0
	for _, r := range p.runs() {
		r.sample = speed.Sample{}
		if c.isComparable(r, taskDuration, now) {
			compared = append(compared, r)
			logSum += math.Log(r.pace.totalTime * c.earlierSpeed(r.node))
		}
	}
	count := float64(len(compared))
	if p.measured.tasks > 0 {
		logSum += float64(p.measured.tasks) * math.Log(float64(p.measured.mean()))
		count += float64(p.measured.tasks)
	}
	if count < 2 {
		return
	}
	reference := math.Exp(logSum / count)
	weight := speed.TaskWeight
	if p.step.Gang {
		weight = speed.MemberWeight
	}
	// A run is part of its own reference, the more so the fewer runs there are.
	weight *= (count - 1) / count
	for _, r := range compared {
		precision := min(1, float64(r.percent-r.pace.startPercent)/precisePercents)
		r.sample = speed.Compare(reference, r.pace.totalTime, weight*precision)
		c.updateSpeed(r.node)
	}
}

// isComparable reports whether the rate of progress of a run is known and tells the usual speed of its worker.
func (c *Controller) isComparable(r *run, taskDuration float64, now clock.Millis) bool {
	p, n := r.task.part, r.node
	switch {
	case r.pace.totalTime <= 0, n.warmup.Worth(now) < 1:
		return false
	case !p.step.Gang && p.runsRemotely(r):
		// The members of a gang are remote together.
		return false
	}
	return r.pace.totalTime*min(c.earlierSpeed(n), 1) < slowRatio*taskDuration
}
