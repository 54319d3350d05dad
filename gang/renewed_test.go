package gang_test

import (
	"context"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/gang"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/scheduler"
	"github.com/chestnutsail/chestnutsail/worker"
)

// Guards against a member that runs twice at once: its scheduler can't reach its worker, and
// another instance renews its lease until it acknowledges that the gang is to be stopped.
var _ = Describe("a gang whose member is renewed until the instances acknowledge its stop", func() {
	var s *fixture
	// renewing returns a gang whose broadcast ends after three renewals.
	renewing := func() *gang.Gang {
		agent := s.agent("a-0").(*worker.Client)
		return gang.New(gang.Options{
			Record: s.record, Term: 2, Times: s.times, Agent: s.agent,
			Commit: func(_ context.Context, members []job.Member) error {
				s.record.Members = members
				return nil
			},
			Broadcast: func(ctx context.Context, _ clock.Millis) bool {
				defer GinkgoRecover()
				for range 3 {
					clock.Sleep(ctx, 300)
					_, err := agent.Renew(ctx, worker.Renewal{Term: 2, Lease: s.times.Lease})
					Expect(err).NotTo(HaveOccurred())
				}
				return true
			},
		})
	}
	BeforeEach(func() { s = newFixture() })

	DescribeTable("is not given up before the last renewal has lapsed", func(idempotent bool) {
		s.record.Spec.Idempotent = idempotent
		g := renewing()
		Expect(g.Start(context.Background()).Kind).To(Equal(scheduler.Started))
		s.setAgent("a-0", nil)
		r := stopNow(g)
		Expect(running(s.workers[0])).To(BeZero(), "the member runs on after the result %s", r.Kind)
		Expect(s.workers[0].Journal()[0].State).To(Equal(worker.LeaseExpired))
		Expect(r.Kind).To(Equal(scheduler.Lost))
	},
		Entry("for work that may not run twice at a time", false),
		Entry("for idempotent work", true),
	)

	It("is not given up while nobody has told that instance, when another scheduler stops it", func() {
		Expect(renewing().Start(context.Background()).Kind).To(Equal(scheduler.Started))
		agent := s.agent("a-0").(*worker.Client)
		s.setAgent("a-0", nil)
		ctx, told := context.WithCancel(context.Background())
		DeferCleanup(told)
		var renewals sync.WaitGroup
		renewals.Go(func() {
			for clock.Sleep(ctx, 100) {
				_, _ = agent.Renew(ctx, worker.Renewal{Term: 2, Lease: s.times.Lease})
			}
		})
		r := stopNow(gang.New(gang.Options{
			Record: s.record, Term: 2, Foreign: true, Times: s.times, Agent: s.agent,
			Broadcast: func(context.Context, clock.Millis) bool {
				told()
				renewals.Wait()
				return true
			},
		}))
		Expect(running(s.workers[0])).To(BeZero(), "the member runs on after the result %s", r.Kind)
		Expect(r.Kind).To(Equal(scheduler.Lost))
	})
})
