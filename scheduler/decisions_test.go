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

// harness steps a core with the fleet of the property tests. The checks of the model
// apply to each step.
type harness struct{ *model }

func newHarness(t *text.Text) *harness {
	h := &harness{model: newModel(func(f string, a ...any) {
		GinkgoHelper()
		Fail(fmt.Sprintf(f, a...))
	}, scheduler.Options{})}
	h.now = clock.Hour
	h.send(scheduler.Event{Kind: scheduler.Text, Text: t})
	for _, n := range fleet() {
		h.send(scheduler.Event{Kind: scheduler.WorkerUp, Node: &n})
	}
	return h
}

// send passes an event to the core and returns the resulting actions.
func (h *harness) send(e scheduler.Event) []scheduler.Action {
	h.lastActions = nil
	h.step(e)
	return h.lastActions
}

func (h *harness) submit(s job.Spec) []scheduler.Action {
	return h.send(scheduler.Event{Kind: scheduler.Submit, Record: &job.Record{Spec: s, State: job.Waiting, Submitted: h.now}})
}

// submitAndRun submits a job, requires that the core places it in the same step, and
// reports it as started. It returns the first member of the gang.
func (h *harness) submitAndRun(s job.Spec) job.Member {
	GinkgoHelper()
	actions := h.submit(s)
	Expect(actions).NotTo(BeEmpty(), "%s was not placed", s.ID())
	Expect(actions[0].Kind).To(Equal(scheduler.Place))
	h.send(scheduler.Event{Kind: scheduler.Started, ID: s.ID(), Attempt: actions[0].Attempt})
	return actions[0].Members[0]
}

func (h *harness) report(kind scheduler.EventKind, id, worker string) []scheduler.Action {
	return h.send(scheduler.Event{Kind: kind, ID: id, Attempt: h.jobs[id].attempt, Worker: worker})
}

