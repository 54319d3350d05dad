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

// idempotentSpec returns an idempotent request that needs one slot. It runs for the given
// number of milliseconds, and its result is its key.
func idempotentSpec(account, key string, class job.Class, sleep, deadline clock.Millis) job.Spec {
	return job.Spec{
		Account: account, Service: account + "-check", Key: key, Class: class, Idempotent: true,
		Deadline: deadline, Shape: job.Shape{Slots: 1}, Payload: fmt.Appendf(nil, `{"echo":%q,"sleep_ms":%d}`, key, sleep),
	}
}

var _ = Describe("overload and failure protection of quick requests", func() {
	var cluster *testCluster
	ctx := context.Background()
	oneEntry := func() int { return 1 }
	router := func(workers, slots int, opts quick.Options) *quick.Router {
		cluster = newTestCluster(workers, slots)
		DeferCleanup(cluster.close)
		p := cluster.startProcess(1, 0, faults{}, opts)
		DeferCleanup(func() { _ = p.router.Stop(ctx) })
		return p.router
	}

	It("runs quick requests within their deadlines while sweeps hold all slots that sweeps may hold", func() {
		r := router(2, 4, quick.Options{Entries: oneEntry})
		flood, stop := context.WithCancel(ctx)
		var wg sync.WaitGroup
		defer wg.Wait()
		defer stop()
		for i := range 64 {
			wg.Go(func() {
				for n := 0; flood.Err() == nil; n++ {
					r.Submit(flood, idempotentSpec("fraud", fmt.Sprintf("s-%d-%d", i, n), job.Sweep, 400, 0))
				}
			})
		}
		Eventually(func() int {
			return cluster.workers[0].current.Load().Report().Free.Slots + cluster.workers[1].current.Load().Report().Free.Slots
		}).Should(BeNumerically("<=", 4))
		for i := range 30 {
			o := r.Submit(ctx, idempotentSpec("kulhar", fmt.Sprint("c-", i), job.Quick, 1, 300))
			Expect(o.Kind).To(Equal(outcome.Done), "check %d: %+v", i, o)
		}
	})

	It("refuses requests at once, with a retry delay, when the queue is full", func() {
		r := router(1, 1, quick.Options{Entries: func() int { return 64 }, Queue: 3})
		var wg sync.WaitGroup
		var mu sync.Mutex
		reasons := make(map[outcome.Reason]int)
		for i := range 12 {
			wg.Go(func() {
				started := time.Now()
				o := r.Submit(ctx, idempotentSpec("kulhar", fmt.Sprint(i), job.Quick, 300, 5000))
				mu.Lock()
				defer mu.Unlock()
				reasons[o.Reason]++
				if o.Reason == outcome.QueueFull {
					Expect(o.Kind).To(Equal(outcome.NotRun))
					Expect(o.Retry).To(BeNumerically(">", 0))
					Expect(time.Since(started)).To(BeNumerically("<", 300*time.Millisecond))
				}
			})
		}
		wg.Wait()
		Expect(reasons).To(Equal(map[outcome.Reason]int{"": 4, outcome.QueueFull: 8}))
	})

	It("refuses a request with outcome notrun when it was not admitted before its deadline", func() {
		r := router(1, 1, quick.Options{Entries: func() int { return 64 }})
		go r.Submit(ctx, idempotentSpec("kulhar", "long", job.Quick, 500, 5000))
		Eventually(func() int { return cluster.workers[0].current.Load().Report().Free.Slots }).Should(BeZero())
		s := nonIdempotentSpec("k", 0)
		s.Deadline, s.Resubmitted = 50, false
		o := r.Submit(ctx, s)
		Expect(o).To(And(HaveField("Kind", outcome.NotRun), HaveField("Reason", outcome.DeadlineExceeded)))
		Expect(cluster.runs()).NotTo(HaveKey("quick/perth/k"))
	})

	It("puts a worker that fails all tasks into quarantine until a probe succeeds", func() {
		metrics := counters.New()
		r := router(3, 8, quick.Options{Entries: oneEntry, Counters: metrics})
		run := func(n int) (failed int) {
			for i := range n {
				if r.Submit(ctx, idempotentSpec("kulhar", fmt.Sprint("q-", i), job.Quick, 0, 0)).Kind == outcome.Failed {
					failed++
				}
			}
			return failed
		}
		Expect(run(10)).To(BeZero())
		cluster.workers[0].current.Load().SetFaults(workertest.Faults{FailTasks: true})
		run(60)
		Expect(metrics.Counter("chestnutsail_worker_quarantines_total").Get()).To(BeNumerically(">=", 1))
		before := len(cluster.workers[0].current.Load().Journal())
		run(100)
		Expect(len(cluster.workers[0].current.Load().Journal()) - before).To(BeNumerically("<=", 1))
		cluster.workers[0].current.Load().SetFaults(workertest.Faults{})
		Eventually(func() int {
			run(20)
			return len(cluster.workers[0].current.Load().Journal()) - before
		}).WithTimeout(8 * time.Second).Should(BeNumerically(">", 5))
	})

	It("does not quarantine workers because of a service that fails on every worker", func() {
		metrics := counters.New()
		r := router(2, 8, quick.Options{Entries: oneEntry, Counters: metrics})
		s := idempotentSpec("kulhar", "bad", job.Quick, 0, 0)
		s.Payload = []byte(`{"fail":true}`)
		for range 50 {
			Expect(r.Submit(ctx, s).Kind).To(Equal(outcome.Failed))
		}
		Expect(metrics.Counter("chestnutsail_worker_quarantines_total").Get()).To(BeZero())
	})

	It("sends a request to a second worker when the first is slow, if the request is idempotent", func() {
		r := router(2, 8, quick.Options{Entries: oneEntry, Hedge: 30})
		cluster.workers[0].current.Load().SetFaults(workertest.Faults{Slow: 2000})
		for i := range 6 {
			started := time.Now()
			Expect(r.Submit(ctx, idempotentSpec("kulhar", fmt.Sprint(i), job.Quick, 0, 0)).Kind).To(Equal(outcome.Done))
			Expect(time.Since(started)).To(BeNumerically("<", 1500*time.Millisecond))
		}
		cluster.workers[0].current.Load().SetFaults(workertest.Faults{})
		Expect(r.Submit(ctx, nonIdempotentSpec("slow", 200)).Kind).To(Equal(outcome.Done))
		Expect(cluster.runs()["quick/perth/slow"]).To(Equal(1))
	})
})
