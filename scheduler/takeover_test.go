package scheduler_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/scheduler"
	"github.com/chestnutsail/chestnutsail/text"
)

var _ = DescribeTable("a core that takes over a domain ends the waiting jobs that can never run",
	func(spec job.Spec, reason outcome.Reason) {
		spec.Account, spec.Key, spec.Class = "kulhar", "j", job.Batch
		core := scheduler.New(scheduler.Options{Domain: "a"})
		actions := core.Step(1, scheduler.Event{Kind: scheduler.Load, State: &scheduler.State{
			Options: scheduler.Options{Domain: "a"},
			Text: &text.Text{
				Fleet:    []text.Pool{{Domain: "a", Racks: 1, Workers: 2, Accels: 8, Slots: 8}},
				Accounts: []text.Account{{Name: "kulhar", Guarantee: []text.Guarantee{{Accels: 8, Count: 1}}}},
			},
			Jobs: []scheduler.JobState{{Record: job.Record{Spec: spec, State: job.Waiting, Domain: "a"}}},
		}})
		if reason == "" {
			Expect(actions).To(BeEmpty())
			return
		}
		Expect(actions).To(Equal([]scheduler.Action{{Kind: scheduler.End, ID: "kulhar/j", State: job.Failed, Reason: reason}}))
	},
	Entry("within the guarantee", job.Spec{Shape: job.Shape{Accelerators: 8}}, outcome.Reason("")),
	Entry("can be stopped and exceeds the guarantee", job.Spec{Idempotent: true, Shape: job.Shape{Tasks: 2, Accelerators: 8}}, outcome.Reason("")),
	Entry("cannot be stopped and exceeds the guarantee", job.Spec{Shape: job.Shape{Tasks: 2, Accelerators: 8}}, outcome.NoGuarantee),
	Entry("larger than the fleet", job.Spec{Idempotent: true, Shape: job.Shape{Tasks: 3, Accelerators: 8}}, outcome.ImpossibleShape),
)
