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
	// inForceBound is the promised time within which an accepted text is in force at every
	// entry that can be reached.
	inForceBound = 4 * time.Second
	// balancerLag is the time that the balancer takes to notice that an entry is leaving. The
	// entries accept new requests for the longer time linger, so that the balancer sends
	// none to a stopped entry.
	balancerLag = time.Second
	linger      = "3s"
)

// revisionLog holds the successive revisions of the text in force at an entry.
type revisionLog struct {
	mu        sync.Mutex
	revisions []uint64
}

// expectRevisionNeverFalls polls the revision at an entry until the spec ends, and then
// expects that the revision has only grown.
func expectRevisionNeverFalls(e *entryProcess) {
	log := &revisionLog{}
	stop := make(chan struct{})
	DeferCleanup(func() {
		close(stop)
		log.mu.Lock()
		defer log.mu.Unlock()
		for i, rev := range log.revisions {
			Expect(i == 0 || rev > log.revisions[i-1]).To(BeTrue(), "%s fell back to an older revision: %v", e.name, log.revisions)
		}
	})
	go func() {
		for {
			rev := e.revision()
			log.mu.Lock()
			if n := len(log.revisions); rev > 0 && (n == 0 || log.revisions[n-1] != rev) {
				log.revisions = append(log.revisions, rev)
			}
			log.mu.Unlock()
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}()
}

func expectInForce(revision uint64, entries ...*entryProcess) {
	GinkgoHelper()
	for _, e := range entries {
		Eventually(e.revision).WithTimeout(inForceBound).WithPolling(20*time.Millisecond).Should(BeNumerically(">=", revision), e.name)
	}
}

var _ = Describe("planned stops under load", func() {
	It("replaces all entries one by one without a failed request", func() {
		f := newFleet("--lag", "10000")
		workerAddress := f.startWorkers("a", 1)
		b := newBalancer(balancerLag)
		var old []*entryProcess
		for i := range 3 {
			e := f.startEntry(fmt.Sprint("e", i), "a", "--linger", linger)
			b.add(e)
			old = append(old, e)
		}
		old[0].apply("kulhar")
		for _, e := range old {
			eventually(e.ready)
		}
		eventually(func() error {
			return checkDone(old[2].submit("check", "first"))
		})
		time.Sleep(2 * balancerLag)

		stop := make(chan struct{})
		var count int
		var failures []string
		var loading sync.WaitGroup
		loading.Go(func() { count, failures = b.runLoad(6, stop) })
		for i, e := range old {
			next := f.startEntry(fmt.Sprint("n", i), "a", "--linger", linger)
			eventually(next.ready)
			b.add(next)
			time.Sleep(2 * balancerLag)
			e.signal(syscall.SIGTERM)
			state, err := e.Wait()
			Expect(err).NotTo(HaveOccurred())
			Expect(state.ExitCode()).To(Equal(0))
		}
		close(stop)
		loading.Wait()
		Expect(failures).To(BeEmpty())
		Expect(count).To(BeNumerically(">", 100))
		GinkgoWriter.Printf("requests done: %d\n", count)
		expectNoneRepeated(journal(workerAddress))
	})

	It("sends no request to a worker that is leaving, although the instance list lags by 10 s", func() {
		f := newFleet("--lag", "10000")
		first := f.startWorkers("a", 2)
		e := f.startEntry("e0", "a")
		e.apply("kulhar")
		b := newBalancer(balancerLag)
		b.add(e)
		eventually(e.ready)
		Eventually(func() string {
			_, _, raw, _ := e.call(token.Operator, "anna", http.MethodGet, "/v1/instances", "", nil)
			return string(raw)
		}).WithTimeout(15 * time.Second).Should(ContainSubstring(`"name":"a-2"`))
		Eventually(b.pick).WithTimeout(5 * time.Second).ShouldNot(BeNil())

		stop := make(chan struct{})
		var failures []string
		var loading sync.WaitGroup
		loading.Go(func() { _, failures = b.runLoad(4, stop) })
		time.Sleep(time.Second)
		putBody("http://"+first+"/leaving", "")
		time.Sleep(2 * time.Second)
		before := len(journal(first))
		time.Sleep(2 * time.Second)
		Expect(journal(first)).To(HaveLen(before))
		close(stop)
		loading.Wait()
		Expect(failures).To(BeEmpty())
	})

	It("shuts down an entry when an operator requests that from another entry", func() {
		f := newFleet()
		f.startWorkers("a", 1)
		one, two := f.startEntry("e0", "a", "--linger", "1s"), f.startEntry("e1", "a", "--linger", "1s")
		expectInForce(one.apply("kulhar"), one, two)
		status, _, raw, err := one.call(token.Operator, "anna", http.MethodPost, "/v1/drain?entry=e1", "", nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusAccepted), string(raw))
		state, err := two.Wait()
		Expect(err).NotTo(HaveOccurred())
		Expect(state.ExitCode()).To(Equal(0))
		Expect(one.ready()).To(Succeed())
	})
})

