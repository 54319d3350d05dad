package scheduler_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/guarantee"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/scheduler"
	"github.com/chestnutsail/chestnutsail/text"
)

const accels = 4

var (
	mainText  = fleetText(16, 4, 2)
	otherText = fleetText(8, 8, 0)
)

// fleetText returns a cluster text for one domain, with two racks of four workers with
// accelerators and a rack of three workers without. The accounts a and b have
// guarantees: a one cell of large accelerators and one of 4, b one cell of mid
// accelerators and small cells of 2.
func fleetText(large, mid, small int) *text.Text {
	return &text.Text{
		Prefer: 50,
		Fleet: []text.Pool{
			{Domain: "d", Racks: 2, Workers: 4, Cores: 16, Memory: 64, Accels: accels, Slots: 8},
			{Domain: "d", Racks: 1, Workers: 3, Cores: 16, Memory: 64, Slots: 8},
		},
		Accounts: []text.Account{
			{Name: "a", Weight: 2, Guarantee: []text.Guarantee{{Accels: large, Count: 1}, {Accels: 4, Count: 1}}},
			{Name: "b", Guarantee: []text.Guarantee{{Accels: mid, Count: 1}, {Accels: 2, Count: small}}},
			{Name: "c", Quota: job.Resources{Accelerators: 8}},
		},
	}
}

// guaranteedSizes returns the sizes of the guaranteed cells in the order of the core's
// ledger.
func guaranteedSizes(t *text.Text) []int {
	cells, _ := guarantee.Assign(t.Fleet, t.Accounts)
	var sizes []int
	for _, c := range cells["d"] {
		sizes = append(sizes, c.Accels)
	}
	return sizes
}

func fleet() []scheduler.Node {
	var nodes []scheduler.Node
	for i := range 11 {
		n := scheduler.Node{
			Name: fmt.Sprintf("w%02d", i), Domain: "d", Rack: fmt.Sprintf("r%d", i/4),
			Capacity: job.Resources{Cores: 16, Memory: 64, Accelerators: accels, Slots: 8},
		}
		if i >= 8 {
			n.Capacity.Accelerators = 0
		}
		nodes = append(nodes, n)
	}
	return nodes
}

func specGenerator() *rapid.Generator[job.Spec] {
	return rapid.Custom(func(t *rapid.T) job.Spec {
		s := job.Spec{
			Account:     rapid.SampledFrom([]string{"a", "a", "b", "b", "c"}).Draw(t, "account"),
			Service:     rapid.SampledFrom([]string{"x", "y"}).Draw(t, "service"),
			Key:         fmt.Sprint(rapid.IntRange(0, 60).Draw(t, "key")),
			Class:       rapid.SampledFrom([]job.Class{job.Urgent, job.Batch, job.Batch, job.Sweep}).Draw(t, "class"),
			Idempotent:  rapid.Bool().Draw(t, "idempotent"),
			Checkpoints: rapid.Bool().Draw(t, "checkpoints"),
			Declared:    clock.Millis(rapid.IntRange(0, 3).Draw(t, "declared")) * clock.Minute,
		}
		s.Shape = job.Shape{
			Tasks:        rapid.IntRange(1, 5).Draw(t, "tasks"),
			Cores:        rapid.IntRange(0, 6).Draw(t, "cores"),
			Accelerators: rapid.SampledFrom([]int{0, 1, 1, 2, 3, 4, 4, 5}).Draw(t, "accels"),
			Adjacent:     rapid.SampledFrom([]job.Adjacency{job.Any, job.Rack, job.Worker}).Draw(t, "adjacent"),
		}
		return s
	})
}

// TestRandomEvents passes random events to a core: results that come late, twice or not
// at all, workers that are lost and come back, and changing cluster texts. The model
// checks every decision. At the end all workers come back, and every job has to end.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newModel(t.Fatalf, scheduler.Options{})
		w.now = clock.Hour
		w.step(scheduler.Event{Kind: scheduler.Text, Text: mainText})
		for _, n := range fleet() {
			w.step(scheduler.Event{Kind: scheduler.WorkerUp, Node: &n})
		}
		m := randomEvents{w}
		t.Repeat(map[string]func(*rapid.T){
			"submit":  m.submit,
			"submit2": m.submit,
			"answer":  m.report,
			"answer2": m.report,
			"late":    m.staleReport,
			"cancel":  m.cancel,
			"worker":  m.changeWorker,
			"text":    m.changeText,
			"time":    m.advanceTime,
			"load":    m.restore,
		})
		m.finishAll()
	})
}

type randomEvents struct{ *model }

func (m randomEvents) submit(t *rapid.T) {
	r := job.Record{Spec: specGenerator().Draw(t, "spec"), State: job.Waiting, Submitted: m.now}
	if m.ended[r.Spec.ID()] == "" {
		m.step(scheduler.Event{Kind: scheduler.Submit, Record: &r})
	}
}

