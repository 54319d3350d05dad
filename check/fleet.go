package check

import (
	"fmt"

	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/text"
)

// Limits of the numbers in a text.
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

func (c *checker) checkFirmAndPrefer() {
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

// domains returns the names of the failure domains of the fleet, without duplicates.
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

// canHold reports whether the idle fleet has workers in one failure domain that can hold all
// tasks of the shape, with the adjacency that it requires.
func (c *checker) canHold(s job.Shape) bool {
	for _, d := range c.domains() {
		capacity := 0
		for _, p := range c.parsed.Fleet {
			if p.Domain != d {
				continue
			}
			tasks := tasksPerWorker(p, s)
			switch s.Adjacent {
			case job.Worker:
				capacity = max(capacity, tasks)
			case job.Rack:
				capacity = max(capacity, tasks*p.Workers)
			default:
				capacity += tasks * p.Workers * p.Racks
			}
		}
		if capacity >= s.Count() {
			return true
		}
	}
	return false
}

// tasksPerWorker returns the number of tasks of the shape that an idle worker of the pool can
// hold.
func tasksPerWorker(p text.Pool, s job.Shape) int {
	tasks := job.MaxTasks
	limitBy := func(has, needs int) {
		if needs > 0 {
			tasks = min(tasks, has/needs)
		}
	}
	limitBy(p.Cores, s.Cores)
	limitBy(p.Memory, s.Memory)
	limitBy(p.Accels, s.Accelerators)
	limitBy(p.Slots, s.Slots)
	return tasks
}
