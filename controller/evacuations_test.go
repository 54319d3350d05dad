package controller_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/evacuation"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/mirror"
	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/platform/platformtest"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// maxEvacuationAge is the greatest age at which instances under test rely on the requests for evacuations.
const maxEvacuationAge = 1200 * clock.Millisecond

// followEvacuations returns the requests for evacuations that an instance follows, or nil if there are none.
func (c *cluster) followEvacuations(i *instance, clk *clock.Clock, log *logrus.Entry) *evacuation.Requests {
	if !c.evacuable {
		return nil
	}
	var m *mirror.Mirror
	requests := evacuation.New(evacuation.Options{
		Age: func() clock.Millis { return m.Age() }, MaxAge: func() clock.Millis { return maxEvacuationAge }, Clock: clk, Log: log,
	})
	domain := func(e kv.Entry) string { return e.Key[len(platform.EvacuationPrefix):] }
	m = mirror.New(mirror.Options{
		Store: i.Store, Prefix: platform.EvacuationPrefix, Wait: maxEvacuationAge / 2, Clock: clk, Log: log,
		Replace: func(entries []kv.Entry) {
			var domains []string
			for _, e := range entries {
				domains = append(domains, domain(e))
			}
			requests.Replace(domains)
		},
		Apply: func(changes []kv.Change) {
			for _, x := range changes {
				requests.Set(domain(x.Entry), !x.Deleted)
			}
		},
	})
	DeferCleanup(m.Stop)
	return requests
}

// newEvacuableCluster returns a cluster with an idle worker in each of the failure domains a and b, and its
// leader.
func newEvacuableCluster() (*cluster, *instance) {
	GinkgoHelper()
	c := newClusterWithLease(0, 10*clock.Second)
	c.evacuable = true
	c.addWorkerIn("a", "", "i-a")
	c.addWorkerIn("b", "", "i-b")
	i := c.startInstance(nil)
	Eventually(i.isLeader, shortTimeout).Should(BeTrue())
	i.completeJob(jobID(1))
	return c, i
}

