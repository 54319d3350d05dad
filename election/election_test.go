package election_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/election"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/platform/platformtest"
	"github.com/chestnutsail/chestnutsail/suite"
)

func TestElection(t *testing.T) { suite.Run(t, "election") }

const key = "lead"

// losingStore loses every second answer to a renewal, which takes effect.
type losingStore struct {
	*platform.Store
	renewals atomic.Int64
}

func (s *losingStore) Renew(ctx context.Context, lease uint64) error {
	err := s.Store.Renew(ctx, lease)
	if s.renewals.Add(1)%2 == 0 {
		return err
	}
	<-ctx.Done()
	return &kv.Error{Op: "renew", Kind: kv.Ambiguous, Err: ctx.Err()}
}

var _ = Describe("an election", func() {
	var store *platformtest.Store

	BeforeEach(func() {
		store = platformtest.NewStore()
		DeferCleanup(store.Close)
	})

	type candidate struct {
		*election.Election
		elected, lost atomic.Int32
	}

	newCandidate := func(name string, delay clock.Millis) *candidate {
		log := logrus.New()
		log.SetOutput(GinkgoWriter)
		c := &candidate{}
		c.Election = election.New(election.Options{
			Store: platform.NewStore(platform.StoreOptions{Address: store.Address()}), Key: key, Name: name, Delay: func() clock.Millis { return delay },
			TTL: 500 * clock.Millisecond, Clock: clock.New(), Log: logrus.NewEntry(log),
			OnElected: func(uint64) { c.elected.Add(1) }, OnLost: func() { c.lost.Add(1) },
		})
		DeferCleanup(func(ctx context.Context) { c.Resign(ctx) })
		return c
	}

	holdsLease := func(c *candidate) func() bool {
		return func() bool {
			_, ok := c.Term()
			return ok
		}
	}

	// observe polls the key and reports it to a candidate, as a mirror would.
	observe := func(c *candidate) {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		store := store // the goroutine may outlive its spec, and the next one replaces the store
		go func() {
			for clock.Sleep(ctx, 20*clock.Millisecond) {
				c.Observe(store.Value(key) == nil)
			}
		}()
	}

	It("has another leader at once after the lease of the first was ended, which the first learns", func() {
		a := newCandidate("a", 0)
		observe(a)
		Eventually(holdsLease(a), 2*time.Second).Should(BeTrue())
		term, _ := a.Term()
		Expect(a.IsRenewing(term)).To(BeTrue())
		Expect(a.IsRenewing(term + 1)).To(BeFalse())
		name, lease, ok := election.ParseHolder(string(store.Value(key)))
		Expect(ok).To(BeTrue())
		Expect(name).To(Equal("a"))
		b := newCandidate("b", 0)
		Expect(b.Depose(context.Background(), lease)).To(Succeed())
		Expect(b.Depose(context.Background(), lease)).To(Succeed(), "ending it twice is no error")
		b.Observe(true)
		Eventually(holdsLease(b), time.Second).Should(BeTrue())
		Eventually(a.lost.Load, time.Second).Should(BeEquivalentTo(1))
		Expect(a.elected.Load()).To(BeEquivalentTo(1))
	})

	// Guards against a leader that loses the leadership because it waits for the answer to one renewal.
	It("goes on leading while every second answer to a renewal is lost", func() {
		log := logrus.New()
		log.SetOutput(GinkgoWriter)
		a := &candidate{}
		a.Election = election.New(election.Options{
			Store: &losingStore{Store: platform.NewStore(platform.StoreOptions{Address: store.Address()})}, Key: key, Name: "a",
			TTL: 500 * clock.Millisecond, Clock: clock.New(), Log: logrus.NewEntry(log),
			OnElected: func(uint64) { a.elected.Add(1) }, OnLost: func() { a.lost.Add(1) },
		})
		DeferCleanup(func(ctx context.Context) { a.Resign(ctx) })
		observe(a)
		Eventually(holdsLease(a), 2*time.Second).Should(BeTrue())
		Consistently(holdsLease(a), 2*time.Second).Should(BeTrue())
		Expect(a.lost.Load()).To(BeZero())
	})

	It("is not renewing while its renewals fail, although its lease still lasts", func() {
		a := newCandidate("a", 0)
		observe(a)
		Eventually(holdsLease(a), 2*time.Second).Should(BeTrue())
		term, _ := a.Term()
		store.SetFaults(func(f *platformtest.Faults) { f.Down = true })
		Eventually(func() bool { return a.IsRenewing(term) }, 2*time.Second, time.Millisecond).Should(BeFalse())
		Expect(holdsLease(a)()).To(BeTrue())
	})

	DescribeTable("reads the leader's name and lease from the value of its key",
		func(value, name string, lease int, ok bool) {
			gotName, gotLease, gotOK := election.ParseHolder(value)
			Expect(gotOK).To(Equal(ok))
			if ok {
				Expect(gotName).To(Equal(name))
				Expect(gotLease).To(BeEquivalentTo(lease))
			}
		},
		Entry("whole", "e1/174", "e1", 174, true),
		Entry("of an earlier version", "e1/48h3m", "", 0, false),
		Entry("without a lease", "e1", "", 0, false),
		Entry("empty", "", "", 0, false),
	)

	It("has one leader, and another with a higher term after it has resigned", func() {
		a, b := newCandidate("a", 0), newCandidate("b", 0)
		observe(a)
		observe(b)
		Eventually(func() bool { return holdsLease(a)() != holdsLease(b)() }, 2*time.Second).Should(BeTrue())
		Consistently(func() bool { return holdsLease(a)() && holdsLease(b)() }, time.Second).Should(BeFalse())
		if holdsLease(b)() {
			a, b = b, a
		}
		first, _ := a.Term()
		a.Resign(context.Background())
		Expect(a.lost.Load()).To(BeEquivalentTo(1))
		Eventually(holdsLease(b), 2*time.Second).Should(BeTrue())
		second, _ := b.Term()
		Expect(second).To(BeNumerically(">", first))
	})

	It("prefers the candidate with the shorter delay", func() {
		delayed, preferred := newCandidate("weak", 400*clock.Millisecond), newCandidate("strong", 0)
		observe(delayed)
		observe(preferred)
		Eventually(holdsLease(preferred), 2*time.Second).Should(BeTrue())
		Expect(holdsLease(delayed)()).To(BeFalse())
	})

	It("elects a candidate whose write succeeds but gets no answer", func() {
		a := newCandidate("a", 0)
		store.SetFaults(func(f *platformtest.Faults) { f.LostAnswers = 1 })
		a.Observe(true)
		Eventually(holdsLease(a), 3*time.Second).Should(BeTrue())
		Expect(a.elected.Load()).To(BeEquivalentTo(1))
	})

	It("reports no valid lease while the lease can't be renewed, and continues in the same term", func() {
		a := newCandidate("a", 0)
		a.Observe(true)
		Eventually(holdsLease(a), 2*time.Second).Should(BeTrue())
		term, _ := a.Term()
		store.SetFaults(func(f *platformtest.Faults) { f.AnswerDelay = 2 * time.Second })
		Eventually(holdsLease(a), 2*time.Second).Should(BeFalse())
		Expect(a.lost.Load()).To(BeZero(), "only the store can report that the lease has ended")
		store.SetFaults(func(f *platformtest.Faults) { f.AnswerDelay = 0 })
		Eventually(func() bool { return holdsLease(a)() || a.lost.Load() == 1 }, 3*time.Second).Should(BeTrue())
		if now, ok := a.Term(); ok {
			Expect(now).To(Equal(term))
		}
	})
})
