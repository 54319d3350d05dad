package scheduler_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/chestnutsail/chestnutsail/cell"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/scheduler"
	"github.com/chestnutsail/chestnutsail/text"
)

// model tracks which jobs run where, from the events and actions alone, and calls fail
// when a decision violates a rule of the scheduler.
type model struct {
	fail func(format string, args ...any)
	core *scheduler.Core
	// restored is a core made from a snapshot of core, or nil. It gets the same events
	// and has to make the same decisions.
	restored *scheduler.Core
	now      clock.Millis
	text     *text.Text
	nodes    map[string]scheduler.Node
	down     map[string]bool
	jobs     map[string]*modelJob
	ended    map[string]job.State
	// exemptCells holds the indexes of cells that were bound while workers were down,
	// or under another cluster text. Until they are unbound, they may prevent other
	// guaranteed cells from being formed. textChanged tells that another text has been
	// put in force since the last check.
	exemptCells map[int]bool
	textChanged bool
	// lastActions holds the actions of the latest step.
	lastActions []scheduler.Action
}

// modelJob is what the model knows about a job that has not ended. members is nil while
// the job does not run.
type modelJob struct {
	spec     job.Spec
	attempt  int
	members  []job.Member
	running  bool
	stopping bool
}

func newModel(fail func(string, ...any), opts scheduler.Options) *model {
	return &model{
		fail: fail, core: scheduler.New(opts), nodes: make(map[string]scheduler.Node),
		down: make(map[string]bool), jobs: make(map[string]*modelJob), ended: make(map[string]job.State),
		exemptCells: make(map[int]bool),
	}
}

func (mdl *model) step(e scheduler.Event) {
	mdl.applyEvent(e)
	actions := mdl.core.Step(mdl.now, e)
	if mdl.restored != nil {
		if got, want := encode(mdl.restored.Step(mdl.now, e)), encode(actions); got != want {
			mdl.fail("a core loaded from a snapshot makes another decision at %s:\n%s\n%s", encode(e), want, got)
		}
	}
	mdl.lastActions = actions
	for _, a := range actions {
		mdl.applyAction(a)
	}
	mdl.check(actions)
}

// applyEvent applies the changes that the event itself reports.
func (mdl *model) applyEvent(e scheduler.Event) {
	j := mdl.jobs[e.ID]
	current := j != nil && j.members != nil && j.attempt == e.Attempt
	switch e.Kind {
	case scheduler.Submit:
		id := e.Record.Spec.ID()
		if mdl.jobs[id] == nil && mdl.ended[id] == "" {
			mdl.jobs[id] = &modelJob{spec: e.Record.Spec, attempt: e.Record.Attempt, members: e.Record.Members}
		}
	case scheduler.Started:
		if current {
			j.running = true
		}
	case scheduler.Finished:
		if current {
			mdl.end(e.ID, job.Done)
		}
	case scheduler.Broken:
		if current && !j.spec.Idempotent {
			mdl.end(e.ID, job.Failed)
		} else if current {
			j.members = nil
		}
	case scheduler.Stopped, scheduler.Refused, scheduler.Lost:
		if current {
			j.members = nil
		}
	case scheduler.WorkerUp:
		mdl.nodes[e.Node.Name] = *e.Node
		delete(mdl.down, e.Node.Name)
	case scheduler.WorkerGone, scheduler.WorkerLeaving:
		mdl.down[e.Worker] = true
	case scheduler.Text:
		mdl.textChanged = mdl.text != e.Text
		mdl.text = e.Text
	}
}

func (mdl *model) end(id string, s job.State) {
	delete(mdl.jobs, id)
	mdl.ended[id] = s
}

