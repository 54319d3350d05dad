package fleet_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/platform/platformtest"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// storeWithoutConfig returns the address of a proxy for the store, and a function that makes it fail the
// reads of the configuration.
func storeWithoutConfig(store *platformtest.Store) (address string, failConfig func()) {
	target, err := url.Parse("http://" + store.Address())
	Expect(err).NotTo(HaveOccurred())
	var failing atomic.Bool
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusBadGateway) }
	proxy.ModifyResponse = func(r *http.Response) error {
		if failing.Load() && r.Request.URL.Query().Get("prefix") == platform.ConfigKey {
			return errors.New("the configuration is not readable")
		}
		return nil
	}
	server := httptest.NewServer(proxy)
	DeferCleanup(server.Close)
	return server.Listener.Addr().String(), func() { failing.Store(true) }
}

// readiness returns the status by which an instance answers the load balancer.
func readiness(m member) int {
	resp, err := http.Get("http://" + m.settings.ReadyAddress + platform.ReadyPath)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

var _ = Describe("an instance whose configuration is outdated", func() {
	const id = "5c0e7a21d94b36f8"
	var (
		store  *platformtest.Store
		worker *platformtest.Worker
		caller = platformtest.NewCaller(2 * time.Second)
		ctx    = context.Background()
		queue  = platformtest.Queue{Name: "q", Attempts: 1}
		added  = platformtest.Queue{Name: "new", Attempts: 1}
		job    = platformtest.Job{Spec: "ms=50", Count: 1}
	)
	status := func(m member, queue string) func() int {
		return func() int {
			_, status := caller.State(ctx, m.settings.CallerAddress, queue, id)
			return status
		}
	}
	runs := func() int { return len(worker.History()) }
	BeforeEach(func() {
		store = platformtest.NewStore()
		DeferCleanup(store.Close)
		worker = platformtest.NewWorker(platformtest.WorkerOptions{Store: store, ID: "i-1"})
		DeferCleanup(worker.Close)
		store.Put(platform.ConfigKey, platformtest.Config(1, queue))
	})
	// startBoth starts an instance that reaches the store directly and one that does so through an address. Both
	// know configuration 1 and each other.
	startBoth := func(behindAddress string) (current, behind member) {
		behind = startInstance("e2", "a", behindAddress)
		Eventually(func() string { return leaderName(store) }, 3*time.Second).Should(Equal("e2"))
		current = startInstance("e1", "a", store.Address())
		Eventually(status(current, "q"), 3*time.Second).Should(Equal(410))
		Eventually(status(behind, "q"), 3*time.Second).Should(Equal(410))
		time.Sleep(500 * time.Millisecond)
		return current, behind
	}
	addQueue := func(current member) {
		store.Put(platform.ConfigKey, platformtest.Config(2, queue, added))
		Eventually(status(current, "new"), 3*time.Second).Should(Equal(410))
	}

	It("does not answer by it after a call that it handed on took effect by a newer one, without an answer", func() {
		storeLink := newLink(store.Address())
		current, behind := startBoth(storeLink.listener.Addr().String())
		storeLink.cut()
		addQueue(current)
		Eventually(func() string { return leaderName(store) }, 8*time.Second).Should(Equal("e1"))
		Eventually(func() int { return readiness(behind) }, 3*time.Second).Should(Equal(503))
		store.SetFaults(func(f *platformtest.Faults) { f.AnswerDelay = 450 * time.Millisecond })
		Expect(caller.Submit(ctx, behind.settings.CallerAddress, "new", id, job)).To(Equal(504))
		Consistently(status(behind, "new"), time.Second).ShouldNot(Equal(404))
		store.SetFaults(func(f *platformtest.Faults) { f.AnswerDelay = 0 })
		Eventually(runs, 5*time.Second).Should(Equal(1))
	})

	It("does not answer by it after it has started a job by a newer one", func() {
		address, failConfig := storeWithoutConfig(store)
		current, leader := startBoth(address)
		failConfig()
		addQueue(current)
		Expect(caller.Submit(ctx, current.settings.CallerAddress, "new", id, job)).To(Equal(200))
		Eventually(runs, 3*time.Second).Should(Equal(1))
		Consistently(status(leader, "new"), time.Second).ShouldNot(Equal(404))
	})

	// Guards against a leader that answers nobody for as long as a job lasts that was accepted by a version
	// from which the operators have gone back.
	It("answers by it again if the store shows none as new as that of a job", func() {
		leader := startInstance("e2", "a", store.Address())
		Eventually(status(leader, "q"), 3*time.Second).Should(Equal(410))
		Eventually(func() string { return leaderName(store) }, 3*time.Second).Should(Equal("e2"))
		store.Put(board.RecordKey(id), workflow.Encode(workflow.Record{
			Queue: "q", AcceptedAt: clock.New().Now(), Policy: workflow.Policy{Version: 9, Service: "gone", Attempts: 1},
			Spec: workflow.Spec{Payload: "ms=50", Steps: []workflow.Step{{Count: 1, Accels: 1}}},
		}))
		Eventually(status(leader, "q"), 3*time.Second).Should(Equal(503))
		Eventually(status(leader, "q"), 10*time.Second).Should(Equal(200))
	})

	It("asks another one for a queue that it does not know, although it reaches the store", func() {
		address, failConfig := storeWithoutConfig(store)
		current, behind := startBoth(address)
		failConfig()
		addQueue(current)
		time.Sleep(2 * time.Second)
		Expect(status(behind, "new")()).To(Equal(410))
	})

	It("does not say that there is no such queue, if no instance can tell", func() {
		storeLink := newLink(store.Address())
		behind := startInstance("e2", "a", storeLink.listener.Addr().String())
		Eventually(status(behind, "q"), 3*time.Second).Should(Equal(410))
		Expect(status(behind, "new")()).To(Equal(404))
		storeLink.cut()
		Eventually(status(behind, "new"), 3*time.Second).Should(Equal(503))
	})
})
