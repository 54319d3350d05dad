package fleet_test

import (
	"context"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/counters"
	"github.com/chestnutsail/chestnutsail/election"
	"github.com/chestnutsail/chestnutsail/fleet"
	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/platform/platformtest"
)

// link passes TCP connections on to a target until it is cut.
type link struct {
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
	isCut    bool
}

func newLink(target string) *link {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	l := &link{listener: listener}
	DeferCleanup(l.cut)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			l.pass(conn, target)
		}
	}()
	return l
}

func (l *link) pass(conn net.Conn, target string) {
	out, err := net.Dial("tcp", target)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil || l.isCut {
		_ = conn.Close()
		return
	}
	l.conns = append(l.conns, conn, out)
	go func() { _, _ = io.Copy(out, conn) }()
	go func() { _, _ = io.Copy(conn, out) }()
}

func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = true
	_ = l.listener.Close()
	for _, c := range l.conns {
		_ = c.Close()
	}
}

// member is an instance with a port for the calls of others.
type member struct {
	*fleet.Instance
	settings platform.Settings
	counters *counters.Counters
}

// startInstance starts an instance in a failure domain. It is stopped at the end of the spec.
func startInstance(name, domain, store string) member {
	GinkgoHelper()
	ip, port, err := net.SplitHostPort(freeAddress())
	Expect(err).NotTo(HaveOccurred())
	peerPort, err := strconv.Atoi(port)
	Expect(err).NotTo(HaveOccurred())
	s := platform.Settings{
		Name: name, IP: ip, Domain: domain, CallerAddress: freeAddress(), ReadyAddress: freeAddress(), StoreAddress: store, Cores: 1, LinkSpeed: 1000,
		Ports:  [2]int{peerPort, 0},
		Bounds: platform.Bounds{MaxLease: 5 * clock.Second, StopTime: 100 * clock.Millisecond, TerminationGrace: 3 * clock.Second, ConfigTime: 2 * clock.Second},
	}
	log := logrus.New()
	log.SetOutput(GinkgoWriter)
	m := member{settings: s, counters: counters.New()}
	m.Instance = fleet.New(fleet.Options{Settings: s, Counters: m.counters, Log: log.WithField("instance", name)})
	ctx := context.Background()
	Expect(m.Start(ctx)).To(Succeed())
	DeferCleanup(func() { _ = m.Stop(ctx) })
	return m
}

// leaderName returns the name of the leader, or "" if there is none.
func leaderName(store *platformtest.Store) string {
	name, _, _ := election.ParseHolder(string(store.Value(board.LeaderKey)))
	return name
}

// Guards against callers that are refused, or answered by an old configuration, by an instance that
// alone has lost the store.
var _ = Describe("an instance that alone has lost the store", func() {
	const id = "5c0e7a21d94b36f8"
	ctx := context.Background()
	caller := platformtest.NewCaller(2 * time.Second)
	start := func(name, store string) platform.Settings {
		return startInstance(name, "a", store).settings
	}

	// Guards against an instance that does not start because metrics and peers share the only port.
	It("needs no port of its own if the settings leave only the one for metrics", func() {
		store := platformtest.NewStore()
		DeferCleanup(store.Close)
		log := logrus.New()
		log.SetOutput(GinkgoWriter)
		ip, port, err := net.SplitHostPort(freeAddress())
		Expect(err).NotTo(HaveOccurred())
		metrics, err := strconv.Atoi(port)
		Expect(err).NotTo(HaveOccurred())
		instance := fleet.New(fleet.Options{Log: logrus.NewEntry(log), Settings: platform.Settings{
			Name: "e1", IP: ip, CallerAddress: freeAddress(), ReadyAddress: freeAddress(), StoreAddress: store.Address(),
			Ports: [2]int{metrics, metrics},
		}})
		Expect(instance.Start(ctx)).To(Succeed())
		Expect(instance.Stop(ctx)).To(Succeed())
	})

	// Guards against a caller that is told through another instance that its job is completed, and at the
	// next query that it is running, since the other one has stopped meanwhile.
	It("does not go back from a final state that another one has told", func() {
		store := platformtest.NewStore()
		DeferCleanup(store.Close)
		DeferCleanup(platformtest.NewWorker(platformtest.WorkerOptions{Store: store, ID: "i-1"}).Close)
		storeLink := newLink(store.Address())
		connected, cutOff := startInstance("e1", "a", store.Address()), startInstance("e2", "a", storeLink.listener.Addr().String())
		store.Put(platform.ConfigKey, platformtest.Config(1, platformtest.Queue{Name: "q", Attempts: 1}))
		state := func() string {
			state, _ := caller.State(ctx, cutOff.settings.CallerAddress, "q", id)
			return state
		}
		Eventually(func() int {
			return caller.Submit(ctx, connected.settings.CallerAddress, "q", id, platformtest.Job{Spec: "ms=2500", Count: 1})
		}, 3*time.Second).Should(Equal(200))
		Eventually(state, 3*time.Second).Should(Equal("running"))
		storeLink.cut()
		Eventually(state, 8*time.Second).Should(Equal("completed"))
		Expect(connected.Stop(ctx)).To(Succeed())
		Consistently(state, time.Second).Should(Equal("completed"))
	})

	It("accepts and tells through another one, and never goes back to an older configuration", func() {
		store := platformtest.NewStore()
		DeferCleanup(store.Close)
		DeferCleanup(platformtest.NewWorker(platformtest.WorkerOptions{Store: store, ID: "i-1"}).Close)
		storeLink := newLink(store.Address())
		connected, cutOff := start("e1", store.Address()), start("e2", storeLink.listener.Addr().String())
		store.Put(platform.ConfigKey, platformtest.Config(1, platformtest.Queue{Name: "q", Attempts: 1}))
		status := func(s platform.Settings, queue string) func() int {
			return func() int {
				_, status := caller.State(ctx, s.CallerAddress, queue, id)
				return status
			}
		}
		Eventually(status(connected, "q"), 3*time.Second).Should(Equal(410))
		Eventually(status(cutOff, "q"), 3*time.Second).Should(Equal(410))
		// The mirrors have to know both instances.
		time.Sleep(500 * time.Millisecond)

		storeLink.cut()
		store.Put(platform.ConfigKey, platformtest.Config(2, platformtest.Queue{Name: "new", Attempts: 1}))
		Eventually(status(connected, "new"), 3*time.Second).Should(Equal(410))
		Eventually(func() int {
			return caller.Submit(ctx, cutOff.CallerAddress, "new", id, platformtest.Job{Spec: "ms=50", Count: 2})
		}, 4*time.Second).Should(Equal(200))
		Eventually(func() string {
			state, _ := caller.State(ctx, cutOff.CallerAddress, "new", id)
			return state
		}, 3*time.Second).Should(Equal("completed"))
		Expect(status(cutOff, "q")()).To(Equal(404), "the queue is gone in the newer configuration")
	})
})