// applyAction checks an action against the state of the model and applies it.
func (mdl *model) applyAction(a scheduler.Action) {
	j := mdl.jobs[a.ID]
	if j == nil && a.Kind != scheduler.Quarantine && a.Kind != scheduler.Restore {
		if a.Kind == scheduler.End && mdl.ended[a.ID] != "" {
			mdl.fail("%s ended twice", a.ID)
		}
		mdl.fail("%s of unknown job %s", a.Kind, a.ID)
	}
	switch a.Kind {
	case scheduler.Place:
		mdl.applyPlace(j, a)
	case scheduler.Stop:
		if j.members == nil || j.attempt != a.Attempt || j.stopping && a.Cause != scheduler.CauseCancel {
			mdl.fail("stop of %s: attempt %d is not running or was stopped before", a.ID, a.Attempt)
		}
		if a.Cause != scheduler.CauseCancel && !j.spec.Stoppable() {
			mdl.fail("%s was stopped for %s although it cannot be stopped", a.ID, a.Cause)
		}
		j.stopping = true
	case scheduler.End:
		if j.members != nil {
			mdl.fail("%s ended as %s while it runs", a.ID, a.State)
		}
		mdl.end(a.ID, a.State)
	case scheduler.Requeue:
		if j.members != nil || a.Attempt != j.attempt {
			mdl.fail("%s was requeued while it runs", a.ID)
		}
		j.running, j.stopping = false, false
	}
}

func (mdl *model) applyPlace(j *modelJob, a scheduler.Action) {
	if j.members != nil || a.Attempt != j.attempt+1 {
		mdl.fail("%s was placed as attempt %d after attempt %d", a.ID, a.Attempt, j.attempt)
	}
	j.attempt, j.members, j.running, j.stopping = a.Attempt, a.Members, false, false
	sum := 0
	racks, names := make(map[string]bool), make(map[string]bool)
	for _, m := range a.Members {
		if mdl.down[m.Worker] || names[m.Worker] || m.Tasks < 1 {
			mdl.fail("%s was placed on %v, which is down, listed twice or has no task", a.ID, m)
		}
		sum += m.Tasks
		names[m.Worker], racks[mdl.nodes[m.Worker].Rack] = true, true
	}
	if sum != j.spec.Shape.Count() {
		mdl.fail("%s has %d tasks and was placed with %d", a.ID, j.spec.Shape.Count(), sum)
	}
	if j.spec.Shape.Adjacent == job.Rack && len(racks) > 1 || j.spec.Shape.Adjacent == job.Worker && len(names) > 1 {
		mdl.fail("%s is not adjacent: %v", a.ID, a.Members)
	}
	if acct, ok := mdl.text.Account(j.spec.Account); ok && acct.Quota.Accelerators > 0 {
		if used := mdl.accelsUsed(j.spec.Account); used > acct.Quota.Accelerators {
			mdl.fail("account %s holds %d accelerators over its quota", acct.Name, used)
		}
	}
}

func (mdl *model) accelsUsed(account string) int {
	sum := 0
	for _, j := range mdl.jobs {
		if j.spec.Account == account && j.members != nil {
			sum += j.spec.Shape.Count() * j.spec.Shape.Accelerators
		}
	}
	return sum
}

// check checks the state of the core after a step.
func (mdl *model) check(actions []scheduler.Action) {
	free := make(map[string]job.Resources)
	for name, n := range mdl.nodes {
		free[name] = n.Capacity
	}
	for id, j := range mdl.jobs {
		for _, m := range j.members {
			free[m.Worker] = free[m.Worker].Sub(j.spec.Shape.Resources(m.Tasks))
			if f := free[m.Worker]; !(job.Resources{}).Fits(f) {
				mdl.fail("worker %s is overcommitted by %s: %+v", m.Worker, id, f)
			}
		}
	}
	s := mdl.core.Snapshot()
	mdl.checkJobs(s)
	mdl.checkModes(s, actions)
	mdl.checkGuarantees(s)
}