func (m randomEvents) anyID(t *rapid.T) string {
	ids := slices.Sorted(maps.Keys(m.jobs))
	if len(ids) == 0 {
		return "nobody/0"
	}
	return rapid.SampledFrom(ids).Draw(t, "id")
}

// report reports one of the results that are possible for a placed job.
func (m randomEvents) report(t *rapid.T) {
	id := m.anyID(t)
	j := m.jobs[id]
	if j == nil || j.members == nil {
		return
	}
	kinds := []scheduler.EventKind{scheduler.Started, scheduler.Refused, scheduler.Lost, scheduler.Broken}
	if j.running {
		kinds = []scheduler.EventKind{scheduler.Finished, scheduler.Finished, scheduler.Broken, scheduler.Lost}
	}
	if j.stopping {
		kinds = append(kinds, scheduler.Stopped, scheduler.Stopped, scheduler.Stopped)
	}
	worker := rapid.SampledFrom(j.members).Draw(t, "member").Worker
	kind := rapid.SampledFrom(kinds).Draw(t, "kind")
	m.step(scheduler.Event{Kind: kind, ID: id, Attempt: j.attempt, Worker: worker})
}

// staleReport reports a result for an earlier attempt of a placed job, or for a job
// that waits.
func (m randomEvents) staleReport(t *rapid.T) {
	kinds := []scheduler.EventKind{scheduler.Started, scheduler.Refused, scheduler.Lost, scheduler.Broken, scheduler.Finished, scheduler.Stopped}
	e := scheduler.Event{Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), ID: m.anyID(t), Worker: "w99"}
	if j := m.jobs[e.ID]; j != nil {
		e.Attempt = j.attempt
		if j.members != nil {
			e.Attempt--
		}
	}
	m.step(e)
}

func (m randomEvents) cancel(t *rapid.T) {
	m.step(scheduler.Event{Kind: scheduler.Cancel, ID: m.anyID(t)})
}

func (m randomEvents) changeWorker(t *rapid.T) {
	nodes := fleet()
	n := rapid.SampledFrom(nodes).Draw(t, "worker")
	kind := scheduler.WorkerUp
	if !m.down[n.Name] && len(m.down) < 3 {
		kind = rapid.SampledFrom([]scheduler.EventKind{scheduler.WorkerGone, scheduler.WorkerLeaving}).Draw(t, "kind")
	}
	if kind == scheduler.WorkerUp {
		m.step(scheduler.Event{Kind: kind, Node: &n})
		return
	}
	m.step(scheduler.Event{Kind: kind, Worker: n.Name})
}

func (m randomEvents) changeText(t *rapid.T) {
	m.step(scheduler.Event{Kind: scheduler.Text, Text: rapid.SampledFrom([]*text.Text{mainText, otherText}).Draw(t, "text")})
}

func (m randomEvents) advanceTime(t *rapid.T) {
	m.now += clock.Millis(rapid.IntRange(0, 400).Draw(t, "seconds")) * clock.Second
	m.step(scheduler.Event{Kind: scheduler.Tick})
}

// restore makes a second core from a snapshot of the first. The model passes all later
// events to both and requires the same decisions.
func (m randomEvents) restore(*rapid.T) {
	s := m.core.Snapshot()
	raw := encode(s)
	var state scheduler.State
	if err := json.Unmarshal([]byte(raw), &state); err != nil {
		m.fail("snapshot: %v", err)
	}
	m.restored = scheduler.New(scheduler.Options{})
	m.restored.Step(m.now, scheduler.Event{Kind: scheduler.Load, State: &state})
	if got := encode(m.restored.Snapshot()); got != raw {
		at := 0
		for at < min(len(got), len(raw)) && got[at] == raw[at] {
			at++
		}
		at = max(at-200, 0)
		m.fail("the restored core has another state:\n...%.400s\n...%.400s", raw[at:], got[at:])
	}
}

// finishAll brings all workers back and reports all jobs as finished or stopped as
// requested, until every job has ended. It alternates between the two cluster texts,
// because some jobs fit only the text under which they were accepted.
func (m randomEvents) finishAll() {
	for _, n := range fleet() {
		m.step(scheduler.Event{Kind: scheduler.WorkerUp, Node: &n})
	}
	for i := range 1000 {
		if len(m.jobs) == 0 {
			return
		}
		if i%100 == 0 {
			m.step(scheduler.Event{Kind: scheduler.Text, Text: []*text.Text{mainText, otherText}[i/100%2]})
		}
		m.now += 30 * clock.Second
		m.step(scheduler.Event{Kind: scheduler.Tick})
		for _, id := range slices.Sorted(maps.Keys(m.jobs)) {
			j := m.jobs[id]
			if j == nil || j.members == nil {
				continue
			}
			kind := scheduler.Finished
			if j.stopping {
				kind = scheduler.Stopped
			}
			m.step(scheduler.Event{Kind: kind, ID: id, Attempt: j.attempt})
		}
	}
	state := m.core.Snapshot()
	m.fail("these jobs did not end: %s\nquarantine: %s", encode(state.Jobs), encode(state.Quarantine))
}
