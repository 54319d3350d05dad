package fleet_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/platform/platformtest"
)

// Guards against a task that is started after the cancellation of its job was answered, because the store
// carries the write of the submission out late.
var _ = Describe("a job that is cancelled after a submission without a certain answer", func() {
	It("never runs", func() {
		const id = "5c0e7a21d94b36f8"
		ctx := context.Background()
		caller := platformtest.NewCaller(5 * time.Second)
		store := platformtest.NewStore()
		DeferCleanup(store.Close)
		worker := platformtest.NewWorker(platformtest.WorkerOptions{Store: store, ID: "i-1"})
		DeferCleanup(worker.Close)
		store.Put(platform.ConfigKey, platformtest.Config(1, platformtest.Queue{Name: "q", Attempts: 1}))
		address := startInstance("e1", "a", store.Address()).settings.CallerAddress
		state := func() string {
			state, _ := caller.State(ctx, address, "q", id)
			return state
		}
		Eventually(func() int { return caller.Cancel(ctx, address, "q", "0000000000000000") }, 5*time.Second).Should(Equal(410))
		Eventually(func() string { return leaderName(store) }, 3*time.Second).Should(Equal("e1"))

		store.SetFaults(func(f *platformtest.Faults) { f.DelayedWrites, f.WriteDelay = 2, 3*time.Second })
		Expect(caller.Submit(ctx, address, "q", id, platformtest.Job{Spec: "ms=30000", Count: 1})).To(Equal(504))
		Expect(caller.Cancel(ctx, address, "q", id)).To(Equal(410))
		Eventually(state, 4*time.Second).Should(Equal("cancelled"))
		Consistently(state, time.Second).Should(Equal("cancelled"))
		Expect(worker.Starts()).To(BeEmpty())
	})
})
