package instances_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/consul"
	"github.com/chestnutsail/chestnutsail/instances"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/peer"
	"github.com/chestnutsail/chestnutsail/worker"
	"github.com/chestnutsail/chestnutsail/workertest"
)

const period = 10 * clock.Millisecond

// fakeSource is a Source whose list and error are set by the test.
type fakeSource struct {
	mu   sync.Mutex
	rows []consul.Instance
	err  error
}

func (s *fakeSource) set(rows []consul.Instance, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.err = rows, err
}

func (s *fakeSource) WatchInstances(context.Context, string, string, uint64, clock.Millis) ([]consul.Instance, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows, 0, s.err
}

// fakeMesh passes the hints of one directory to another.
type fakeMesh struct {
	handler peer.Handler
	other   *fakeMesh
}

func (m *fakeMesh) Broadcast(_ func(peer.Peer) bool, _ string, body []byte) {
	_, _ = m.other.handler(context.Background(), "e1", body)
}

func (m *fakeMesh) Handle(_ string, f peer.Handler) { m.handler = f }

var _ = Describe("the directory of workers", func() {
	var source *fakeSource
	var agents []*workertest.Server
	var rows []consul.Instance
	var servers []*httptest.Server
	a, b := &fakeMesh{}, &fakeMesh{}
	a.other, b.other = b, a

	open := func(opts instances.Options) *instances.Directory {
		log := logrus.New()
		log.SetOutput(GinkgoWriter)
		opts.Source, opts.Domain, opts.Period, opts.Log = source, "a", period, logrus.NewEntry(log)
		d := instances.New(opts)
		DeferCleanup(func() { _ = d.Stop(context.Background()) })
		Eventually(d.Workers).Should(HaveLen(len(rows)))
		return d
	}
	names := func(d *instances.Directory) func() []string {
		return func() []string {
			var list []string
			for _, w := range d.Workers() {
				list = append(list, w.Name)
			}
			return list
		}
	}

	BeforeEach(func() {
		source, agents, rows, servers = &fakeSource{}, nil, nil, nil
		for i := range 8 {
			name := fmt.Sprintf("a-%d", i)
			agent := workertest.New(workertest.Options{Name: name, Capacity: job.Resources{Slots: 8}})
			server := httptest.NewServer(agent)
			DeferCleanup(server.Close)
			agents, servers = append(agents, agent), append(servers, server)
			rows = append(rows, consul.Instance{
				Name: name, Address: server.Listener.Addr().String(), Domain: "a", Rack: fmt.Sprint("r", i/4),
			})
		}
		source.set(rows, nil)
	})

	DescribeTable("keeps its workers when the list is wrong or unreadable", func(shown int, err error) {
		d := open(instances.Options{KeepMissing: 50 * clock.Millisecond})
		source.set(rows[:shown], err)
		Consistently(names(d)).WithTimeout(300 * time.Millisecond).Should(HaveLen(len(rows)))
		source.set(rows, nil)
		Eventually(func() int {
			n := 0
			for _, w := range d.Workers() {
				if w.Unlisted {
					n++
				}
			}
			return n
		}).Should(BeZero())
	},
		Entry("it can't be read", 8, errors.New("down")),
		Entry("it is empty", 0, nil),
		Entry("half of its workers are missing", 4, nil),
	)

	It("reports the age of the list while it can't be read", func() {
		d := open(instances.Options{})
		source.set(nil, errors.New("down"))
		Eventually(func() bool {
			age, read := d.ListAge()
			return read && age > 100*clock.Millisecond
		}).Should(BeTrue())
	})

	It("removes a worker that is missing from the list after KeepMissing", func() {
		d := open(instances.Options{KeepMissing: 100 * clock.Millisecond})
		source.set(rows[1:], nil)
		Consistently(names(d)).WithTimeout(50 * time.Millisecond).Should(ContainElement("a-0"))
		Eventually(names(d)).Should(HaveLen(7))
	})

	It("removes workers that are missing from the list and dead, however many", func() {
		d := open(instances.Options{})
		for _, s := range servers[:4] {
			s.Close()
		}
		source.set(rows[4:], nil)
		Eventually(names(d)).WithTimeout(3 * time.Second).Should(Equal([]string{"a-4", "a-5", "a-6", "a-7"}))
	})

	It("marks a worker that refuses a task since it is leaving, at every entry of the domain", func() {
		first, second := open(instances.Options{Mesh: a}), open(instances.Options{Mesh: b})
		agents[3].Leave()
		w, _ := first.Worker("a-3")
		_, err := w.Client.Run(context.Background(), worker.Task{ID: "k", Attempt: 1, Needs: job.Resources{Slots: 1}})
		Expect(worker.RefusalOf(err)).To(Equal(worker.Leaving))
		for _, d := range []*instances.Directory{first, second} {
			w, _ := d.Worker("a-3")
			Expect(w.Leaving).To(BeTrue())
			Consistently(func() bool { w, _ := d.Worker("a-3"); return w.Leaving }).WithTimeout(100 * time.Millisecond).Should(BeTrue())
		}
	})

	It("drops a hint that the list does not confirm after HintDuration", func() {
		d := open(instances.Options{HintDuration: 100 * clock.Millisecond})
		d.MarkLeaving("a-3")
		Eventually(func() bool { w, _ := d.Worker("a-3"); return w.Leaving }).WithTimeout(time.Second).Should(BeFalse())
	})

	It("groups workers by rack", func() {
		d := open(instances.Options{})
		Expect(d.Racks()).To(And(HaveLen(2), HaveKeyWithValue("r0", HaveLen(4))))
	})
})
