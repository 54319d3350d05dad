package scheduler

import (
	"github.com/chestnutsail/chestnutsail/cell"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/placer"
)

// placeExempt places a job that needs no guarantee: a job without accelerators on
// workers without accelerators, and any job as long as no cluster text is in force. It
// reports whether the job was placed.
func (c *Core) placeExempt(j *liveJob) bool {
	if c.text != nil && j.needsAccels() {
		return false
	}
	rooms := c.freeRooms(j, func(n *node) bool { return c.text == nil || n.Capacity.Accelerators == 0 })
	members, ok := c.chooseMembers(j, rooms)
	return ok && c.commit(j, modeExempt, c.partsOf(members), nil, "")
}

// placeBorrowing places a job that can be stopped on any free resources, also those
// guaranteed to other accounts. It reports whether the job was placed.
func (c *Core) placeBorrowing(j *liveJob) bool {
	if c.text == nil || !j.spec().Stoppable() || !c.idleCellsSuffice(j) {
		return false
	}
	members, ok := c.chooseMembers(j, c.freeRooms(j, func(*node) bool { return true }))
	return ok && c.commit(j, modeBorrowing, c.partsOf(members), nil, "")
}

// placePreempting places a job beyond its account's guarantee and stops running jobs to
// make room, but only those for which preemptible is true. A job that cannot be stopped
// is placed this way only on workers without accelerators, and only if it needs no
// accelerators. It reports whether the job was placed.
func (c *Core) placePreempting(j *liveJob, preemptible func(*liveJob) bool, cause Cause) bool {
	exempt := !j.needsAccels() && !j.spec().Stoppable()
	if !j.spec().Stoppable() && !exempt {
		return false
	}
	rooms := c.roomsAfterPreempting(j, preemptible, func(n *node) bool { return !exempt || n.Capacity.Accelerators == 0 })
	members, ok := c.chooseMembers(j, rooms)
	m := modeBorrowing
	if exempt {
		m = modeExempt
	}
	return ok && c.commit(j, m, c.partsOf(members), preemptible, cause)
}

func (c *Core) chooseMembers(j *liveJob, rooms []placer.Room) ([]job.Member, bool) {
	sum := 0
	for _, r := range rooms {
		sum += r.Tasks
	}
	if sum < j.tasks() {
		return nil, false
	}
	return placer.Choose(c.space, placer.Request{
		Tasks: j.tasks(), Adjacent: j.spec().Shape.Adjacent, TaskNeeds: j.taskNeeds(),
		Rooms: rooms, Demand: c.cellDemand(), FragmentationWeight: c.fragmentationWeight(),
	})
}

// cellDemand counts, by size, the cells that waiting jobs need and the guaranteed cells
// that are not bound.
func (c *Core) cellDemand() cell.Counts {
	sum := c.demand
	for i := range sum {
		sum[i] += c.ledger.Owed[i]
	}
	return sum
}

func (c *Core) fragmentationWeight() int {
	if c.text == nil {
		return 0
	}
	return min(max(c.text.Prefer, 0), 100)
}

// freeRooms lists the workers for which include is true and on which at least one task
// of the job fits without stopping another job.
func (c *Core) freeRooms(j *liveJob, include func(*node) bool) []placer.Room {
	var rooms []placer.Room
	for _, cw := range c.space.Workers {
		if fit := cell.Fit(j.taskNeeds(), cw.Free, j.tasks()); fit > 0 {
			n := c.nodes[cw.Name]
			if include(n) && c.eligible(n, j) {
				rooms = append(rooms, placer.Room{Worker: cw, Tasks: fit})
			}
		}
	}
	return rooms
}

// roomsAfterPreempting lists the workers for which include is true and on which at
// least one task of the job fits once the jobs for which preemptible is true are
// stopped.
func (c *Core) roomsAfterPreempting(j *liveJob, preemptible func(*liveJob) bool, include func(*node) bool) []placer.Room {
	var rooms []placer.Room
	for _, cw := range c.space.Workers {
		n := c.nodes[cw.Name]
		if !n.Usable || !include(n) || !c.eligible(n, j) {
			continue
		}
		fit := cell.Fit(j.taskNeeds(), freeAfterPreempting(n, preemptible), j.tasks())
		if fit > 0 {
			rooms = append(rooms, placer.Room{Worker: cw, Tasks: fit, LostWork: c.lostWorkPerTask(n, j, fit, preemptible)})
		}
	}
	return rooms
}

// lostWorkPerTask returns the work that is lost by stopping preemptible jobs on the
// worker to place the given number of the job's tasks there, divided by that number, in
// accelerator milliseconds.
func (c *Core) lostWorkPerTask(n *node, j *liveJob, tasks int, preemptible func(*liveJob) bool) clock.Millis {
	if tasksThatFit(n, j) >= tasks {
		return 0
	}
	var lost clock.Millis
	for _, v := range n.jobs {
		if v.stopping == "" && v.record.State != job.Waiting && preemptible(v) {
			lost += c.lostWork(v)
		}
	}
	return lost / clock.Millis(tasks)
}

func (c *Core) partsOf(members []job.Member) []part {
	parts := make([]part, 0, len(members))
	for _, m := range members {
		parts = append(parts, part{node: c.nodes[m.Worker], tasks: m.Tasks})
	}
	return parts
}
