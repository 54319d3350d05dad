package scheduler_test

import (
	"fmt"
	"maps"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/scheduler"
	"github.com/chestnutsail/chestnutsail/text"
)

// bench is a core on the fleet of the property tests, whose checks it keeps.
type bench struct{ *world }

func newBench(t *text.Text) *bench {
	b := &bench{world: newWorld(func(f string, a ...any) {
		GinkgoHelper()
		Fail(fmt.Sprintf(f, a...))
	}, scheduler.Options{})}
	b.now = clock.Hour
	b.do(scheduler.Event{Kind: scheduler.Text, Text: t})
	for _, n := range fleet() {
		b.do(scheduler.Event{Kind: scheduler.WorkerUp, Node: &n})
	}
	return b
}

// do passes an event and returns the actions that it gives.
func (b *bench) do(e scheduler.Event) []scheduler.Action {
	b.seen = nil
	b.step(e)
	return b.seen
}

func (b *bench) submit(s job.Spec) []scheduler.Action {
	return b.do(scheduler.Event{Kind: scheduler.Submit, Record: &job.Record{Spec: s, State: job.Waiting, Submitted: b.now}})
}

// start submits a job that is placed at once, and lets it run.
func (b *bench) start(s job.Spec) job.Member {
	GinkgoHelper()
	acts := b.submit(s)
	Expect(acts).NotTo(BeEmpty(), "%s was not placed", s.ID())
	Expect(acts[0].Kind).To(Equal(scheduler.Place))
	b.do(scheduler.Event{Kind: scheduler.Started, ID: s.ID(), Attempt: acts[0].Attempt})
	return acts[0].Members[0]
}

func (b *bench) answer(kind scheduler.EventKind, id, worker string) []scheduler.Action {
	return b.do(scheduler.Event{Kind: kind, ID: id, Attempt: b.jobs[id].attempt, Worker: worker})
}

func kinds(acts []scheduler.Action) []string {
	out := []string{}
	for _, a := range acts {
		s := string(a.Kind) + " " + a.ID
		if a.Kind == scheduler.End {
			s += " " + string(a.State) + " " + string(a.Reason)
		}
		out = append(out, s)
	}
	return out
}

func spec(account, key string, accels, tasks int) job.Spec {
	return job.Spec{
		Account: account, Service: "s", Key: key, Class: job.Batch, Idempotent: true, Checkpoints: true,
		Shape: job.Shape{Tasks: tasks, Accelerators: accels, Adjacent: job.Any},
	}
}

func with(s job.Spec, change func(*job.Spec)) job.Spec {
	change(&s)
	return s
}

func fixed(s *job.Spec) { s.Idempotent, s.Checkpoints = false, false }

var _ = Describe("a guarantee", func() {
	It("is given back by borrowers as soon as its owner asks", func() {
		b := newBench(full)
		for i := range 8 {
			b.start(spec("b", fmt.Sprint(i), accels, 1))
		}
		acts := b.submit(with(with(spec("a", "owner", accels, 4), fixed), func(s *job.Spec) { s.Shape.Adjacent = job.Rack }))
		Expect(acts).To(HaveLen(4), "four borrowers have to leave")
		for i, a := range acts {
			Expect(a.Kind).To(Equal(scheduler.Stop))
			Expect(a.Grace).To(BeNumerically("<", 6200))
			b.now += a.Grace / 4
			placed := b.answer(scheduler.Stopped, a.ID, "")
			Expect(kinds(placed)).To(ContainElement("requeue " + a.ID))
			if i == 3 {
				Expect(kinds(placed)).To(ContainElement("place a/owner"))
			}
		}
	})

	It("does not wait for a borrower that is lost instead of stopped", func() {
		b := newBench(full)
		for i := range 8 {
			b.start(spec("b", fmt.Sprint(i), accels, 1))
		}
		acts := b.submit(with(spec("a", "owner", accels, 1), fixed))
		Expect(acts).To(HaveLen(1))
		Expect(kinds(b.answer(scheduler.Lost, acts[0].ID, "w99"))).To(ContainElement("place a/owner"))
	})

	It("moves to other workers when one is lost", func() {
		b := newBench(full)
		b.do(scheduler.Event{Kind: scheduler.WorkerGone, Worker: "w00"})
		acts := b.submit(with(with(spec("a", "owner", accels, 4), fixed), func(s *job.Spec) { s.Shape.Adjacent = job.Rack }))
		Expect(kinds(acts)).To(Equal([]string{"place a/owner"}))
		Expect(b.submit(with(with(spec("b", "x", accels, 1), fixed), func(*job.Spec) {}))).To(HaveLen(1))
	})

	It("is named as short when lost workers leave no room for it", func() {
		b := newBench(full)
		for _, w := range []string{"w00", "w04"} {
			b.do(scheduler.Event{Kind: scheduler.WorkerGone, Worker: w})
		}
		b.submit(with(with(spec("a", "owner", accels, 4), fixed), func(s *job.Spec) { s.Shape.Adjacent = job.Rack }))
		s := b.core.Status()
		Expect(s.Accounts[0]).To(And(HaveField("Name", "a"), HaveField("Shortfall", 16), HaveField("Owed", 20)))
		Expect(s.Jobs).To(ConsistOf(And(HaveField("ID", "a/owner"), HaveField("Why", scheduler.WhyShortfall))))
	})
})

