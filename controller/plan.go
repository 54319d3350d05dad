package controller

import (
	"math"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/agent"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/cover"
	"github.com/chestnutsail/chestnutsail/planner"
)

const (
	// hopelessFactor is the multiple of its objective after which a job that has not ended is
	// worth nothing, counted from its acceptance or from when its occurrence was due.
	hopelessFactor = 3
	// urgentPriority is the priority of jobs that may evict other work.
	urgentPriority = 0
	// occurrenceStartMargin is the time in milliseconds by which the start of an occurrence is
	// delayed, so that it doesn't start too early if this instance's clock is slightly fast.
	occurrenceStartMargin = 60 * clock.Millisecond
)

// snapshot is the input of a plan, together with the workers, parts and runs to which the
// indices in the input refer.
type snapshot struct {
	input           planner.Input
	nodes           []*node
	nodeIndex       map[*node]int
	unitParts       []*part
	runningWorkRuns [][]*run
	// longestID is the length of the longest ID of a worker.
	longestID int
	// unplaceable tells the units that can't start, by planner.Input.Unplaceable.
	unplaceable []bool
}

// plan makes a plan and carries it out.
func (c *Controller) plan() {
	now := c.opts.Clock.Now()
	c.lastPlan = now
	c.planNeeded = false
	if !c.leadershipConfirmed() || !c.workersListed {
		return
	}
	snap := c.snapshot(now)
	if len(snap.input.Units) == 0 {
		return
	}
	snap.unplaceable = snap.input.Unplaceable()
	snap.input.Headroom, snap.input.TightSpeed = c.headroom(snap, now), c.tightSpeeds()
	if now-c.lastStuckCheck >= stuckCheckInterval {
		c.lastStuckCheck, snap.input.StuckAfter = now, stuckThreshold
	}
	snap.input.Past = c.pastUnits
	out := planner.Plan(snap.input)
	took := c.opts.Clock.Now() - now
	c.planInterval = max(minPlanInterval, planIntervalFactor*took)
	c.opts.Counters.Histogram("chestnutsail_plan_seconds").Update(float64(took) / float64(clock.Second))
	for i := range out.Stuck {
		c.reportStuck(snap, &out.Stuck[i], now)
	}
	c.noteDeferred(snap, out.Deferred, now)
	c.notePast(snap, out.Starts)
	for _, s := range out.Starts {
		c.placeUnit(snap, s, now)
	}
	for _, workIndex := range out.Evict {
		for _, r := range snap.runningWorkRuns[workIndex] {
			c.opts.Counters.Counter("chestnutsail_evictions_total").Inc()
			c.stopRun(r, "urgent work takes its room")
		}
	}
}

// placeUnit places waiting tasks of a part on workers, as the plan says. Members of a gang get
// the same run number.
func (c *Controller) placeUnit(snap *snapshot, s planner.Start, now clock.Millis) {
	p := snap.unitParts[s.Unit]
	// Another part of the job may have taken the room in the same plan.
	nodes := s.Nodes[:min(len(s.Nodes), p.startable(c.recordRoom(p.job, snap.longestID)))]
	if len(nodes) == 0 {
		return
	}
	waiting := p.take(len(nodes))
	number := 1
	if p.step.Gang {
		for _, t := range p.begun {
			number = max(number, t.lastRun+1)
		}
	}
	var workerIDs []string
	racks := make(map[string]bool)
	slowest := math.Inf(1)
	for i, nodeIndex := range nodes {
		t := waiting[i]
		if !p.step.Gang {
			number = t.lastRun + 1
		}
		t.lastRun = number
		n := snap.nodes[nodeIndex]
		c.assignRun(t, n, number, planned)
		workerIDs = append(workerIDs, n.id)
		racks[n.worker.Rack] = true
		slowest = min(slowest, n.expectedSpeed())
	}
	u := snap.input.Units[s.Unit]
	c.opts.Log.WithFields(logrus.Fields{
		"job": p.job.id, "occurrence": p.occurrence, "step": p.index, "tasks": len(nodes), "of": u.Count, "run": number,
		"workers": workerIDs, "waited_ms": int64(u.Waited), "priority": u.Priority, "guaranteed": u.Guaranteed, "late": u.Late, "hopeless": u.Hopeless, "term": c.term,
		"racks": len(racks), "gang": u.Gang, "same_rack": u.SameRack, "data_rack": u.DataRack, "slowest": math.Round(100*slowest) / 100,
		"declared_ms": int64(p.step.Estimate), "predicted_ms": int64(u.Estimate), "accels": u.Shape.Accels, "despite": string(s.Despite), "deferred_ms": int64(p.deferredFor(now)),
	}).Info("controller: tasks are placed")
	c.markChanged(p.job)
}

