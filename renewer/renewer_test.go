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

// fakePublisher records the delivered events. While failing is set, Deliver returns an error.
type fakePublisher struct {
	mu      sync.Mutex
	events  []renewer.Event
	failing bool
}

func (p *fakePublisher) Deliver(_ context.Context, e renewer.Event) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failing {
		return context.Canceled
	}
	p.events = append(p.events, e)
	return nil
}

func (*fakePublisher) Broadcast(context.Context, renewer.Notice) {}

func (p *fakePublisher) states(id string) []worker.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	var states []worker.State
	for _, e := range p.events {
		for _, t := range e.Tasks {
			if t.ID == id {
				states = append(states, t.State)
			}
		}
	}
	return states
}

// startWholeTask starts a task that is a whole gang, with a lease in milliseconds.
func startWholeTask(c *worker.Client, id, payload string, lease clock.Millis) error {
	ctx := context.Background()
	t := worker.Task{ID: id, Attempt: 1, Term: 1, Needs: job.Resources{Slots: 1}, Lease: lease, Payload: []byte(payload)}
	if _, err := c.Reserve(ctx, t); err != nil {
		return err
	}
	if _, err := c.Start(ctx, t); err != nil {
		return err
	}
	t.GangRunning = true
	_, err := c.Lift(ctx, t)
	return err
}

var _ = Describe("renewals", func() {
	// Guards against the end of a task that the scheduler never learns of: the end happens while
	// events cannot be delivered, and must be delivered afterwards.
	It("extend the leases of whole gangs only, and deliver each end once the scheduler can be reached", func() {
		w := workertest.New(workertest.Options{Name: "a-1", Capacity: job.Resources{Slots: 8}})
		server := httptest.NewServer(w)
		DeferCleanup(server.Close)
		c := worker.New(worker.Config{Address: server.Listener.Addr().String()})
		publisher := &fakePublisher{failing: true}
		r := renewer.New(renewer.Options{
			Name: "e1", Publisher: publisher, Period: 100, Lease: 600, Term: func() int64 { return 1 },
			Entries: func() []string { return nil },
			Workers: func() []renewer.Target { return []renewer.Target{{Name: "a-1", Agent: c}} },
		})
		DeferCleanup(r.Stop, context.Background())
		Expect(startWholeTask(c, "long", `{"sleep_ms":60000}`, 600)).To(Succeed())
		Expect(startWholeTask(c, "short", `{"sleep_ms":50}`, 600)).To(Succeed())
		part := worker.Task{ID: "part", Attempt: 1, Term: 1, Needs: job.Resources{Slots: 1}, Lease: 300}
		_, err := c.Reserve(context.Background(), part)
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(1200 * time.Millisecond)
		publisher.mu.Lock()
		publisher.failing = false
		publisher.mu.Unlock()
		Eventually(func() []worker.State { return publisher.states("short") }).WithTimeout(5 * time.Second).Should(ContainElement(worker.Finished))
		Expect(publisher.states("part")).To(ContainElement(worker.LeaseExpired))
		t, err := c.Task(context.Background(), "long")
		Expect(err).NotTo(HaveOccurred())
		Expect(t.State).To(Equal(worker.Running))
	})

	It("are distributed evenly over the instances, and only the workers of a leaving instance move", func() {
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

// byteCounter counts the bytes that its connections send and receive.
type byteCounter struct{ bytes atomic.Int64 }

type countingConn struct {
	net.Conn
	counter *byteCounter
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.bytes.Add(int64(n))
	return n, err
}

func (b *byteCounter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	return countingConn{c, b}, err
}

// BenchmarkRenewals renews workers with four tasks each from one instance, every second for
// five seconds. The processor time includes that of the stand-in workers.
func BenchmarkRenewals(b *testing.B) {
	for _, workers := range []int{50, 100, 240} {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) {
			const span, tasks = 5 * time.Second, 4
			counter := &byteCounter{}
			transport := &http.Transport{DialContext: counter.dial, MaxIdleConnsPerHost: 2, DisableCompression: true}
			var targets []renewer.Target
			for i := range workers {
				w := workertest.New(workertest.Options{Capacity: job.Resources{Slots: 8}})
				server := httptest.NewServer(w)
				b.Cleanup(server.Close)
				c := worker.New(worker.Config{Address: server.Listener.Addr().String(), Transport: transport})
				for t := range tasks {
					if err := startWholeTask(c, fmt.Sprint("kulhar/job-", i, "-", t), `{"sleep_ms":600000}`, 60000); err != nil {
						b.Fatal(err)
					}
				}
				targets = append(targets, renewer.Target{Name: fmt.Sprint("a-", i), Agent: c})
			}
			for b.Loop() {
				var calls atomic.Int64
				counted := make([]renewer.Target, len(targets))
				for i, t := range targets {
					counted[i] = renewer.Target{Name: t.Name, Agent: countingAgent{t.Agent, &calls}}
				}
				r := renewer.New(renewer.Options{
					Name: "e1", Publisher: &fakePublisher{}, Period: clock.Second, Lease: 60 * clock.Second, Term: func() int64 { return 1 },
					Entries: func() []string { return nil }, Workers: func() []renewer.Target { return counted },
				})
				time.Sleep(time.Second)
				before, bytes, n := processorTime(), counter.bytes.Load(), calls.Load()
				time.Sleep(span)
				renewals := float64(calls.Load() - n)
				b.ReportMetric(float64(counter.bytes.Load()-bytes)/renewals, "B/renewal")
				b.ReportMetric(float64((processorTime()-before).Microseconds())/renewals, "cpu-us/renewal")
				b.ReportMetric(renewals/float64(workers)/span.Seconds(), "renewals/worker/s")
				_ = r.Stop(context.Background())
			}
		})
	}
}

type countingAgent struct {
	renewer.Agent
	calls *atomic.Int64
}

func (c countingAgent) Renew(ctx context.Context, r worker.Renewal) (worker.Report, error) {
	c.calls.Add(1)
	return c.Agent.Renew(ctx, r)
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
