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

// content is what a mirror has been told.
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
		back *platformtest.Store
		seen *content
		m    *mirror.Mirror
	)

	BeforeEach(func() {
		back, seen = platformtest.NewStore(), &content{}
		DeferCleanup(back.Close)
		back.Put("p/1", []byte("one"))
		log := logrus.New()
		log.SetOutput(GinkgoWriter)
		m = mirror.New(mirror.Options{
			Store: platform.NewStore(platform.StoreOptions{Address: back.Address()}), Prefix: "p/", Clock: clock.New(),
			Wait: 200 * clock.Millisecond, Timeout: 300 * clock.Millisecond,
			Replace: seen.replace, Apply: seen.apply, Log: logrus.NewEntry(log),
		})
		DeferCleanup(m.Stop)
		Eventually(func() string { return seen.get("p/1") }).Should(Equal("one"))
	})

	It("follows changes and removals", func() {
		back.Put("p/2", []byte("two"))
		Eventually(func() string { return seen.get("p/2") }).Should(Equal("two"))
		back.Drop("p/1")
		Eventually(func() string { return seen.get("p/1") }).Should(BeEmpty())
		Expect(m.Synced()).To(BeTrue())
	})

	DescribeTable("catches up after",
		func(begin, end func(*platformtest.Faults)) {
			back.Set(begin)
			time.Sleep(300 * time.Millisecond)
			back.Put("p/2", []byte("two"))
			back.Drop("p/1")
			back.Compact()
			back.Set(end)
			Eventually(func() string { return seen.get("p/2") }, 3*time.Second).Should(Equal("two"))
			Eventually(func() string { return seen.get("p/1") }, 3*time.Second).Should(BeEmpty())
			Expect(m.Age()).To(BeNumerically("<", clock.Second))
		},
		Entry("a store that was down", func(f *platformtest.Faults) { f.Down = true }, func(f *platformtest.Faults) { f.Down = false }),
		Entry("a store that did not answer in time", func(f *platformtest.Faults) { f.Slow = time.Second }, func(f *platformtest.Faults) { f.Slow = 0 }),
		Entry("a silent watch whose history is gone", func(f *platformtest.Faults) { f.Mute = true }, func(f *platformtest.Faults) { f.Mute = false }),
	)

	It("lists more than it can read within one timeout", func() {
		for n := range 1400 {
			back.Put(fmt.Sprintf("p/%04d", n), []byte("x"))
		}
		// A page of 500 takes 150 ms, and all three more than the timeout of 300 ms.
		back.Set(func(f *platformtest.Faults) { f.Item = 300 * time.Microsecond })
		back.Compact()
		back.Put("p/9999", []byte("last"))
		Eventually(func() string { return seen.get("p/9999") }, 2*time.Second).Should(Equal("last"))
		Expect(seen.get("p/1399")).To(Equal("x"))
	})

	It("tells how long there was no news, and how old the last answer is", func() {
		time.Sleep(500 * time.Millisecond)
		Expect(m.Quiet()).To(BeNumerically(">=", 450*clock.Millisecond))
		Expect(m.Age()).To(BeNumerically("<", 400*clock.Millisecond))
	})
})
