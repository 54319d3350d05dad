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

var _ = Describe("an account that stores more than its share of the memory", func() {
	const limit = 1 << 20
	var (
		store *platformtest.Store
		jobs  *board.Board
		h     *intake.Handler
	)
	newHandler := func(b *board.Board) *intake.Handler {
		log := logrus.New()
		log.SetOutput(GinkgoWriter)
		handler := intake.New(intake.Options{
			Store: platform.NewStore(platform.StoreOptions{Address: store.Address()}), Stored: stored.Limit{Bytes: limit}, Board: b,
			Config: func() *site.Config { return &site.Config{Accounts: make([]site.Account, 3)} }, Clock: clock.New(), Log: logrus.NewEntry(log),
		})
		DeferCleanup(handler.Stop)
		return handler
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
		_, total := jobs.Stored("a")
		Expect(total).To(BeNumerically("<=", limit/2))
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
		own, _ := jobs.Stored("a")
		Expect(own).To(BeNumerically("<=", limit/2))
	})
})