// snapshot returns the input of a plan made at the time now.
func (c *Controller) snapshot(now clock.Millis) *snapshot {
	unreachable, closed := c.unreachableDomains(now), c.closedDomains()
	snap := &snapshot{nodeIndex: make(map[*node]int, len(c.nodes))}
	for _, n := range c.nodes {
		snap.nodes = append(snap.nodes, n)
	}
	slices.SortFunc(snap.nodes, func(a, b *node) int { return compareText(a.id, b.id) })
	for i, n := range snap.nodes {
		snap.nodeIndex[n] = i
		snap.longestID = max(snap.longestID, len(n.id))
		p := c.plannerNode(n, now)
		p.Usable = p.Usable && !unreachable[n.worker.Domain] && !closed(n.worker.Domain)
		snap.input.Nodes = append(snap.input.Nodes, p)
	}
	shares := c.shares()
	for _, j := range c.unfinishedJobs() {
		c.addJob(snap, j, shares[j], now)
	}
	return snap
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

// unfinishedJobs returns the jobs that have not ended, sorted by the time of their acceptance and
// then by ID, so that plans are reproducible.
func (c *Controller) unfinishedJobs() []*job {
	list := make([]*job, 0, len(c.jobs))
	for _, j := range c.jobs {
		if !j.state.Final() {
			list = append(list, j)
		}
	}
	slices.SortFunc(list, func(a, b *job) int {
		if a.record.AcceptedAt != b.record.AcceptedAt {
			return int(a.record.AcceptedAt - b.record.AcceptedAt)
		}
		return compareText(a.id, b.id)
	})
	return list
}

func (c *Controller) plannerNode(n *node, now clock.Millis) planner.Node {
	p := planner.Node{
		ID: n.id, Service: n.worker.Service, Rack: n.worker.Rack, Labels: n.worker.Labels, Capacity: n.shape(), Slow: n.isSlow(now), Speed: n.expectedSpeed(), SureSpeed: n.sureSpeed(),
		Usable:  n.listed && n.pollAnswered && n.isDescribed() && n.worker.State == agent.Ready && now >= n.noWorkUntil && len(n.unknownRuns) == 0 && !n.failing,
		Suspect: now < n.suspectUntil, Quarantined: now < n.quarantinedUntil,
	}
	if worth := n.warmup.Worth(now); worth < 1 {
		p.Capacity, p.Speed, p.SureSpeed = p.Capacity.Scale(worth), p.Speed*worth, p.SureSpeed*worth
	}
	p.Free = p.Capacity
	p.FreeSoon = p.Capacity
	for r := range n.runs {
		shape := r.task.part.shape()
		p.Free = p.Free.Sub(shape)
		if r.state != stopping {
			p.FreeSoon = p.FreeSoon.Sub(shape)
		}
	}
	return p
}

// shares returns the shares of the urgent jobs in the guarantees of their accounts. The jobs accepted first count
// first. A job counts with its widest step, and no more of its work is covered at a time.
func (c *Controller) shares() map[*job]*cover.Share {
	cfg := c.opts.Config()
	guarantees := cover.New(func(account string) int { return cfg.Account(account).Guaranteed })
	shares := make(map[*job]*cover.Share)
	for _, j := range c.unfinishedJobs() {
		if j.policy.Priority == urgentPriority {
			shares[j] = guarantees.Share(j.record.Account, j.record.Spec.WidestStep())
		}
	}
	return shares
}

// addJob adds the waiting tasks and the runs of a job to the input of a plan. The first steps take from the job's share
// first.
func (c *Controller) addJob(snap *snapshot, j *job, share *cover.Share, now clock.Millis) {
	room := c.recordRoom(j, snap.longestID)
	j.openOccurrences(now, func(occurrence int) {
		for i := range j.record.Spec.Steps {
			p := j.partOf(occurrence, i)
			if p.isDone() {
				continue
			}
			c.addRunning(snap, p, share, now)
			if j.stepReady(occurrence, i) && now >= j.heldBackUntil {
				c.addUnit(snap, p, room, share, now)
			}
		}
	})
}

// stepReady reports whether all steps that must be done before a step are done.
func (j *job) stepReady(occurrence, step int) bool {
	for _, a := range j.record.Spec.Steps[step].After {
		if !j.row(occurrence)[a].isDone() {
			return false
		}
	}
	return true
}

// readyAt returns when the tasks of a part became ready, which may have been under an earlier leader: when all steps
// that must be done before were done, but not before begin. It returns now if the end of such a step is not known.
func (p *part) readyAt(begin, now clock.Millis) clock.Millis {
	at := begin
	for _, a := range p.step.After {
		doneAt := p.job.row(p.occurrence)[a].doneAt
		if doneAt == 0 {
			return now
		}
		at = max(at, doneAt)
	}
	return min(at, now)
}

// addUnit adds the waiting tasks of a part to the input of a plan, as far as its job's room allows.
func (c *Controller) addUnit(snap *snapshot, p *part, room recordRoom, share *cover.Share, now clock.Millis) {
	begun, others := p.waiting()
	waiting := len(begun) + others
	// A gang is added only when all its tasks wait.
	if waiting == 0 || (p.step.Gang && waiting < p.size()) {
		return
	}
	count := p.startable(room)
	if count == 0 {
		return
	}
	j := p.job
	r := j.record
	begin := max(r.AcceptedAt, r.Spec.EarliestStart(p.occurrence))
	if p.readySince == 0 {
		p.readySince = p.readyAt(begin, now)
	}
	objective := c.objective(j)
	needed, late := c.neededSpeed(p, c.longestChainFrom(p), begin+objective, now)
	guaranteed := share.Take(count * p.step.Accels)
	u := planner.Unit{
		Service: j.policy.Service, Label: p.step.Label, DataRack: p.step.DataRack, Priority: j.policy.Priority, Guaranteed: guaranteed,
		Shape: p.shape(), Count: count, Gang: p.step.Gang, SameRack: p.step.SameRack, PerWorker: p.step.PerWorker, Lasting: p.step.UntilCancelled,
		Rank: begin + objective, Waited: now - p.readySince, Estimate: c.predictRunTime(p),
		Late:     late && !p.step.UntilCancelled,
		Hopeless: !p.step.UntilCancelled && now > begin+hopelessFactor*objective,
		Slack:    begin + objective - now - c.longestChainFrom(p), Account: r.Account,
		Begun: len(p.step.After) > 0 || waiting < p.size(), MaxLoss: maxEvictionLoss(p),
		MinSpeed: needed,
	}
	u.TasksOnNode = make(map[int]int)
	u.Avoid = make(map[int]bool)
	for _, run := range p.runs() {
		u.TasksOnNode[snap.nodeIndex[run.node]]++
	}
	for id := range p.failedOn {
		if n := c.nodes[id]; n != nil {
			u.Avoid[snap.nodeIndex[n]] = true
		}
	}
	u.LastAttempt = max(p.mostFailures, p.gangFailures)+1 >= j.policy.Attempts
	snap.unitParts = append(snap.unitParts, p)
	snap.input.Units = append(snap.input.Units, u)
}

// maxEvictionLoss returns how much work, in core-seconds, may be lost by evicting other work so
// that a part that is not covered by a guarantee starts at once.
func maxEvictionLoss(p *part) float64 {
	if p.job.policy.Priority != urgentPriority {
		return 0
	}
	return float64(p.step.Count) * planner.UrgentTaskWorth
}

// addRunning adds the runs of a part, except for those being stopped, to the running work in the
// input of a plan. A gang is evicted as a whole.
func (c *Controller) addRunning(snap *snapshot, p *part, share *cover.Share, now clock.Millis) {
	var gang []*run
	for _, r := range p.runs() {
		if r.state == stopping {
			continue
		}
		if p.step.Gang {
			gang = append(gang, r)
			continue
		}
		c.addRunningWork(snap, p, []*run{r}, share, now)
	}
	if len(gang) > 0 {
		c.addRunningWork(snap, p, gang, share, now)
	}
}

func (c *Controller) addRunningWork(snap *snapshot, p *part, runs []*run, share *cover.Share, now clock.Millis) {
	work := planner.RunningWork{Priority: p.job.policy.Priority, Guaranteed: share.Take(len(runs) * p.step.Accels), Shape: p.shape(), Pinned: p.step.UntilCancelled}
	for _, r := range runs {
		work.Nodes = append(work.Nodes, snap.nodeIndex[r.node])
		work.Loss += c.lostWork(r, now)
		work.Left = max(work.Left, c.timeLeft(r, now))
		// What would be lost is not known before the worker has reported the run.
		work.Pinned = work.Pinned || r.state == inherited || r.state == unconfirmed
	}
	snap.input.Running = append(snap.input.Running, work)
	snap.runningWorkRuns = append(snap.runningWorkRuns, runs)
}

// lostWork returns how much work, in core-seconds, is lost if a run is stopped. Accelerators count
// by their weight in cores.
func (c *Controller) lostWork(r *run, now clock.Millis) float64 {
	step := r.task.part.step
	lostTime := c.timeRun(r, now)
	if step.Checkpointing {
		// The progress is saved when the run is stopped, so only the time to restore it is
		// lost.
		lostTime = min(lostTime, c.opts.Limits().Restore)
	}
	// A filler uses no more cores than its worker has, whatever it requests.
	shape := planner.Shape{Cores: min(step.Cores, r.node.worker.Cores), Accels: step.Accels}
	return float64(shape.Weight()) / 1000 * float64(lostTime) / float64(clock.Second)
}
