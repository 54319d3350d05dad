package fleet_test

import (
	"context"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/fleet"
	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/platform/platformtest"
)

// The load is a job that ends while the store is away, after the leader's lease may have ended.
var _ = Describe("a job that ends while the store is away", func() {
	const id = "5c0e7a21d94b36f8"
	ctx := context.Background()
	caller := platformtest.NewCaller(2 * time.Second)
	var (
		store     *platformtest.Store
		worker    *platformtest.Worker
		settings  []platform.Settings
		instances []*fleet.Instance
		leader    string
	)

	state := func(s platform.Settings) string {
		state, _ := caller.State(ctx, s.CallerAddress, "q", id)
		return state
	}
	states := func() []string {
		var list []string
		for _, s := range settings {
			list = append(list, state(s))
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
		settings, instances = nil, nil
		for _, domain := range []string{"a", "b", "c"} {
			s, instance := startInstance("e-"+domain, domain, store.Address())
			settings, instances = append(settings, s), append(instances, instance)
		}
		Eventually(func() int {
			return caller.Submit(ctx, settings[0].CallerAddress, "q", id, platformtest.Job{Spec: "ms=2500", Count: 1})
		}, 5*time.Second).Should(Equal(200))
		Eventually(states, 5*time.Second).Should(HaveEach("running"))
		entry, err := platform.NewStore(platform.StoreOptions{Address: store.Address()}).Get(ctx, board.LeaderKey)
		Expect(err).NotTo(HaveOccurred())
		leader, _, _ = strings.Cut(string(entry.Value), "/")
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
		i := slices.IndexFunc(settings, func(s platform.Settings) bool { return s.Name == leader })
		_ = instances[i].Stop(ctx)
		settings = slices.Delete(settings, i, i+1)
		store.SetFaults(func(x *platformtest.Faults) { x.Down = false })
		// Within this time the lease of the run has ended, and the new leader would place it again.
		Consistently(states, 8*time.Second).Should(HaveEach("completed"))
		Expect(other.Starts()).To(BeEmpty())
	})
})
