package workload

import (
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
)

// All returns one workload of each kind, drawn with the seed.
func All(seed uint64) []Workload {
	kinds := []func(uint64) Workload{
		perthMorning, lahoreNight, smallBurst, largeBurst, wrongTimes,
		cancels, rackLost, badWorkers, nibbling, recall,
	}
	all := make([]Workload, 0, len(kinds))
	for _, kind := range kinds {
		all = append(all, kind(seed))
	}
	return all
}

// perthMorning is the start of the shifts: most requests come within an hour.
func perthMorning(seed uint64) Workload {
	m := newMaker("perth morning", "perth", seed)
	m.base(4*clock.Hour, 55)
	for range 600 {
		at := m.between(clock.Hour, 2*clock.Hour)
		m.check(at)
		m.small(at, clock.Minute, 10*clock.Minute)
	}
	for range 40 {
		m.urgent(m.between(clock.Hour, 2*clock.Hour))
		m.wipe(m.between(clock.Hour, 2*clock.Hour))
	}
	return m.w
}

// lahoreNight is long reconciliations and a fraud sweep, and then the rush of the
// kiosks' checks in the morning.
func lahoreNight(seed uint64) Workload {
	m := newMaker("lahore night", "lahore", seed)
	for range 24 {
		m.gang(m.between(0, 2*clock.Hour), clock.Hour, 3*clock.Hour)
	}
	for range 250 {
		s := job.Spec{Service: "sweep", Class: job.Sweep, Idempotent: true, Shape: job.Shape{Tasks: 1, Cores: 8, Accelerators: 2}}
		m.add(m.between(0, 4*clock.Hour), s, m.between(20*clock.Minute, 60*clock.Minute))
	}
	for range 60 {
		s := job.Spec{Service: "refund", Class: job.Batch, Shape: job.Shape{Tasks: 1, Cores: 8, Accelerators: 4}}
		m.add(m.between(0, 5*clock.Hour), s, m.between(2*clock.Minute, 10*clock.Minute))
	}
	for range 1500 {
		m.check(m.between(5*clock.Hour, 6*clock.Hour))
	}
	return m.w
}

func smallBurst(seed uint64) Workload {
	m := newMaker("burst of 2,000 small", "perth", seed)
	m.base(3*clock.Hour, 55)
	for range 2000 {
		m.small(clock.Hour+m.between(0, 5*clock.Second), clock.Minute, 8*clock.Minute)
	}
	return m.w
}

func largeBurst(seed uint64) Workload {
	m := newMaker("burst of large gangs", "lahore", seed)
	m.base(4*clock.Hour, 50)
	for range 40 {
		m.gang(clock.Hour+m.between(0, 5*clock.Second), 10*clock.Minute, 40*clock.Minute)
	}
	return m.w
}

// wrongTimes declares run times that are wrong tenfold, up or down by service.
func wrongTimes(seed uint64) Workload {
	m := newMaker("declared 10x wrong", "perth", seed)
	m.base(4*clock.Hour, 85)
	for i := range m.w.Jobs {
		j := &m.w.Jobs[i]
		if m.IntN(2) == 0 {
			j.Spec.Declared = j.Run * 10
		} else {
			j.Spec.Declared = j.Run / 10
		}
	}
	return m.w
}

func cancels(seed uint64) Workload {
	m := newMaker("half canceled", "perth", seed)
	m.base(3*clock.Hour, 60)
	for range 800 {
		j := m.small(clock.Hour+m.between(0, clock.Minute), 2*clock.Minute, 20*clock.Minute)
		if m.IntN(2) == 0 {
			j.Cancel = clock.Hour + m.between(2*clock.Minute, 5*clock.Minute)
		}
	}
	return m.w
}

func rackLost(seed uint64) Workload {
	m := newMaker("rack lost", "lahore", seed)
	m.base(4*clock.Hour, 65)
	lost := m.IntN(racks)
	for i, n := range m.w.Nodes {
		if i/perRack == lost {
			m.w.Outages = append(m.w.Outages, Outage{Worker: n.Name, From: clock.Hour, To: 2 * clock.Hour})
		}
	}
	return m.w
}

func badWorkers(seed uint64) Workload {
	m := newMaker("a tenth of workers bad", "perth", seed)
	m.base(3*clock.Hour, 60)
	for range racks * perRack / 10 {
		m.w.Bad[m.w.Nodes[m.IntN(len(m.w.Nodes))].Name] = true
	}
	return m.w
}

// nibbling is an endless stream of small jobs that would keep every rack broken up,
// and a few gangs that need whole groups of workers.
func nibbling(seed uint64) Workload {
	m := newMaker("nibbling", "lahore", seed)
	for range 1700 {
		m.small(m.between(0, 5*clock.Hour), 10*clock.Minute, 30*clock.Minute)
	}
	for range 20 {
		m.gang(m.between(30*clock.Minute, 4*clock.Hour), 20*clock.Minute, 40*clock.Minute)
	}
	for range 300 {
		m.check(m.between(0, 5*clock.Hour))
	}
	return m.w
}

// recall lets one account borrow the whole fleet; then all accounts want what they
// are guaranteed within the same second.
func recall(seed uint64) Workload {
	m := newMaker("recall by all", "lahore", seed)
	for range 260 {
		j := m.small(m.between(0, 10*clock.Minute), 2*clock.Hour, 3*clock.Hour)
		j.Spec.Account = "west"
	}
	wants := []struct {
		account string
		tasks   int
		count   int
	}{{"north", 8, 1}, {"south", 4, 1}, {"south", 1, 2}, {"east", 2, 2}}
	for _, w := range wants {
		for range w.count {
			s := job.Spec{Account: w.account, Service: "refund", Class: job.Batch, Shape: job.Shape{Tasks: w.tasks, Cores: 16, Accelerators: accels, Adjacent: job.Rack}}
			m.add(clock.Hour+m.between(0, clock.Second), s, m.between(20*clock.Minute, 40*clock.Minute))
		}
	}
	for range 200 {
		m.check(m.between(0, 2*clock.Hour))
	}
	return m.w
}
