package gang_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/gang"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/scheduler"
	"github.com/chestnutsail/chestnutsail/worker"
	"github.com/chestnutsail/chestnutsail/workertest"
)

// Guards against a member that runs twice at once: another process answers under the name of
// a worker that is cut off and still at work.
var _ = Describe("a gang whose worker is cut off while another process answers under its name", func() {
	var s *fixture
	var own *gang.Gang
	var cutOff *workertest.Server
	var agent gang.Agent
	BeforeEach(func() {
		s = newFixture()
		s.times.Lease = 1500
		own = s.gang(1, false, func(_ context.Context, members []job.Member) error {
			s.record.Members = members
			return nil
		})
		Expect(own.Start(context.Background()).Kind).To(Equal(scheduler.Started))
		cutOff, agent = s.workers[0], s.agent("a-0")
		s.replace(0)
	})

	DescribeTable("is not given up before the member's lease has lapsed",
		func(end func() gang.Result) {
			Expect(running(cutOff)).To(Equal(1))
			r := end()
			Expect(running(cutOff)).To(BeZero(), "the member runs on after the result %s", r.Kind)
			Expect(r.Kind).To(Equal(scheduler.Lost))
			Expect(r.Worker).To(Equal("a-0"))
			Expect(r.Lifted).To(BeTrue())
		},
		Entry("stopped by its scheduler", func() gang.Result { return stopNow(own) }),
		Entry("stopped by another scheduler", func() gang.Result { return stopNow(s.gang(2, true, nil)) }),
		Entry("adopted by another scheduler", func() gang.Result { return adoptNow(s.gang(2, true, nil)) }),
	)

	It("is not reported as lost while the member runs", func() {
		r := own.Check(context.Background())
		Expect(running(cutOff)).To(Equal(1))
		Expect(r.Kind).To(BeEmpty())
		Expect(worker.RefusalOf(r.Err)).To(Equal(worker.Replaced))
		Expect(r.Worker).To(Equal("a-0"))
		s.setAgent("a-0", agent)
		Expect(own.Check(context.Background()).Kind).To(Equal(scheduler.Started))
		stopNow(own)
	})

	It("is not reported as lost after a stop that only the other process has taken", func() {
		other := s.agent("a-0")
		_, err := other.Stop(context.Background(), worker.Stop{ID: s.record.Spec.ID(), Attempt: 1, Term: 1})
		Expect(err).NotTo(HaveOccurred())
		r := own.Check(context.Background())
		Expect(running(cutOff)).To(Equal(1))
		Expect(r.Kind).To(BeEmpty())
		Expect(worker.RefusalOf(r.Err)).To(Equal(worker.Replaced))
	})

	It("has its other members stopped at once when another scheduler adopts it", func() {
		adopted := make(chan gang.Result, 1)
		go func() { adopted <- adoptNow(s.gang(2, true, nil)) }()
		Eventually(func() int { return running(s.workers[1]) }).WithTimeout(300 * time.Millisecond).Should(BeZero())
		Expect(s.workers[1].Journal()[0].State).To(Equal(worker.Stopped))
		Expect(running(cutOff)).To(Equal(1))
		Expect((<-adopted).Kind).To(Equal(scheduler.Lost))
	})

	It("is stopped in the process that holds the member once that can be reached", func() {
		time.AfterFunc(250*time.Millisecond, func() { s.setAgent("a-0", agent) })
		r := stopNow(own)
		Expect(r.Kind).To(Equal(scheduler.Stopped))
		Expect(cutOff.Journal()[0].State).To(Equal(worker.Stopped))
	})
})

// running returns the number of executions that a worker has not ended.
func running(w *workertest.Server) int {
	n := 0
	for _, x := range w.Journal() {
		if x.End == 0 {
			n++
		}
	}
	return n
}
