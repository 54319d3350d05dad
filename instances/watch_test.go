package instances_test

import (
	"context"
	"io"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/consul"
	"github.com/chestnutsail/chestnutsail/consultest"
	"github.com/chestnutsail/chestnutsail/instances"
)

var _ = Describe("the watched list", func() {
	var store *consultest.Server
	var server *httptest.Server
	var d *instances.Directory

	register := func(name, domain string) {
		GinkgoHelper()
		row := consul.Instance{Name: name, Domain: domain, Address: "127.0.0.1:1"}
		Expect(consul.New(consul.Config{Address: server.URL}).Register(context.Background(), consul.RoleWorker, row)).To(Succeed())
	}
	names := func() []string {
		var list []string
		for _, w := range d.Workers() {
			list = append(list, w.Name)
		}
		return list
	}
	reads := func() int {
		n := 0
		for _, c := range store.Calls() {
			n += c.Reads
		}
		return n
	}

	BeforeEach(func() {
		store = consultest.New(consultest.Options{})
		server = httptest.NewServer(store)
		register("a-1", "a")
		register("b-1", "b")
		log := logrus.New()
		log.SetOutput(io.Discard)
		d = instances.New(instances.Options{
			Source: consul.New(consul.Config{Address: server.URL}), Domain: "a", Period: 20 * clock.Millisecond,
			Log: logrus.NewEntry(log),
		})
		DeferCleanup(func() {
			_ = d.Stop(context.Background())
			server.CloseClientConnections()
			server.Close()
		})
		Eventually(names).Should(Equal([]string{"a-1"}))
	})

	It("receives a change at once and does not poll while there is none", func() {
		Consistently(reads, "300ms").Should(BeNumerically("<=", 2))
		register("a-2", "a")
		Eventually(names).Should(Equal([]string{"a-1", "a-2"}))
	})

	It("keeps its workers during an outage of the store and catches up afterwards", func() {
		store.SetFaults(consultest.Faults{Down: true})
		register("a-2", "a")
		Consistently(names, "300ms").Should(Equal([]string{"a-1"}))
		store.SetFaults(consultest.Faults{})
		Eventually(names).Should(Equal([]string{"a-1", "a-2"}))
	})
})
