package controller

import (
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/agent"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/planner"
)

const (
	// lateFactor times its objective after its acceptance a job is worth nothing.
	lateFactor = 3
	// urgent is the priority that may take others' room.
	urgent = 0
	// earlyGuard keeps occurrences from starting before their time on a clock that is
	// slightly fast, in milliseconds.
	earlyGuard = 60 * clock.Millisecond
)

// world is the input of a plan with what it was made of.
type world struct {
	in    planner.Input
	nodes []*node
	index map[*node]int
	parts []*part
	held  [][]*run
}

// plan has a plan made and carries it out.
func (c *Controller) plan() {
	now := c.opts.Clock.Now()
	c.planned = now
	c.wantPlan = false
	if !c.acts() || !c.listed {
		return
	}
	w := c.world(now)
	if len(w.in.Units) == 0 {
		return
	}
	w.in.Headroom = c.headroom(w, now)
	if now-c.explained >= explainPeriod {
		c.explained, w.in.Patience = now, stuckTime
	}
	out := planner.Plan(w.in)
	took := c.opts.Clock.Now() - now
	c.gap = max(planGap, planRest*took)
	c.opts.Counters.Histogram("chestnutsail_plan_seconds").Update(float64(took) / float64(clock.Second))
	for i := range out.Stuck {
		c.reportStuck(w, &out.Stuck[i])
	}
	for _, s := range out.Starts {
		c.startUnit(w, s)
	}
	for _, h := range out.Evict {
		for _, r := range w.held[h] {
			c.opts.Counters.Counter("chestnutsail_evictions_total").Inc()
			c.halt(r, "urgent work takes its room")
		}
	}
}

// startUnit puts tasks of a part onto workers.
func (c *Controller) startUnit(w *world, s planner.Start) {
	p := w.parts[s.Unit]
	waiting := p.waiting()
	number := 1
	if p.step.Gang {
		for _, t := range p.tasks {
			number = max(number, t.last+1)
		}
	}
	var on []string
	for i, at := range s.Nodes {
		t := waiting[i]
		if !p.step.Gang {
			number = t.last + 1
		}
		t.last = number
		n := w.nodes[at]
		c.occupy(t, n, number, planned)
		on = append(on, n.id)
	}
	u := w.in.Units[s.Unit]
	c.opts.Log.WithFields(logrus.Fields{
		"job": p.job.id, "occurrence": p.occurrence, "step": p.index, "tasks": len(s.Nodes), "of": u.Count, "run": number,
		"workers": on, "waited_ms": int64(u.Waited), "priority": u.Priority, "guaranteed": u.Guaranteed, "hopeless": u.Hopeless, "term": c.term,
	}).Info("controller: tasks are placed")
	c.touch(p.job)
}

// waiting returns the tasks of a part that have to be started.
func (p *part) waiting() []*task {
	var list []*task
	for _, t := range p.tasks {
		if !t.done && t.run == nil {
			list = append(list, t)
		}
	}
	return list
}

// world collects the input of a plan.
func (c *Controller) world(now clock.Millis) *world {
	cut := c.cutOff(now)
	w := &world{index: make(map[*node]int, len(c.nodes))}
	for _, n := range c.nodes {
		w.nodes = append(w.nodes, n)
	}
	slices.SortFunc(w.nodes, func(a, b *node) int { return compareText(a.id, b.id) })
	for i, n := range w.nodes {
		w.index[n] = i
		p := c.planNode(n, now)
		p.Usable = p.Usable && !cut[n.w.Domain]
		w.in.Nodes = append(w.in.Nodes, p)
	}
	guaranteed := c.guaranteed()
	for _, j := range c.ordered() {
		c.addJob(w, j, guaranteed[j], now)
	}
	return w
}

