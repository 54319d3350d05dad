package workload

import (
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
)

// All returns one workload of each kind. The same seed gives the same workloads.
func All(seed uint64) []Workload {
	kinds := []func(uint64) Workload{
		perthMorning, lahoreNight, smallBurst, largeBurst, wrongEstimates,
		halfCanceled, rackOutage, failingWorkers, fragmentingJobs, simultaneousReclaim,
	}
	all := make([]Workload, 0, len(kinds))
	for _, kind := range kinds {
		all = append(all, kind(seed))
	}
	return all
}

// perthMorning simulates the start of the shifts: most requests arrive between
// the first and the second hour, on top of a base load.
func perthMorning(seed uint64) Workload {
	g := newGenerator("perth morning", "perth", seed)
	g.addBaseLoad(4*clock.Hour, 55)
	for range 600 {
		at := g.randomBetween(clock.Hour, 2*clock.Hour)
		g.addCheck(at)
		g.addSmall(at, clock.Minute, 10*clock.Minute)
	}
	for range 40 {
		g.addUrgent(g.randomBetween(clock.Hour, 2*clock.Hour))
		g.addWipe(g.randomBetween(clock.Hour, 2*clock.Hour))
	}
	return g.w
}

// lahoreNight simulates long reconciliations and a fraud sweep at night, followed
// by the peak of the kiosks' checks in the morning.
func lahoreNight(seed uint64) Workload {
	g := newGenerator("lahore night", "lahore", seed)
	for range 24 {
		g.addGang(g.randomBetween(0, 2*clock.Hour), clock.Hour, 3*clock.Hour)
	}
	for range 250 {
		spec := job.Spec{Service: "sweep", Class: job.Sweep, Idempotent: true, Shape: job.Shape{Tasks: 1, Cores: 8, Accelerators: 2}}
		g.add(g.randomBetween(0, 4*clock.Hour), spec, g.randomBetween(20*clock.Minute, 60*clock.Minute))
	}
	for range 60 {
		spec := job.Spec{Service: "refund", Class: job.Batch, Shape: job.Shape{Tasks: 1, Cores: 8, Accelerators: 4}}
		g.add(g.randomBetween(0, 5*clock.Hour), spec, g.randomBetween(2*clock.Minute, 10*clock.Minute))
	}
	for range 1500 {
		g.addCheck(g.randomBetween(5*clock.Hour, 6*clock.Hour))
	}
	return g.w
}

func smallBurst(seed uint64) Workload {
	g := newGenerator("burst of 2,000 small", "perth", seed)
	g.addBaseLoad(3*clock.Hour, 55)
	for range 2000 {
		g.addSmall(clock.Hour+g.randomBetween(0, 5*clock.Second), clock.Minute, 8*clock.Minute)
	}
	return g.w
}

func largeBurst(seed uint64) Workload {
	g := newGenerator("burst of large gangs", "lahore", seed)
	g.addBaseLoad(4*clock.Hour, 50)
	for range 40 {
		g.addGang(clock.Hour+g.randomBetween(0, 5*clock.Second), 10*clock.Minute, 40*clock.Minute)
	}
	return g.w
}

// wrongEstimates declares run times that are ten times too long or ten times too
// short, chosen at random for each job.
func wrongEstimates(seed uint64) Workload {
	g := newGenerator("declared 10x wrong", "perth", seed)
	g.addBaseLoad(4*clock.Hour, 85)
	for i := range g.w.Jobs {
		j := &g.w.Jobs[i]
		if g.IntN(2) == 0 {
			j.Spec.Declared = j.RunTime * 10
		} else {
			j.Spec.Declared = j.RunTime / 10
		}
	}
	return g.w
}

func halfCanceled(seed uint64) Workload {
	g := newGenerator("half canceled", "perth", seed)
	g.addBaseLoad(3*clock.Hour, 60)
	for range 800 {
		j := g.addSmall(clock.Hour+g.randomBetween(0, clock.Minute), 2*clock.Minute, 20*clock.Minute)
		if g.IntN(2) == 0 {
			j.Cancel = clock.Hour + g.randomBetween(2*clock.Minute, 5*clock.Minute)
		}
	}
	return g.w
}

func rackOutage(seed uint64) Workload {
	g := newGenerator("rack lost", "lahore", seed)
	g.addBaseLoad(4*clock.Hour, 65)
	lostRack := g.IntN(rackCount)
	for i, n := range g.w.Nodes {
		if i/workersPerRack == lostRack {
			g.w.Outages = append(g.w.Outages, Outage{Worker: n.Name, From: clock.Hour, To: 2 * clock.Hour})
		}
	}
	return g.w
}

func failingWorkers(seed uint64) Workload {
	g := newGenerator("a tenth of workers bad", "perth", seed)
	g.addBaseLoad(3*clock.Hour, 60)
	for range rackCount * workersPerRack / 10 {
		g.w.Failing[g.w.Nodes[g.IntN(len(g.w.Nodes))].Name] = true
	}
	return g.w
}

// fragmentingJobs simulates a steady stream of small jobs that would keep every
// rack fragmented, together with a few gangs that need several whole workers.
func fragmentingJobs(seed uint64) Workload {
	g := newGenerator("nibbling", "lahore", seed)
	for range 1700 {
		g.addSmall(g.randomBetween(0, 5*clock.Hour), 10*clock.Minute, 30*clock.Minute)
	}
	for range 20 {
		g.addGang(g.randomBetween(30*clock.Minute, 4*clock.Hour), 20*clock.Minute, 40*clock.Minute)
	}
	for range 300 {
		g.addCheck(g.randomBetween(0, 5*clock.Hour))
	}
	return g.w
}

// simultaneousReclaim lets one account borrow the whole fleet. After an hour, all
// other accounts submit jobs for their guarantees within the same second.
func simultaneousReclaim(seed uint64) Workload {
	g := newGenerator("recall by all", "lahore", seed)
	for range 260 {
		j := g.addSmall(g.randomBetween(0, 10*clock.Minute), 2*clock.Hour, 3*clock.Hour)
		j.Spec.Account = "west"
	}
	demands := []struct {
		account string
		tasks   int
		count   int
	}{{"north", 8, 1}, {"south", 4, 1}, {"south", 1, 2}, {"east", 2, 2}}
	for _, w := range demands {
		for range w.count {
			spec := job.Spec{Account: w.account, Service: "refund", Class: job.Batch, Shape: job.Shape{Tasks: w.tasks, Cores: 16, Accelerators: workerAccels, Adjacent: job.Rack}}
			g.add(clock.Hour+g.randomBetween(0, clock.Second), spec, g.randomBetween(20*clock.Minute, 40*clock.Minute))
		}
	}
	for range 200 {
		g.addCheck(g.randomBetween(0, 2*clock.Hour))
	}
	return g.w
}
