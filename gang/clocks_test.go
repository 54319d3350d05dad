package gang_test

import (
	"context"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/gang"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/scheduler"
	"github.com/chestnutsail/chestnutsail/worker"
)

// slowClock is the agent of a worker whose clock runs 2 % slow, the most that the workers'
// protocol allows: its leases last that much longer.
type slowClock struct{ gang.Agent }

func (a slowClock) Lift(ctx context.Context, t worker.Task) (worker.Task, error) {
	t.Lease += t.Lease / 50
	return a.Agent.Lift(ctx, t)
}

// cutUntil is the agent of a worker that can't be reached. Its calls fail at the given time
// and from then on at once.
type cutUntil struct {
	gang.Agent
	at time.Time
}

func (a cutUntil) Stop(context.Context, worker.Stop) (worker.Task, error) {
	time.Sleep(time.Until(a.at))
	return worker.Task{}, errors.New("cut off")
}

// Guards against a member that runs twice at once because its worker's clock runs slow: its
// lease ends later than the scheduler's clock tells.
var _ = Describe("a gang with a worker whose clock runs slow", func() {
	It("is not given up before the lease has lapsed by the worker's clock", func() {
		s := newFixture()
		s.times.Lease = 4 * clock.Second
		slow := slowClock{s.agent("a-0")}
		s.setAgent("a-0", slow)
		Expect(s.gang(1, false, func(_ context.Context, members []job.Member) error {
			s.record.Members = members
			return nil
		}).Start(context.Background()).Kind).To(Equal(scheduler.Started))
		// The only allowance beside the lease is one call, here a short one.
		s.times.CallTimeout = 10
		s.setAgent("a-0", cutUntil{slow, time.Now().Add((s.times.Lease + s.times.CallTimeout + 5).Duration())})
		r := stopNow(s.gang(2, true, nil))
		Expect(running(s.workers[0])).To(BeZero(), "the member runs on after the result %s", r.Kind)
		Expect(s.workers[0].Journal()[0].State).To(Equal(worker.LeaseExpired))
		Expect(r.Kind).To(Equal(scheduler.Lost))
	})
})
