package fleet_test

import (
	"context"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/platform/platformtest"
)

// The load is a job that ends while the store is away, after the leader's lease may have ended.
var _ = Describe("a job that ends while the store is away", func() {
	const id = "5c0e7a21d94b36f8"
	ctx := context.Background()
	caller := platformtest.NewCaller(2 * time.Second)
	var (
		store   *platformtest.Store
		worker  *platformtest.Worker
		members []member
		leader  string
	)

	states := func() []string {
		var list []string
		for _, m := range members {
			state, _ := caller.State(ctx, m.settings.CallerAddress, "q", id)
			list = append(list, state)
		}
		return list
	}
	completed := []string{"completed", "completed", "completed"}

	BeforeEach(func() {
		store = platformtest.NewStore()
		DeferCleanup(store.Close)
		worker = platformtest.NewWorker(platformtest.WorkerOptions{Store: store, ID: "i-1"})
		DeferCleanup(worker.Close)
		store.Put(platform.ConfigKey, platformtest.Config(1, platformtest.Queue{Name: "q", Attempts: 1}))
		members = nil
		for _, domain := range []string{"a", "b", "c"} {
			members = append(members, startInstance("e-"+domain, domain, store.Address()))
		}
		Eventually(func() int {
			return caller.Submit(ctx, members[0].settings.CallerAddress, "q", id, platformtest.Job{Spec: "ms=2500", Count: 1})
		}, 5*time.Second).Should(Equal(200))
		Eventually(states, 5*time.Second).Should(HaveEach("running"))
		leader = leaderName(store)
		store.SetFaults(func(x *platformtest.Faults) { x.Down = true })
	})

	It("is told as completed by all instances, then and after the store's return", func() {
		Eventually(states, 5*time.Second).Should(Equal(completed))
		store.SetFaults(func(x *platformtest.Faults) { x.Down = false })
		Consistently(states, 2*time.Second).Should(Equal(completed))
		Expect(worker.Starts()).To(HaveLen(1))
	})

	It("is not run again by another leader, although its worker is gone", func() {
		Eventually(states, 5*time.Second).Should(Equal(completed))
		worker.Close()
		other := platformtest.NewWorker(platformtest.WorkerOptions{Store: store, ID: "i-2"})
		DeferCleanup(other.Close)
		i := slices.IndexFunc(members, func(m member) bool { return m.settings.Name == leader })
		_ = members[i].Stop(ctx)
		members = slices.Delete(members, i, i+1)
		store.SetFaults(func(x *platformtest.Faults) { x.Down = false })
		// Within this time the lease of the run has ended, and the new leader would place it again.
		Consistently(states, 8*time.Second).Should(HaveEach("completed"))
		Expect(other.Starts()).To(BeEmpty())
	})
})
