package quick_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/counters"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/quick"
	"github.com/chestnutsail/chestnutsail/workertest"
)

// check is an idempotent request of one slot.
func check(account, key string, class job.Class, sleep, deadline clock.Millis) job.Spec {
	return job.Spec{
		Account: account, Service: account + "-check", Key: key, Class: class, Idempotent: true,
		Deadline: deadline, Shape: job.Shape{Slots: 1}, Payload: fmt.Appendf(nil, `{"echo":%q,"sleep_ms":%d}`, key, sleep),
	}
}

var _ = Describe("protection on the quick path", func() {
	var w *world
	ctx := context.Background()
	one := func() int { return 1 }
	router := func(workers, slots int, opts quick.Options) *quick.Router {
		w = newWorld(workers, slots)
		DeferCleanup(w.close)
		p := w.newProcess(1, 0, faults{}, opts)
		DeferCleanup(func() { _ = p.router.Stop(ctx) })
		return p.router
	}

	It("answers kiosk checks while a flood of sweeps holds all slots that sweeps can take", func() {
		r := router(2, 4, quick.Options{Entries: one})
		flood, stop := context.WithCancel(ctx)
		var wg sync.WaitGroup
		defer wg.Wait()
		defer stop()
		for i := range 64 {
			wg.Go(func() {
				for n := 0; flood.Err() == nil; n++ {
					r.Submit(flood, check("fraud", fmt.Sprintf("s-%d-%d", i, n), job.Sweep, 400, 0))
				}
			})
		}
		Eventually(func() int {
			return w.workers[0].now.Load().Report().Free.Slots + w.workers[1].now.Load().Report().Free.Slots
		}).Should(BeNumerically("<=", 4))
		for i := range 30 {
			o := r.Submit(ctx, check("kulhar", fmt.Sprint("c-", i), job.Quick, 1, 300))
			Expect(o.Kind).To(Equal(outcome.Done), "check %d: %+v", i, o)
		}
	})

	It("sheds at once, with the time to try again, what would wait too long", func() {
		r := router(1, 1, quick.Options{Entries: func() int { return 64 }, Queue: 3})
		var wg sync.WaitGroup
		var mu sync.Mutex
		kinds := make(map[outcome.Reason]int)
		for i := range 12 {
			wg.Go(func() {
				began := time.Now()
				o := r.Submit(ctx, check("kulhar", fmt.Sprint(i), job.Quick, 300, 5000))
				mu.Lock()
				defer mu.Unlock()
				kinds[o.Reason]++
				if o.Reason == outcome.QueueFull {
					Expect(o.Kind).To(Equal(outcome.NotRun))
					Expect(o.Retry).To(BeNumerically(">", 0))
					Expect(time.Since(began)).To(BeNumerically("<", 300*time.Millisecond))
				}
			})
		}
		wg.Wait()
		Expect(kinds).To(Equal(map[outcome.Reason]int{"": 4, outcome.QueueFull: 8}))
	})

	It("refuses in time, as not run, what got no turn before its deadline", func() {
		r := router(1, 1, quick.Options{Entries: func() int { return 64 }})
		go r.Submit(ctx, check("kulhar", "long", job.Quick, 500, 5000))
		Eventually(func() int { return w.workers[0].now.Load().Report().Free.Slots }).Should(BeZero())
		s := wipe("k", 0)
		s.Deadline, s.Again = 50, false
		o := r.Submit(ctx, s)
		Expect(o).To(And(HaveField("Kind", outcome.NotRun), HaveField("Reason", outcome.DeadlineExceeded)))
		Expect(w.runs()).NotTo(HaveKey("quick/perth/k"))
	})

	It("takes a worker that fails everything out, and back in once a probe works", func() {
		count := counters.New()
		r := router(3, 8, quick.Options{Entries: one, Counters: count})
		run := func(n int) (failed int) {
			for i := range n {
				if r.Submit(ctx, check("kulhar", fmt.Sprint("q-", i), job.Quick, 0, 0)).Kind == outcome.Failed {
					failed++
				}
			}
			return failed
		}
		Expect(run(10)).To(BeZero())
		w.workers[0].now.Load().SetFaults(workertest.Faults{FailTasks: true})
		run(60)
		Expect(count.Counter("chestnutsail_worker_quarantines_total").Get()).To(BeNumerically(">=", 1))
		before := len(w.workers[0].now.Load().Journal())
		run(100)
		Expect(len(w.workers[0].now.Load().Journal()) - before).To(BeNumerically("<=", 1))
		w.workers[0].now.Load().SetFaults(workertest.Faults{})
		Eventually(func() int {
			run(20)
			return len(w.workers[0].now.Load().Journal()) - before
		}).WithTimeout(8 * time.Second).Should(BeNumerically(">", 5))
	})

	It("does not blame workers for a service that fails everywhere", func() {
		count := counters.New()
		r := router(2, 8, quick.Options{Entries: one, Counters: count})
		s := check("kulhar", "bad", job.Quick, 0, 0)
		s.Payload = []byte(`{"fail":true}`)
		for range 50 {
			Expect(r.Submit(ctx, s).Kind).To(Equal(outcome.Failed))
		}
		Expect(count.Counter("chestnutsail_worker_quarantines_total").Get()).To(BeZero())
	})

	It("asks a second worker when the first is slow, for idempotent requests only", func() {
		r := router(2, 8, quick.Options{Entries: one, Hedge: 30})
		w.workers[0].now.Load().SetFaults(workertest.Faults{Slow: 2000})
		for i := range 6 {
			began := time.Now()
			Expect(r.Submit(ctx, check("kulhar", fmt.Sprint(i), job.Quick, 0, 0)).Kind).To(Equal(outcome.Done))
			Expect(time.Since(began)).To(BeNumerically("<", 1500*time.Millisecond))
		}
		w.workers[0].now.Load().SetFaults(workertest.Faults{})
		Expect(r.Submit(ctx, wipe("slow", 200)).Kind).To(Equal(outcome.Done))
		Expect(w.runs()["quick/perth/slow"]).To(Equal(1))
	})
})
