package controller_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/agent"
	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/controller"
	"github.com/chestnutsail/chestnutsail/counters"
	"github.com/chestnutsail/chestnutsail/election"
	"github.com/chestnutsail/chestnutsail/intake"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/mirror"
	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/platform/platformtest"
	"github.com/chestnutsail/chestnutsail/site"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// lease is the longest lease of the stand-in workers.
const lease = 1500 * clock.Millisecond

// world is a store, workers and instances.
type world struct {
	store   *platformtest.Store
	workers []*platformtest.Worker
	next    int
	lease   clock.Millis
}

func newWorld(workers int) *world { return newWorldOf(workers, lease) }

// newWorldOf makes a world whose workers grant leases of a length.
func newWorldOf(workers int, lease clock.Millis) *world {
	w := &world{store: platformtest.NewStore(), lease: lease}
	DeferCleanup(w.store.Close)
	for i := range workers {
		w.add(fmt.Sprintf("i-%d", i))
	}
	return w
}

func (w *world) add(id string) { w.addTo("", "", id) }

// addTo adds a worker to a failure domain and a rack; "" means the stand-in's usual one.
func (w *world) addTo(domain, rack, id string) {
	x := platformtest.NewWorker(platformtest.WorkerOptions{Store: w.store, ID: id, Domain: domain, Rack: rack, Lease: w.lease.Duration()})
	DeferCleanup(x.Close)
	w.workers = append(w.workers, x)
}

// starts returns all starts of a task on any worker.
func (w *world) starts(task string) []platformtest.Start {
	var list []platformtest.Start
	for _, x := range w.workers {
		for _, s := range x.Starts() {
			if s.Task == task {
				list = append(list, s)
			}
		}
	}
	return list
}

// hooks stand between a controller and its store and workers.
type hooks struct {
	*platform.Store
	*platform.Workers

	mu sync.Mutex
	// listDelay delays the lists of jobs.
	listDelay time.Duration
	// absent has calls to a worker refused.
	absent map[string]bool
	// lose has the answer of the next start lost, and later calls to its worker refused.
	lose bool
}

func (h *hooks) ListPage(ctx context.Context, prefix, after string) (kv.Page, error) {
	h.mu.Lock()
	delay := h.listDelay
	h.mu.Unlock()
	if prefix == board.Prefix {
		time.Sleep(delay)
	}
	return h.Store.ListPage(ctx, prefix, after)
}

func (h *hooks) refuse(id string, refused bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.absent[id] = refused
}

func (h *hooks) refused(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.absent[id]
}

func (h *hooks) Start(ctx context.Context, w agent.Worker, o agent.Order) (agent.Verdict, clock.Millis, error) {
	if h.refused(w.ID) {
		return "", 0, agent.ErrAbsent
	}
	verdict, at, err := h.Workers.Start(ctx, w, o)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lose {
		h.lose, h.absent[w.ID] = false, true
		return "", 0, errLost
	}
	return verdict, at, err
}

// errLost is the loss of an answer.
var errLost = errors.New("answer lost")

func (h *hooks) Hold(ctx context.Context, w agent.Worker, a agent.Hold) (agent.Look, error) {
	if h.refused(w.ID) {
		return agent.Look{}, agent.ErrAbsent
	}
	return h.Workers.Hold(ctx, w, a)
}

// instance is one instance without its network side.
type instance struct {
	*hooks
	board    *board.Board
	election *election.Election
	runner   *controller.Controller
	jobs     *mirror.Mirror
	desk     *intake.Desk
	// unreachable has the instance believe that it can't reach the store.
	unreachable atomic.Bool
}

var queues = &site.Config{
	Version: 1,
	Queues: []site.Queue{
		{Name: "urgent", Host: "h", Prefix: "/u/", Service: "svc", Priority: 0, Attempts: 2, Stretch: 2, Public: true},
		{Name: "batch", Host: "h", Prefix: "/b/", Service: "svc", Priority: 2, Attempts: 2, Stretch: 2, Public: true},
	},
}

func (w *world) join(change func(*hooks)) *instance {
	w.next++
	log := logrus.New()
	log.SetOutput(GinkgoWriter)
	entry := log.WithField("instance", w.next)
	clk := clock.New()
	i := &instance{
		hooks: &hooks{
			Store: platform.NewStore(platform.StoreOptions{Address: w.store.Address()}), Workers: platform.NewWorkers(),
			absent: make(map[string]bool),
		},
		board: board.New(nil),
	}
	if change != nil {
		change(i.hooks)
	}
	i.election = election.New(election.Options{
		Store: i.Store, Key: board.LeadKey, Name: fmt.Sprint("e", w.next), TTL: clock.Second, Clock: clk, Log: entry,
		Lead: func(term uint64) { i.runner.Lead(term) }, Lose: func() { i.runner.Lose() },
	})
	i.runner = controller.New(controller.Options{
		Store: i.hooks, Workers: i.hooks, Board: i.board, Prefix: platform.WorkersPrefix, Decode: platform.DecodeWorker,
		Term: i.election.Term, Heard: func() clock.Millis { return i.jobs.Quiet() }, Config: func() *site.Config { return queues },
		Limits: func() controller.Limits {
			return controller.Limits{Lease: w.lease, Stop: 50 * clock.Millisecond, Beat: clock.Second}
		},
		Clock: clk, Counters: counters.New(), Log: entry,
	})
	i.jobs = mirror.New(mirror.Options{
		Store: i.Store, Prefix: board.Prefix, Clock: clk, Log: entry,
		Replace: func(entries []kv.Entry) { i.election.Observe(!i.board.Replace(entries)) },
		Apply: func(changes []kv.Change) {
			if seen, led := i.board.Apply(changes); seen {
				i.election.Observe(!led)
			}
		},
	})
	i.desk = intake.New(intake.Options{
		Name: fmt.Sprint("e", w.next), Store: i.Store, Board: i.board, Config: func() *site.Config { return queues },
		Reachable: func() bool { return !i.unreachable.Load() },
		Clock:     clk, Log: entry,
	})
	DeferCleanup(func(ctx context.Context) {
		i.election.Resign(ctx)
		_ = i.desk.Stop(ctx)
		_ = i.jobs.Stop(ctx)
		_ = i.runner.Stop(ctx)
	})
	return i
}

// leads reports whether the instance leads.
func (i *instance) leads() bool {
	_, ok := i.election.Term()
	return ok
}

// submit hands a job in and expects it to be accepted.
func (i *instance) submit(id string, spec workflow.Spec) {
	GinkgoHelper()
	grant, refusal := i.desk.Admit(intake.Call{Host: "h", Path: "/b/" + id})
	Expect(refusal).To(BeNil())
	Expect(i.desk.Submit(context.Background(), grant, spec).Verdict).To(Equal(intake.OK))
}

// complete has a short job run to its end.
func (i *instance) complete(id string) {
	GinkgoHelper()
	i.submit(id, workflow.Spec{Payload: "ms=20", Steps: []workflow.Step{step(1)}})
	Eventually(func() workflow.State { return i.state(id) }, soon).Should(Equal(workflow.Completed))
}

// state returns what a caller is told of a job.
func (i *instance) state(id string) workflow.State {
	v, _ := i.board.Find(id)
	return v.State()
}

// jobID makes an ID of 16 hexadecimal digits.
func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// step is a step of like tasks with one accelerator each.
func step(count int) workflow.Step {
	return workflow.Step{Count: count, Cores: 1000, Memory: 100, Accels: 1, Estimate: 100}
}