// expectNoneRepeated expects that no request was started more than once.
func expectNoneRepeated(executions []workertest.Execution) {
	GinkgoHelper()
	runs := make(map[string]int)
	for _, execution := range executions {
		runs[execution.ID]++
	}
	for id, n := range runs {
		Expect(n).To(Equal(1), id)
	}
}

var _ = Describe("an accepted text", func() {
	It("is in force within 4 s although the store, a watch or a process fails, and is never replaced by an older one", func() {
		f := newFleet()
		a, b, c := f.startEntry("e0", "a"), f.startEntry("e1", "b"), f.startEntry("e2", "c")
		expectInForce(a.apply("one"), a, b, c)
		for _, e := range []*entryProcess{a, b, c} {
			expectRevisionNeverFalls(e)
		}

		By("cutting one entry off from the platform")
		f.network.cut(b.name, platformName)
		expectInForce(a.apply("two"), a, b, c)
		f.network.removeCuts()

		By("dropping the store's answer to the write")
		f.setStoreFaults(`{"lose_answers":1}`)
		expectInForce(a.apply("three"), a, b, c)

		By("answering reads from stale data")
		f.setStoreFaults(`{"stale_reads":true}`)
		expectInForce(a.apply("four"), a, b, c)
		f.setStoreFaults(`{}`)

		By("suspending an entry while the text changes")
		c.signal(syscall.SIGSTOP)
		fifth := a.apply("five")
		expectInForce(fifth, a, b)
		time.Sleep(4 * time.Second)
		c.signal(syscall.SIGCONT)
		expectInForce(fifth, c)

		By("starting an entry while the store is down")
		f.setStoreFaults(`{"down":true}`)
		d := f.startEntry("e3", "a")
		expectInForce(fifth, d)
		Expect(d.ready()).To(Succeed())
	})
})

