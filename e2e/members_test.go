package e2e_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/token"
	"github.com/chestnutsail/chestnutsail/workertest"
)

const (
	// inForce is the promised bound on the spread of an accepted text.
	inForce = 4 * time.Second
	// lag is how long the balancer takes to notice a change; the entries linger longer.
	lag    = time.Second
	linger = "3s"
)

// watcher holds the revisions that were seen at an entry.
type watcher struct {
	mu   sync.Mutex
	seen []uint64
}

// watch expects that the revision at an entry only grows until the spec ends.
func watch(e *entryProcess) {
	w := &watcher{}
	stop := make(chan struct{})
	DeferCleanup(func() {
		close(stop)
		w.mu.Lock()
		defer w.mu.Unlock()
		for i, r := range w.seen {
			Expect(i == 0 || r > w.seen[i-1]).To(BeTrue(), "%s went back: %v", e.name, w.seen)
		}
	})
	go func() {
		for {
			r := e.revision()
			w.mu.Lock()
			if n := len(w.seen); r > 0 && (n == 0 || w.seen[n-1] != r) {
				w.seen = append(w.seen, r)
			}
			w.mu.Unlock()
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}()
}

func inForceAt(revision uint64, entries ...*entryProcess) {
	GinkgoHelper()
	for _, e := range entries {
		Eventually(e.revision).WithTimeout(inForce).WithPolling(20*time.Millisecond).Should(BeNumerically(">=", revision), e.name)
	}
}

var _ = Describe("planned stops under load", func() {
	It("replaces all entries one by one without a failed request", func() {
		f := newFleet("--lag", "10000")
		work := f.work("a", 1)
		b := newBalancer(lag)
		var old []*entryProcess
		for i := range 3 {
			e := f.enter(fmt.Sprint("e", i), "a", "--linger", linger)
			b.add(e)
			old = append(old, e)
		}
		old[0].apply("kulhar")
		for _, e := range old {
			eventually(e.ready)
		}
		eventually(func() error {
			return done(old[2].submit("check", "first"))
		})
		time.Sleep(2 * lag)

		stop := make(chan struct{})
		var count int
		var wrong []string
		var loading sync.WaitGroup
		loading.Go(func() { count, wrong = b.load(6, stop) })
		for i, e := range old {
			next := f.enter(fmt.Sprint("n", i), "a", "--linger", linger)
			eventually(next.ready)
			b.add(next)
			time.Sleep(2 * lag)
			e.signal(syscall.SIGTERM)
			state, err := e.Wait()
			Expect(err).NotTo(HaveOccurred())
			Expect(state.ExitCode()).To(Equal(0))
		}
		close(stop)
		loading.Wait()
		Expect(wrong).To(BeEmpty())
		Expect(count).To(BeNumerically(">", 100))
		GinkgoWriter.Printf("requests done: %d\n", count)
		expectOnce(journal(work))
	})

	It("sends nothing to a worker that leaves, though the list lags by 10 s", func() {
		f := newFleet("--lag", "10000")
		first := f.work("a", 2)
		e := f.enter("e0", "a")
		e.apply("kulhar")
		b := newBalancer(lag)
		b.add(e)
		eventually(e.ready)
		Eventually(func() string {
			_, _, raw, _ := e.call(token.Operator, "anna", http.MethodGet, "/v1/instances", "", nil)
			return string(raw)
		}).WithTimeout(15 * time.Second).Should(ContainSubstring(`"name":"a-2"`))
		Eventually(b.pick).WithTimeout(5 * time.Second).ShouldNot(BeNil())

		stop := make(chan struct{})
		var wrong []string
		var loading sync.WaitGroup
		loading.Go(func() { _, wrong = b.load(4, stop) })
		time.Sleep(time.Second)
		put("http://"+first+"/leaving", "")
		time.Sleep(2 * time.Second)
		before := len(journal(first))
		time.Sleep(2 * time.Second)
		Expect(journal(first)).To(HaveLen(before))
		close(stop)
		loading.Wait()
		Expect(wrong).To(BeEmpty())
	})

	It("takes an entry out of service when an operator asks another for it", func() {
		f := newFleet()
		f.work("a", 1)
		one, two := f.enter("e0", "a", "--linger", "1s"), f.enter("e1", "a", "--linger", "1s")
		inForceAt(one.apply("kulhar"), one, two)
		status, _, raw, err := one.call(token.Operator, "anna", http.MethodPost, "/v1/drain?entry=e1", "", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusAccepted), string(raw))
		state, err := two.Wait()
		Expect(err).NotTo(HaveOccurred())
		Expect(state.ExitCode()).To(Equal(0))
		Expect(one.ready()).To(Succeed())
	})
})

// expectOnce checks that no refund has run twice.
func expectOnce(list []workertest.Execution) {
	GinkgoHelper()
	runs := make(map[string]int)
	for _, x := range list {
		runs[x.ID]++
	}
	for id, n := range runs {
		Expect(n).To(Equal(1), id)
	}
}

