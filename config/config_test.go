package config_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/config"
	"github.com/chestnutsail/chestnutsail/consultest"
	"github.com/chestnutsail/chestnutsail/text"
)

// maxSpreadTime is the time within which an accepted text has to be in force at all entries.
const maxSpreadTime = 4 * time.Second

func revisionOf(h *config.Holder) func() uint64 {
	return func() uint64 { return h.Now().Revision }
}

var _ = Describe("an accepted text", func() {
	var s *cluster
	ctx := context.Background()

	apply := func(h *config.Holder, base uint64, firm any) uint64 {
		GinkgoHelper()
		revision, err := h.Apply(ctx, base, textOf(firm))
		Expect(err).NotTo(HaveOccurred())
		return revision
	}
	expectEverywhere := func(revision uint64) {
		GinkgoHelper()
		for _, h := range s.holders {
			Eventually(revisionOf(h)).WithTimeout(maxSpreadTime).Should(Equal(revision))
		}
	}

	BeforeEach(func() { s = newCluster(3) })

	It("comes into force at every entry", func() {
		expectEverywhere(apply(s.holders[0], 0, "perth"))
	})

	It("reaches an entry without access to the store through its peers", func() {
		isolated := s.startHolder("http://127.0.0.1:1", 0)
		expectEverywhere(apply(s.holders[0], 0, "perth"))
		Expect(isolated.Now().Text.Firm).To(Equal("perth"))
	})

	It("reaches an entry without peers through the store", func() {
		s.peers[2].setDisconnected(true)
		expectEverywhere(apply(s.holders[0], 0, "perth"))
	})

	It("reaches an entry that starts while the store is down", func() {
		revision := apply(s.holders[0], 0, "perth")
		s.store.SetFaults(consultest.Faults{Down: true})
		s.startHolder(s.server.URL, 0)
		expectEverywhere(revision)
	})

	It("reaches an entry without peers in bounded time although its watch is stuck", func() {
		var stuck atomic.Bool
		stuck.Store(true)
		front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Query().Has("index") && stuck.Swap(false) {
				<-r.Context().Done()
				return
			}
			s.store.ServeHTTP(w, r)
		}))
		DeferCleanup(front.Close)
		s.startHolder(front.URL, 500*clock.Millisecond)
		s.peers[3].setDisconnected(true)
		time.Sleep(50 * time.Millisecond)
		expectEverywhere(apply(s.holders[0], 0, "perth"))
	})

	It("is not replaced by an older one when reads are stale", func() {
		first := apply(s.holders[0], 0, "perth")
		expectEverywhere(first)
		s.store.SetFaults(consultest.Faults{StaleReads: true})
		late := s.startHolder(s.server.URL, 0)
		Eventually(revisionOf(late)).Should(Equal(first))
		second := apply(s.holders[0], first, "lahore")
		Expect(second).To(BeNumerically(">", first))
		expectEverywhere(second)
		for _, h := range s.holders {
			Consistently(revisionOf(h)).WithTimeout(300 * time.Millisecond).Should(Equal(second))
		}
	})

	DescribeTable("stays in force and can be replaced after the store has lost it", func(spread bool) {
		first := apply(s.holders[0], 0, "perth")
		if spread {
			expectEverywhere(first)
		}
		empty := consultest.New(consultest.Options{})
		s.activeStore.Store(empty)
		if spread {
			Eventually(func() bool { _, ok := empty.Value(config.Key); return ok }).WithTimeout(10 * time.Second).Should(BeTrue())
		}
		expectEverywhere(apply(s.holders[0], first, "lahore"))
		Expect(s.holders[2].Now().Text.Firm).To(Equal("lahore"))
	},
		Entry("it was in force everywhere and is written back", true),
		Entry("a new one is applied at once", false),
	)

	It("gets a higher revision than any before, even in a cluster that does not know those", func() {
		s.clock.Advance(5 * clock.Second)
		first := apply(s.holders[0], 0, "perth")
		expectEverywhere(first)
		s.clock.Advance(5 * clock.Second)
		other := newCluster(0)
		other.clock = s.clock
		Expect(apply(other.startHolder(other.server.URL, 0), 0, "lahore")).To(BeNumerically(">", first))
	})

	It("is checked before it is accepted", func() {
		h := config.New(config.Options{Check: func([]byte) (*text.Text, error) { return nil, errors.New("guarantees can't be formed") }, Store: failingStore{}})
		DeferCleanup(func() { _ = h.Stop(ctx) })
		_, err := h.Apply(ctx, 0, textOf("perth"))
		Expect(err).To(MatchError("guarantees can't be formed"))
	})
})

