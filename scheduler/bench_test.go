package scheduler_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/scheduler"
	"github.com/chestnutsail/chestnutsail/workload"
)

var workerCapacity = job.Resources{Cores: 32, Memory: 64 << 10, Accelerators: 8, Slots: 8}

// newFullCore returns a core on whose workers no more jobs fit, and its placed jobs. At
// least four jobs per worker wait in its queues.
func newFullCore(workers int) (*scheduler.Core, []scheduler.Action) {
	core := scheduler.New(scheduler.Options{})
	core.Step(clock.Hour, scheduler.Event{Kind: scheduler.Text, Text: workload.Text("perth", 25, workers/8, workerCapacity)})
	for _, n := range workload.Fleet(workers, workerCapacity) {
		core.Step(clock.Hour, scheduler.Event{Kind: scheduler.WorkerUp, Node: &n})
	}
	var placed []scheduler.Action
	for i := 0; len(core.Status().Jobs) < 4*workers+workers/6; i++ {
		for range 64 {
			for _, a := range core.Step(clock.Hour, submission(i)) {
				if a.Kind == scheduler.Place {
					core.Step(clock.Hour, scheduler.Event{Kind: scheduler.Started, ID: a.ID, Attempt: a.Attempt})
					placed = append(placed, a)
				}
			}
			i++
		}
	}
	return core, placed
}

// submission returns the event that submits the i-th job of a stream of jobs with
// varying shapes.
func submission(i int) scheduler.Event {
	s := job.Spec{
		Account: []string{"north", "south", "east", "west"}[i%4], Service: fmt.Sprint("s", i%7), Key: fmt.Sprint(i),
		Class: job.Batch, Idempotent: true, Checkpoints: i%2 == 0, Declared: clock.Millis(1+i%50) * clock.Minute,
		Shape: job.Shape{Tasks: 1, Cores: 1 + i%3, Accelerators: []int{1, 2, 1, 2, 4, 2, 1, 3, 2, 1}[i%10]},
	}
	if i%19 == 0 {
		s.Shape = job.Shape{Tasks: 2 + i%3, Cores: 8, Accelerators: 8, Adjacent: job.Rack}
	}
	return scheduler.Event{Kind: scheduler.Submit, Record: &job.Record{Spec: s, State: job.Waiting, Submitted: clock.Hour}}
}

// BenchmarkDecision measures a step of a core whose workers are full. Every other step
// reports that a job has finished, which lets others start, and the steps between
// submit a new job.
func BenchmarkDecision(b *testing.B) {
	for _, workers := range []int{48, 240, 960} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			c, placed := newFullCore(workers)
			now, next := clock.Hour, 1<<20
			var times []time.Duration
			status := c.Status()
			b.ReportMetric(float64(len(status.Jobs)), "queued")
			b.ReportMetric(float64(len(placed)), "running")
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += 100
				e := submission(next)
				if i%2 == 0 && len(placed) > 0 {
					e = scheduler.Event{Kind: scheduler.Finished, ID: placed[0].ID, Attempt: placed[0].Attempt}
					placed = placed[1:]
				} else {
					next++
				}
				start := time.Now()
				actions := c.Step(now, e)
				times = append(times, time.Since(start))
				for _, a := range actions {
					switch a.Kind {
					case scheduler.Place:
						c.Step(now, scheduler.Event{Kind: scheduler.Started, ID: a.ID, Attempt: a.Attempt})
						placed = append(placed, a)
					case scheduler.Stop:
						c.Step(now, scheduler.Event{Kind: scheduler.Stopped, ID: a.ID, Attempt: a.Attempt})
						placed = slices.DeleteFunc(placed, func(p scheduler.Action) bool { return p.ID == a.ID })
					}
				}
			}
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
			b.ReportMetric(float64(times[len(times)-1].Microseconds()), "max-us")
		})
	}
}

// BenchmarkBurst measures 2,000 submissions to a core whose workers are full.
func BenchmarkBurst(b *testing.B) {
	for _, workers := range []int{48, 240, 960} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				c, _ := newFullCore(workers)
				b.StartTimer()
				for i := range 2000 {
					c.Step(2*clock.Hour, submission(1<<20+i))
				}
			}
		})
	}
}

// BenchmarkMemory reports the heap memory in MB that a core with full workers holds.
func BenchmarkMemory(b *testing.B) {
	for _, workers := range []int{48, 240, 960} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				c, _ := newFullCore(workers)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(c)
			}
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/(1<<20), "MB")
		})
	}
}
