package quick_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/claim"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/consul"
	"github.com/chestnutsail/chestnutsail/consultest"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/quick"
	"github.com/chestnutsail/chestnutsail/worker"
	"github.com/chestnutsail/chestnutsail/workertest"
)

var _ = Describe("a non-idempotent request", func() {
	var cluster *testCluster
	ctx := context.Background()
	BeforeEach(func() {
		cluster = newTestCluster(2, 2)
		DeferCleanup(cluster.close)
	})
	entry := func(f faults) *process {
		p := cluster.startProcess(1, 0, f, quick.Options{})
		DeferCleanup(func() {
			p.kill()
			c, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			_ = p.router.Stop(c)
		})
		return p
	}
	claims := func() *claim.Registry {
		return claim.New(claim.Options{Store: consul.New(consul.Config{Address: cluster.server.URL})})
	}
	// claimWithoutSending leaves the claim of an entry that was killed after it claimed the
	// request and before it sent the request to the worker.
	claimWithoutSending := func(s job.Spec, incarnation string) {
		c, err := claims().Take(ctx, claim.Claim{
			Account: s.Account, Key: s.Key, Hash: quick.Hash(s), Attempt: 1, Worker: "a-1",
			Address: cluster.workers[0].server.Listener.Addr().String(), Incarnation: incarnation,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Own).To(BeTrue())
	}
	process := func(i int) string { return cluster.workers[i].current.Load().Report().Incarnation }
	client := func(i int) *worker.Client {
		return worker.New(worker.Config{Address: cluster.workers[i].server.Listener.Addr().String()})
	}

	It("is fenced when its entry was killed before sending it, and a delayed call does not run it", func() {
		s := nonIdempotentSpec("k", 0)
		claimWithoutSending(s, process(0))
		o := entry(faults{}).router.Query(ctx, "perth", "k")
		Expect(o).To(And(HaveField("Kind", outcome.NotRun), HaveField("Reason", outcome.Abandoned)))
		t, err := client(0).Run(ctx, worker.Task{
			ID: "quick/perth/k", Attempt: 1, KeepResult: true, Incarnation: process(0), Needs: job.Resources{Slots: 1},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(t).To(And(HaveField("State", worker.Stopped), HaveField("Ran", false)))
		Expect(cluster.runs()).To(BeEmpty())

		Expect(entry(faults{}).router.Submit(ctx, s).Kind).To(Equal(outcome.Done), "resubmitted with the same key")
		Expect(cluster.runs()).To(Equal(map[string]int{"quick/perth/k": 1}))
	})

	It("is not told notrun from a stale tombstone after it was claimed again and done", func() {
		s := nonIdempotentSpec("k", 0)
		claimWithoutSending(s, process(0))
		c, err := claims().Find(ctx, "perth", "k")
		Expect(err).NotTo(HaveOccurred())
		refused := outcome.Refuse("k", outcome.Abandoned, 0, "not sent")
		_, err = claims().End(ctx, c, refused)
		Expect(err).NotTo(HaveOccurred())
		stale, err := consul.New(consul.Config{Address: cluster.server.URL}).Get(ctx, claim.Key("perth", "k"))
		Expect(err).NotTo(HaveOccurred())
		cluster.recordValue(stale)
		Expect(entry(faults{}).router.Query(ctx, "perth", "k").Kind).To(Equal(outcome.NotRun), "while it has not run")
		Expect(entry(faults{}).router.Submit(ctx, s).Kind).To(Equal(outcome.Done))

		cluster.earlierValues = map[string][]kv.Entry{stale.Key: {stale}}
		readsStale := entry(faults{storeStaleRead: 100})
		Expect(readsStale.router.Query(ctx, "perth", "k").Kind).To(Equal(outcome.Unknown))
		Expect(readsStale.router.Submit(ctx, s).Kind).NotTo(Equal(outcome.NotRun))
		Expect(cluster.runs()).To(Equal(map[string]int{"quick/perth/k": 1}))
	})

	It("does not get the outcome notrun from a stale claim while a later attempt runs", func() {
		claimWithoutSending(nonIdempotentSpec("k", 0), process(0))
		first, err := consul.New(consul.Config{Address: cluster.server.URL}).Get(ctx, claim.Key("perth", "k"))
		Expect(err).NotTo(HaveOccurred())
		c, err := claims().Find(ctx, "perth", "k")
		Expect(err).NotTo(HaveOccurred())
		address := cluster.workers[1].server.Listener.Addr().String()
		_, err = claims().Move(ctx, c, claim.Place{Worker: "a-2", Address: address, Incarnation: process(1)})
		Expect(err).NotTo(HaveOccurred())
		go func() {
			_, _ = client(1).Run(ctx, worker.Task{
				ID: "quick/perth/k", Attempt: 2, KeepResult: true, Needs: job.Resources{Slots: 1},
				Payload: []byte(`{"sleep_ms":3000}`),
			})
		}()
		Eventually(func() map[string]int { return cluster.runs() }).Should(HaveLen(1))
		cluster.recordValue(first)
		Expect(entry(faults{storeStaleRead: 100}).router.Query(ctx, "perth", "k").Kind).To(Equal(outcome.Unknown))
		Expect(entry(faults{}).router.Query(ctx, "perth", "k").Reason).To(Equal(outcome.InProgress))
	})

	It("has an unknown outcome and is not sent again when the worker's process was replaced", func() {
		s := nonIdempotentSpec("k", 0)
		claimWithoutSending(s, process(0))
		cluster.workers[0].replaceProcess()
		p := entry(faults{})
		for range 2 {
			o := p.router.Submit(ctx, s)
			Expect(o).To(And(HaveField("Kind", outcome.Unknown), HaveField("Reason", outcome.WorkerReplaced)))
		}
		Expect(cluster.runs()).To(BeEmpty())
	})

	It("does not run from a duplicate of a call that the worker refused", func() {
		filler := worker.Task{ID: "filler", Attempt: 1, Needs: job.Resources{Slots: 2}, Payload: []byte(`{"sleep_ms":50}`)}
		go func() { _, _ = client(0).Run(ctx, filler) }()
		Eventually(func() int { return cluster.workers[0].current.Load().Report().Free.Slots }).Should(BeZero())
		task := worker.Task{ID: "quick/perth/k", Attempt: 1, KeepResult: true, Needs: job.Resources{Slots: 1}}
		_, err := client(0).Run(ctx, task)
		Expect(worker.RefusalOf(err)).To(Equal(worker.Full))
		Eventually(func() int { return cluster.workers[0].current.Load().Report().Free.Slots }).Should(Equal(2))
		t, err := client(0).Run(ctx, task)
		Expect(err).NotTo(HaveOccurred())
		Expect(t.Ran).To(BeFalse())
	})

	It("does not run from a duplicate of a call whose result was released", func() {
		task := worker.Task{ID: "quick/perth/k", Attempt: 1, KeepResult: true, Needs: job.Resources{Slots: 1}}
		_, err := client(0).Run(ctx, task)
		Expect(err).NotTo(HaveOccurred())
		Expect(client(0).Release(ctx, task.ID, 1)).To(Succeed())
		_, _ = client(0).Run(ctx, task)
		Expect(cluster.runs()).To(Equal(map[string]int{"quick/perth/k": 1}))
	})

	It("gets the same outcome when it is submitted through several entries at once", func() {
		s := nonIdempotentSpec("k", 200)
		var mu sync.Mutex
		var answers []outcome.Outcome
		var wg sync.WaitGroup
		for range 3 {
			p := entry(faults{})
			wg.Go(func() {
				o := p.router.Submit(ctx, s)
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, o)
			})
		}
		wg.Wait()
		for _, o := range answers {
			Expect(o).To(And(HaveField("Kind", outcome.Done), HaveField("Hash", answers[0].Hash)))
		}
		Expect(cluster.runs()).To(Equal(map[string]int{"quick/perth/k": 1}))
	})

	It("is refused when its key was used with another payload", func() {
		p := entry(faults{})
		Expect(p.router.Submit(ctx, nonIdempotentSpec("k", 0)).Kind).To(Equal(outcome.Done))
		o := p.router.Submit(ctx, nonIdempotentSpec("k", 1))
		Expect(o).To(And(HaveField("Kind", outcome.NotRun), HaveField("Reason", outcome.KeyReused)))
	})

	It("is sent to another worker when the first is full, after the claim names that worker", func() {
		for i := range 2 {
			id := fmt.Sprint("long-", i)
			defer func() { _, _ = client(0).Stop(ctx, worker.Stop{ID: id, Attempt: 1}) }()
			go func() {
				_, _ = client(0).Run(ctx, worker.Task{
					ID: id, Attempt: 1, Needs: job.Resources{Slots: 1}, Payload: []byte(`{"sleep_ms":60000}`),
				})
			}()
		}
		Eventually(func() int { return cluster.workers[0].current.Load().Report().Free.Slots }).Should(BeZero())
		freeWorker := cluster.workers[1].current.Load().Report().Name
		moved := 0
		for i := range 20 {
			key := fmt.Sprint("k", i)
			o := entry(faults{}).router.Submit(ctx, nonIdempotentSpec(key, 0))
			Expect(o.Kind).To(Equal(outcome.Done))
			c, err := claims().Find(ctx, "perth", key)
			Expect(err).NotTo(HaveOccurred())
			Expect(c.Worker).To(Equal(freeWorker))
			Expect(cluster.runs()["quick/perth/"+key]).To(Equal(1))
			if c.Attempt > 1 {
				moved++
			}
		}
		Expect(moved).To(BeNumerically(">", 0), "no request was first sent to the full worker")
	})

	DescribeTable("is refused at once while the store is down, but idempotent requests still run",
		func(resubmitted bool, kind outcome.Kind) {
			p := entry(faults{})
			cluster.store.SetFaults(consultest.Faults{Down: true})
			s := nonIdempotentSpec("k", 0)
			s.Resubmitted = resubmitted
			o := p.router.Submit(ctx, s)
			Expect(o).To(And(HaveField("Kind", kind), HaveField("Reason", outcome.StoreUnreachable)))
			s.Idempotent = true
			Expect(p.router.Submit(ctx, s).Kind).To(Equal(outcome.Done))
		},
		Entry("notrun for the first submission of a key", false, outcome.NotRun),
		Entry("unknown for a resubmission, as the first submission may have run", true, outcome.Unknown),
	)

	It("gets its outcome when the store goes down while it runs, and the outcome is recorded later", func() {
		p := entry(faults{})
		time.AfterFunc(50*time.Millisecond, func() { cluster.store.SetFaults(consultest.Faults{Down: true}) })
		Expect(p.router.Submit(ctx, nonIdempotentSpec("k", 100)).Kind).To(Equal(outcome.Done))
		cluster.store.SetFaults(consultest.Faults{})
		Eventually(func() *outcome.Outcome {
			c, _ := claims().Find(ctx, "perth", "k")
			return c.Outcome
		}).WithTimeout(10 * time.Second).Should(HaveValue(HaveField("Kind", outcome.Done)))
	})

	It("gets a result that is too large for the store from its worker when resubmitted", func() {
		large := strings.Repeat("x", kv.MaxValue)
		s := nonIdempotentSpec("k", 0)
		s.Payload = fmt.Appendf(nil, `{"echo":%q}`, large)
		s.Deadline = 20 * clock.Second // encoding a megabyte takes seconds under the race detector
		p := entry(faults{})
		for range 2 {
			o := p.router.Submit(ctx, s)
			Expect(o.Kind).To(Equal(outcome.Done))
			Expect(o.Length).To(Equal(kv.MaxValue))
		}
		Expect(cluster.runs()).To(Equal(map[string]int{"quick/perth/k": 1}))
	})

	DescribeTable("gets its complete result although the worker's answer was",
		func(f workertest.Faults) {
			p := entry(faults{})
			for i := range 20 { // makes the entry cache the incarnation of each worker
				Expect(p.router.Submit(ctx, nonIdempotentSpec(fmt.Sprint("warm-", i), 0)).Kind).To(Equal(outcome.Done))
			}
			for _, tw := range cluster.workers {
				tw.current.Load().SetFaults(f)
			}
			o := p.router.Submit(ctx, nonIdempotentSpec("k", 0))
			Expect(o.Kind).To(Equal(outcome.Done))
			Expect(o.Intact()).To(BeTrue())
			Expect(string(o.Body)).To(Equal("k"))
			Expect(cluster.runs()["quick/perth/k"]).To(Equal(1))
		},
		Entry("dropped", workertest.Faults{DropAnswers: 2}),
		Entry("truncated in the middle", workertest.Faults{CutAnswers: 2}),
	)
})
