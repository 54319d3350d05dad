package workflow_test

import (
	"errors"
	"math"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/suite"
	"github.com/chestnutsail/chestnutsail/workflow"
)

func TestWorkflow(t *testing.T) { suite.Run(t, "workflow") }

var _ = Describe("a job", func() {
	one := workflow.Step{Count: 1, Estimate: 100}

	DescribeTable("is refused with a reason",
		func(reason string, spec workflow.Spec) {
			err := spec.Check()
			var e *workflow.Error
			Expect(errors.As(err, &e)).To(BeTrue())
			Expect(err.Error()).To(ContainSubstring(reason))
		},
		Entry("without steps", "0 steps", workflow.Spec{}),
		Entry("with a step without tasks", "0 tasks", workflow.Spec{Steps: []workflow.Step{{}}}),
		Entry("with a negative time", "negative", workflow.Spec{Steps: []workflow.Step{one}, Interval: -1}),
		Entry("with too many occurrences", "occurrences", workflow.Spec{Steps: []workflow.Step{one}, Occurrences: 1 << 30}),
		Entry("with a step that depends on itself", "not an earlier one", workflow.Spec{Steps: []workflow.Step{{Count: 1, After: []int{0}}}}),
		Entry("with a payload that is too long", "payload", workflow.Spec{Payload: string(make([]byte, workflow.MaxPayload+1)), Steps: []workflow.Step{one}}),
	)

	It("has a latency objective that follows from its longest chain of steps", func() {
		r := workflow.Record{Policy: workflow.Policy{ObjectiveFactor: 2, Target: 50}, Spec: workflow.Spec{Steps: []workflow.Step{
			{Count: 1, Estimate: 100},
			{Count: 9, Estimate: 400},
			{Count: 1, Estimate: 250, After: []int{0}},
		}}}
		Expect(r.Spec.Check()).To(Succeed())
		Expect(r.Spec.LongestChain(workflow.Declared)).To(Equal(400 * clock.Millisecond))
		Expect(r.Spec.LongestChains(workflow.Declared)[0]).To(Equal(350 * clock.Millisecond))
		Expect(r.Spec.LongestChains(workflow.Declared)[2]).To(Equal(250 * clock.Millisecond))
		Expect((&workflow.Spec{}).LongestChain(workflow.Declared)).To(BeZero())
		Expect(r.Objective(&r.Spec, workflow.Declared)).To(Equal(850 * clock.Millisecond))
	})

	// Guards against a stored figure with which the sums of a leader overflow.
	It("is read with figures that sums can be made of, whatever an earlier version has stored", func() {
		raw := workflow.Record{Policy: workflow.Policy{ObjectiveFactor: 1e300, Target: clock.Hour}, Spec: workflow.Spec{Steps: []workflow.Step{
			{Count: 1, Estimate: math.MaxInt64},
			{Count: 1, Estimate: math.MinInt64, After: []int{0}},
			{Count: 1, Estimate: math.MaxInt64, After: []int{1}},
		}}}
		r, err := workflow.DecodeRecord(workflow.Encode(raw))
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Spec.LongestChain(workflow.Declared)).To(Equal(2 * workflow.MaxEstimate))
		Expect(r.Objective(&r.Spec, workflow.Declared)).To(Equal(clock.Longest))
		r.ObjectiveFactor = 0
		Expect(r.Objective(&r.Spec, workflow.Declared)).To(Equal(clock.Hour))
		for _, n := range []int{math.MaxInt64, math.MinInt64} {
			raw.Spec.Steps[0] = workflow.Step{Count: workflow.MaxTasks, Cores: n, Memory: n, Accels: n, PerWorker: n, DisruptionBudget: n}
			r, err = workflow.DecodeRecord(workflow.Encode(raw))
			Expect(err).NotTo(HaveOccurred())
			s := r.Spec.Steps[0]
			for _, bounded := range []int{s.Cores, s.Memory, s.Accels, s.PerWorker, s.DisruptionBudget} {
				Expect(bounded).To(And(BeNumerically(">=", 0), BeNumerically("<=", workflow.MaxResource)))
			}
		}
		_, err = workflow.DecodeRecord([]byte{0xff})
		Expect(err).To(HaveOccurred())
	})

	// Guards against a race between submissions of the same specification.
	It("is bounded without a change of the steps that were submitted", func() {
		s := workflow.Spec{Steps: []workflow.Step{{Count: 1, Estimate: math.MaxInt64}}}
		bounded := s.Bounded()
		Expect(bounded.Steps[0].Estimate).To(Equal(workflow.MaxEstimate))
		Expect(s.Steps[0].Estimate).To(Equal(clock.Millis(math.MaxInt64)))
	})

	It("starts its occurrences at fixed intervals from its first time if it is periodic", func() {
		s := workflow.Spec{Steps: []workflow.Step{one}, Occurrences: 3, First: 1000, Interval: 250}
		Expect(s.OccurrenceCount()).To(Equal(3))
		Expect(s.EarliestStart(2)).To(Equal(1500 * clock.Millisecond))
		s.Occurrences, s.First, s.Interval = workflow.MaxOccurrences, math.MaxInt64, math.MaxInt64
		s = s.Bounded()
		Expect(s.EarliestStart(workflow.MaxOccurrences - 1)).To(Equal(workflow.MaxOccurrences * workflow.MaxTime))
		s.Occurrences = 0
		Expect(s.OccurrenceCount()).To(Equal(1))
		Expect(s.EarliestStart(0)).To(BeZero())
	})

	It("has a progress that can be encoded and decoded", func() {
		p := workflow.Progress{State: workflow.Running, Parts: []workflow.StepProgress{{
			Step: 1, Done: []int{3}, Tasks: []workflow.TaskProgress{{Index: 4, Run: 2, Failures: 1, Checkpoint: "x"}},
			Places:     []workflow.PlacedRun{{Index: 4, Run: 2, Worker: "i-1", WorkerStartedAt: 7}},
			Unanswered: map[int]clock.Millis{4: 9},
		}}}
		var out workflow.Progress
		Expect(workflow.Decode(workflow.Encode(p), &out)).To(Succeed())
		Expect(out).To(Equal(p))
	})

	DescribeTable("knows its done tasks, listed or as a set, if they are",
		func(indices ...int) {
			var done workflow.IndexSet
			for _, i := range indices {
				done.Add(i)
			}
			Expect(len(done)).To(BeNumerically("<=", workflow.MaxTasks/8))
			for _, step := range []workflow.StepProgress{{Done: indices}, {DoneSet: done}} {
				var decoded workflow.StepProgress
				Expect(workflow.Decode(workflow.Encode(step), &decoded)).To(Succeed())
				Expect(decoded.DoneTasks()).To(Equal(indices))
			}
		},
		Entry("the first", 0),
		Entry("some of several bytes", 0, 7, 8, 63, 64, 1000),
		Entry("the last", workflow.MaxTasks-1),
	)
})
