// Package workload makes seeded streams of jobs like those of the firms, and runs
// them through a scheduler core on a virtual clock. Its workers only answer: they
// start, finish, fail, stop and vanish as the workload says.
//
// # Usage
//
//	for _, w := range workload.All(1) {
//		r := workload.Run(scheduler.New(scheduler.Options{}), w)
//		fmt.Println(w.Name, r.Frag, r.Groups["large"].P99)
//	}
package workload

import (
	"fmt"
	"math/rand/v2"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/scheduler"
	"github.com/chestnutsail/chestnutsail/text"
)

// Job is a job with the time of its submission and its real run time.
type Job struct {
	At   clock.Millis
	Spec job.Spec
	Run  clock.Millis
	// Cancel is when the job is canceled; 0 means never.
	Cancel clock.Millis
}

// Outage takes a worker away for a time.
type Outage struct {
	Worker   string
	From, To clock.Millis
}

// Workload is a stream of jobs on a fleet.
type Workload struct {
	Name    string
	Seed    uint64
	Text    *text.Text
	Nodes   []scheduler.Node
	Jobs    []Job
	Outages []Outage
	// Bad lists the workers that fail every task.
	Bad map[string]bool
}

// Sizes of the fleet: one failure domain.
const (
	racks   = 4
	perRack = 8
	accels  = 8
)

// Fleet returns workers with eight accelerators each, in racks of eight.
func Fleet(workers int, worker job.Resources) []scheduler.Node {
	var nodes []scheduler.Node
	for i := range workers {
		nodes = append(nodes, scheduler.Node{
			Name: fmt.Sprintf("w%03d", i), Domain: "a", Rack: fmt.Sprintf("r%03d", i/perRack), Capacity: worker,
		})
	}
	return nodes
}

var (
	perth  = job.Resources{Cores: 32, Memory: 64 << 10, Accelerators: accels, Slots: 8}
	lahore = job.Resources{Cores: 64, Memory: 256 << 10, Accelerators: accels, Slots: 8}
)

// Text returns a text for the given number of racks in which four accounts, two of
// them large, are guaranteed five eighths of the fleet.
func Text(firm string, prefer, racks int, worker job.Resources) *text.Text {
	n := max(racks/4, 1)
	return &text.Text{
		Firm: firm, Prefer: prefer,
		Fleet: []text.Pool{{
			Domain: "a", Racks: racks, Workers: perRack,
			Cores: worker.Cores, Memory: worker.Memory, Accels: worker.Accelerators, Slots: worker.Slots,
		}},
		Accounts: []text.Account{
			{Name: "north", Weight: 2, Guarantee: []text.Guarantee{{Accels: 64, Count: n, Domain: "a"}}},
			{Name: "south", Weight: 2, Guarantee: []text.Guarantee{{Accels: 32, Count: n, Domain: "a"}, {Accels: 8, Count: 2 * n, Domain: "a"}}},
			{Name: "east", Guarantee: []text.Guarantee{{Accels: 16, Count: 2 * n, Domain: "a"}}},
			{Name: "west", Guarantee: []text.Guarantee{{Accels: 8, Count: 2 * n, Domain: "a"}}},
		},
	}
}

// maker draws jobs.
type maker struct {
	*rand.Rand
	w Workload
}

func newMaker(name, firm string, seed uint64) *maker {
	worker, prefer := perth, 25
	if firm == "lahore" {
		worker, prefer = lahore, 75
	}
	return &maker{
		Rand: rand.New(rand.NewPCG(seed, uint64(len(name))<<32|uint64(name[0])<<8|uint64(name[len(name)-1]))),
		w: Workload{
			Name: name, Seed: seed, Text: Text(firm, prefer, racks, worker),
			Nodes: Fleet(racks*perRack, worker), Bad: make(map[string]bool),
		},
	}
}

func (m *maker) account() string {
	return []string{"north", "north", "north", "south", "south", "south", "east", "east", "west"}[m.IntN(9)]
}

// between draws a time between lo and hi.
func (m *maker) between(lo, hi clock.Millis) clock.Millis {
	return lo + clock.Millis(m.Int64N(int64(hi-lo+1)))
}

// add puts a job into the stream; its declared run time is within half and twice
// the real one.
func (m *maker) add(at clock.Millis, s job.Spec, run clock.Millis) *Job {
	s.Key = fmt.Sprintf("%s-%d", s.Service, len(m.w.Jobs))
	if s.Account == "" {
		s.Account = m.account()
	}
	if s.Declared == 0 {
		s.Declared = run/2 + clock.Millis(m.Int64N(int64(run+run/2)))
	}
	m.w.Jobs = append(m.w.Jobs, Job{At: at, Spec: s, Run: run})
	return &m.w.Jobs[len(m.w.Jobs)-1]
}

// check is a quick check on one accelerator.
func (m *maker) check(at clock.Millis) {
	m.add(at, job.Spec{Service: "check", Class: job.Quick, Idempotent: true, Shape: job.Shape{Tasks: 1, Cores: 2, Accelerators: 1}}, m.between(5*clock.Second, 20*clock.Second))
}

// wipe is work on one accelerator that must not be repeated.
func (m *maker) wipe(at clock.Millis) {
	m.add(at, job.Spec{Service: "wipe", Class: job.Batch, Shape: job.Shape{Tasks: 1, Cores: 4, Accelerators: 1}}, m.between(clock.Minute, 5*clock.Minute))
}

// small is work on a few accelerators of one worker.
func (m *maker) small(at, lo, hi clock.Millis) *Job {
	n := []int{1, 1, 1, 2, 2, 3, 4}[m.IntN(7)]
	s := job.Spec{Service: "profile", Class: job.Batch, Idempotent: true, Checkpoints: m.IntN(2) == 0, Shape: job.Shape{Tasks: 1, Cores: 2 * n, Accelerators: n}}
	return m.add(at, s, m.between(lo, hi))
}

// gang is work on whole workers of one rack.
func (m *maker) gang(at, lo, hi clock.Millis) {
	n := []int{2, 2, 2, 3, 4, 4, 8}[m.IntN(7)]
	s := job.Spec{Service: "reconcile", Class: job.Batch, Checkpoints: true, Shape: job.Shape{Tasks: n, Cores: 16, Accelerators: accels, Adjacent: job.Rack}}
	m.add(at, s, m.between(lo, hi))
}

// urgent is work that has to start within seconds.
func (m *maker) urgent(at clock.Millis) {
	s := job.Spec{Service: "enrol", Class: job.Urgent, Idempotent: true, Shape: job.Shape{Tasks: 1, Cores: 4, Accelerators: 2}}
	m.add(at, s, m.between(30*clock.Second, 2*clock.Minute))
}

// base spreads a mixed load over the time from 0 to until that keeps about share
// hundredths of the fleet busy.
func (m *maker) base(until clock.Millis, share int) {
	const perRound = 3*45*16 + 13*26*2 + 12*1
	budget := share * racks * perRack * accels * int(until/clock.Minute) / 100
	for spent := 0; spent < budget; spent += perRound {
		for range 3 {
			m.gang(m.between(0, until), 15*clock.Minute, 40*clock.Minute)
		}
		for range 12 {
			m.small(m.between(0, until), 5*clock.Minute, 45*clock.Minute)
		}
		for range 10 {
			m.check(m.between(0, until))
		}
		m.wipe(m.between(0, until))
		m.urgent(m.between(0, until))
	}
}
