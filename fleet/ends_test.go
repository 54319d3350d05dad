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

	It("is told as completed by all instances once the store has recorded it, and not before", func() {
		Eventually(func() int { return worker.Done(id + ".0.0.0") }, 5*time.Second).Should(Equal(1))
		Consistently(states, 3*time.Second).ShouldNot(ContainElement("completed"))
		store.SetFaults(func(x *platformtest.Faults) { x.Down = false })
		Eventually(states, 3*time.Second).Should(Equal(completed))
		Consistently(states, 2*time.Second).Should(Equal(completed))
		Expect(worker.Starts()).To(HaveLen(1))
	})

	It("is not run again by another leader, although its worker is gone", func() {
		i := slices.IndexFunc(members, func(m member) bool { return m.settings.Name == leader })
		Eventually(members[i].counters.Counter(`chestnutsail_ends_shared_total{outcome="held"}`).Get, 5*time.Second).Should(BeNumerically(">", 0))
		worker.Close()
		other := platformtest.NewWorker(platformtest.WorkerOptions{Store: store, ID: "i-2"})
		DeferCleanup(other.Close)
		_ = members[i].Stop(ctx)
		members = slices.Delete(members, i, i+1)
		store.SetFaults(func(x *platformtest.Faults) { x.Down = false })
		Eventually(states, 3*time.Second).Should(HaveEach("completed"))
		// Within this time the lease of the run has ended, and the new leader would place it again.
		Consistently(states, 8*time.Second).Should(HaveEach("completed"))
		Expect(other.Starts()).To(BeEmpty())
	})
	// Guards against a job that callers are told is completed and that runs again, because all instances that
	// knew of its end have been restarted in turn before the store returned, and its worker has left.
	It("is not started after it was told as completed, although all instances are restarted in the outage", func() {
		var toldAt time.Time
		// watch asks all instances for a time, or until one of them tells that the job is completed.
		watch := func(duration time.Duration) {
			for end := time.Now().Add(duration); toldAt.IsZero() && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				if slices.Contains(states(), "completed") {
					toldAt = time.Now()
				}
			}
		}
		watch(4 * time.Second)
		Expect(worker.Done(id + ".0.0.0")).To(Equal(1))
		other := platformtest.NewWorker(platformtest.WorkerOptions{Store: store, ID: "i-2"})
		DeferCleanup(other.Close)
		worker.Close()
		store.Delete(platform.WorkersPrefix + worker.ID())
		for i, m := range members {
			_ = m.Stop(ctx)
			members[i] = startInstance(m.settings.Name, m.settings.Domain, store.Address())
		}
		store.SetFaults(func(x *platformtest.Faults) { x.Down = false })
		watch(15 * time.Second)
		Expect(toldAt).NotTo(BeZero())
		// A leader that does not know of the end starts the task when its lease has lapsed.
		Consistently(func() []platformtest.Interval {
			return slices.DeleteFunc(other.History(), func(r platformtest.Interval) bool { return r.Started.Before(toldAt) })
		}, time.Until(toldAt.Add(12*time.Second))).Should(BeEmpty())
		Expect(states()).To(Equal(completed))
	})
})
