// Package workload generates seeded streams of jobs that resemble those of the firms,
// and simulates a scheduler core with them on a virtual clock. The simulated workers do
// no work: they only report starts, ends, failures, stops and losses as the workload
// specifies.
//
// # Usage
//
//	for _, w := range workload.All(1) {
//		r := workload.Run(scheduler.New(scheduler.Options{}), w)
//		fmt.Println(w.Name, r.Fragmentation, r.ByKind["large"].P99Completion)
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

// Job is a job with the time of its submission and its real run time, in milliseconds.
type Job struct {
	SubmitAt clock.Millis
	Spec     job.Spec
	RunTime  clock.Millis
	// Cancel is the time at which the job is canceled; 0 means never.
	Cancel clock.Millis
}

// Outage is a period during which a worker is lost, in milliseconds.
type Outage struct {
	Worker   string
	From, To clock.Millis
}

// Workload is a fleet with its cluster text and a stream of jobs for it.
type Workload struct {
	Name    string
	Seed    uint64
	Text    *text.Text
	Nodes   []scheduler.Node
	Jobs    []Job
	Outages []Outage
	// Failing lists the workers that fail every task.
	Failing map[string]bool
}

// Sizes of the simulated fleet, which is one failure domain.
const (
	rackCount      = 4
	workersPerRack = 8
	workerAccels   = 8
)

// Fleet returns the given number of workers, eight to a rack, each of the given
// capacity, all in failure domain a.
func Fleet(workers int, capacity job.Resources) []scheduler.Node {
	var nodes []scheduler.Node
	for i := range workers {
		nodes = append(nodes, scheduler.Node{
			Name: fmt.Sprintf("w%03d", i), Domain: "a", Rack: fmt.Sprintf("r%03d", i/workersPerRack), Capacity: capacity,
		})
	}
	return nodes
}

var (
	perthWorker  = job.Resources{Cores: 32, Memory: 64 << 10, Accelerators: workerAccels, Slots: 8}
	lahoreWorker = job.Resources{Cores: 64, Memory: 256 << 10, Accelerators: workerAccels, Slots: 8}
)

// Text returns a cluster text for the given number of racks, with workers of the given
// capacity. Its guarantees give five eighths of the fleet to four accounts, most of
// that to north and south.
func Text(firm string, prefer, racks int, capacity job.Resources) *text.Text {
	scale := max(racks/4, 1)
	return &text.Text{
		Firm: firm, Prefer: prefer,
		Fleet: []text.Pool{{
			Domain: "a", Racks: racks, Workers: workersPerRack,
			Cores: capacity.Cores, Memory: capacity.Memory, Accels: capacity.Accelerators, Slots: capacity.Slots,
		}},
		Accounts: []text.Account{
			{Name: "north", Weight: 2, Guarantee: []text.Guarantee{{Accels: 64, Count: scale, Domain: "a"}}},
			{Name: "south", Weight: 2, Guarantee: []text.Guarantee{{Accels: 32, Count: scale, Domain: "a"}, {Accels: 8, Count: 2 * scale, Domain: "a"}}},
			{Name: "east", Guarantee: []text.Guarantee{{Accels: 16, Count: 2 * scale, Domain: "a"}}},
			{Name: "west", Guarantee: []text.Guarantee{{Accels: 8, Count: 2 * scale, Domain: "a"}}},
		},
	}
}

// generator builds the workload w from random jobs.
type generator struct {
	*rand.Rand
	w Workload
}

func newGenerator(name, firm string, seed uint64) *generator {
	capacity, prefer := perthWorker, 25
	if firm == "lahore" {
		capacity, prefer = lahoreWorker, 75
	}
	return &generator{
		Rand: rand.New(rand.NewPCG(seed, uint64(len(name))<<32|uint64(name[0])<<8|uint64(name[len(name)-1]))),
		w: Workload{
			Name: name, Seed: seed, Text: Text(firm, prefer, rackCount, capacity),
			Nodes: Fleet(rackCount*workersPerRack, capacity), Failing: make(map[string]bool),
		},
	}
}

func (g *generator) randomAccount() string {
	return []string{"north", "north", "north", "south", "south", "south", "east", "east", "west"}[g.IntN(9)]
}