func (mdl *model) checkJobs(s scheduler.State) {
	seen := make(map[string]bool)
	for _, j := range s.Jobs {
		id := j.Record.Spec.ID()
		t := mdl.jobs[id]
		if t == nil || seen[id] {
			mdl.fail("%s is known to the core, but has ended or is listed twice", id)
		}
		seen[id] = true
		if (t.members != nil) != (j.Record.State != job.Waiting) {
			mdl.fail("%s is %s in the core, but runs on %v according to its actions", id, j.Record.State, t.members)
		}
		if j.Mode == "borrow" && !t.spec.Stoppable() {
			mdl.fail("%s borrows although it cannot be stopped", id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(mdl.jobs)) {
		if !seen[id] {
			mdl.fail("%s has not ended, but is unknown to the core", id)
		}
	}
}

// checkModes checks that every placed job that needs accelerators and cannot be stopped
// was placed within its guarantee.
func (mdl *model) checkModes(s scheduler.State, actions []scheduler.Action) {
	modes := make(map[string]string)
	for _, j := range s.Jobs {
		modes[j.Record.Spec.ID()] = j.Mode
	}
	for _, a := range actions {
		j := mdl.jobs[a.ID]
		if a.Kind == scheduler.Place && j.spec.Shape.Accelerators > 0 && !j.spec.Stoppable() && modes[a.ID] != "own" {
			mdl.fail("%s cannot be stopped and was placed outside its guarantee: %s", a.ID, modes[a.ID])
		}
	}
}

// checkGuarantees checks that the unbound guaranteed cells can be formed from
// accelerators that are free or held by borrowers. A shortfall is allowed only to the
// extent that workers are down, cells are exempt, or jobs that cannot be stopped occupy
// accelerators outside their guarantee.
func (mdl *model) checkGuarantees(s scheduler.State) {
	if mdl.text == nil {
		return
	}
	owed, unbound, down, largest := mdl.countCells(s)
	isBound := make(map[int]bool)
	for _, b := range s.Cells {
		isBound[b.Index] = true
		if down > 0 || mdl.textChanged {
			mdl.exemptCells[b.Index] = true
		}
	}
	mdl.textChanged = false
	maps.DeleteFunc(mdl.exemptCells, func(i int, _ bool) bool { return !isBound[i] })
	short := owed.Shortfall(unbound)
	if short > (down+len(mdl.exemptCells))*largest {
		mdl.fail("%d accelerators of owed cells cannot be formed with %d workers down: owed %v, unbound %v", short, down, owed, unbound)
	}
}

// countCells counts, from the snapshot alone, the unbound guaranteed cells (owed) and
// the cells that can be formed from accelerators that are in no bound cell (unbound).
// down counts the workers that cannot be used for guarantees; largest is the size of
// the largest guaranteed cell. It fails if the cells bound on a worker exceed the
// worker's accelerators.
func (mdl *model) countCells(s scheduler.State) (owed, unbound cell.Counts, down, largest int) {
	var sizes []int
	for _, a := range guaranteedSizes(mdl.text) {
		sizes = append(sizes, a)
		largest = max(largest, a)
	}
	taken := make(map[string]map[int]int)
	isBound := make(map[int]bool)
	for _, b := range s.Cells {
		isBound[b.Index] = true
		key := fmt.Sprint(b.Rack, "/", b.Accels)
		if taken[key] == nil {
			taken[key] = make(map[int]int)
		}
		for i := range max(sizes[b.Index]/b.Accels, 1) {
			taken[key][b.Start+i] += min(sizes[b.Index], b.Accels)
			if taken[key][b.Start+i] > b.Accels {
				mdl.fail("more cells are bound in %s at %d than it has accelerators", key, b.Start+i)
			}
		}
	}
	for i, size := range sizes {
		if !isBound[i] {
			owed.Add(size, 1)
		}
	}
	rows := make(map[string][]int)
	down = len(fleet()) - len(s.Nodes)
	for _, n := range s.Nodes {
		if n.Capacity.Accelerators == 0 {
			continue
		}
		key := fmt.Sprint(n.Rack, "/", n.Capacity.Accelerators)
		for len(rows[key]) < n.Slot {
			rows[key] = append(rows[key], 0)
		}
		if mdl.down[n.Name] || s.Quarantine.Workers[n.Name].Out {
			down++
			continue
		}
		rows[key][n.Slot-1] = n.Capacity.Accelerators - taken[key][n.Slot-1]
	}
	for _, key := range slices.Sorted(maps.Keys(rows)) {
		unbound.AddMaximal(rows[key], accels, 1)
	}
	for _, j := range s.Jobs {
		if j.Mode == "outside" && j.Record.Spec.Shape.Accelerators > 0 {
			down += len(j.Parts)
		}
	}
	return owed, unbound, down, largest
}

func encode(v any) string {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(raw)
}
