package planner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/planner"
)

// BenchmarkPlan measures one call of Plan with up to 1,500 running tasks and about 1,000
// waiting tasks in 120 units.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{48, 350, 960} {
		b.Run(fmt.Sprint(workers, " workers"), func(b *testing.B) {
			in := benchmarkInput(workers)
			b.ReportAllocs()
			for b.Loop() {
				planner.Plan(in)
			}
		})
	}
}

func benchmarkInput(workers int) planner.Input {
	random := rand.New(rand.NewPCG(1, 1))
	var in planner.Input
	for n := range workers {
		capacity := planner.Shape{Cores: 64000, Memory: 256000, Accels: 8}
		in.Nodes = append(in.Nodes, planner.Node{
			ID: fmt.Sprint(n), Service: "svc", Rack: fmt.Sprint("r", n/12), Capacity: capacity, Free: capacity, FreeSoon: capacity, Usable: true,
		})
	}
	task := planner.Shape{Cores: 5600, Memory: 16000, Accels: 1}
	for range min(1500, workers*7) {
		n := random.IntN(workers)
		if in.Nodes[n].Free.Slots(task) == 0 {
			continue
		}
		in.Nodes[n].Free = in.Nodes[n].Free.Sub(task)
		in.Nodes[n].FreeSoon = in.Nodes[n].Free
		in.Running = append(in.Running, planner.RunningWork{Priority: 2, Shape: task, Nodes: []int{n}, Loss: random.Float64() * 100})
	}
	for range 120 {
		u := planner.Unit{
			Service: "svc", Priority: random.IntN(3), Count: 1 + random.IntN(16), Gang: random.IntN(2) == 0, SameRack: true,
			Shape:    planner.Shape{Cores: 7500, Memory: 22000, Accels: 1 << random.IntN(4)},
			Rank:     clock.Millis(random.IntN(9999)),
			Estimate: 2500 * clock.Millisecond, Waited: clock.Millis(random.IntN(4000)),
		}
		if u.Priority == 0 {
			u.Guaranteed, u.MaxLoss = random.IntN(2) == 0, float64(250*u.Count)
		}
		in.Units = append(in.Units, u)
	}
	return in
}
