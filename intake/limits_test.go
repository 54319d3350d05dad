package intake_test

import (
	"context"
	"fmt"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/intake"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/platform/platformtest"
	"github.com/chestnutsail/chestnutsail/site"
	"github.com/chestnutsail/chestnutsail/stored"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// newLimited returns a handler with the given limits, for three accounts.
func newLimited(store *platformtest.Store, opts intake.Options) *intake.Handler {
	log := logrus.New()
	log.SetOutput(GinkgoWriter)
	opts.Store, opts.Clock, opts.Log = platform.NewStore(platform.StoreOptions{Address: store.Address()}), clock.New(), logrus.NewEntry(log)
	opts.Config = func() *site.Config { return &site.Config{Accounts: make([]site.Account, 3)} }
	h := intake.New(opts)
	DeferCleanup(h.Stop)
	return h
}

var _ = Describe("an account that stores more than its share of the memory", func() {
	const limit = 1 << 20
	var (
		store *platformtest.Store
		jobs  *board.Board
		h     *intake.Handler
	)
	newHandler := func(b *board.Board) *intake.Handler {
		return newLimited(store, intake.Options{Board: b, Stored: func() stored.Limit { return stored.Limit{Bytes: limit} }})
	}
	BeforeEach(func() {
		store, jobs = platformtest.NewStore(), board.New(nil)
		DeferCleanup(store.Close)
		h = newHandler(jobs)
	})
	large := workflow.Spec{Payload: "p", Steps: []workflow.Step{{Count: 1, Label: strings.Repeat("x", 30<<10)}}}
	submit := func(h *intake.Handler, account string, n int, spec workflow.Spec) intake.Answer {
		grant := intake.Grant{Queue: site.Queue{Name: "q"}, Account: site.Account{Name: account}, ID: fmt.Sprintf("%s%015x", account, n)}
		return h.Submit(context.Background(), grant, spec)
	}
	// fill submits large jobs of the account "a" until one is refused, and returns how many were stored.
	fill := func() int {
		for n := range 100 {
			if submit(h, "a", n, large).Verdict != intake.OK {
				return n
			}
		}
		Fail("no job was refused")
		return 0
	}

	// Guards against instances that run out of memory by the stored jobs of one account, and others that are refused for it.
	It("is refused at once, and nothing is stored, while others store jobs", func() {
		n := fill()
		answer := submit(h, "a", n, large)
		Expect(answer.Verdict).To(Equal(intake.Full))
		Expect(answer.RetryAfter).To(BeNumerically(">", 0))
		Expect(answer.MayRelay()).To(BeFalse())
		Expect(store.Value(board.RecordKey(fmt.Sprintf("a%015x", n)))).To(BeNil())
		Expect(jobs.StoredTotal()).To(BeNumerically("<=", limit/2))
		for k := range 5 {
			Expect(submit(h, "b", k, large).Verdict).To(Equal(intake.OK))
		}
	})

	It("is accepted again once its jobs were removed", func() {
		n := fill()
		jobs.Apply([]kv.Change{{Entry: kv.Entry{Key: board.RecordKey(fmt.Sprintf("a%015x", 0))}, Deleted: true}})
		Expect(submit(h, "a", n, large).Verdict).To(Equal(intake.OK))
	})

	// Guards against a refusal of a job that is stored: a refused job never runs.
	It("is told that a job was accepted, by an instance that has not seen its record", func() {
		n := fill()
		other := board.New(nil)
		for k := range n {
			entry := kv.Entry{Key: board.RecordKey(fmt.Sprintf("a%015x", 100+k)), Version: 1, Value: store.Value(board.RecordKey(fmt.Sprintf("a%015x", k)))}
			other.Add(entry)
		}
		Expect(submit(newHandler(other), "a", 0, large).Verdict).To(Equal(intake.OK))
		Expect(submit(newHandler(other), "a", n, large).Verdict).To(Equal(intake.Full))
	})

	It("is refused by what is being stored at the same time as well", func() {
		var calls sync.WaitGroup
		for n := range 100 {
			calls.Go(func() { submit(h, "a", n, large) })
		}
		calls.Wait()
		Expect(jobs.Stored("a")).To(BeNumerically("<=", limit/2))
	})
})

var _ = Describe("a job whose record may be too large for the store", func() {
	// Guards against submissions that are refused again and again with an answer that suggests a retry.
	DescribeTable("is answered at once",
		func(label int, want intake.Verdict) {
			store := platformtest.NewStore()
			DeferCleanup(store.Close)
			store.SetMaxValue(2048)
			h := newLimited(store, intake.Options{Board: board.New(nil), MaxValue: 2048})
			answer := h.Submit(context.Background(), intake.Grant{ID: "5c0e7a21d94b36f8"}, workflow.Spec{
				Payload: "p", Steps: []workflow.Step{{Count: 1, Label: strings.Repeat("x", label)}},
			})
			Expect(answer.Verdict).To(Equal(want))
			Expect(answer.RetryAfter).To(BeZero())
			Expect(store.TooLarge()).To(BeZero())
			Expect(store.Value(board.RecordKey("5c0e7a21d94b36f8")) != nil).To(Equal(want == intake.OK))
		},
		Entry("if it fits", 1024, intake.OK),
		Entry("if it does not", 4096, intake.Invalid),
	)
})
