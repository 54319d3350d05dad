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

// The load is an urgent job that comes while the leader, and only it, has lost the store. Until there
// is another leader, nothing starts.
var _ = Describe("a leader that alone has lost the store", func() {
	It("is deposed by the others, which see that it no longer renews its lease", func() {
		ctx := context.Background()
		store := platformtest.NewStore()
		DeferCleanup(store.Close)
		worker := platformtest.NewWorker(platformtest.WorkerOptions{Store: store, ID: "i-1"})
		DeferCleanup(worker.Close)
		store.Put(platform.ConfigKey, platformtest.Config(1, platformtest.Queue{Name: "q", Attempts: 1}))
		var members []member
		links := make(map[string]*link)
		for _, domain := range []string{"a", "b", "c"} {
			name := "e-" + domain
			links[name] = newLink(store.Address())
			members = append(members, startInstance(name, domain, links[name].listener.Addr().String()))
		}
		Eventually(func() string { return leaderName(store) }, 5*time.Second).ShouldNot(BeEmpty())
		// The others have to know the leader's address, and ask it a few times.
		time.Sleep(time.Second)
		leader := leaderName(store)
		others := slices.DeleteFunc(members, func(m member) bool { return m.settings.Name == leader })

		links[leader].cut()
		Eventually(func() string { return leaderName(store) }, 3*time.Second).ShouldNot(BeElementOf("", leader))
		deposed := 0
		for _, m := range others {
			deposed += int(m.counters.Counter("chestnutsail_leaders_deposed_total").Get())
		}
		Expect(deposed).To(BeNumerically(">", 0))
		const id = "5c0e7a21d94b36f8"
		caller := platformtest.NewCaller(2 * time.Second)
		Expect(caller.Submit(ctx, others[0].settings.CallerAddress, "q", id, platformtest.Job{Spec: "ms=50", Count: 1})).To(Equal(200))
		Eventually(func() string {
			state, _ := caller.State(ctx, others[0].settings.CallerAddress, "q", id)
			return state
		}, 3*time.Second).Should(Equal("completed"))
		Expect(worker.Starts()).To(HaveLen(1))
	})
})
