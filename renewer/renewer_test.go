package renewer_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/renewer"
	"github.com/chestnutsail/chestnutsail/suite"
	"github.com/chestnutsail/chestnutsail/worker"
	"github.com/chestnutsail/chestnutsail/workertest"
)

func TestRenewer(t *testing.T) { suite.Run(t, "renewer") }

// line keeps what renewals bring.
type line struct {
	mu     sync.Mutex
	events []renewer.Event
	deaf   bool
}

func (l *line) Deliver(_ context.Context, e renewer.Event) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.deaf {
		return context.Canceled
	}
	l.events = append(l.events, e)
	return nil
}

func (*line) Spread(context.Context, renewer.Notice) {}

func (l *line) states(id string) []worker.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	var states []worker.State
	for _, e := range l.events {
		for _, t := range e.Tasks {
			if t.ID == id {
				states = append(states, t.State)
			}
		}
	}
	return states
}

// launch starts a whole task under a lease of lease milliseconds.
func launch(c *worker.Client, id, payload string, lease clock.Millis) error {
	ctx := context.Background()
	t := worker.Task{ID: id, Attempt: 1, Term: 1, Needs: job.Resources{Slots: 1}, Lease: lease, Payload: []byte(payload)}
	if _, err := c.Reserve(ctx, t); err != nil {
		return err
	}
	if _, err := c.Start(ctx, t); err != nil {
		return err
	}
	t.Whole = true
	_, err := c.Lift(ctx, t)
	return err
}

var _ = Describe("renewals", func() {
	It("keep whole tasks alive, let others lapse, and bring each end to the scheduler once it listens", func() {
		w := workertest.New(workertest.Options{Name: "a-1", Capacity: job.Resources{Slots: 8}})
		server := httptest.NewServer(w)
		DeferCleanup(server.Close)
		c := worker.New(worker.Config{Address: server.Listener.Addr().String()})
		l := &line{deaf: true}
		r := renewer.New(renewer.Options{
			Name: "e1", Line: l, Period: 100, Lease: 600, Term: func() int64 { return 1 },
			Entries: func() []string { return nil },
			Workers: func() []renewer.Target { return []renewer.Target{{Name: "a-1", Agent: c}} },
		})
		DeferCleanup(r.Stop, context.Background())
		Expect(launch(c, "long", `{"sleep_ms":60000}`, 600)).To(Succeed())
		Expect(launch(c, "short", `{"sleep_ms":50}`, 600)).To(Succeed())
		part := worker.Task{ID: "part", Attempt: 1, Term: 1, Needs: job.Resources{Slots: 1}, Lease: 300}
		_, err := c.Reserve(context.Background(), part)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(1200 * time.Millisecond)
		l.mu.Lock()
		l.deaf = false
		l.mu.Unlock()
		Eventually(func() []worker.State { return l.states("short") }).WithTimeout(5 * time.Second).Should(ContainElement(worker.Finished))
		Expect(l.states("part")).To(ContainElement(worker.Lapsed))
		t, err := c.Task(context.Background(), "long")
		Expect(err).NotTo(HaveOccurred())
		Expect(t.State).To(Equal(worker.Running))
	})

	It("are spread over the entries and move only where an entry comes or goes", func() {
		entries := []string{"e1", "e2", "e3"}
		load, moved := make(map[string]int), 0
		const workers = 240
		for i := range workers {
			name := fmt.Sprintf("a-%03d", i)
			owner := renewer.Owner(name, entries)
			load[owner]++
			if after := renewer.Owner(name, entries[:2]); after != owner && owner != "e3" {
				moved++
			}
		}
		Expect(moved).To(BeZero())
		for _, e := range entries {
			Expect(load[e]).To(BeNumerically("~", workers/3, 30), fmt.Sprint(load))
		}
	})
})

// meter counts the bytes of the connections it dials.
type meter struct{ bytes atomic.Int64 }

type meteredConn struct {
	net.Conn
	m *meter
}

func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.m.bytes.Add(int64(n))
	return n, err
}

func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.m.bytes.Add(int64(n))
	return n, err
}

func (m *meter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	return meteredConn{c, m}, err
}

// BenchmarkRenewals renews workers with four tasks each, every second for five
// seconds, from one entry. The processor time includes the workers' stand-ins.
func BenchmarkRenewals(b *testing.B) {
	for _, workers := range []int{50, 100, 240} {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) {
			const span, tasks = 5 * time.Second, 4
			m := &meter{}
			transport := &http.Transport{DialContext: m.dial, MaxIdleConnsPerHost: 2, DisableCompression: true}
			var targets []renewer.Target
			for i := range workers {
				w := workertest.New(workertest.Options{Capacity: job.Resources{Slots: 8}})
				server := httptest.NewServer(w)
				b.Cleanup(server.Close)
				c := worker.New(worker.Config{Address: server.Listener.Addr().String(), Transport: transport})
				for t := range tasks {
					if err := launch(c, fmt.Sprint("kulhar/job-", i, "-", t), `{"sleep_ms":600000}`, 60000); err != nil {
						b.Fatal(err)
					}
				}
				targets = append(targets, renewer.Target{Name: fmt.Sprint("a-", i), Agent: c})
			}
			for b.Loop() {
				var calls atomic.Int64
				counted := make([]renewer.Target, len(targets))
				for i, t := range targets {
					counted[i] = renewer.Target{Name: t.Name, Agent: counter{t.Agent, &calls}}
				}
				r := renewer.New(renewer.Options{
					Name: "e1", Line: &line{}, Period: clock.Second, Lease: 60 * clock.Second, Term: func() int64 { return 1 },
					Entries: func() []string { return nil }, Workers: func() []renewer.Target { return counted },
				})
				time.Sleep(time.Second)
				before, bytes, n := used(), m.bytes.Load(), calls.Load()
				time.Sleep(span)
				renewals := float64(calls.Load() - n)
				b.ReportMetric(float64(m.bytes.Load()-bytes)/renewals, "B/renewal")
				b.ReportMetric(float64((used()-before).Microseconds())/renewals, "cpu-us/renewal")
				b.ReportMetric(renewals/float64(workers)/span.Seconds(), "renewals/worker/s")
				_ = r.Stop(context.Background())
			}
		})
	}
}

type counter struct {
	renewer.Agent
	calls *atomic.Int64
}

func (c counter) Renew(ctx context.Context, r worker.Renewal) (worker.Report, error) {
	c.calls.Add(1)
	return c.Agent.Renew(ctx, r)
}

// used returns the processor time of the process.
func used() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
