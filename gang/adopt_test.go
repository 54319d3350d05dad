package gang_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/gang"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/scheduler"
	"github.com/chestnutsail/chestnutsail/worker"
	"github.com/chestnutsail/chestnutsail/workertest"
)

var times = gang.Times{Reservation: 1000, StartLease: 400, Lease: 600, CallTimeout: 100}

// fixture holds two workers and the gang's record as its first scheduler has written it.
type fixture struct {
	workers [2]*workertest.Server
	record  job.Record
	times   gang.Times

	mu     sync.Mutex
	agents map[string]gang.Agent
}

func newFixture() *fixture {
	s := &fixture{agents: make(map[string]gang.Agent), times: times, record: job.Record{
		Spec:    job.Spec{Account: "kulhar", Key: "j", Shape: job.Shape{Tasks: 2, Accelerators: 8}, Payload: []byte(`{"sleep_ms":60000}`)},
		Attempt: 1, Members: []job.Member{{Worker: "a-0", Tasks: 1}, {Worker: "a-1", Tasks: 1}},
	}}
	for i := range s.workers {
		s.replace(i)
	}
	return s
}

// replace starts a new worker process under the name of the old one.
func (s *fixture) replace(i int) {
	name := s.record.Members[i].Worker
	s.workers[i] = workertest.New(workertest.Options{Name: name, Capacity: job.Resources{Accelerators: 8}})
	srv := httptest.NewServer(s.workers[i])
	DeferCleanup(srv.Close)
	s.setAgent(name, worker.New(worker.Config{Address: strings.TrimPrefix(srv.URL, "http://")}))
}

func (s *fixture) agent(name string) gang.Agent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.agents[name]
}

func (s *fixture) setAgent(name string, a gang.Agent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.agents[name] = a
}

func (s *fixture) gang(term int64, foreign bool, commit func(context.Context, []job.Member) error) *gang.Gang {
	return gang.New(gang.Options{
		Record: s.record, Term: term, Foreign: foreign, Times: s.times, Commit: commit,
		Agent: s.agent,
	})
}

func (s *fixture) setFrozen(frozen bool) {
	for _, w := range s.workers {
		w.SetFaults(workertest.Faults{Frozen: frozen})
	}
}

// Guards against a job that runs twice: a scheduler that takes over must not conclude that a
// gang never ran merely because its workers do not answer or were replaced.
var _ = Describe("a gang that another scheduler has recorded", func() {
	startGang := func(s *fixture, commit error) gang.Result {
		return s.gang(1, false, func(_ context.Context, members []job.Member) error {
			s.record.Members = members
			return commit
		}).Start(context.Background())
	}

	DescribeTable("is never treated as one that did not run",
		func(breakWorkers func(*fixture), takeOver func(*gang.Gang) gang.Result) {
			s := newFixture()
			Expect(startGang(s, nil).Kind).To(Equal(scheduler.Started))
			breakWorkers(s)
			defer s.setFrozen(false)
			r := takeOver(s.gang(2, true, nil))
			Expect(r.Kind).To(Equal(scheduler.Lost))
			Expect(r.Lifted).To(BeTrue())
		},
		Entry("stopped while none of its workers answers", func(s *fixture) { s.setFrozen(true) }, stopNow),
		Entry("stopped after all its workers were replaced", replaceAll, stopNow),
		Entry("adopted while none of its workers answers", func(s *fixture) { s.setFrozen(true) }, adoptNow),
		Entry("adopted after all its workers were replaced", replaceAll, adoptNow),
	)

	It("is refused when every worker answers that its member never ran", func() {
		s := newFixture()
		Expect(startGang(s, context.Canceled).Kind).To(Equal(scheduler.Refused))
		r := s.gang(2, true, nil).Adopt(context.Background())
		Expect(r.Kind).To(Equal(scheduler.Refused))
		Expect(r.Lifted).To(BeFalse())
	})

	// Guards against a job that counts as done although no member of it has run.
	DescribeTable("has not finished if its record has no members", func(takeOver func(*gang.Gang) gang.Result, kind scheduler.EventKind) {
		s := newFixture()
		s.record.Members = nil
		r := takeOver(s.gang(2, true, nil))
		Expect(r.Kind).To(Equal(kind))
		Expect(r.Lifted).To(BeFalse())
	},
		Entry("stopped", stopNow, scheduler.Stopped),
		Entry("adopted", adoptNow, scheduler.Refused),
	)
})

func stopNow(g *gang.Gang) gang.Result { return g.Stop(context.Background(), clock.Millis(0)) }

func adoptNow(g *gang.Gang) gang.Result { return g.Adopt(context.Background()) }

func replaceAll(s *fixture) {
	for i := range s.workers {
		s.replace(i)
	}
}
