package scheduler

import (
	"cmp"
	"slices"

	"github.com/chestnutsail/chestnutsail/cell"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/reclaim"
)

// The charge for resources beyond an account's guarantee. The fairness between accounts
// compares the sum of the charges of each account with its weight.
const (
	chargePerAccel = 1000
	chargePerCore  = 100
)

// commit assigns the parts to the job. Running jobs that occupy the needed resources
// and for which preemptible is true are stopped; the job is planned, that is, holds its
// parts without being started, until they have left. commit reports false, and changes
// nothing, if stopping them would not free enough.
func (c *Core) commit(j *liveJob, m mode, parts []part, preemptible func(*liveJob) bool, cause Cause) bool {
	victims, awaited, ok := c.chooseVictims(j, parts, preemptible)
	if !ok {
		return false
	}
	c.dequeue(j)
	c.unreserve(j)
	j.mode, j.parts, j.waitFor = m, parts, nil
	c.occupy(j)
	for _, v := range victims {
		c.stop(v, cause)
		awaited = append(awaited, v)
	}
	if len(awaited) == 0 {
		c.launch(j)
		return true
	}
	j.planned, j.waitFor = true, make(map[string]bool, len(awaited))
	for _, v := range awaited {
		j.waitFor[v.id] = true
	}
	at, _ := slices.BinarySearchFunc(c.planned, j.seq, func(p *liveJob, seq int64) int { return cmp.Compare(p.seq, seq) })
	c.planned = slices.Insert(c.planned, at, j)
	return true
}

// launch emits the Place action for a job whose resources are free.
func (c *Core) launch(j *liveJob) {
	j.planned, j.waitFor = false, nil
	j.record.State, j.record.Attempt = job.Placed, j.record.Attempt+1
	j.record.Members = members(j.parts)
	for _, p := range j.parts {
		c.tracker.StartAttempt(p.node.Name, j.id)
	}
	c.emit(Action{Kind: Place, ID: j.id, Attempt: j.record.Attempt, Members: slices.Clone(j.record.Members)})
}

// members returns one member per worker with the sum of the tasks of its parts.
func members(parts []part) []job.Member {
	var ms []job.Member
	for _, p := range parts {
		i := slices.IndexFunc(ms, func(m job.Member) bool { return m.Worker == p.node.Name })
		if i < 0 {
			ms = append(ms, job.Member{Worker: p.node.Name})
			i = len(ms) - 1
		}
		ms[i].Tasks += p.tasks
	}
	return ms
}

// chooseVictims returns the running jobs that have to be stopped to free the parts for
// j (victims), and those that are already being stopped and have to leave first
// (awaited). ok is false if stopping preemptible jobs would not free enough; a nil
// preemptible means that no job may be stopped.
func (c *Core) chooseVictims(j *liveJob, parts []part, preemptible func(*liveJob) bool) (victims, awaited []*liveJob, ok bool) {
	chosen := make(map[*liveJob]bool)
	if preemptible != nil {
		for _, p := range parts {
			c.chooseVictimsInCell(p, preemptible, chosen)
		}
	}
	var needs []reclaim.Part
	var gangs []reclaim.Gang
	for _, n := range nodesOf(parts) {
		need := need(j, parts, n)
		if need.Fits(n.Free) {
			continue
		}
		available := n.Free
		for _, v := range n.jobs {
			if v.stopping != "" || chosen[v] {
				available = available.Add(v.usedOn(n))
				awaited = appendUnique(awaited, v)
			}
		}
		if need.Fits(available) {
			continue
		}
		if preemptible == nil {
			return nil, nil, false
		}
		needs = append(needs, reclaim.Part{Worker: n.Name, Resources: need.Sub(available)})
		for _, v := range n.jobs {
			if v.stopping == "" && !chosen[v] && v.record.State != job.Waiting && preemptible(v) {
				gangs = c.addCandidate(gangs, v)
			}
		}
	}
	ids, ok := reclaim.Choose(gangs, needs)
	if !ok {
		return nil, nil, false
	}
	for _, id := range ids {
		chosen[c.jobs[id]] = true
	}
	for v := range chosen {
		victims = append(victims, v)
	}
	return sortedBySeq(victims), awaited, true
}

// chooseVictimsInCell adds preemptible jobs to chosen until the part fits into its own
// cell, starting with the jobs that lose the least work. Jobs that are already chosen
// or being stopped count as gone.
func (c *Core) chooseVictimsInCell(p part, preemptible func(*liveJob) bool, chosen map[*liveJob]bool) {
	if p.cell == nil || p.cell.Row == nil {
		return
	}
	excess := p.cell.Used[p.offset] + p.accelShare - p.cell.AccelsPerWorker()
	accelsInCell := func(v *liveJob) int {
		sum := 0
		for _, q := range v.parts {
			if q.cell == p.cell && q.offset == p.offset {
				sum += q.accelShare
			}
		}
		return sum
	}
	var candidates []*liveJob
	for _, v := range p.node.jobs {
		switch {
		case v.stopping != "" || chosen[v]:
			excess -= accelsInCell(v)
		case v.mode == modeGuaranteed && v.record.State != job.Waiting && preemptible(v) && accelsInCell(v) > 0:
			candidates = append(candidates, v)
		}
	}
	slices.SortFunc(candidates, func(a, b *liveJob) int {
		return cmp.Or(cmp.Compare(c.lostWork(a), c.lostWork(b)), cmp.Compare(a.seq, b.seq))
	})
	for _, v := range candidates {
		if excess <= 0 {
			return
		}
		chosen[v] = true
		excess -= accelsInCell(v)
	}
}