var _ = Describe("a failure domain that is cut off", func() {
	var f *fleet
	var a, b, c *entryProcess

	BeforeEach(func() {
		f = newFleet()
		for _, domain := range []string{"a", "b", "c"} {
			f.startWorkers(domain, 1)
		}
		a, b, c = f.startEntry("e0", "a"), f.startEntry("e1", "b"), f.startEntry("e2", "c")
		expectInForce(a.apply("one"), a, b, c)
		for _, e := range []*entryProcess{a, b, c} {
			expectRevisionNeverFalls(e)
			eventually(func() error {
				return checkDone(e.submit("check", "first-"+e.name))
			})
		}
	})

	// expectServed submits an idempotent request to an entry and expects that it is done.
	expectServed := func(e *entryProcess, key string) {
		GinkgoHelper()
		o, err := e.submit("check", key)
		Expect(err).NotTo(HaveOccurred())
		Expect(o.Kind).To(Equal(outcome.Done), "%+v", o)
	}

	// expectRefunds submits requests that must not run more than once. While the entry can't
	// reach the store, it refuses them as not run. For the first few requests, before the
	// entry notices the outage, it may answer instead that the claim is unclear.
	expectRefunds := func(e *entryProcess, cut bool) {
		GinkgoHelper()
		var submissions sync.WaitGroup
		outcomes := make([]outcome.Outcome, 6)
		for i := range outcomes {
			submissions.Go(func() { outcomes[i], _ = e.submit("refund", fmt.Sprint("r-", i)) })
		}
		submissions.Wait()
		o, err := e.submit("refund", "r-last")
		Expect(err).NotTo(HaveOccurred())
		if !cut {
			Expect(outcomes).To(HaveEach(HaveField("Kind", outcome.Done)))
			Expect(o.Kind).To(Equal(outcome.Done), "%+v", o)
			return
		}
		Expect(outcomes).To(HaveEach(HaveField("Reason", BeElementOf(outcome.ClaimUnclear, outcome.StoreUnreachable))))
		Expect(o.Kind).To(Equal(outcome.NotRun), "%+v", o)
		Expect(o.Reason).To(Equal(outcome.StoreUnreachable))
	}

	DescribeTable("serves requests as far as possible and gets the current text after the network is restored", func(platform bool, others ...string) {
		if platform {
			f.network.cut(b.name, platformName)
		}
		for _, o := range others {
			f.network.cut(b.name, o)
		}
		time.Sleep(5 * time.Second)
		second := a.apply("two")
		expectInForce(second, a, c)
		reachable := !platform || len(others) < 2
		if reachable {
			expectInForce(second, b)
		}
		expectServed(b, "during")
		expectRefunds(b, platform)
		if !reachable {
			Expect(b.revision()).To(BeNumerically("<", second))
		}
		f.network.removeCuts()
		expectInForce(second, a, b, c)
		expectServed(b, "after")
		eventually(func() error {
			return checkDone(b.submit("refund", "r-after"))
		})
		for _, address := range f.workerAddresses {
			expectNoneRepeated(journal(address))
		}
	},
		Entry("from the platform", true),
		Entry("from the other entries", false, "e0", "e2"),
		Entry("from the platform and the other entries", true, "e0", "e2"),
		Entry("from the platform and one other entry", true, "e0"),
	)
})

var _ = Describe("services with replicas", func() {
	It("start in the order of their dependencies, and are not started again after every entry was replaced", func() {
		f := newFleet()
		workerAddress := f.startWorkers("a", 2)
		one := f.startEntry("e0", "a", "--linger", "0s")
		expectInForce(one.applyText(`firm: kulhar
fleet: [{domain: a, racks: 1, workers: 2, cores: 32, memory: 65536, accels: 8, slots: 8, conns: 64}]
accounts: [{name: kulhar}]
services:
  - {name: cache, account: kulhar, replicas: 1, after: [ledger], idempotent: true, checkpoints: true, shape: {cores: 2}, payload: '{"sleep_ms":600000}'}
  - {name: ledger, account: kulhar, replicas: 2, idempotent: true, checkpoints: true, shape: {cores: 4}, payload: '{"sleep_ms":600000}'}
`), one)
		// startedServices returns the service of each task that a worker has started.
		startedServices := func() []string {
			var list []string
			for _, address := range []string{workerAddress, addressWithOffset(workerAddress, 1)} {
				for _, execution := range journal(address) {
					list = append(list, strings.Split(execution.ID, ":")[1])
				}
			}
			return list
		}
		Eventually(startedServices).WithTimeout(30 * time.Second).Should(ConsistOf("ledger", "ledger", "cache"))
		two := f.startEntry("e1", "a", "--linger", "0s")
		eventually(two.ready)
		one.signal(syscall.SIGTERM)
		_, err := one.Wait()
		Expect(err).NotTo(HaveOccurred())
		Consistently(startedServices).WithTimeout(6 * time.Second).WithPolling(500 * time.Millisecond).Should(HaveLen(3))
	})
})
