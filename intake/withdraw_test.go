package intake_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/intake"
	"github.com/chestnutsail/chestnutsail/platform/platformtest"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// Guards against a job that is accepted and runs although its caller, who had got no certain answer to the
// submission, has cancelled it: the write of the submission is carried out after the cancellation.
var _ = DescribeTable("a job whose record is written after its cancellation was answered",
	func(path, key string, want workflow.State) {
		d := newDeployment()
		d.store.SetFaults(func(f *platformtest.Faults) { f.DelayedWrites, f.WriteDelay = 2, 3*time.Second })
		Expect(d.call(0, "POST", "/s/", "key-a", "x").Verdict).To(Equal(intake.Unsure))
		Expect(d.call(1, "GET", "/s/", "key-a", "").Verdict).To(Equal(intake.NoJob))
		Expect(d.call(1, "DELETE", path, key, "").Verdict).To(Equal(intake.NoJob))
		Expect(d.call(1, "GET", "/s/", "key-a", "").Verdict).To(Equal(intake.NoJob), "a job that is not submitted is not shown")
		for instance := range d.handlers {
			Eventually(func() workflow.State { return d.call(instance, "GET", "/s/", "key-a", "").State }, 4*time.Second).Should(Equal(want))
			Expect(d.call(instance, "POST", "/s/", "key-a", "x").Verdict).To(Equal(intake.OK), "it remains the same job")
			Expect(d.call(instance, "GET", "/s/", "key-a", "").State).To(Equal(want))
		}
	},
	Entry("is cancelled", "/s/", "key-a", workflow.Cancelled),
	Entry("is not cancelled by another account", "/s/", "key-b", workflow.Queued),
	Entry("is not cancelled in another queue", "/c/", "key-a", workflow.Queued),
	Entry("is not cancelled in a public queue", "/o/", "key-a", workflow.Queued),
)

// Guards against a cancellation that is answered with "no such job" although nothing was recorded.
var _ = DescribeTable("the cancellation of a job that does not exist",
	func(faults platformtest.Faults, want intake.Verdict) {
		d := newDeployment()
		d.store.SetFaults(func(f *platformtest.Faults) { *f = faults })
		before := d.store.AppliedTxns()
		Expect(d.call(1, "DELETE", "/s/", "key-a", "").Verdict).To(Equal(want))
		if want != intake.NoJob {
			Expect(d.store.AppliedTxns()).To(Equal(before))
		}
	},
	Entry("is recorded", platformtest.Faults{}, intake.NoJob),
	Entry("is recorded at the second attempt", platformtest.Faults{DelayedWrites: 1, WriteDelay: 5 * time.Second}, intake.NoJob),
	Entry("is recorded although the answer is lost", platformtest.Faults{LostAnswers: 1}, intake.NoJob),
	Entry("is unsure without an answer of the store", platformtest.Faults{DelayedWrites: 2, WriteDelay: 5 * time.Second}, intake.Unsure),
	Entry("is refused while the store is down", platformtest.Faults{Down: true}, intake.Busy),
)