var _ = Describe("urgent work", func() {
	It("stops its own account's lesser work within its guarantee", func() {
		b := newBench(full)
		b.start(with(spec("a", "batch", accels, 5), func(*job.Spec) {}))
		for i := range 3 {
			b.start(with(spec("b", fmt.Sprint(i), accels, 1), func(*job.Spec) {}))
		}
		acts := b.submit(with(with(spec("a", "now", 2, 1), fixed), func(s *job.Spec) { s.Class = job.Urgent }))
		Expect(acts).To(HaveLen(1))
		Expect(acts[0].Kind).To(Equal(scheduler.Stop))
		Expect(kinds(b.answer(scheduler.Stopped, acts[0].ID, ""))).To(ContainElement("place a/now"))
	})

	It("never stops what cannot be stopped", func() {
		b := newBench(full)
		b.start(with(with(spec("a", "fixed", accels, 5), fixed), func(*job.Spec) {}))
		Expect(b.submit(with(with(spec("a", "now", 2, 1), fixed), func(s *job.Spec) { s.Class = job.Urgent }))).To(BeEmpty())
	})
})

var _ = Describe("a large gang", func() {
	It("starts within its bound under an endless stream of small jobs", func() {
		b := newBench(full)
		next := 0
		small := func() {
			for range 3 {
				b.submit(spec([]string{"a", "b"}[next%2], fmt.Sprint(next), 1+next%3, 1))
				next++
			}
		}
		for range 30 {
			small()
		}
		gang := with(spec("c", "gang", accels, 2), func(s *job.Spec) { s.Shape.Adjacent = job.Rack })
		from := b.now
		b.submit(gang)
		const bound = 10*clock.Minute + 30*clock.Second
		for b.jobs["c/gang"].members == nil {
			Expect(b.now-from).To(BeNumerically("<=", bound), "the gang starves")
			b.now += 10 * clock.Second
			small()
			b.do(scheduler.Event{Kind: scheduler.Tick})
			b.settle(1)
		}
	})
})

// settle answers all stops, starts all placed jobs and finishes n running ones.
func (b *bench) settle(n int) {
	for _, j := range b.core.Snapshot().Jobs {
		id := j.Record.Spec.ID()
		t := b.jobs[id]
		switch {
		case t == nil || t.members == nil:
		case t.stopping:
			b.answer(scheduler.Stopped, id, "")
		case !t.running:
			b.answer(scheduler.Started, id, "")
		case n > 0:
			n--
			b.answer(scheduler.Finished, id, "")
		}
	}
}

var _ = DescribeTable("jobs that can never run are refused at the door",
	func(s job.Spec, reason outcome.Reason) {
		b := newBench(full)
		if reason != "" {
			Expect(kinds(b.submit(s))).To(Equal([]string{"end " + s.ID() + " failed " + string(reason)}))
			return
		}
		Expect(kinds(b.submit(s))).NotTo(ContainElement(HavePrefix("end")))
	},
	Entry("more accelerators than a worker has", spec("a", "x", 5, 1), outcome.ImpossibleShape),
	Entry("more tasks than a rack holds", with(spec("a", "x", accels, 5), func(s *job.Spec) { s.Shape.Adjacent = job.Rack }), outcome.ImpossibleShape),
	Entry("more than the quota", spec("c", "x", 3, 3), outcome.OverQuota),
	Entry("cannot be stopped and exceeds the guarantee", with(spec("b", "x", accels, 3), fixed), outcome.NoGuarantee),
	Entry("cannot be stopped and has no guarantee", with(spec("c", "x", 1, 1), fixed), outcome.NoGuarantee),
	Entry("can be stopped and borrows", spec("c", "x", 2, 2), outcome.Reason("")),
	Entry("needs no accelerators and cannot be stopped", with(spec("c", "x", 0, 1), func(s *job.Spec) { fixed(s); s.Shape.Cores = 4 }), outcome.Reason("")),
)

