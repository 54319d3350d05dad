package planner_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/planner"
)

// tally counts the jobs of some callers, and those of them that were done in time, or late but before
// three times their objective.
type tally struct{ jobs, inTime, served int }

func (t tally) servedShare() float64 { return float64(t.served) / float64(t.jobs) }

// overload is a play of arrivals on a cluster. Run times are not what they are estimated to be.
type overload struct {
	*cluster
	now     clock.Millis
	arrived []clock.Millis
	takes   []clock.Millis
	decided map[int]bool
	endsAt  map[int]clock.Millis
	doneAt  map[int]clock.Millis
}

const (
	overloadStep = 250 * clock.Millisecond
	// objectiveFactor and objectiveMargin give the objective of a job from its run time.
	objectiveFactor = 1.5
	objectiveMargin = clock.Second
)

func (o *overload) objective(i int) clock.Millis {
	return clock.Millis(objectiveFactor*float64(o.takes[i])) + objectiveMargin
}

// playOverload lets gangs of several sizes, accounts and priorities arrive for 30 s at a multiple of what the cluster
// can serve, and returns the jobs by group. Without deferral, no unit is due within the forecast.
func playOverload(load float64, deferral bool, seed uint64) map[string]tally {
	random := rand.New(rand.NewPCG(seed, 1))
	o := &overload{cluster: newCluster(8, 4), endsAt: make(map[int]clock.Millis), doneAt: make(map[int]clock.Millis)}
	o.decided = make(map[int]bool)
	o.left = make(map[int]clock.Millis)
	const meanAccels, meanTime, capacity = 2 * 8, 4.0, 8 * 4 * 8
	perStep := load * capacity / (meanAccels * meanTime) * float64(overloadStep) / float64(clock.Second)
	for ; o.now < clock.Minute; o.now += overloadStep {
		for arrivals := perStep; o.now < 30*clock.Second && arrivals > 0; arrivals-- {
			if random.Float64() < arrivals {
				o.arrive(random, meanTime)
			}
		}
		o.endRuns()
		o.update(deferral)
		if !deferral {
			o.past = nil
		}
		o.step()
		for i := range o.units {
			if _, running := o.endsAt[i]; !running && len(o.placements[i]) > 0 {
				o.endsAt[i] = o.now + o.takes[i]
				o.decide(i)
			}
		}
	}
	return o.groups()
}

func (o *overload) arrive(random *rand.Rand, meanTime float64) {
	takes := clock.Millis(meanTime * math.Exp(0.3*random.NormFloat64()) * float64(clock.Second))
	o.add(planner.Unit{
		Account: fmt.Sprint(random.IntN(8) % 5), Priority: 1 + random.IntN(4)/3, Shape: planner.Shape{Cores: 8000, Memory: 8000, Accels: 2},
		Count: min(32, int(math.Ceil(6*math.Exp(0.8*random.NormFloat64())))), Gang: true, Estimate: clock.Millis(float64(takes) * math.Exp(0.4*random.NormFloat64())),
	})
	o.arrived, o.takes = append(o.arrived, o.now), append(o.takes, takes)
}

func (o *overload) endRuns() {
	for i, end := range o.endsAt {
		if o.now >= end && o.placements[i] != nil {
			o.placements[i], o.doneAt[i] = nil, end
		}
	}
}

// update sets what changes with time in the units.
func (o *overload) update(deferral bool) {
	for i := range o.units {
		u := &o.units[i]
		objective := clock.Millis(objectiveFactor*float64(u.Estimate)) + objectiveMargin
		u.Rank, u.Waited = o.arrived[i]+objective, o.now-o.arrived[i]
		u.Slack = u.Rank - u.Estimate - o.now
		if end, running := o.endsAt[i]; running {
			ran := o.now - (end - o.takes[i])
			o.left[i] = max(u.Estimate-ran, ran/4)
		}
		u.Late, u.Hopeless = u.Slack < 0, u.Waited > 3*objective
		if u.Late {
			o.decide(i)
		}
		if !deferral {
			u.Slack = clock.Hour
		}
	}
}

// decide notes that a unit starts, or has become late.
func (o *overload) decide(i int) {
	if !o.decided[i] {
		o.decided[i], o.past = true, append(o.past, o.units[i])
	}
}

// groups returns the jobs by account, by priority, by size, and "all".
func (o *overload) groups() map[string]tally {
	groups := make(map[string]tally)
	for i := range o.units {
		took := o.doneAt[i] - o.arrived[i]
		done := o.doneAt[i] != 0
		size := "size small"
		if o.units[i].Count > 12 {
			size = "size large"
		}
		for _, name := range []string{"all", "account " + o.units[i].Account, fmt.Sprint("priority ", o.units[i].Priority), size} {
			t := groups[name]
			t.jobs++
			if done && took <= o.objective(i) {
				t.inTime++
			}
			if done && took <= 3*o.objective(i) {
				t.served++
			}
			groups[name] = t
		}
	}
	return groups
}

var _ = Describe("a plan under overload", func() {
	// play adds up the jobs of four plays by group.
	play := func(load float64, deferral bool) map[string]tally {
		sum := make(map[string]tally)
		for seed := range uint64(4) {
			for name, t := range playOverload(load, deferral, seed) {
				sum[name] = tally{sum[name].jobs + t.jobs, sum[name].inTime + t.inTime, sum[name].served + t.served}
			}
		}
		return sum
	}

	DescribeTable("has more jobs in time and more done, and no size or account under half of all",
		func(load, gain float64) {
			before, after := play(load, false), play(load, true)
			for name, b := range before {
				AddReportEntry(fmt.Sprintf("%s: %d jobs, in time %d before and %d after, served %d and %d", name, b.jobs, b.inTime, after[name].inTime, b.served, after[name].served))
			}
			all := after["all"]
			Expect(float64(all.inTime)).To(BeNumerically(">=", (1+gain)*float64(before["all"].inTime)))
			Expect(float64(all.served)).To(BeNumerically(">=", (1+gain)*float64(before["all"].served)))
			for name, t := range after {
				if !strings.HasPrefix(name, "priority") {
					Expect(t.servedShare()).To(BeNumerically(">=", all.servedShare()/2), name)
				}
			}
			for _, name := range []string{"priority 1", "priority 2"} {
				Expect(after[name].inTime).To(BeNumerically(">=", before[name].inTime), name)
			}
		},
		Entry("at half the load that can be served", 0.5, 0.0),
		Entry("at twice that load", 2.0, 0.03),
		Entry("at three times that load", 3.0, 0.04),
	)
})
