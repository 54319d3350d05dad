package reconcile_test

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/chestnutsail/chestnutsail/reconcile"
)

// simulation is a set of services whose replicas follow the planned steps. Rapid draws how
// long each replica takes to start.
type simulation struct {
	services []reconcile.Service
}

func drawSimulation(t *rapid.T) *simulation {
	sim := &simulation{}
	for i := range rapid.IntRange(1, 5).Draw(t, "services") {
		s := reconcile.Service{Name: fmt.Sprint("s", i), Hash: "h0", Wanted: rapid.IntRange(1, 3).Draw(t, "wanted")}
		for j := range i {
			if rapid.Bool().Draw(t, "after") {
				s.After = append(s.After, fmt.Sprint("s", j))
			}
		}
		for range s.Wanted {
			s.Replicas = append(s.Replicas, reconcile.Replica{OwnedHere: true, State: reconcile.Absent})
		}
		sim.services = append(sim.services, s)
	}
	return sim
}

func (sim *simulation) find(name string) *reconcile.Service {
	for i := range sim.services {
		if sim.services[i].Name == name {
			return &sim.services[i]
		}
	}
	return nil
}

// allRunning reports whether all wanted replicas of a service run.
func (sim *simulation) allRunning(name string) bool {
	s := sim.find(name)
	for _, r := range s.Replicas[:s.Wanted] {
		if r.State != reconcile.Running {
			return false
		}
	}
	return true
}

// applyStep carries out a step. It first checks that no service stops before the services
// that depend on it, that no replica is started twice, and that no service starts before
// the services it depends on are ready.
func (sim *simulation) applyStep(t *rapid.T, step reconcile.Step) {
	s := sim.find(step.Service)
	r := &s.Replicas[step.Index]
	if step.Op == reconcile.Stop {
		for _, other := range sim.services {
			if other.Wanted > 0 || s.Wanted > 0 {
				continue
			}
			for _, name := range other.After {
				for _, v := range other.Replicas {
					if name == s.Name && (v.State == reconcile.Running || v.State == reconcile.Waiting) {
						t.Fatalf("%s stops before %s, which depends on it", s.Name, other.Name)
					}
				}
			}
		}
		r.State = reconcile.Ended
		return
	}
	if r.State == reconcile.Running || r.State == reconcile.Waiting {
		t.Fatalf("%s %d was started twice", s.Name, step.Index)
	}
	for _, name := range s.After {
		if !sim.allRunning(name) {
			t.Fatalf("%s starts before %s is ready", s.Name, name)
		}
	}
	r.Hash, r.Generation, r.State = step.Hash, step.Generation, reconcile.Waiting
}

// runUntilStable plans and carries out steps until no step is left and no replica is waiting.
func (sim *simulation) runUntilStable(t *rapid.T) {
	for range 200 {
		steps := reconcile.Plan(sim.services)
		for _, step := range steps {
			sim.applyStep(t, step)
		}
		waiting := false
		for i := range sim.services {
			for j := range sim.services[i].Replicas {
				if r := &sim.services[i].Replicas[j]; r.State == reconcile.Waiting {
					waiting = true
					if rapid.Bool().Draw(t, "runs") {
						r.State = reconcile.Running
					}
				}
			}
		}
		if len(steps) == 0 && !waiting {
			return
		}
	}
	t.Fatalf("still has steps or waiting replicas after 200 passes: %+v", sim.services)
}

// TestPlan starts random services, ends some of their replicas, changes the specification of
// some services, and removes all services. It guards against a plan that violates the order
// of the dependencies, starts a replica twice, or never reaches the specified state.
func TestPlan(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		sim := drawSimulation(t)
		sim.runUntilStable(t)
		for i := range sim.services {
			s := &sim.services[i]
			if rapid.Bool().Draw(t, "breaks") {
				s.Replicas[0].State = rapid.SampledFrom([]reconcile.State{reconcile.Ended, reconcile.Absent}).Draw(t, "how")
			}
		}
		sim.runUntilStable(t)
		for i := range sim.services {
			if rapid.Bool().Draw(t, "rolls") {
				sim.services[i].Hash = "h1"
			}
		}
		sim.runUntilStable(t)
		for _, s := range sim.services {
			if !sim.allRunning(s.Name) {
				t.Fatalf("%s does not run", s.Name)
			}
			for _, r := range s.Replicas {
				if r.Hash != s.Hash {
					t.Fatalf("%s runs the specification %s instead of %s", s.Name, r.Hash, s.Hash)
				}
			}
		}
		for i := range sim.services {
			sim.services[i].Wanted = 0
		}
		sim.runUntilStable(t)
		for _, s := range sim.services {
			for _, r := range s.Replicas {
				if r.State != reconcile.Ended && r.State != reconcile.Absent {
					t.Fatalf("%s still runs", s.Name)
				}
			}
		}
	})
}
