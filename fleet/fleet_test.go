package fleet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/fleet"
	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/platform/platformtest"
	"github.com/chestnutsail/chestnutsail/suite"
)

func TestFleet(t *testing.T) { suite.Run(t, "fleet") }

// freeAddress returns an address on a loopback IP of its own, where no outgoing connection takes the port.
func freeAddress() string {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.N(254), rand.N(255), 1+rand.N(254)))
	Expect(err).NotTo(HaveOccurred())
	defer func() { Expect(l.Close()).To(Succeed()) }()
	return l.Addr().String()
}

var _ = Describe("an instance on the platform", func() {
	const id = "5c0e7a21d94b36f8"
	var (
		store    *platformtest.Store
		worker   *platformtest.Worker
		s        platform.Settings
		instance *fleet.Instance
		caller   = platformtest.NewCaller(2 * time.Second)
		ctx      = context.Background()
	)

	ready := func() int {
		resp, err := http.Get("http://" + s.ReadyAddress + platform.ReadyPath)
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}

	BeforeEach(func() {
		store = platformtest.NewStore()
		DeferCleanup(store.Close)
		worker = platformtest.NewWorker(platformtest.WorkerOptions{Store: store, ID: "i-1"})
		DeferCleanup(worker.Close)
		s = platform.Settings{
			Name: "e1", IP: "127.0.0.1", Domain: "a", CallerAddress: freeAddress(), ReadyAddress: freeAddress(), StoreAddress: store.Address(), Cores: 1, LinkSpeed: 1000,
			Bounds: platform.Bounds{MaxLease: 5 * clock.Second, StopTime: 100 * clock.Millisecond, TerminationGrace: 3 * clock.Second},
		}
		log := logrus.New()
		log.SetOutput(GinkgoWriter)
		instance = fleet.New(fleet.Options{Settings: s, Log: logrus.NewEntry(log)})
		Expect(instance.Start(ctx)).To(Succeed())
	})

	It("runs a job from its submission to its end, and shuts down on Stop", func() {
		Expect(caller.Submit(ctx, s.CallerAddress, "q", id, platformtest.Job{Spec: "ms=50", Count: 2})).To(Equal(503), "there is no configuration yet")
		Expect(ready()).To(Equal(503))
		store.Put(platform.ConfigKey, platformtest.Config(1, platformtest.Queue{Name: "q", Attempts: 1}))
		Eventually(ready, 3*time.Second).Should(Equal(200))
		Expect(caller.Submit(ctx, s.CallerAddress, "q", id, platformtest.Job{Spec: "ms=50", Count: 2})).To(Equal(200))
		Eventually(func() string {
			state, _ := caller.State(ctx, s.CallerAddress, "q", id)
			return state
		}, 3*time.Second).Should(Equal("completed"))
		stopped := make(chan error)
		go func() { stopped <- instance.Stop(ctx) }()
		Eventually(ready, time.Second).Should(Equal(503))
		Expect(caller.Submit(ctx, s.CallerAddress, "q", "0c0e7a21d94b36f8", platformtest.Job{Spec: "ms=50", Count: 1})).To(Equal(200), "the instance serves until the load balancer has noticed")
		Eventually(stopped, 4*time.Second).Should(Receive(BeNil()))
	})

	It("applies a newer configuration and ignores an older or invalid one", func() {
		DeferCleanup(func() { Expect(instance.Stop(ctx)).To(Succeed()) })
		store.Put(platform.ConfigKey, platformtest.Config(5, platformtest.Queue{Name: "new", Attempts: 1}))
		status := func(queue string) func() int {
			return func() int {
				_, status := caller.State(ctx, s.CallerAddress, queue, id)
				return status
			}
		}
		Eventually(status("new"), 2*time.Second).Should(Equal(410))
		store.Put(platform.ConfigKey, platformtest.Config(4, platformtest.Queue{Name: "old", Attempts: 1}))
		Consistently(status("old"), 500*time.Millisecond).Should(Equal(404))
		store.Put(platform.ConfigKey, []byte("\xff"))
		Consistently(status("new"), 300*time.Millisecond).Should(Equal(410))
	})

	It("accepts no key after the revocation limit, if there is one", func() {
		DeferCleanup(func() { Expect(instance.Stop(ctx)).To(Succeed()) })
		strict := s
		strict.Bounds.RevocationLimit = 2500 * clock.Millisecond
		instance.Reload(strict)
		store.Put(platform.ConfigKey, platformtest.ConfigWithKey(1, "q", "k"))
		status := func() int {
			req, err := http.NewRequest(http.MethodGet, "http://"+s.CallerAddress+"/q/", nil)
			Expect(err).NotTo(HaveOccurred())
			req.Host = platformtest.Host
			req.Header.Set("Api-Key", "k")
			resp, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			_ = resp.Body.Close()
			return resp.StatusCode
		}
		Eventually(status, 3*time.Second).Should(Equal(200))
		Consistently(status, 2*time.Second).Should(Equal(200))
		store.SetFaults(func(x *platformtest.Faults) { x.AnswerDelay = 4 * time.Second })
		Eventually(status, 4*time.Second).Should(Equal(503))
		store.SetFaults(func(x *platformtest.Faults) { x.AnswerDelay = 0 })
		Eventually(status, 5*time.Second).Should(Equal(200))
	})

	It("is not ready and refuses jobs at once while it cannot reach the store", func() {
		DeferCleanup(func() { Expect(instance.Stop(ctx)).To(Succeed()) })
		store.Put(platform.ConfigKey, platformtest.Config(1, platformtest.Queue{Name: "q", Attempts: 1}))
		Eventually(ready, 3*time.Second).Should(Equal(200))
		store.SetFaults(func(x *platformtest.Faults) { x.AnswerDelay = 3 * time.Second })
		Eventually(ready, 3*time.Second).Should(Equal(503))
		began := time.Now()
		Expect(caller.Submit(ctx, s.CallerAddress, "q", id, platformtest.Job{Spec: "ms=50", Count: 1})).To(Equal(503))
		Expect(time.Since(began)).To(BeNumerically("<", 200*time.Millisecond))
		store.SetFaults(func(x *platformtest.Faults) { x.AnswerDelay = 0 })
		Eventually(ready, 5*time.Second).Should(Equal(200))
	})
})
