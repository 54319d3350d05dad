package stored_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/stored"
	"github.com/chestnutsail/chestnutsail/suite"
	"github.com/chestnutsail/chestnutsail/workflow"
)

func TestStored(t *testing.T) { suite.Run(t, "stored") }

var _ = Describe("the memory of stored jobs", func() {
	DescribeTable("lets an account store a job of 10 bytes, of 1000 for 10 accounts, if",
		func(own, others int64, want bool) {
			Expect(stored.Limit{Bytes: 1000}.Allows(own, own+others, 10, 10)).To(Equal(want))
		},
		Entry("nothing is stored", int64(0), int64(0), true),
		Entry("it has its equal share with it and the others use all", int64(90), int64(1000), true),
		Entry("it has more than its equal share and the others leave room", int64(91), int64(899), true),
		Entry("it has more than its equal share and the others leave too little", int64(91), int64(900), false),
		Entry("it has half of all with it", int64(490), int64(0), true),
		Entry("it has more than half of all with it", int64(491), int64(0), false),
	)

	DescribeTable("is limited by the smallest instance, which keeps what the others accept, with memories of",
		func(want int64, memories ...int64) { Expect(stored.LimitOf(memories...).Bytes).To(Equal(want)) },
		Entry("one", int64(100), int64(600)),
		Entry("several", int64(50), int64(600), int64(300), int64(900)),
		Entry("some that are not limited", int64(100), int64(0), int64(600)),
		Entry("none that is limited", int64(0), int64(0)),
	)

	It("is not limited without a limit", func() {
		Expect(stored.Limit{}.Allows(1<<40, 1<<40, 1, 1)).To(BeTrue())
	})

	It("is that of the jobs that are left", func() {
		usage := stored.NewUsage()
		job := stored.JobBytes(stored.Job{Record: 500, Progress: 100, Parts: 3})
		usage.Add("a", job)
		usage.Add("b", job)
		usage.Add("a", -job)
		Expect(usage.Of("a")).To(BeZero())
		Expect(usage.Of("b")).To(Equal(job))
		Expect(usage.Total()).To(Equal(job))
	})

	// Guards against jobs that take far more memory of a leader than they are counted with.
	It("grows with what a job stores and with the parts that a leader has of it, but not with others", func() {
		small := stored.JobBytes(stored.Job{Record: 500, Parts: 1})
		Expect(stored.JobBytes(stored.Job{Record: 1500, Parts: 1})).To(BeNumerically(">=", small+1000))
		Expect(stored.JobBytes(stored.Job{Record: 500, Progress: 1000, Parts: 1})).To(BeNumerically(">", small+1000))
		all := stored.JobBytes(stored.Job{Record: 500, Parts: workflow.MaxOpenParts})
		Expect(all).To(BeNumerically(">", small+250*(workflow.MaxOpenParts-1)))
		Expect(stored.JobBytes(stored.Job{Record: 500, Parts: 640000})).To(Equal(all))
	})
})