func (c *Core) addCandidate(gangs []reclaim.Gang, v *liveJob) []reclaim.Gang {
	if slices.ContainsFunc(gangs, func(gang reclaim.Gang) bool { return gang.ID == v.id }) {
		return gangs
	}
	gang := reclaim.Gang{ID: v.id, LostWork: c.lostWork(v)}
	for _, n := range nodesOf(v.parts) {
		gang.Parts = append(gang.Parts, reclaim.Part{Worker: n.Name, Resources: v.usedOn(n)})
	}
	return append(gangs, gang)
}

func appendUnique(jobs []*liveJob, j *liveJob) []*liveJob {
	if slices.Contains(jobs, j) {
		return jobs
	}
	return append(jobs, j)
}

func nodesOf(parts []part) []*node {
	var nodes []*node
	for _, p := range parts {
		if !slices.Contains(nodes, p.node) {
			nodes = append(nodes, p.node)
		}
	}
	return nodes
}

func need(j *liveJob, parts []part, n *node) job.Resources {
	var r job.Resources
	for _, p := range parts {
		if p.node == n {
			r = r.Add(j.needs(p.tasks))
		}
	}
	return r
}

// occupy takes the resources of the job's parts from their workers and cells, and
// charges its account for them.
func (c *Core) occupy(j *liveJob) {
	j.charge = 0
	for i := range j.parts {
		p := &j.parts[i]
		r := j.needs(p.tasks)
		p.accelShare = p.node.AccelsNeeded(r)
		c.space.Change(p.node.Worker, func(x *cell.Worker) {
			x.Free = x.Free.Sub(r)
			if j.blocksCells() {
				x.Bound += p.accelShare
			}
		})
		if p.cell != nil {
			p.cell.AddUsed(p.offset, p.accelShare)
		} else {
			j.charge += int64(p.accelShare * chargePerAccel)
			if p.node.Capacity.Accelerators == 0 {
				j.charge += int64(r.Cores * chargePerCore)
			}
		}
		if !slices.Contains(p.node.jobs, j) {
			p.node.jobs = append(p.node.jobs, j)
		}
	}
	j.acct.used = j.acct.used.Add(j.needs(j.tasks()))
	j.acct.borrowedCharge += j.charge
}

// blocksCells reports whether the job, although it runs in no guaranteed cell, prevents
// guaranteed cells from being bound on its workers, because it cannot be stopped.
func (j *liveJob) blocksCells() bool { return j.mode == modeExempt && !j.record.Spec.Stoppable() }

// release returns the resources that the job holds, and starts the planned jobs that
// were waiting only for this job to leave.
func (c *Core) release(j *liveJob) {
	if len(j.parts) == 0 {
		return
	}
	for _, p := range j.parts {
		r := j.needs(p.tasks)
		c.space.Change(p.node.Worker, func(x *cell.Worker) {
			x.Free = x.Free.Add(r)
			if j.blocksCells() {
				x.Bound -= p.accelShare
			}
		})
		if p.cell != nil {
			p.cell.AddUsed(p.offset, -p.accelShare)
		}
		p.node.jobs = slices.DeleteFunc(p.node.jobs, func(x *liveJob) bool { return x == j })
		c.tracker.AbandonProbe(p.node.Name, j.id)
	}
	for _, p := range j.parts {
		if p.cell != nil && p.cell.Row != nil && p.cell.TotalUsed() == 0 {
			c.ledger.Unbind(p.cell)
		}
	}
	j.acct.used = j.acct.used.Sub(j.needs(j.tasks()))
	j.acct.borrowedCharge -= j.charge
	j.parts, j.charge, j.mode = nil, 0, ""
	if j.planned {
		j.planned, j.waitFor = false, nil
		c.planned = slices.DeleteFunc(c.planned, func(x *liveJob) bool { return x == j })
	}
	c.version++
	c.startUnblocked(j)
}

// startUnblocked starts the planned jobs that were waiting only for j to leave its
// workers.
func (c *Core) startUnblocked(j *liveJob) {
	var ready []*liveJob
	for _, p := range c.planned {
		delete(p.waitFor, j.id)
		if len(p.waitFor) == 0 {
			ready = append(ready, p)
		}
	}
	for _, p := range ready {
		c.planned = slices.DeleteFunc(c.planned, func(x *liveJob) bool { return x == p })
		c.launch(p)
	}
}
