package check

import (
	"fmt"

	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/text"
)

// Limits of a text.
const (
	maxRacks    = 1000
	maxWorkers  = 1000 // in a rack
	maxConns    = 65535
	maxWeight   = 1000
	maxPrefer   = 100
	maxReplicas = 10000
	maxCells    = 10000
	maxQuota    = 1 << 30
)

const wantName = "want " + job.AllowedName

func (c *checker) firm() {
	c.name("firm", c.t.Firm)
	c.inRange("prefer", c.t.Prefer, 0, maxPrefer)
}

func (c *checker) name(path, value string) {
	if !job.IsName(value) {
		c.report(path, value, wantName)
	}
}

func (c *checker) fleet() {
	if len(c.t.Fleet) == 0 {
		c.report("fleet", "", "no workers are listed; want one pool or more")
	}
	for i, p := range c.t.Fleet {
		at := fmt.Sprintf("fleet[%d]", i)
		c.name(at+".domain", p.Domain)
		c.inRange(at+".racks", p.Racks, 1, maxRacks)
		c.inRange(at+".workers", p.Workers, 1, maxWorkers)
		c.inRange(at+".cores", p.Cores, 0, job.MaxCores)
		c.inRange(at+".memory", p.Memory, 0, job.MaxMemoryMB)
		c.inRange(at+".accels", p.Accels, 0, job.MaxAccelerators)
		c.inRange(at+".slots", p.Slots, 0, maxConns)
		c.inRange(at+".conns", p.Conns, 0, maxConns)
		if p.Accels&(p.Accels-1) != 0 {
			c.report(at+".accels", p.Accels, "want 0 or a power of two, so that cells line up")
		}
	}
}

// domains returns the failure domains of the fleet.
func (c *checker) domains() []string {
	var list []string
	seen := make(map[string]bool)
	for _, p := range c.t.Fleet {
		if !seen[p.Domain] {
			seen[p.Domain] = true
			list = append(list, p.Domain)
		}
	}
	return list
}

// holds reports whether some set of workers, all free, could hold the whole shape.
func (c *checker) holds(s job.Shape) bool {
	for _, d := range c.domains() {
		most := 0
		for _, p := range c.t.Fleet {
			if p.Domain != d {
				continue
			}
			n := tasksOn(p, s)
			switch s.Adjacent {
			case job.Worker:
				most = max(most, n)
			case job.Rack:
				most = max(most, n*p.Workers)
			default:
				most += n * p.Workers * p.Racks
			}
		}
		if most >= s.Count() {
			return true
		}
	}
	return false
}

// tasksOn returns how many tasks of the shape one worker of the pool holds.
func tasksOn(p text.Pool, s job.Shape) int {
	n := job.MaxTasks
	limit := func(has, needs int) {
		if needs > 0 {
			n = min(n, has/needs)
		}
	}
	limit(p.Cores, s.Cores)
	limit(p.Memory, s.Memory)
	limit(p.Accels, s.Accelerators)
	limit(p.Slots, s.Slots)
	return n
}
