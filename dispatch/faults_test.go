package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/consultest"
	"github.com/chestnutsail/chestnutsail/dispatch"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/term"
)

// lostWorkerBound is the time for which only some members of a gang that has lost a worker
// may run: the member on the lost worker may continue until its lease ends, and the others
// until the loss is detected and they are stopped.
var lostWorkerBound = times.Lease + times.CallTimeout

// bothKinds returns two specs with the same key: one that may run again and one that runs
// at most once.
func bothKinds(key string, script string) []job.Spec {
	repeatable, single := gangSpec(key, 2, script), gangSpec(key, 2, script)
	repeatable.Idempotent = true
	return []job.Spec{repeatable, single}
}

// fakeElection reports that the instance leads under the given term at all times.
type fakeElection struct {
	name string
	term int64
}

func (e fakeElection) Now() term.State { return term.State{Term: e.term, Holder: e.name, Leads: true} }

func (fakeElection) Changed() <-chan struct{} { return nil }

func bg() context.Context { return context.Background() }

var _ = Describe("a gang", func() {
	// Guards against a gang that continues without a member: the connection to one worker
	// fails at each of its first calls in turn and stays down.
	It("runs whole or not at all when a worker is lost at any call of its start or later", func() {
		const steps = 10
		parallel(2*steps, func(i int) {
			d := newDomain(3)
			e := d.addEntry("e1")
			e.awaitLeadership()
			spec := bothKinds("night", `{"sleep_ms":400,"echo":"ok"}`)[i%2]
			d.proxies[0].closeAt.Store(d.proxies[0].calls.Load() + 1 + int64(i/2))
			Expect(e.ledger.Submit(bg(), spec).Kind).To(Equal(outcome.Accepted))
			checkOutcome(d, spec, e.awaitEnd("night"), lostWorkerBound, fmt.Sprint("step ", i))
			e.kill()
		})
	})

	// Guards against a job that both schedulers run after a partition of the election: both
	// place the same jobs at the same time, under different terms.
	It("runs whole or not at all under two schedulers that both believe they lead", func() {
		const seeds = 8
		parallel(seeds, func(seed int) {
			d := newDomain(4)
			rnd := rand.New(rand.NewPCG(uint64(seed), 1))
			var entries []*entry
			for i := range 2 {
				election := fakeElection{fmt.Sprint("e", i), int64(i + 1)}
				entries = append(entries, d.addEntry(election.name, func(o *dispatch.Options) { o.Election = election }))
			}
			var specs []job.Spec
			for i := range 12 {
				spec := bothKinds(fmt.Sprint("j", i), `{"sleep_ms":30,"echo":"ok"}`)[rnd.IntN(2)]
				specs = append(specs, spec)
				Expect(entries[rnd.IntN(2)].ledger.Submit(bg(), spec).Kind).To(Equal(outcome.Accepted))
				time.Sleep(time.Duration(rnd.IntN(20)) * time.Millisecond)
			}
			for _, spec := range specs {
				checkOutcome(d, spec, entries[0].awaitEnd(spec.Key), times.StartLease, fmt.Sprint("seed ", seed))
			}
			for _, e := range entries {
				e.kill()
			}
		})
	})

	// Guards against a scheduler that still believes it leads and overwrites the placement of
	// the scheduler of a newer term: the older one freezes at each call of its start in turn and
	// resumes while the newer one runs the job.
	It("keeps its record under the newer term when a scheduler of an older term resumes at any call", func() {
		const steps = 12
		parallel(2*steps, func(i int) {
			d := newDomain(2)
			withTerm := func(name string, t int64) *entry {
				return d.addEntry(name, func(o *dispatch.Options) { o.Election = fakeElection{name, t} })
			}
			older := withTerm("e1", 1)
			spec := bothKinds("night", `{"sleep_ms":700,"echo":"ok"}`)[i%2]
			older.network.delayAt.Store(older.network.calls.Load() + 2 + int64(i/2))
			ctx, cancel := context.WithTimeout(bg(), 300*time.Millisecond)
			defer cancel()
			older.ledger.Submit(ctx, spec)
			newer := withTerm("e2", 2)
			Expect(newer.ledger.Submit(bg(), spec).Kind).NotTo(Equal(outcome.NotRun))
			recordTerm := func() int64 {
				e, err := newer.ledger.Find(bg(), "a", spec.ID())
				if err != nil {
					return 0
				}
				return e.Record.Term
			}
			var placed bool
			for range 100 {
				if placed = recordTerm() == 2; placed {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			close(older.network.resume)
			for start := time.Now(); placed && time.Since(start) < 400*time.Millisecond; time.Sleep(5 * time.Millisecond) {
				if t := recordTerm(); t != 0 {
					Expect(t).To(Equal(int64(2)), fmt.Sprint("step ", i))
				}
			}
			checkOutcome(d, spec, newer.awaitEnd("night"), times.StartLease, fmt.Sprint("step ", i))
			older.kill()
			newer.kill()
		})
	})

	// Guards against a job that counts as done without a run, because a late write of an older scheduler requeues it
	// while the newer one places it.
	It("runs when a scheduler of an older term requeues its job at any call of its start", func() {
		const steps = 12
		parallel(steps, func(step int) {
			d := newDomain(2)
			newer := d.addEntry("e2", func(o *dispatch.Options) { o.Election = fakeElection{"e2", 2} })
			older := d.addLedger()
			spec := gangSpec("night", 2, `{"sleep_ms":100,"echo":"ok"}`)
			newer.network.delayAt.Store(newer.network.calls.Load() + 2 + int64(step))
			Expect(older.Submit(bg(), spec).Kind).To(Equal(outcome.Accepted))
			e, err := older.Find(bg(), "a", spec.ID())
			Expect(err).NotTo(HaveOccurred())
			newer.dispatcher.Hint("a", e)
			time.Sleep(50 * time.Millisecond)
			e.Record.Attempt, e.Record.Term = 1, 1
			_, err = older.Write(bg(), e)
			Expect(err).To(Or(BeNil(), Satisfy(func(err error) bool { return kv.KindOf(err) == kv.Conflict })))
			close(newer.network.resume)
			checkOutcome(d, spec, newer.awaitEnd("night"), times.StartLease, fmt.Sprint("step ", step))
			newer.kill()
		})
	})

	// Guards against a paused scheduler whose delayed calls take effect after another instance
	// has taken over.
	It("runs whole or not at all when its scheduler freezes at any call until its lease has lapsed, then resumes", func() {
		const steps = 24
		parallel(2*steps, func(i int) {
			d := newDomain(2)
			e1 := d.addEntry("e1")
			e1.awaitLeadership()
			e2 := d.addEntry("e2")
			spec := bothKinds("night", `{"sleep_ms":300,"echo":"ok"}`)[i%2]
			Expect(e2.ledger.Submit(bg(), spec).Kind).To(Equal(outcome.Accepted))
			e1.network.delayAt.Store(e1.network.calls.Load() + 1 + int64(i/2))
			time.AfterFunc((2 * termLapse).Duration(), func() { close(e1.network.resume) })
			checkOutcome(d, spec, e2.awaitEnd("night"), times.StartLease, fmt.Sprint("step ", i))
			time.Sleep(termLapse.Duration())
			checkOutcome(d, spec, e2.awaitEnd("night"), times.StartLease, fmt.Sprint("resumed, step ", i))
			e1.kill()
			e2.kill()
		})
	})

	// Guards against a partly started gang that nobody stops: its scheduler freezes for good
	// and no other instance takes over, so the start leases have to expire.
	It("runs in part for at most the start lease when its scheduler freezes at any call and no other takes over", func() {
		const steps = 24
		parallel(steps, func(step int) {
			d := newDomain(2)
			e := d.addEntry("e1")
			e.awaitLeadership()
			spec := gangSpec("night", 2, `{"sleep_ms":60000}`)
			// The first call is the submission, which must not be delayed.
			e.network.delayAt.Store(e.network.calls.Load() + 2 + int64(step))
			ctx, cancel := context.WithTimeout(bg(), time.Second)
			defer cancel()
			Expect(e.ledger.Submit(ctx, spec).Kind).To(Or(Equal(outcome.Accepted), Equal(outcome.Unknown)))
			time.Sleep((times.Lease + 2*clock.Second).Duration())
			for _, r := range d.runs(spec.ID()) {
				if len(r.parts) < 2 {
					Expect(r.partialTime(2, clock.New().Now())).To(BeNumerically("<=", times.StartLease+slack), fmt.Sprint("step ", step, r))
				}
			}
			e.network.dead.Store(true)
			close(e.network.resume)
			e.kill()
		})
	})

	// Guards against a gang that ends because its scheduler has died, and against one that keeps
	// running without a member because no scheduler is there to stop it.
	It("continues while no scheduler leads and the store is down, and is stopped when it loses a worker", func() {
		d := newDomain(2)
		e1 := d.addEntry("e1")
		e1.awaitLeadership()
		e2 := d.addEntry("e2")
		spec := gangSpec("night", 2, `{"sleep_ms":60000}`)
		Expect(e1.ledger.Submit(bg(), spec).Kind).To(Equal(outcome.Accepted))
		running := func() int {
			n := 0
			for _, r := range d.runs(spec.ID()) {
				for _, x := range r.parts {
					if x.End == 0 {
						n++
					}
				}
			}
			return n
		}
		Eventually(running).WithTimeout(5 * time.Second).Should(Equal(2))
		d.store.SetFaults(consultest.Faults{Down: true})
		time.Sleep(100 * time.Millisecond)
		e1.kill()
		Consistently(running).WithTimeout((times.Lease + clock.Second).Duration()).Should(Equal(2), "renewals stopped")
		d.proxies[1].closed.Store(true)
		Eventually(running).WithTimeout((3 * times.Lease).Duration()).Should(BeZero())
		for _, r := range d.runs(spec.ID()) {
			Expect(r.partialTime(2, clock.New().Now())).To(BeNumerically("<=", lostWorkerBound+slack))
		}
		d.store.SetFaults(consultest.Faults{})
		Expect(e2.awaitEnd("night").Kind).To(Equal(outcome.Unknown))
		Expect(d.runs(spec.ID())).To(HaveLen(1))
	})
})

var _ = Describe("accepted jobs", func() {
	// Guards against an accepted job that is lost because only the memory of an instance held it.
	It("survive the death of all instances at once", func() {
		parallel(6, func(seed int) {
			d := newDomain(3)
			e1, e2 := d.addEntry("e1"), d.addEntry("e2")
			var specs []job.Spec
			for i := range 10 {
				spec := bothKinds(fmt.Sprint("j", i), `{"sleep_ms":50,"echo":"ok"}`)[i%2]
				if e1.ledger.Submit(bg(), spec).Kind == outcome.Accepted {
					specs = append(specs, spec)
				}
				time.Sleep(time.Duration(seed*10) * time.Millisecond)
			}
			var killed sync.WaitGroup
			killed.Go(e1.kill)
			killed.Go(e2.kill)
			killed.Wait()
			e3 := d.addEntry("e3")
			for _, spec := range specs {
				checkOutcome(d, spec, e3.awaitEnd(spec.Key), times.StartLease, fmt.Sprint("seed ", seed))
			}
			e3.kill()
		})
	})

	// Guards against failed or delayed store writes that lose a job or place it twice.
	DescribeTable("are neither lost nor repeated while the store fails", func(faults consultest.Faults, span clock.Millis) {
		parallel(4, func(seed int) {
			d := newDomain(3)
			e1, e2 := d.addEntry("e1"), d.addEntry("e2")
			var specs []job.Spec
			results := make(map[string]outcome.Kind)
			for i := range 16 {
				if i == 4 {
					d.store.SetFaults(faults)
					time.AfterFunc(span.Duration(), func() { d.store.SetFaults(consultest.Faults{}) })
				}
				spec := bothKinds(fmt.Sprint("j", i), `{"sleep_ms":30,"echo":"ok"}`)[i%2]
				results[spec.Key] = []*entry{e1, e2}[i%2].ledger.Submit(bg(), spec).Kind
				specs = append(specs, spec)
				time.Sleep(time.Duration(seed*15) * time.Millisecond)
			}
			d.store.SetFaults(consultest.Faults{})
			for _, spec := range specs {
				if results[spec.Key] == outcome.NotRun {
					Consistently(d.runs(spec.ID())).WithTimeout(10 * time.Millisecond).Should(BeEmpty())
					continue
				}
				checkOutcome(d, spec, e1.awaitEnd(spec.Key), times.StartLease, fmt.Sprintf("seed %d, %s", seed, results[spec.Key]))
			}
			e1.kill()
			e2.kill()
		})
	},
		Entry("down", consultest.Faults{Down: true}, 1500*clock.Millisecond),
		Entry("alternately up and down", consultest.Faults{Flap: 120}, 2*clock.Second),
		Entry("slow", consultest.Faults{Slow: 200}, 2*clock.Second),
		Entry("responses lost after the write", consultest.Faults{LoseAnswers: 25}, 2*clock.Second),
		Entry("writes that take effect late", consultest.Faults{LateWrites: 25, LateBy: 300}, 2*clock.Second),
	)

	// Guards against a canceled job that runs anyway, and against a finished job that is
	// reported as canceled: a cancellation arrives at a random time during each job.
	It("are either canceled or completed, but never both, when a cancellation races their start or end", func() {
		parallel(6, func(seed int) {
			d := newDomain(3)
			e1 := d.addEntry("e1")
			e1.awaitLeadership()
			e2 := d.addEntry("e2")
			rnd := rand.New(rand.NewPCG(uint64(seed), 2))
			var wg sync.WaitGroup
			for i := range 20 {
				spec := bothKinds(fmt.Sprint("j", i), `{"sleep_ms":20,"echo":"ok"}`)[i%2]
				wait := time.Duration(rnd.IntN(150)) * time.Millisecond
				wg.Go(func() {
					defer GinkgoRecover()
					Expect(e1.ledger.Submit(bg(), spec).Kind).To(Equal(outcome.Accepted))
					time.Sleep(wait)
					first := e2.ledger.Cancel(bg(), spec.Account, spec.Key)
					last := e1.awaitEnd(spec.Key)
					if first.Kind != outcome.Accepted {
						Expect(last).To(Equal(first))
					}
					runs := d.runs(spec.ID())
					switch last.Kind {
					case outcome.NotRun:
						Expect(runs).To(BeEmpty(), fmt.Sprint(last, runs))
					case outcome.Done:
						Expect(runs[len(runs)-1].finished(2)).To(BeTrue(), fmt.Sprint(last, runs))
					default:
						Expect(last.Reason).To(Equal(outcome.Canceled), fmt.Sprint(last))
						Expect(runs).NotTo(BeEmpty())
					}
				})
			}
			wg.Wait()
			e1.kill()
			e2.kill()
		})
	})
})