var _ = Describe("a failure domain to be evacuated", func() {
	const request = platform.EvacuationPrefix + "a"
	// inForce is longer than a request takes until it is in force where nothing fails.
	const inForce = 250 * time.Millisecond
	long := func(tasks int) workflow.Spec {
		return workflow.Spec{Payload: "ms=60000", Steps: []workflow.Step{step(tasks)}}
	}
	starts := func(c *cluster, worker int) func() int { return func() int { return len(c.workers[worker].Starts()) } }

	allStarts := func(c *cluster) int { return starts(c, 0)() + starts(c, 1)() }

	It("gets nothing new, goes on with what runs there, and is used again afterwards", func() {
		c, i := newEvacuableCluster()
		i.submit(jobID(2), long(16)) // both workers are full
		Eventually(c.running, shortTimeout).Should(Equal(16))
		c.store.Put(request, []byte("{}"))
		time.Sleep(inForce)
		c.workers[0].FinishRuns()
		i.submit(jobID(3), long(4))
		Consistently(c.running, time.Second).Should(Equal(8))
		c.workers[1].FinishRuns()
		Eventually(c.workers[1].Running, shortTimeout).Should(Equal(4))
		before := starts(c, 0)()
		i.submit(jobID(4), long(8))
		Consistently(starts(c, 0), 500*time.Millisecond).Should(Equal(before))
		c.store.Delete(request)
		Eventually(c.running, shortTimeout).Should(Equal(12))
	})

	It("keeps its runs", func() {
		c, i := newEvacuableCluster()
		lasting := step(16)
		lasting.UntilCancelled = true
		i.submit(jobID(2), workflow.Spec{Payload: "ms=60000", Steps: []workflow.Step{lasting}})
		Eventually(c.running, shortTimeout).Should(Equal(16))
		c.store.Put(request, []byte("{}"))
		Consistently(c.running, 2*time.Second).Should(Equal(16))
	})

	It("is known to a leader that was elected right after the request, although its watch is behind", func() {
		c, earlier := newEvacuableCluster()
		later := c.startInstance(nil)
		time.Sleep(300 * time.Millisecond) // its watch waits
		c.store.SetFaults(func(f *platformtest.Faults) { f.HungWatches = platform.EvacuationPrefix })
		time.Sleep(maxEvacuationAge.Duration() / 2) // the watch that waited has ended
		before := starts(c, 0)()
		c.store.Put(request, []byte("{}"))
		earlier.election.Resign(context.Background())
		Eventually(later.isLeader, shortTimeout).Should(BeTrue())
		later.submit(jobID(2), long(8))
		Eventually(c.workers[1].Running, shortTimeout).Should(Equal(8))
		Expect(starts(c, 0)()).To(Equal(before))
	})

	It("may be any while the store does not tell, so that nothing starts", func() {
		c, i := newEvacuableCluster()
		c.store.SetFaults(func(f *platformtest.Faults) {
			f.HungWatches, f.HungLists = platform.EvacuationPrefix, platform.EvacuationPrefix
		})
		c.store.Put(request, []byte("{}"))
		time.Sleep(3 * maxEvacuationAge.Duration() / 2)
		before := allStarts(c)
		i.submit(jobID(2), long(8))
		Consistently(func() int { return allStarts(c) }, time.Second).Should(Equal(before))
		c.store.SetFaults(func(f *platformtest.Faults) { *f = platformtest.Faults{} })
		Eventually(c.workers[1].Running, shortTimeout).Should(Equal(8))
		Expect(allStarts(c)).To(Equal(before + 8))
	})

	DescribeTable("follows a change that the store drops with its history:",
		func(before, change func(*platformtest.Store), running func(c *cluster) bool) {
			c, i := newEvacuableCluster()
			before(c.store)
			time.Sleep(inForce)
			c.store.SetFaults(func(f *platformtest.Faults) { f.MuteWatches = true })
			change(c.store)
			c.store.Compact()
			c.store.SetFaults(func(f *platformtest.Faults) { f.MuteWatches = false })
			time.Sleep(inForce)
			i.submit(jobID(2), long(16))
			Eventually(func() bool { return running(c) }, shortTimeout).Should(BeTrue())
			Consistently(func() bool { return running(c) }, 500*time.Millisecond).Should(BeTrue())
		},
		Entry("a request", func(*platformtest.Store) {}, func(s *platformtest.Store) { s.Put(request, []byte("{}")) },
			func(c *cluster) bool { return c.workers[0].Running() == 0 && c.workers[1].Running() == 8 }),
		Entry("the end of a request", func(s *platformtest.Store) { s.Put(request, []byte("{}")) }, func(s *platformtest.Store) { s.Delete(request) },
			func(c *cluster) bool { return c.workers[0].Running() == 8 && c.workers[1].Running() == 8 }),
	)

	DescribeTable("gets no copy of an order without an answer",
		func(gang bool) {
			c, i := newEvacuableCluster()
			c.workers[1].Register("draining")
			time.Sleep(500 * time.Millisecond) // the leader sees that only the other worker takes work
			c.workers[0].HangCalls(true)
			before := starts(c, 0)()
			work := step(2)
			work.Gang = gang
			i.submit(jobID(2), workflow.Spec{Payload: "ms=60000", Steps: []workflow.Step{work}})
			time.Sleep(300 * time.Millisecond) // the first copies get no answer
			c.store.Put(request, []byte("{}"))
			c.workers[1].Register("ready")
			time.Sleep(inForce)
			c.workers[0].HangCalls(false)
			Eventually(c.workers[1].Running, shortTimeout).Should(Equal(2))
			Expect(starts(c, 0)()).To(Equal(before))
		},
		Entry("of tasks", false),
		Entry("of a gang", true),
	)
})
