package fleet_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/fleet"
	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/platform/platformtest"
)

var _ = Describe("a list of workers with many odd entries", func() {
	// The list has several pages, and each kind of entry stands before and after the workers' in it.
	It("leaves an instance at work", func() {
		ctx := context.Background()
		store := platformtest.NewStore()
		DeferCleanup(store.Close)
		deep := strings.Repeat("[", 12000)
		kinds := []string{
			"", "\xff\x00", "null", "[]", deep, `{"x":` + deep, `{"capacity":{"gpu":1e400}}`, `{"born":` + strings.Repeat("9", 1000) + `}`,
			entryAt("127.0.0.1:65536", "8"), entryAt("127.0.0.1", "8"), entryAt("127.0.0.1:1", "8"), entryAt("127.0.0.1:1", "9223372036854775807"), entryAt("127.0.0.1:1", "-1"),
		}
		putOdd := func(prefix string) {
			for n := range 300 {
				store.Put(platform.WorkersPrefix+fmt.Sprint(prefix, n), []byte(kinds[n%len(kinds)]))
			}
		}
		putOdd("a")
		putOdd("z")
		newWorker := func(id string) *platformtest.Worker {
			w := platformtest.NewWorker(platformtest.WorkerOptions{Store: store, ID: id})
			DeferCleanup(w.Close)
			return w
		}
		first := newWorker("i-1")
		store.Put(platform.ConfigKey, platformtest.Config(1, platformtest.Queue{Name: "q", Attempts: 1}))
		log := logrus.New()
		log.SetOutput(GinkgoWriter)
		s := platform.Settings{
			Name: "e1", IP: "127.0.0.1", Domain: "a", CallerAddress: freeAddress(), ReadyAddress: freeAddress(), StoreAddress: store.Address(), Cores: 1, LinkSpeed: 1000,
			Bounds: platform.Bounds{MaxLease: 5 * clock.Second, StopTime: 100 * clock.Millisecond, TerminationGrace: 3 * clock.Second},
		}
		instance := fleet.New(fleet.Options{Settings: s, Log: logrus.NewEntry(log)})
		Expect(instance.Start(ctx)).To(Succeed())
		DeferCleanup(func() { Expect(instance.Stop(ctx)).To(Succeed()) })
		caller := platformtest.NewCaller(2 * time.Second)
		completes := func(id string, tasks int) {
			GinkgoHelper()
			Eventually(func() int {
				return caller.Submit(ctx, s.CallerAddress, "q", id, platformtest.Job{Spec: "ms=50", Count: tasks})
			}, 3*time.Second).Should(Equal(200))
			Eventually(func() string {
				state, _ := caller.State(ctx, s.CallerAddress, "q", id)
				return state
			}, 5*time.Second).Should(Equal("completed"))
		}
		completes("5c0e7a21d94b36f0", 2)
		putOdd("b")
		second := newWorker("i-2")
		first.Register("draining")
		Eventually(func() int {
			completes(fmt.Sprintf("%016x", time.Now().UnixNano()), 2)
			return len(second.Starts())
		}, 5*time.Second).Should(BeNumerically(">=", 2), "the new worker gets work")
	})
})

// entryAt returns an entry with an address and a number of accelerators.
func entryAt(address, accels string) string {
	return `{"service":"svc","address":"` + address + `","zone":"a","state":"ready","capacity":{"cpu":64000,"memMb":65536,"gpu":` + accels + `},"labels":["a","r1-1"]}`
}
