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
func (c *Core) commit(w *work, m mode, parts []part, preemptible func(*work) bool, cause Cause) bool {
	victims, awaited, ok := c.chooseVictims(w, parts, preemptible)
	if !ok {
		return false
	}
	c.dequeue(w)
	c.unreserve(w)
	w.mode, w.parts, w.waitFor = m, parts, nil
	c.occupy(w)
	for _, v := range victims {
		c.stop(v, cause)
		awaited = append(awaited, v)
	}
	if len(awaited) == 0 {
		c.launch(w)
		return true
	}
	w.planned, w.waitFor = true, make(map[string]bool, len(awaited))
	for _, v := range awaited {
		w.waitFor[v.id] = true
	}
	at, _ := slices.BinarySearchFunc(c.planned, w.seq, func(p *work, seq int64) int { return cmp.Compare(p.seq, seq) })
	c.planned = slices.Insert(c.planned, at, w)
	return true
}

// launch emits the Place action for a job whose resources are free.
func (c *Core) launch(w *work) {
	w.planned, w.waitFor = false, nil
	w.record.State, w.record.Attempt = job.Placed, w.record.Attempt+1
	w.record.Members = members(w.parts)
	for _, p := range w.parts {
		c.tracker.StartAttempt(p.node.Name, w.id)
	}
	c.emit(Action{Kind: Place, ID: w.id, Attempt: w.record.Attempt, Members: slices.Clone(w.record.Members)})
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
// w (victims), and those that are already being stopped and have to leave first
// (awaited). ok is false if stopping preemptible jobs would not free enough; a nil
// preemptible means that no job may be stopped.
func (c *Core) chooseVictims(w *work, parts []part, preemptible func(*work) bool) (victims, awaited []*work, ok bool) {
	chosen := make(map[*work]bool)
	if preemptible != nil {
		for _, p := range parts {
			c.chooseVictimsInCell(p, preemptible, chosen)
		}
	}
	var needs []reclaim.Part
	var gangs []reclaim.Gang
	for _, n := range nodesOf(parts) {
		need := need(w, parts, n)
		if need.Fits(n.Free) {
			continue
		}
		available := n.Free
		for _, v := range n.works {
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
		for _, v := range n.works {
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
		chosen[c.works[id]] = true
	}
	for v := range chosen {
		victims = append(victims, v)
	}
	return sortedBySeq(victims), awaited, true
}

// chooseVictimsInCell adds preemptible jobs to chosen until the part fits into its own
// cell, starting with the jobs that lose the least work. Jobs that are already chosen
// or being stopped count as gone.
func (c *Core) chooseVictimsInCell(p part, preemptible func(*work) bool, chosen map[*work]bool) {
	if p.cell == nil || p.cell.Row == nil {
		return
	}
	excess := p.cell.Used[p.offset] + p.accelShare - p.cell.AccelsPerWorker()
	accelsInCell := func(v *work) int {
		sum := 0
		for _, q := range v.parts {
			if q.cell == p.cell && q.offset == p.offset {
				sum += q.accelShare
			}
		}
		return sum
	}
	var candidates []*work
	for _, v := range p.node.works {
		switch {
		case v.stopping != "" || chosen[v]:
			excess -= accelsInCell(v)
		case v.mode == modeGuaranteed && v.record.State != job.Waiting && preemptible(v) && accelsInCell(v) > 0:
			candidates = append(candidates, v)
		}
	}
	slices.SortFunc(candidates, func(a, b *work) int {
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

func (c *Core) addCandidate(gangs []reclaim.Gang, v *work) []reclaim.Gang {
	if slices.ContainsFunc(gangs, func(gang reclaim.Gang) bool { return gang.ID == v.id }) {
		return gangs
	}
	gang := reclaim.Gang{ID: v.id, LostWork: c.lostWork(v)}
	for _, n := range nodesOf(v.parts) {
		gang.Parts = append(gang.Parts, reclaim.Part{Worker: n.Name, Resources: v.usedOn(n)})
	}
	return append(gangs, gang)
}

func appendUnique(works []*work, w *work) []*work {
	if slices.Contains(works, w) {
		return works
	}
	return append(works, w)
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

func need(w *work, parts []part, n *node) job.Resources {
	var r job.Resources
	for _, p := range parts {
		if p.node == n {
			r = r.Add(w.needs(p.tasks))
		}
	}
	return r
}

// occupy takes the resources of the job's parts from their workers and cells, and
// charges its account for them.
func (c *Core) occupy(w *work) {
	w.charge = 0
	for i := range w.parts {
		p := &w.parts[i]
		r := w.needs(p.tasks)
		p.accelShare = p.node.AccelsNeeded(r)
		c.space.Change(p.node.Worker, func(x *cell.Worker) {
			x.Free = x.Free.Sub(r)
			if w.blocksCells() {
				x.Bound += p.accelShare
			}
		})
		if p.cell != nil {
			p.cell.AddUsed(p.offset, p.accelShare)
		} else {
			w.charge += int64(p.accelShare * chargePerAccel)
			if p.node.Capacity.Accelerators == 0 {
				w.charge += int64(r.Cores * chargePerCore)
			}
		}
		if !slices.Contains(p.node.works, w) {
			p.node.works = append(p.node.works, w)
		}
	}
	w.acct.used = w.acct.used.Add(w.needs(w.tasks()))
	w.acct.borrowedCharge += w.charge
}

// blocksCells reports whether the job, although it runs in no guaranteed cell, prevents
// guaranteed cells from being bound on its workers, because it cannot be stopped.
func (w *work) blocksCells() bool { return w.mode == modeExempt && !w.record.Spec.Stoppable() }

// release returns the resources that the job holds, and starts the planned jobs that
// were waiting only for this job to leave.
func (c *Core) release(w *work) {
	if len(w.parts) == 0 {
		return
	}
	for _, p := range w.parts {
		r := w.needs(p.tasks)
		c.space.Change(p.node.Worker, func(x *cell.Worker) {
			x.Free = x.Free.Add(r)
			if w.blocksCells() {
				x.Bound -= p.accelShare
			}
		})
		if p.cell != nil {
			p.cell.AddUsed(p.offset, -p.accelShare)
		}
		p.node.works = slices.DeleteFunc(p.node.works, func(x *work) bool { return x == w })
		c.tracker.AbandonProbe(p.node.Name, w.id)
	}
	for _, p := range w.parts {
		if p.cell != nil && p.cell.Row != nil && p.cell.TotalUsed() == 0 {
			c.ledger.Unbind(p.cell)
		}
	}
	w.acct.used = w.acct.used.Sub(w.needs(w.tasks()))
	w.acct.borrowedCharge -= w.charge
	w.parts, w.charge, w.mode = nil, 0, ""
	if w.planned {
		w.planned, w.waitFor = false, nil
		c.planned = slices.DeleteFunc(c.planned, func(x *work) bool { return x == w })
	}
	c.version++
	c.startUnblocked(w)
}

// startUnblocked starts the planned jobs that were waiting only for w to leave its
// workers.
func (c *Core) startUnblocked(w *work) {
	var ready []*work
	for _, p := range c.planned {
		delete(p.waitFor, w.id)
		if len(p.waitFor) == 0 {
			ready = append(ready, p)
		}
	}
	for _, p := range ready {
		c.planned = slices.DeleteFunc(c.planned, func(x *work) bool { return x == p })
		c.launch(p)
	}
}
