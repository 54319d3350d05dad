package mirror_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/mirror"
	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/platform/platformtest"
	"github.com/chestnutsail/chestnutsail/suite"
)

func TestMirror(t *testing.T) { suite.Run(t, "mirror") }

// content collects the keys that a mirror reports.
type content struct {
	mu   sync.Mutex
	keys map[string]string
}

func (c *content) replace(entries []kv.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys = make(map[string]string)
	for _, e := range entries {
		c.keys[e.Key] = string(e.Value)
	}
}

func (c *content) apply(changes []kv.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range changes {
		c.keys[x.Key] = string(x.Value)
		if x.Deleted {
			delete(c.keys, x.Key)
		}
	}
}

func (c *content) get(key string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.keys[key]
}

var _ = Describe("a mirror", func() {
	var (
		store    *platformtest.Store
		received *content
		m        *mirror.Mirror
	)

	BeforeEach(func() {
		store, received = platformtest.NewStore(), &content{}
		DeferCleanup(store.Close)
		store.Put("p/1", []byte("one"))
		log := logrus.New()
		log.SetOutput(GinkgoWriter)
		m = mirror.New(mirror.Options{
			Store: platform.NewStore(platform.StoreOptions{Address: store.Address()}), Prefix: "p/", Clock: clock.New(),
			Wait: 200 * clock.Millisecond, Timeout: 300 * clock.Millisecond,
			Replace: received.replace, Apply: received.apply, Log: logrus.NewEntry(log),
		})
		DeferCleanup(m.Stop)
		Eventually(func() string { return received.get("p/1") }).Should(Equal("one"))
	})

	It("follows changes and deletions", func() {
		store.Put("p/2", []byte("two"))
		Eventually(func() string { return received.get("p/2") }).Should(Equal("two"))
		store.Delete("p/1")
		Eventually(func() string { return received.get("p/1") }).Should(BeEmpty())
		Expect(m.Synced()).To(BeTrue())
	})

	DescribeTable("recovers from",
		func(begin, end func(*platformtest.Faults)) {
			store.SetFaults(begin)
			time.Sleep(300 * time.Millisecond)
			store.Put("p/2", []byte("two"))
			store.Delete("p/1")
			store.Compact()
			store.SetFaults(end)
			Eventually(func() string { return received.get("p/2") }, 3*time.Second).Should(Equal("two"))
			Eventually(func() string { return received.get("p/1") }, 3*time.Second).Should(BeEmpty())
			Expect(m.Age()).To(BeNumerically("<", clock.Second))
		},
		Entry("an outage of the store", func(f *platformtest.Faults) { f.Down = true }, func(f *platformtest.Faults) { f.Down = false }),
		Entry("answers that take longer than the timeout", func(f *platformtest.Faults) { f.AnswerDelay = time.Second }, func(f *platformtest.Faults) { f.AnswerDelay = 0 }),
		Entry("a watch that reports nothing while the history is compacted", func(f *platformtest.Faults) { f.MuteWatches = true }, func(f *platformtest.Faults) { f.MuteWatches = false }),
	)

	It("lists more keys than it can read within one timeout", func() {
		for n := range 1400 {
			store.Put(fmt.Sprintf("p/%04d", n), []byte("x"))
		}
		// A page of 500 keys takes 150 ms, and the three pages together take longer than the
		// timeout of 300 ms.
		store.SetFaults(func(f *platformtest.Faults) { f.ItemDelay = 300 * time.Microsecond })
		store.Compact()
		store.Put("p/9999", []byte("last"))
		Eventually(func() string { return received.get("p/9999") }, 2*time.Second).Should(Equal("last"))
		Expect(received.get("p/1399")).To(Equal("x"))
	})

	It("reports the time since the last change and since the last answer", func() {
		time.Sleep(500 * time.Millisecond)
		Expect(m.SinceChange()).To(BeNumerically(">=", 450*clock.Millisecond))
		Expect(m.Age()).To(BeNumerically("<", 400*clock.Millisecond))
	})
})
