package fleet_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/fleet"
	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/platform/platformtest"
)

var _ = Describe("an instance whose operators request evacuations", func() {
	// The load is jobs of one task, and the only worker is in the failure domain that is evacuated.
	DescribeTable("follows the requests beside the configuration",
		func(evacuationTime clock.Millis, startsWhileRequested int) {
			ctx := context.Background()
			store := platformtest.NewStore()
			DeferCleanup(store.Close)
			worker := platformtest.NewWorker(platformtest.WorkerOptions{Store: store, ID: "i-1"})
			DeferCleanup(worker.Close)
			log := logrus.New()
			log.SetOutput(GinkgoWriter)
			s := platform.Settings{
				Name: "e1", IP: "127.0.0.1", Domain: "a", CallerAddress: freeAddress(), ReadyAddress: freeAddress(), StoreAddress: store.Address(), Cores: 1, LinkSpeed: 1000,
				Bounds: platform.Bounds{MaxLease: 5 * clock.Second, StopTime: 100 * clock.Millisecond, TerminationGrace: 3 * clock.Second, EvacuationTime: evacuationTime},
			}
			instance := fleet.New(fleet.Options{Settings: s, Log: logrus.NewEntry(log)})
			Expect(instance.Start(ctx)).To(Succeed())
			DeferCleanup(func() { Expect(instance.Stop(ctx)).To(Succeed()) })
			caller := platformtest.NewCaller(2 * time.Second)
			store.Put(platform.ConfigKey, platformtest.Config(1, platformtest.Queue{Name: "q", Attempts: 1}))
			submit := func(n int) func() int {
				return func() int {
					return caller.Submit(ctx, s.CallerAddress, "q", fmt.Sprintf("%016x", n), platformtest.Job{Spec: "ms=50", Count: 1})
				}
			}
			starts := func() int { return len(worker.Starts()) }
			Eventually(submit(1), 3*time.Second).Should(Equal(200))
			Eventually(starts, 3*time.Second).Should(Equal(1))

			store.Put(platform.EvacuationPrefix+"a", []byte("{}"))
			store.Put(platform.ConfigKey, platformtest.Config(2, platformtest.Queue{Name: "q", Attempts: 1}))
			time.Sleep(300 * time.Millisecond)
			Expect(submit(2)()).To(Equal(200))
			time.Sleep(time.Second)
			Expect(starts()).To(Equal(1 + startsWhileRequested))
			store.Delete(platform.EvacuationPrefix + "a")
			Eventually(starts, time.Second).Should(Equal(2))
		},
		Entry("where they may make them", 5*clock.Second, 0),
		Entry("and ignores them elsewhere", clock.Millis(0), 1),
	)
})
