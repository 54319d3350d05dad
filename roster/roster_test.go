package roster_test

import (
	"context"
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
	"github.com/chestnutsail/chestnutsail/roster"
	"github.com/chestnutsail/chestnutsail/suite"
)

func TestRoster(t *testing.T) { suite.Run(t, "roster") }

const prefix = "cs/i/"

// member is an instance with a mirror of the store.
type member struct {
	*roster.Roster
	mirror *mirror.Mirror
}

func join(store *platformtest.Store, name, address string) *member {
	log := logrus.New()
	log.SetOutput(GinkgoWriter)
	entry := log.WithField("instance", name)
	client := platform.NewStore(platform.StoreOptions{Address: store.Address()})
	m := &member{Roster: roster.New(roster.Options{Store: client, Prefix: prefix, Name: name, Address: address, Domain: "a", Strength: 40, Memory: 144, Clock: clock.New(), Log: entry})}
	m.mirror = mirror.New(mirror.Options{Store: client, Prefix: "cs/", Replace: m.Replace, Apply: m.Apply, Clock: clock.New(), Log: entry})
	DeferCleanup(func(ctx context.Context) {
		_ = m.Stop(ctx)
		_ = m.mirror.Stop(ctx)
	})
	return m
}

var _ = Describe("the roster", func() {
	var store *platformtest.Store
	BeforeEach(func() {
		store = platformtest.NewStore()
		DeferCleanup(store.Close)
	})

	// Guards against a registration that remains although its instance has left, because the answer to
	// the write was lost or the instance stopped while it waited for it.
	It("forgets an instance whose registration got no answer at first", func() {
		store.SetFaults(func(f *platformtest.Faults) { f.LostAnswers = 1 })
		b := join(store, "b", "10.0.0.2:7000")
		a := join(store, "a", "")
		Eventually(store.AppliedTxns, 4*time.Second).Should(Equal(2), "it registered again")
		Eventually(a.Peers, 3*time.Second).Should(HaveLen(1))
		Expect(b.Stop(context.Background())).To(Succeed())
		Eventually(a.Peers, 3*time.Second).Should(BeEmpty())
	})

	It("tells the failure domain, the strength and the memory of instances, and of those that registered less", func() {
		a := join(store, "a", "10.0.0.1:7000")
		join(store, "b", "10.0.0.2:7000")
		store.Put(prefix+"old/17", []byte("10.0.0.3:7000"))
		store.Put(prefix+"x/y/z", []byte("10.0.0.4:7000"))
		store.Put(prefix+"a/c/40/18", []byte("10.0.0.5:7000"))
		store.Put(prefix+"a/c/40/many/18", []byte("10.0.0.6:7000"))
		Eventually(a.Others, 3*time.Second).Should(Equal([]roster.Instance{
			{Name: "b", Address: "10.0.0.2:7000", Domain: "a", Strength: 40, Memory: 144},
			{Name: "old", Address: "10.0.0.3:7000"},
			{Address: "10.0.0.4:7000"},
			{Name: "c", Address: "10.0.0.5:7000", Domain: "a", Strength: 40},
			{Address: "10.0.0.6:7000"},
		}))
	})

	It("finds the last registration of a name", func() {
		a := join(store, "a", "10.0.0.1:7000")
		store.Put(prefix+"d/b/0/9", []byte("10.0.0.2:7000"))
		store.Put(prefix+"d/b/0/10", []byte("10.0.0.3:7000"))
		Eventually(a.Others, 3*time.Second).Should(HaveLen(2))
		found, ok := a.Find("b")
		Expect(ok).To(BeTrue())
		Expect(found.Address).To(Equal("10.0.0.3:7000"))
		_, ok = a.Find("c")
		Expect(ok).To(BeFalse())
	})

	It("lets instances find each other, and forgets those that leave", func() {
		a, b := join(store, "a", "10.0.0.1:7000"), join(store, "b", "10.0.0.2:7000")
		observer := join(store, "c", "")
		Eventually(a.Peers, 3*time.Second).Should(Equal([]string{"10.0.0.2:7000"}))
		Eventually(b.Peers, 3*time.Second).Should(Equal([]string{"10.0.0.1:7000"}))
		Eventually(observer.Peers, 3*time.Second).Should(HaveLen(2))
		Expect(b.Stop(context.Background())).To(Succeed())
		Eventually(a.Peers, 3*time.Second).Should(BeEmpty())
	})

	It("lists an instance that was started again once", func() {
		a := join(store, "a", "10.0.0.1:7000")
		join(store, "b", "10.0.0.2:7000")
		join(store, "b", "10.0.0.2:7000")
		Eventually(a.Peers, 3*time.Second).Should(HaveLen(1))
		Consistently(a.Peers, 200*time.Millisecond).Should(HaveLen(1))
	})

	It("ignores other keys", func() {
		r := roster.New(roster.Options{Prefix: prefix, Clock: clock.New()})
		r.Replace([]kv.Entry{{Key: "cs/lead", Value: []byte("x")}, {Key: prefix + "b/1", Value: []byte("10.0.0.2:7000")}})
		r.Apply([]kv.Change{{Entry: kv.Entry{Key: "cs/j/1/a", Value: []byte("y")}}})
		Expect(r.Peers()).To(Equal([]string{"10.0.0.2:7000"}))
		r.Apply([]kv.Change{{Entry: kv.Entry{Key: prefix + "b/1"}, Deleted: true}})
		Expect(r.Peers()).To(BeEmpty())
	})
})