// randomBetween returns a random time or duration from low to high, both included.
func (g *generator) randomBetween(low, high clock.Millis) clock.Millis {
	return low + clock.Millis(g.Int64N(int64(high-low+1)))
}

// add adds a job to the workload. Its declared run time, unless the spec sets it, is
// between half and twice the real one.
func (g *generator) add(submitAt clock.Millis, spec job.Spec, runTime clock.Millis) *Job {
	spec.Key = fmt.Sprintf("%s-%d", spec.Service, len(g.w.Jobs))
	if spec.Account == "" {
		spec.Account = g.randomAccount()
	}
	if spec.Declared == 0 {
		spec.Declared = runTime/2 + clock.Millis(g.Int64N(int64(runTime+runTime/2)))
	}
	g.w.Jobs = append(g.w.Jobs, Job{SubmitAt: submitAt, Spec: spec, RunTime: runTime})
	return &g.w.Jobs[len(g.w.Jobs)-1]
}

// addCheck adds a quick check on one accelerator.
func (g *generator) addCheck(submitAt clock.Millis) {
	g.add(submitAt, job.Spec{Service: "check", Class: job.Quick, Idempotent: true, Shape: job.Shape{Tasks: 1, Cores: 2, Accelerators: 1}}, g.randomBetween(5*clock.Second, 20*clock.Second))
}

// addWipe adds a job on one accelerator that must not be repeated.
func (g *generator) addWipe(submitAt clock.Millis) {
	g.add(submitAt, job.Spec{Service: "wipe", Class: job.Batch, Shape: job.Shape{Tasks: 1, Cores: 4, Accelerators: 1}}, g.randomBetween(clock.Minute, 5*clock.Minute))
}

// addSmall adds a job on one to four accelerators of one worker, with a run time from
// shortest to longest.
func (g *generator) addSmall(submitAt, shortest, longest clock.Millis) *Job {
	accels := []int{1, 1, 1, 2, 2, 3, 4}[g.IntN(7)]
	spec := job.Spec{Service: "profile", Class: job.Batch, Idempotent: true, Checkpoints: g.IntN(2) == 0, Shape: job.Shape{Tasks: 1, Cores: 2 * accels, Accelerators: accels}}
	return g.add(submitAt, spec, g.randomBetween(shortest, longest))
}

// addGang adds a gang on two to eight whole workers of one rack, with a run time from
// shortest to longest.
func (g *generator) addGang(submitAt, shortest, longest clock.Millis) {
	tasks := []int{2, 2, 2, 3, 4, 4, 8}[g.IntN(7)]
	spec := job.Spec{Service: "reconcile", Class: job.Batch, Checkpoints: true, Shape: job.Shape{Tasks: tasks, Cores: 16, Accelerators: workerAccels, Adjacent: job.Rack}}
	g.add(submitAt, spec, g.randomBetween(shortest, longest))
}

// addUrgent adds a job that has to start within seconds.
func (g *generator) addUrgent(submitAt clock.Millis) {
	spec := job.Spec{Service: "enrol", Class: job.Urgent, Idempotent: true, Shape: job.Shape{Tasks: 1, Cores: 4, Accelerators: 2}}
	g.add(submitAt, spec, g.randomBetween(30*clock.Second, 2*clock.Minute))
}

// addBaseLoad spreads a mix of jobs evenly over the time from 0 to until that keeps
// about the given percentage of the fleet's accelerators busy. It adds rounds of jobs;
// targetLoad and loadPerRound are in accelerator minutes.
func (g *generator) addBaseLoad(until clock.Millis, percent int) {
	const loadPerRound = 3*45*16 + 13*26*2 + 12*1
	targetLoad := percent * rackCount * workersPerRack * workerAccels * int(until/clock.Minute) / 100
	for added := 0; added < targetLoad; added += loadPerRound {
		for range 3 {
			g.addGang(g.randomBetween(0, until), 15*clock.Minute, 40*clock.Minute)
		}
		for range 12 {
			g.addSmall(g.randomBetween(0, until), 5*clock.Minute, 45*clock.Minute)
		}
		for range 10 {
			g.addCheck(g.randomBetween(0, until))
		}
		g.addWipe(g.randomBetween(0, until))
		g.addUrgent(g.randomBetween(0, until))
	}
}