var _ = Describe("an accepted text, between processes", func() {
	It("is in force within 4 s where the store, a watch or the process fails, and never goes back", func() {
		f := newFleet()
		a, b, c := f.enter("e0", "a"), f.enter("e1", "b"), f.enter("e2", "c")
		inForceAt(a.apply("one"), a, b, c)
		for _, e := range []*entryProcess{a, b, c} {
			watch(e)
		}

		By("cutting one entry from the platform")
		f.network.cut(b.name, platformName)
		inForceAt(a.apply("two"), a, b, c)
		f.network.heal()

		By("losing the store's answer")
		f.faults(`{"lose_answers":1}`)
		inForceAt(a.apply("three"), a, b, c)

		By("showing stale reads")
		f.faults(`{"stale_reads":true}`)
		inForceAt(a.apply("four"), a, b, c)
		f.faults(`{}`)

		By("pausing an entry past the change")
		c.signal(syscall.SIGSTOP)
		fifth := a.apply("five")
		inForceAt(fifth, a, b)
		time.Sleep(4 * time.Second)
		c.signal(syscall.SIGCONT)
		inForceAt(fifth, c)

		By("starting an entry while the store is down")
		f.faults(`{"down":true}`)
		d := f.enter("e3", "a")
		inForceAt(fifth, d)
		Expect(d.ready()).To(Succeed())
	})
})

var _ = Describe("a failure domain that is cut off", func() {
	var f *fleet
	var a, b, c *entryProcess

	BeforeEach(func() {
		f = newFleet()
		for _, domain := range []string{"a", "b", "c"} {
			f.work(domain, 1)
		}
		a, b, c = f.enter("e0", "a"), f.enter("e1", "b"), f.enter("e2", "c")
		inForceAt(a.apply("one"), a, b, c)
		for _, e := range []*entryProcess{a, b, c} {
			watch(e)
			eventually(func() error {
				return done(e.submit("check", "first-"+e.name))
			})
		}
	})

	// serves expects idempotent work to be done within the domain.
	serves := func(e *entryProcess, key string) {
		GinkgoHelper()
		o, err := e.submit("check", key)
		Expect(err).NotTo(HaveOccurred())
		Expect(o.Kind).To(Equal(outcome.Done), "%+v", o)
	}

	// refunds submits work that must not be repeated. While the store can't be reached,
	// it is refused as not run; only a few requests, until that is noticed, may be
	// told as unclear.
	refunds := func(e *entryProcess, cut bool) {
		GinkgoHelper()
		var group sync.WaitGroup
		kinds := make([]outcome.Outcome, 6)
		for i := range kinds {
			group.Go(func() { kinds[i], _ = e.submit("refund", fmt.Sprint("r-", i)) })
		}
		group.Wait()
		o, err := e.submit("refund", "r-last")
		Expect(err).NotTo(HaveOccurred())
		if !cut {
			Expect(kinds).To(HaveEach(HaveField("Kind", outcome.Done)))
			Expect(o.Kind).To(Equal(outcome.Done), "%+v", o)
			return
		}
		Expect(kinds).To(HaveEach(HaveField("Reason", BeElementOf(outcome.ClaimUnclear, outcome.StoreUnreachable))))
		Expect(o.Kind).To(Equal(outcome.NotRun), "%+v", o)
		Expect(o.Reason).To(Equal(outcome.StoreUnreachable))
	}

	DescribeTable("serves what it can and catches up on healing", func(platform bool, others ...string) {
		if platform {
			f.network.cut(b.name, platformName)
		}
		for _, o := range others {
			f.network.cut(b.name, o)
		}
		time.Sleep(5 * time.Second)
		second := a.apply("two")
		inForceAt(second, a, c)
		reachable := !platform || len(others) < 2
		if reachable {
			inForceAt(second, b)
		}
		serves(b, "during")
		refunds(b, platform)
		if !reachable {
			Expect(b.revision()).To(BeNumerically("<", second))
		}
		f.network.heal()
		inForceAt(second, a, b, c)
		serves(b, "after")
		eventually(func() error {
			return done(b.submit("refund", "r-after"))
		})
		for _, address := range f.workers {
			expectOnce(journal(address))
		}
	},
		Entry("from the platform", true),
		Entry("from the others", false, "e0", "e2"),
		Entry("from both", true, "e0", "e2"),
		Entry("from the platform and one of the others", true, "e0"),
	)
})

var _ = Describe("services with replicas", func() {
	It("run in the order in which they depend on each other, and again after every entry was replaced", func() {
		f := newFleet()
		work := f.work("a", 2)
		one := f.enter("e0", "a", "--linger", "0s")
		inForceAt(one.applyText(`firm: kulhar
fleet: [{domain: a, racks: 1, workers: 2, cores: 32, memory: 65536, accels: 8, slots: 8, conns: 64}]
accounts: [{name: kulhar}]
services:
  - {name: cache, account: kulhar, replicas: 1, after: [ledger], idempotent: true, checkpoints: true, shape: {cores: 2}, payload: '{"sleep_ms":600000}'}
  - {name: ledger, account: kulhar, replicas: 2, idempotent: true, checkpoints: true, shape: {cores: 4}, payload: '{"sleep_ms":600000}'}
`), one)
		begun := func() []string {
			var list []string
			for _, address := range []string{work, after(work)} {
				for _, x := range journal(address) {
					list = append(list, strings.Split(x.ID, ":")[1])
				}
			}
			return list
		}
		Eventually(begun).WithTimeout(30 * time.Second).Should(ConsistOf("ledger", "ledger", "cache"))
		two := f.enter("e1", "a", "--linger", "0s")
		eventually(two.ready)
		one.signal(syscall.SIGTERM)
		_, err := one.Wait()
		Expect(err).NotTo(HaveOccurred())
		Consistently(begun).WithTimeout(6 * time.Second).WithPolling(500 * time.Millisecond).Should(HaveLen(3))
	})
})
