package home_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/config"
	"github.com/chestnutsail/chestnutsail/home"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/suite"
	"github.com/chestnutsail/chestnutsail/text"
)

func TestHome(t *testing.T) { suite.Run(t, "home") }

type texts struct{ now config.Snapshot }

func (t texts) Now() config.Snapshot { return t.now }

var _ = DescribeTable("a job submitted in failure domain a",
	func(revision uint64, cutOff bool, spec job.Spec, domain string, reason outcome.Reason) {
		if spec.Account == "" {
			spec.Account = "kulhar"
		}
		p := home.New(home.Options{Domain: "a", Reachable: func(string) bool { return !cutOff }, Texts: texts{config.Snapshot{Revision: revision, Text: &text.Text{
			Fleet: []text.Pool{
				{Domain: "b", Racks: 1, Workers: 4, Accels: 8, Slots: 8},
				{Domain: "a", Racks: 1, Workers: 2, Accels: 8, Slots: 8},
			},
			Accounts: []text.Account{
				{Name: "kulhar", Guarantee: []text.Guarantee{{Accels: 16, Count: 1, Domain: "b"}}},
				{Name: "perth"},
			},
		}}}})
		gotDomain, gotReason := p.Pick(spec)
		Expect(gotDomain).To(Equal(domain))
		Expect(gotReason).To(Equal(reason))
	},
	Entry("runs in the domain of its guarantee if it cannot be stopped", uint64(1), false, job.Spec{Shape: job.Shape{Tasks: 2, Accelerators: 8}}, "b", outcome.Reason("")),
	Entry("runs in the domain of its guarantee if it can be stopped", uint64(1), false, job.Spec{Idempotent: true, Shape: job.Shape{Accelerators: 8}}, "b", outcome.Reason("")),
	Entry("stays in its own domain if that of its guarantee is cut off and it can be stopped", uint64(1), true, job.Spec{Idempotent: true, Shape: job.Shape{Accelerators: 8}}, "a", outcome.Reason("")),
	Entry("waits for the domain of its guarantee if that is cut off and it cannot be stopped", uint64(1), true, job.Spec{Shape: job.Shape{Accelerators: 8}}, "b", outcome.Reason("")),
	Entry("stays if its account has no guarantee", uint64(1), false, job.Spec{Account: "perth", Idempotent: true, Shape: job.Shape{Accelerators: 8}}, "a", outcome.Reason("")),
	Entry("goes to the larger domain if it fits only there", uint64(1), false, job.Spec{Account: "perth", Idempotent: true, Shape: job.Shape{Tasks: 4, Accelerators: 8}}, "b", outcome.Reason("")),
	Entry("is refused if its shape fits in no domain", uint64(1), false, job.Spec{Idempotent: true, Shape: job.Shape{Tasks: 5, Accelerators: 8}}, "a", outcome.ImpossibleShape),
	Entry("is refused if it fits within no guarantee and cannot be stopped", uint64(1), false, job.Spec{Account: "perth", Shape: job.Shape{Accelerators: 8}}, "a", outcome.NoGuarantee),
	Entry("stays while no cluster text is in force", uint64(0), false, job.Spec{Shape: job.Shape{Accelerators: 64}}, "a", outcome.Reason("")),
)
