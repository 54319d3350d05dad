package reconcile_test

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/chestnutsail/chestnutsail/reconcile"
)

// world is services whose replicas do what the steps say, in an order that rapid draws.
type world struct {
	services []reconcile.Service
}

func drawWorld(t *rapid.T) *world {
	w := &world{}
	for i := range rapid.IntRange(1, 5).Draw(t, "services") {
		s := reconcile.Service{Name: fmt.Sprint("s", i), Hash: "h0", Wanted: rapid.IntRange(1, 3).Draw(t, "wanted")}
		for j := range i {
			if rapid.Bool().Draw(t, "after") {
				s.After = append(s.After, fmt.Sprint("s", j))
			}
		}
		for range s.Wanted {
			s.Replicas = append(s.Replicas, reconcile.Replica{Own: true, State: reconcile.Absent})
		}
		w.services = append(w.services, s)
	}
	return w
}

func (w *world) find(name string) *reconcile.Service {
	for i := range w.services {
		if w.services[i].Name == name {
			return &w.services[i]
		}
	}
	return nil
}

// running reports whether all wanted replicas of a service run.
func (w *world) running(name string) bool {
	s := w.find(name)
	for _, r := range s.Replicas[:s.Wanted] {
		if r.State != reconcile.Running {
			return false
		}
	}
	return true
}

// apply takes a step after checking the order that is promised.
func (w *world) apply(t *rapid.T, step reconcile.Step) {
	s := w.find(step.Service)
	r := &s.Replicas[step.Index]
	if step.Op == reconcile.Stop {
		for _, other := range w.services {
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
		t.Fatalf("%s %d started twice", s.Name, step.Index)
	}
	for _, name := range s.After {
		if !w.running(name) {
			t.Fatalf("%s starts before %s is ready", s.Name, name)
		}
	}
	r.Hash, r.Generation, r.State = step.Hash, step.Generation, reconcile.Waiting
}

// settle plans and applies until nothing is left to do.
func (w *world) settle(t *rapid.T) {
	for range 200 {
		steps := reconcile.Plan(w.services)
		for _, step := range steps {
			w.apply(t, step)
		}
		waiting := false
		for i := range w.services {
			for j := range w.services[i].Replicas {
				if r := &w.services[i].Replicas[j]; r.State == reconcile.Waiting {
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
	t.Fatalf("does not settle: %+v", w.services)
}

// TestPlan starts random services, breaks some, rolls some and takes all away.
func TestPlan(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t)
		w.settle(t)
		for i := range w.services {
			s := &w.services[i]
			if rapid.Bool().Draw(t, "breaks") {
				s.Replicas[0].State = rapid.SampledFrom([]reconcile.State{reconcile.Ended, reconcile.Absent}).Draw(t, "how")
			}
		}
		w.settle(t)
		for i := range w.services {
			if rapid.Bool().Draw(t, "rolls") {
				w.services[i].Hash = "h1"
			}
		}
		w.settle(t)
		for _, s := range w.services {
			if !w.running(s.Name) {
				t.Fatalf("%s does not run", s.Name)
			}
			for _, r := range s.Replicas {
				if r.Hash != s.Hash {
					t.Fatalf("%s runs %s in place of %s", s.Name, r.Hash, s.Hash)
				}
			}
		}
		for i := range w.services {
			w.services[i].Wanted = 0
		}
		w.settle(t)
		for _, s := range w.services {
			for _, r := range s.Replicas {
				if r.State != reconcile.Ended && r.State != reconcile.Absent {
					t.Fatalf("%s still runs", s.Name)
				}
			}
		}
	})
}
