package fleet_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/fleet"
	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/platform/platformtest"
)

var _ = Describe("an instance that shuts down", func() {
	DescribeTable("answers a request on a connection that is open", func(after time.Duration) {
		ctx := context.Background()
		store := platformtest.NewStore()
		DeferCleanup(store.Close)
		store.Put(platform.ConfigKey, platformtest.Config(1, platformtest.Queue{Name: "q", Attempts: 1}))
		m := startInstance("e1", "a", store.Address())
		caller := platformtest.NewCaller(2 * time.Second)
		const id = "5c0e7a21d94b36f8"
		Eventually(func() int {
			return caller.Submit(ctx, m.settings.CallerAddress, "q", id, platformtest.Job{Spec: "ms=9000", Count: 1})
		}, 5*time.Second).Should(Equal(http.StatusOK))
		stopped := make(chan error, 1)
		go func() { stopped <- m.Stop(ctx) }()
		time.Sleep(900 * time.Millisecond) // it takes connections for 1 s
		conn, err := net.Dial("tcp", m.settings.CallerAddress)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		time.Sleep(after)
		_, err = fmt.Fprintf(conn, "GET /q/%s HTTP/1.1\r\nHost: %s\r\n\r\n", id, platformtest.Host)
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetReadDeadline(time.Now().Add(3 * time.Second))).To(Succeed())
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(resp.Body.Close)
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(resp.Close).To(BeTrue())
		Eventually(stopped, 5*time.Second).Should(Receive())
	},
		Entry("before it closes its listener", time.Duration(0)),
		Entry("just after it has closed its listener", 200*time.Millisecond),
		Entry("2 s after it has closed its listener", 2100*time.Millisecond),
	)

	It("ends within its termination grace although the store hangs while it leads", func() {
		store := platformtest.NewStore()
		DeferCleanup(store.Close)
		store.Put(platform.ConfigKey, platformtest.Config(1, platformtest.Queue{Name: "q", Attempts: 1}))
		m := startInstance("e1", "a", store.Address())
		Eventually(func() string { return leaderName(store) }, 5*time.Second).Should(Equal("e1"))
		grace := m.settings.Bounds.TerminationGrace
		store.SetFaults(func(f *platformtest.Faults) { f.AnswerDelay = 5 * time.Second })
		ctx, cancel := context.WithTimeout(context.Background(), (grace - clock.Second/2).Duration())
		defer cancel()
		stopped := make(chan error, 1)
		go func() { stopped <- m.Stop(ctx) }()
		Eventually(stopped, grace.Duration()).Should(Receive())
	})

	It("reports no error although it is stopped just after its start", func() {
		store := platformtest.NewStore()
		DeferCleanup(store.Close)
		log := logrus.New()
		log.SetOutput(GinkgoWriter)
		ctx := context.Background()
		for range 60 {
			instance := fleet.New(fleet.Options{Log: logrus.NewEntry(log), Settings: platform.Settings{
				Name: "e1", IP: "127.0.0.1", CallerAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", StoreAddress: store.Address(),
			}})
			Expect(instance.Start(ctx)).To(Succeed())
			Expect(instance.Stop(ctx)).To(Succeed())
		}
	})
})