var _ = Describe("failures", func() {
	It("end a job that fails on three workers, and blame none of them", func() {
		b := newBench(full)
		on := b.start(spec("a", "x", 1, 1))
		for i := range 3 {
			acts := b.answer(scheduler.Broken, "a/x", on.Worker)
			if i == 2 {
				Expect(kinds(acts)).To(Equal([]string{"end a/x failed keeps_failing"}))
				break
			}
			Expect(kinds(acts)).To(Equal([]string{"requeue a/x", "place a/x"}))
			Expect(acts[1].Members[0].Worker).NotTo(Equal(on.Worker))
			on = acts[1].Members[0]
		}
		Expect(b.core.Snapshot().Quarantine.Workers).To(HaveEach(HaveField("Out", false)))
	})

	It("keep out a worker on which three services fail, until a probe succeeds there", func() {
		b := newBench(full)
		for i := range 3 {
			s := with(spec("b", fmt.Sprint(i), accels, 1), func(s *job.Spec) { fixed(s); s.Service = s.Key; s.Shape.Accelerators = 2 })
			on := b.start(s)
			acts := b.answer(scheduler.Broken, s.ID(), on.Worker)
			if i == 2 {
				Expect(kinds(acts)).To(ContainElement("quarantine "))
			}
		}
		b.now += 31 * clock.Second
		b.do(scheduler.Event{Kind: scheduler.Tick})
		on := b.start(spec("a", "probe", 1, 1))
		Expect(b.core.Snapshot().Quarantine.Workers[on.Worker].Out).To(BeTrue(), "the probe is not on the worker in quarantine")
		Expect(kinds(b.answer(scheduler.Finished, "a/probe", ""))).To(Equal([]string{"restore "}))
	})

	It("of a service that fails everywhere leave the workers in", func() {
		b := newBench(full)
		for round := range 4 {
			workers := make(map[string]string)
			for i := range 5 {
				s := with(spec("a", fmt.Sprint(round, i), accels, 1), func(s *job.Spec) { fixed(s); s.Key = fmt.Sprint(round, "-", i) })
				workers[s.ID()] = b.start(s).Worker
			}
			for _, id := range slices.Sorted(maps.Keys(workers)) {
				Expect(kinds(b.answer(scheduler.Broken, id, workers[id]))).NotTo(ContainElement("quarantine "))
			}
		}
	})
})

var _ = Describe("a canceled job", func() {
	It("ends as canceled when its stop is confirmed", func() {
		b := newBench(full)
		b.start(spec("a", "x", 1, 1))
		Expect(kinds(b.do(scheduler.Event{Kind: scheduler.Cancel, ID: "a/x"}))).To(Equal([]string{"stop a/x"}))
		Expect(kinds(b.answer(scheduler.Stopped, "a/x", ""))).To(Equal([]string{"end a/x canceled canceled"}))
	})

	It("that cannot be stopped and lost a worker has an unknown end", func() {
		b := newBench(full)
		b.start(with(spec("a", "x", 1, 1), fixed))
		b.do(scheduler.Event{Kind: scheduler.Cancel, ID: "a/x"})
		Expect(kinds(b.answer(scheduler.Lost, "a/x", "w00"))).To(Equal([]string{"end a/x unknown answer_lost"}))
	})
})

var _ = Describe("a leaving worker", func() {
	It("gets nothing new, and what can be stopped moves off it", func() {
		b := newBench(full)
		on := b.start(spec("a", "x", 1, 1))
		Expect(kinds(b.do(scheduler.Event{Kind: scheduler.WorkerLeaving, Worker: on.Worker}))).To(Equal([]string{"stop a/x"}))
		acts := b.answer(scheduler.Stopped, "a/x", "")
		Expect(kinds(acts)).To(Equal([]string{"requeue a/x", "place a/x"}))
		Expect(acts[1].Members[0].Worker).NotTo(Equal(on.Worker))
	})
})