func compareText(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// ordered returns the jobs by acceptance, so that plans are repeatable.
func (c *Controller) ordered() []*job {
	list := make([]*job, 0, len(c.jobs))
	for _, j := range c.jobs {
		if !j.state.Over() {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *job) int {
		if a.record.Accepted != b.record.Accepted {
			return int(a.record.Accepted - b.record.Accepted)
		}
		return compareText(a.id, b.id)
	})
	return list
}

func (c *Controller) planNode(n *node, now clock.Millis) planner.Node {
	p := planner.Node{
		ID: n.id, Service: n.w.Service, Rack: n.w.Rack, Labels: n.w.Labels, Capacity: n.shape(), Slow: n.isSlow(now), Speed: n.pacing(),
		Usable:  n.listed && n.looked && n.w.State == agent.Ready && now >= n.shut && len(n.strangers) == 0 && !n.failing,
		Suspect: now < n.suspect,
	}
	p.Free = p.Capacity
	p.Soon = p.Capacity
	for r := range n.runs {
		shape := r.task.part.shape()
		p.Free = p.Free.Sub(shape)
		if r.state != stopping {
			p.Soon = p.Soon.Sub(shape)
		}
	}
	return p
}

// guaranteed returns the urgent jobs that fit into their accounts' guarantees, the
// oldest first.
func (c *Controller) guaranteed() map[*job]bool {
	cfg := c.opts.Config()
	fits := make(map[*job]bool)
	used := make(map[string]int)
	for _, j := range c.ordered() {
		if j.record.Priority != urgent {
			continue
		}
		need := 0
		for i := range j.record.Spec.Steps {
			s := &j.record.Spec.Steps[i]
			need = max(need, s.Count*s.Accels)
		}
		account := j.record.Account
		if used[account]+need > cfg.Account(account).Guaranteed {
			continue
		}
		used[account] += need
		fits[j] = true
	}
	return fits
}

// addJob adds the waiting and the running parts of a job.
func (c *Controller) addJob(w *world, j *job, guaranteed bool, now clock.Millis) {
	for k := range j.record.Spec.Times() {
		due := j.record.Spec.Due(k)
		if due > 0 && now < due+earlyGuard {
			return
		}
		for i := range j.record.Spec.Steps {
			p := j.partOf(k, i)
			if p.done == len(p.tasks) {
				continue
			}
			c.addHeld(w, p, guaranteed, now)
			if j.turn(k, i) {
				c.addUnit(w, p, guaranteed, now)
			}
		}
	}
}

// turn reports whether the steps before a step are done.
func (j *job) turn(occurrence, step int) bool {
	for _, a := range j.record.Spec.Steps[step].After {
		if p := j.parts[occurrence][a]; p.done < len(p.tasks) {
			return false
		}
	}
	return true
}

func (c *Controller) addUnit(w *world, p *part, guaranteed bool, now clock.Millis) {
	waiting := p.waiting()
	if len(waiting) == 0 || (p.step.Gang && len(waiting) < len(p.tasks)) {
		return
	}
	if p.ready == 0 {
		p.ready = now
	}
	j := p.job
	r := j.record
	begin := max(r.Accepted, r.Spec.Due(p.occurrence))
	u := planner.Unit{
		Service: r.Service, Label: p.step.Label, DataRack: p.step.DataRack, Priority: r.Priority, Guaranteed: guaranteed,
		Shape: p.shape(), Count: len(waiting), Gang: p.step.Gang, SameRack: p.step.SameRack, PerWorker: p.step.PerWorker,
		Rank: begin + r.Objective(), Waited: now - p.ready, Estimate: p.step.Estimate,
		Late:     !p.step.Lasting && now+r.Spec.ChainFrom(p.index) > begin+r.Objective(),
		Hopeless: !p.step.Lasting && now > begin+lateFactor*r.Objective(),
		Pay:      pay(p, guaranteed),
	}
	u.Here = make(map[int]int)
	u.Avoid = make(map[int]bool)
	for _, t := range p.tasks {
		if t.run != nil {
			u.Here[w.index[t.run.node]]++
		}
		for id := range t.avoid {
			if n := c.nodes[id]; n != nil {
				u.Avoid[w.index[n]] = true
			}
		}
		u.Fragile = u.Fragile || t.fails+1 >= r.Attempts
	}
	w.parts = append(w.parts, p)
	w.in.Units = append(w.in.Units, u)
}

// pay returns the work in core-seconds that may be thrown away to start a part at once.
func pay(p *part, guaranteed bool) float64 {
	switch {
	case guaranteed:
		return 1e9
	case p.job.record.Priority == urgent:
		return float64(p.step.Count) * urgentPay
	}
	return 0
}

// urgentPay is the work in core-seconds a task that an urgent job beyond its account's
// guarantee may throw away: at the prices of both sites less than a task is worth.
const urgentPay = 250

// addHeld adds the running tasks of a part as work that may have to make way.
func (c *Controller) addHeld(w *world, p *part, guaranteed bool, now clock.Millis) {
	var gang []*run
	for _, t := range p.tasks {
		r := t.run
		if r == nil || r.state == stopping {
			continue
		}
		if p.step.Gang {
			gang = append(gang, r)
			continue
		}
		c.addWork(w, p, []*run{r}, guaranteed, now)
	}
	if len(gang) > 0 {
		c.addWork(w, p, gang, guaranteed, now)
	}
}

func (c *Controller) addWork(w *world, p *part, runs []*run, guaranteed bool, now clock.Millis) {
	h := planner.Held{Priority: p.job.record.Priority, Guaranteed: guaranteed, Shape: p.shape(), Pinned: p.step.Lasting}
	for _, r := range runs {
		h.Nodes = append(h.Nodes, w.index[r.node])
		h.Loss += c.loss(r, now)
	}
	w.in.Held = append(w.in.Held, h)
	w.held = append(w.held, runs)
}

// loss returns the work in core-seconds that a stop of a run throws away.
func (c *Controller) loss(r *run, now clock.Millis) float64 {
	step := r.task.part.step
	lost := now - r.since
	if r.began > 0 {
		lost = now - r.began
	}
	if step.Checkpointing {
		// A stop saves the progress, and only the way back to it is paid for.
		lost = min(lost, c.opts.Limits().Restore)
	}
	shape := planner.Shape{Cores: step.Cores, Accels: step.Accels}
	return float64(shape.Weight()) / 1000 * float64(lost) / float64(clock.Second)
}
