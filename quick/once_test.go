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

var _ = Describe("a request that must not be repeated", func() {
	var w *world
	ctx := context.Background()
	BeforeEach(func() {
		w = newWorld(2, 2)
		DeferCleanup(w.close)
	})
	entry := func(f faults) *process {
		p := w.newProcess(1, 0, f, quick.Options{})
		DeferCleanup(func() {
			p.kill()
			c, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			_ = p.router.Stop(c)
		})
		return p
	}
	book := func() *claim.Book {
		return claim.New(claim.Options{Store: consul.New(consul.Config{Address: w.server.URL})})
	}
	// dead claims a request the way an entry does that ends before the send.
	dead := func(s job.Spec, incarnation string) {
		c, err := book().Take(ctx, claim.Claim{
			Account: s.Account, Key: s.Key, Hash: quick.Hash(s), Attempt: 1, Worker: "a-1",
			Address: w.workers[0].server.Listener.Addr().String(), Incarnation: incarnation,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Own).To(BeTrue())
	}
	process := func(i int) string { return w.workers[i].now.Load().Report().Incarnation }
	agent := func(i int) *worker.Client {
		return worker.New(worker.Config{Address: w.workers[i].server.Listener.Addr().String()})
	}

	It("is fenced when its entry died before the send, and the late send finds the fence", func() {
		s := wipe("k", 0)
		dead(s, process(0))
		o := entry(faults{}).router.Ask(ctx, "perth", "k")
		Expect(o).To(And(HaveField("Kind", outcome.NotRun), HaveField("Reason", outcome.Abandoned)))
		t, err := agent(0).Run(ctx, worker.Task{
			ID: "quick/perth/k", Attempt: 1, Keep: true, Incarnation: process(0), Needs: job.Resources{Slots: 1},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(t).To(And(HaveField("State", worker.Stopped), HaveField("Ran", false)))
		Expect(w.runs()).To(BeEmpty())

		Expect(entry(faults{}).router.Submit(ctx, s).Kind).To(Equal(outcome.Done), "submitted again")
		Expect(w.runs()).To(Equal(map[string]int{"quick/perth/k": 1}))
	})

	It("is not called notrun from a stale claim while a later attempt runs", func() {
		dead(wipe("k", 0), process(0))
		first, err := consul.New(consul.Config{Address: w.server.URL}).Get(ctx, claim.Key("perth", "k"))
		Expect(err).NotTo(HaveOccurred())
		c, err := book().Find(ctx, "perth", "k")
		Expect(err).NotTo(HaveOccurred())
		address := w.workers[1].server.Listener.Addr().String()
		_, err = book().Move(ctx, c, claim.Place{Worker: "a-2", Address: address, Incarnation: process(1)})
		Expect(err).NotTo(HaveOccurred())
		go func() {
			_, _ = agent(1).Run(ctx, worker.Task{
				ID: "quick/perth/k", Attempt: 2, Keep: true, Needs: job.Resources{Slots: 1},
				Payload: []byte(`{"sleep_ms":3000}`),
			})
		}()
		Eventually(func() map[string]int { return w.runs() }).Should(HaveLen(1))
		w.remember(first)
		Expect(entry(faults{stale: 100}).router.Ask(ctx, "perth", "k").Kind).To(Equal(outcome.Unknown))
		Expect(entry(faults{}).router.Ask(ctx, "perth", "k").Reason).To(Equal(outcome.InProgress))
	})

	It("is unknown, and never sent again, when the worker's process was replaced", func() {
		s := wipe("k", 0)
		dead(s, process(0))
		w.workers[0].replace()
		p := entry(faults{})
		for range 2 {
			o := p.router.Submit(ctx, s)
			Expect(o).To(And(HaveField("Kind", outcome.Unknown), HaveField("Reason", outcome.WorkerReplaced)))
		}
		Expect(w.runs()).To(BeEmpty())
	})

	It("does not run from a copy of a call that was refused before", func() {
		full := worker.Task{ID: "filler", Attempt: 1, Needs: job.Resources{Slots: 2}, Payload: []byte(`{"sleep_ms":50}`)}
		go func() { _, _ = agent(0).Run(ctx, full) }()
		Eventually(func() int { return w.workers[0].now.Load().Report().Free.Slots }).Should(BeZero())
		once := worker.Task{ID: "quick/perth/k", Attempt: 1, Keep: true, Needs: job.Resources{Slots: 1}}
		_, err := agent(0).Run(ctx, once)
		Expect(worker.RefusalOf(err)).To(Equal(worker.Full))
		Eventually(func() int { return w.workers[0].now.Load().Report().Free.Slots }).Should(Equal(2))
		t, err := agent(0).Run(ctx, once)
		Expect(err).NotTo(HaveOccurred())
		Expect(t.Ran).To(BeFalse())
	})

	It("does not run from a copy of a call whose result was released", func() {
		once := worker.Task{ID: "quick/perth/k", Attempt: 1, Keep: true, Needs: job.Resources{Slots: 1}}
		_, err := agent(0).Run(ctx, once)
		Expect(err).NotTo(HaveOccurred())
		Expect(agent(0).Release(ctx, once.ID, 1)).To(Succeed())
		_, _ = agent(0).Run(ctx, once)
		Expect(w.runs()).To(Equal(map[string]int{"quick/perth/k": 1}))
	})

	It("is answered alike to everybody who asks while it runs", func() {
		s := wipe("k", 200)
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
		Expect(w.runs()).To(Equal(map[string]int{"quick/perth/k": 1}))
	})

	It("is refused under a used key with another payload", func() {
		p := entry(faults{})
		Expect(p.router.Submit(ctx, wipe("k", 0)).Kind).To(Equal(outcome.Done))
		o := p.router.Submit(ctx, wipe("k", 1))
		Expect(o).To(And(HaveField("Kind", outcome.NotRun), HaveField("Reason", outcome.KeyReused)))
	})

	It("goes to another worker, named in the claim first, when the first is full", func() {
		for i := range 2 {
			id := fmt.Sprint("long-", i)
			defer func() { _, _ = agent(0).Stop(ctx, worker.Stop{ID: id, Attempt: 1}) }()
			go func() {
				_, _ = agent(0).Run(ctx, worker.Task{
					ID: id, Attempt: 1, Needs: job.Resources{Slots: 1}, Payload: []byte(`{"sleep_ms":60000}`),
				})
			}()
		}
		Eventually(func() int { return w.workers[0].now.Load().Report().Free.Slots }).Should(BeZero())
		free := w.workers[1].now.Load().Report().Name
		moved := 0
		for i := range 20 {
			key := fmt.Sprint("k", i)
			o := entry(faults{}).router.Submit(ctx, wipe(key, 0))
			Expect(o.Kind).To(Equal(outcome.Done))
			c, err := book().Find(ctx, "perth", key)
			Expect(err).NotTo(HaveOccurred())
			Expect(c.Worker).To(Equal(free))
			Expect(w.runs()["quick/perth/"+key]).To(Equal(1))
			if c.Attempt > 1 {
				moved++
			}
		}
		Expect(moved).To(BeNumerically(">", 0), "no new entry tried the full worker first")
	})

	DescribeTable("is refused at once while the store is down, but idempotent work goes on",
		func(again bool, kind outcome.Kind) {
			p := entry(faults{})
			w.store.SetFaults(consultest.Faults{Down: true})
			s := wipe("k", 0)
			s.Again = again
			o := p.router.Submit(ctx, s)
			Expect(o).To(And(HaveField("Kind", kind), HaveField("Reason", outcome.StoreUnreachable)))
			s.Idempotent = true
			Expect(p.router.Submit(ctx, s).Kind).To(Equal(outcome.Done))
		},
		Entry("the first submission of its key did not run", false, outcome.NotRun),
		Entry("a repeated submission may have run before", true, outcome.Unknown),
	)

	It("gets its answer when the store goes down under it, recorded once the store is back", func() {
		p := entry(faults{})
		time.AfterFunc(50*time.Millisecond, func() { w.store.SetFaults(consultest.Faults{Down: true}) })
		Expect(p.router.Submit(ctx, wipe("k", 100)).Kind).To(Equal(outcome.Done))
		w.store.SetFaults(consultest.Faults{})
		Eventually(func() *outcome.Outcome {
			c, _ := book().Find(ctx, "perth", "k")
			return c.Outcome
		}).WithTimeout(10 * time.Second).Should(HaveValue(HaveField("Kind", outcome.Done)))
	})

	It("gets an answer again that is too large for the store, from its worker", func() {
		large := strings.Repeat("x", kv.MaxValue)
		s := wipe("k", 0)
		s.Payload = fmt.Appendf(nil, `{"echo":%q}`, large)
		s.Deadline = 20 * clock.Second // coding a megabyte under the race detector takes seconds
		p := entry(faults{})
		for range 2 {
			o := p.router.Submit(ctx, s)
			Expect(o.Kind).To(Equal(outcome.Done))
			Expect(o.Length).To(Equal(kv.MaxValue))
		}
		Expect(w.runs()).To(Equal(map[string]int{"quick/perth/k": 1}))
	})

	DescribeTable("gets its whole answer though the worker's answer was",
		func(f workertest.Faults) {
			p := entry(faults{})
			for i := range 20 { // each worker's process becomes known
				Expect(p.router.Submit(ctx, wipe(fmt.Sprint("warm-", i), 0)).Kind).To(Equal(outcome.Done))
			}
			for _, r := range w.workers {
				r.now.Load().SetFaults(f)
			}
			o := p.router.Submit(ctx, wipe("k", 0))
			Expect(o.Kind).To(Equal(outcome.Done))
			Expect(o.Whole()).To(BeTrue())
			Expect(string(o.Body)).To(Equal("k"))
			Expect(w.runs()["quick/perth/k"]).To(Equal(1))
		},
		Entry("dropped", workertest.Faults{DropAnswers: 2}),
		Entry("cut in the middle", workertest.Faults{CutAnswers: 2}),
	)
})