var _ = Describe("an operator's change", func() {
	var s *cluster
	ctx := context.Background()

	BeforeEach(func() { s = newCluster(2) })

	It("fails with a conflict that contains the text that was accepted before", func() {
		first, err := s.holders[0].Apply(ctx, 0, textOf("perth"))
		Expect(err).NotTo(HaveOccurred())
		_, err = s.holders[1].Apply(ctx, 0, textOf("lahore"))
		var conflict *config.ConflictError
		Expect(errors.As(err, &conflict)).To(BeTrue(), "%v", err)
		Expect(conflict.Current.Revision).To(Equal(first))
		Expect(string(conflict.Current.Raw)).To(Equal(string(textOf("perth"))))
	})

	DescribeTable("is reported as accepted when the store's answer is lost", func(f consultest.Faults) {
		s.store.SetFaults(f)
		revision, err := s.holders[0].Apply(ctx, 0, textOf("perth"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(revisionOf(s.holders[1])).WithTimeout(maxSpreadTime).Should(Equal(revision))
	},
		Entry("once", consultest.Faults{LoseAnswers: 1}),
		Entry("and the write takes effect late", consultest.Faults{LateWrites: 1, LateBy: 400 * clock.Millisecond}),
	)

	It("is reported as accepted when the answer is lost and another change follows at once", func() {
		s.store.SetFaults(consultest.Faults{LoseAnswers: 1})
		done := make(chan error, 1)
		go func() {
			_, err := s.holders[0].Apply(ctx, 0, textOf("perth"))
			done <- err
		}()
		Eventually(revisionOf(s.holders[1])).WithTimeout(maxSpreadTime).ShouldNot(BeZero())
		_, err := s.holders[1].Apply(ctx, s.holders[1].Now().Revision, textOf("lahore"))
		Expect(err).NotTo(HaveOccurred())
		Expect(<-done).NotTo(HaveOccurred())
	})

	DescribeTable("is reported as unclear when it can't be found out whether it took effect", func(then consultest.Faults) {
		s.store.SetFaults(consultest.Faults{LoseAnswers: 1, StaleReads: then.StaleReads})
		go func() {
			for len(s.store.Keys("")) == 0 {
				time.Sleep(time.Millisecond)
			}
			s.store.SetFaults(then)
		}()
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, err := s.holders[0].Apply(short, 0, textOf("perth"))
		var unclear *config.UnclearError
		Expect(errors.As(err, &unclear)).To(BeTrue(), "%v", err)
	},
		Entry("since reads are stale", consultest.Faults{StaleReads: true}),
		Entry("since the store is down", consultest.Faults{Down: true}),
	)

	DescribeTable("is reported as refused when it certainly took no effect", func(f consultest.Faults, base uint64) {
		s.store.SetFaults(f)
		_, err := s.holders[0].Apply(ctx, base, textOf("perth"))
		var refused *config.RefusedError
		Expect(errors.As(err, &refused)).To(BeTrue(), "%v", err)
		s.store.SetFaults(consultest.Faults{})
		Expect(s.store.Keys("")).To(BeEmpty())
	},
		Entry("the store is down", consultest.Faults{Down: true}, uint64(0)),
		Entry("the revision to replace is not known to the entry", consultest.Faults{}, uint64(9)),
	)
})
