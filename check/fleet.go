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

func (c *checker) checkFirm() {
	c.checkName("firm", c.parsed.Firm)
	c.checkRange("prefer", c.parsed.Prefer, 0, maxPrefer)
}

func (c *checker) checkName(path, value string) {
	if !job.IsName(value) {
		c.report(path, value, wantName)
	}
}

func (c *checker) checkFleet() {
	if len(c.parsed.Fleet) == 0 {
		c.report("fleet", "", "no workers are listed; want one pool or more")
	}
	for i, p := range c.parsed.Fleet {
		path := fmt.Sprintf("fleet[%d]", i)
		c.checkName(path+".domain", p.Domain)
		c.checkRange(path+".racks", p.Racks, 1, maxRacks)
		c.checkRange(path+".workers", p.Workers, 1, maxWorkers)
		c.checkRange(path+".cores", p.Cores, 0, job.MaxCores)
		c.checkRange(path+".memory", p.Memory, 0, job.MaxMemoryMB)
		c.checkRange(path+".accels", p.Accels, 0, job.MaxAccelerators)
		c.checkRange(path+".slots", p.Slots, 0, maxConns)
		c.checkRange(path+".conns", p.Conns, 0, maxConns)
		if p.Accels&(p.Accels-1) != 0 {
			c.report(path+".accels", p.Accels, "want 0 or a power of two, so that cells line up")
		}
	}
}

// domains returns the failure domains of the fleet.
func (c *checker) domains() []string {
	var list []string
	seen := make(map[string]bool)
	for _, p := range c.parsed.Fleet {
		if !seen[p.Domain] {
			seen[p.Domain] = true
			list = append(list, p.Domain)
		}
	}
	return list
}

// canHold reports whether some set of workers, all free, could hold the whole shape.
func (c *checker) canHold(s job.Shape) bool {
	for _, d := range c.domains() {
		capacity := 0
		for _, p := range c.parsed.Fleet {
			if p.Domain != d {
				continue
			}
			n := tasksPerWorker(p, s)
			switch s.Adjacent {
			case job.Worker:
				capacity = max(capacity, n)
			case job.Rack:
				capacity = max(capacity, n*p.Workers)
			default:
				capacity += n * p.Workers * p.Racks
			}
		}
		if capacity >= s.Count() {
			return true
		}
	}
	return false
}

// tasksPerWorker returns how many tasks of the shape one worker of the pool holds.
func tasksPerWorker(p text.Pool, s job.Shape) int {
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