func summarize(actions []scheduler.Action) []string {
	out := []string{}
	for _, a := range actions {
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

func modified(s job.Spec, change func(*job.Spec)) job.Spec {
	change(&s)
	return s
}

func makeUnstoppable(s *job.Spec) { s.Idempotent, s.Checkpoints = false, false }

var _ = Describe("a guarantee", func() {
	It("is freed by borrowers within the grace period when its account submits a job", func() {
		h := newHarness(mainText)
		for i := range 8 {
			h.submitAndRun(spec("b", fmt.Sprint(i), accels, 1))
		}
		actions := h.submit(modified(modified(spec("a", "owner", accels, 4), makeUnstoppable), func(s *job.Spec) { s.Shape.Adjacent = job.Rack }))
		Expect(actions).To(HaveLen(4), "four borrowers have to be stopped")
		for i, a := range actions {
			Expect(a.Kind).To(Equal(scheduler.Stop))
			Expect(a.Grace).To(BeNumerically("<", 6200))
			h.now += a.Grace / 4
			placed := h.report(scheduler.Stopped, a.ID, "")
			Expect(summarize(placed)).To(ContainElement("requeue " + a.ID))
			if i == 3 {
				Expect(summarize(placed)).To(ContainElement("place a/owner"))
			}
		}
	})

	It("is available as soon as a borrower that was to be stopped is lost", func() {
		h := newHarness(mainText)
		for i := range 8 {
			h.submitAndRun(spec("b", fmt.Sprint(i), accels, 1))
		}
		actions := h.submit(modified(spec("a", "owner", accels, 1), makeUnstoppable))
		Expect(actions).To(HaveLen(1))
		Expect(summarize(h.report(scheduler.Lost, actions[0].ID, "w99"))).To(ContainElement("place a/owner"))
	})

	It("is provided on other workers when a worker is lost", func() {
		h := newHarness(mainText)
		h.send(scheduler.Event{Kind: scheduler.WorkerGone, Worker: "w00"})
		actions := h.submit(modified(modified(spec("a", "owner", accels, 4), makeUnstoppable), func(s *job.Spec) { s.Shape.Adjacent = job.Rack }))
		Expect(summarize(actions)).To(Equal([]string{"place a/owner"}))
		Expect(h.submit(modified(modified(spec("b", "x", accels, 1), makeUnstoppable), func(*job.Spec) {}))).To(HaveLen(1))
	})

	It("is reported with a shortfall when lost workers leave no room for it", func() {
		h := newHarness(mainText)
		for _, w := range []string{"w00", "w04"} {
			h.send(scheduler.Event{Kind: scheduler.WorkerGone, Worker: w})
		}
		h.submit(modified(modified(spec("a", "owner", accels, 4), makeUnstoppable), func(s *job.Spec) { s.Shape.Adjacent = job.Rack }))
		s := h.core.Status()
		Expect(s.Accounts[0]).To(And(HaveField("Name", "a"), HaveField("Shortfall", 16), HaveField("Owed", 20)))
		Expect(s.Jobs).To(ConsistOf(And(HaveField("ID", "a/owner"), HaveField("Why", scheduler.WaitShortfall))))
	})
})

var _ = Describe("an urgent job", func() {
	It("stops less urgent jobs of its own account within the guarantee", func() {
		h := newHarness(mainText)
		h.submitAndRun(modified(spec("a", "batch", accels, 5), func(*job.Spec) {}))
		for i := range 3 {
			h.submitAndRun(modified(spec("b", fmt.Sprint(i), accels, 1), func(*job.Spec) {}))
		}
		actions := h.submit(modified(modified(spec("a", "now", 2, 1), makeUnstoppable), func(s *job.Spec) { s.Class = job.Urgent }))
		Expect(actions).To(HaveLen(1))
		Expect(actions[0].Kind).To(Equal(scheduler.Stop))
		Expect(summarize(h.report(scheduler.Stopped, actions[0].ID, ""))).To(ContainElement("place a/now"))
	})

	It("does not stop jobs that cannot be stopped", func() {
		h := newHarness(mainText)
		h.submitAndRun(modified(modified(spec("a", "fixed", accels, 5), makeUnstoppable), func(*job.Spec) {}))
		Expect(h.submit(modified(modified(spec("a", "now", 2, 1), makeUnstoppable), func(s *job.Spec) { s.Class = job.Urgent }))).To(BeEmpty())
	})
})

var _ = Describe("a large gang", func() {
	It("starts within 10 minutes and 30 seconds under an endless stream of small jobs", func() {
		h := newHarness(mainText)
		next := 0
		small := func() {
			for range 3 {
				h.submit(spec([]string{"a", "b"}[next%2], fmt.Sprint(next), 1+next%3, 1))
				next++
			}
		}
		for range 30 {
			small()
		}
		gang := modified(spec("c", "gang", accels, 2), func(s *job.Spec) { s.Shape.Adjacent = job.Rack })
		submittedAt := h.now
		h.submit(gang)
		const bound = 10*clock.Minute + 30*clock.Second
		for h.jobs["c/gang"].members == nil {
			Expect(h.now-submittedAt).To(BeNumerically("<=", bound), "the gang has waited longer than its bound")
			h.now += 10 * clock.Second
			small()
			h.send(scheduler.Event{Kind: scheduler.Tick})
			h.reportResults(1)
		}
	})
})

// reportResults reports all requested stops as done, all placed jobs as started, and up
// to n running jobs as finished.
func (h *harness) reportResults(n int) {
	for _, j := range h.core.Snapshot().Jobs {
		id := j.Record.Spec.ID()
		t := h.jobs[id]
		switch {
		case t == nil || t.members == nil:
		case t.stopping:
			h.report(scheduler.Stopped, id, "")
		case !t.running:
			h.report(scheduler.Started, id, "")
		case n > 0:
			n--
			h.report(scheduler.Finished, id, "")
		}
	}
}

var _ = DescribeTable("jobs that can never run end as failed on submission",
	func(s job.Spec, reason outcome.Reason) {
		h := newHarness(mainText)
		if reason != "" {
			Expect(summarize(h.submit(s))).To(Equal([]string{"end " + s.ID() + " failed " + string(reason)}))
			return
		}
		Expect(summarize(h.submit(s))).NotTo(ContainElement(HavePrefix("end")))
	},
	Entry("more accelerators than a worker has", spec("a", "x", 5, 1), outcome.ImpossibleShape),
	Entry("more tasks than a rack holds", modified(spec("a", "x", accels, 5), func(s *job.Spec) { s.Shape.Adjacent = job.Rack }), outcome.ImpossibleShape),
	Entry("more accelerators than the quota", spec("c", "x", 3, 3), outcome.OverQuota),
	Entry("cannot be stopped and exceeds the guarantee", modified(spec("b", "x", accels, 3), makeUnstoppable), outcome.NoGuarantee),
	Entry("cannot be stopped and has no guarantee", modified(spec("c", "x", 1, 1), makeUnstoppable), outcome.NoGuarantee),
	Entry("can be stopped and borrows", spec("c", "x", 2, 2), outcome.Reason("")),
	Entry("needs no accelerators and cannot be stopped", modified(spec("c", "x", 0, 1), func(s *job.Spec) { makeUnstoppable(s); s.Shape.Cores = 4 }), outcome.Reason("")),
)

var _ = Describe("failures", func() {
	It("of one job on three workers end the job and put none of the workers into quarantine", func() {
		h := newHarness(mainText)
		member := h.submitAndRun(spec("a", "x", 1, 1))
		for i := range 3 {
			actions := h.report(scheduler.Broken, "a/x", member.Worker)
			if i == 2 {
				Expect(summarize(actions)).To(Equal([]string{"end a/x failed keeps_failing"}))
				break
			}
			Expect(summarize(actions)).To(Equal([]string{"requeue a/x", "place a/x"}))
			Expect(actions[1].Members[0].Worker).NotTo(Equal(member.Worker))
			member = actions[1].Members[0]
		}
		Expect(h.core.Snapshot().Quarantine.Workers).To(HaveEach(HaveField("Out", false)))
	})

	It("of three services on one worker put the worker into quarantine until a probe succeeds there", func() {
		h := newHarness(mainText)
		for i := range 3 {
			s := modified(spec("b", fmt.Sprint(i), accels, 1), func(s *job.Spec) { makeUnstoppable(s); s.Service = s.Key; s.Shape.Accelerators = 2 })
			member := h.submitAndRun(s)
			actions := h.report(scheduler.Broken, s.ID(), member.Worker)
			if i == 2 {
				Expect(summarize(actions)).To(ContainElement("quarantine "))
			}
		}
		h.now += 31 * clock.Second
		h.send(scheduler.Event{Kind: scheduler.Tick})
		member := h.submitAndRun(spec("a", "probe", 1, 1))
		Expect(h.core.Snapshot().Quarantine.Workers[member.Worker].Out).To(BeTrue(), "the probe is not on the worker in quarantine")
		Expect(summarize(h.report(scheduler.Finished, "a/probe", ""))).To(Equal([]string{"restore "}))
	})

	It("of one service on many workers put none of them into quarantine", func() {
		h := newHarness(mainText)
		for round := range 4 {
			workers := make(map[string]string)
			for i := range 5 {
				s := modified(spec("a", fmt.Sprint(round, i), accels, 1), func(s *job.Spec) { makeUnstoppable(s); s.Key = fmt.Sprint(round, "-", i) })
				workers[s.ID()] = h.submitAndRun(s).Worker
			}
			for _, id := range slices.Sorted(maps.Keys(workers)) {
				Expect(summarize(h.report(scheduler.Broken, id, workers[id]))).NotTo(ContainElement("quarantine "))
			}
		}
	})
})

var _ = Describe("a canceled job", func() {
	It("ends as canceled when it is reported as stopped", func() {
		h := newHarness(mainText)
		h.submitAndRun(spec("a", "x", 1, 1))
		Expect(summarize(h.send(scheduler.Event{Kind: scheduler.Cancel, ID: "a/x"}))).To(Equal([]string{"stop a/x"}))
		Expect(summarize(h.report(scheduler.Stopped, "a/x", ""))).To(Equal([]string{"end a/x canceled canceled"}))
	})

	It("ends as unknown when it cannot be run again and loses a worker", func() {
		h := newHarness(mainText)
		h.submitAndRun(modified(spec("a", "x", 1, 1), makeUnstoppable))
		h.send(scheduler.Event{Kind: scheduler.Cancel, ID: "a/x"})
		Expect(summarize(h.report(scheduler.Lost, "a/x", "w00"))).To(Equal([]string{"end a/x unknown answer_lost"}))
	})
})

var _ = Describe("a leaving worker", func() {
	It("gets no new jobs, and jobs that can be stopped are moved to other workers", func() {
		h := newHarness(mainText)
		member := h.submitAndRun(spec("a", "x", 1, 1))
		Expect(summarize(h.send(scheduler.Event{Kind: scheduler.WorkerLeaving, Worker: member.Worker}))).To(Equal([]string{"stop a/x"}))
		actions := h.report(scheduler.Stopped, "a/x", "")
		Expect(summarize(actions)).To(Equal([]string{"requeue a/x", "place a/x"}))
		Expect(actions[1].Members[0].Worker).NotTo(Equal(member.Worker))
	})
})
