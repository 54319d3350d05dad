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
	logtest "github.com/sirupsen/logrus/hooks/test"

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

// lease is the longest lease that the stand-in workers grant by default.
const lease = 1500 * clock.Millisecond

// cluster is a stand-in store with stand-in workers, against which instances run.
type cluster struct {
	store         *platformtest.Store
	workers       []*platformtest.Worker
	instanceCount int
	lease         clock.Millis
	// leaderTTL is how long an instance may go on believing that it leads; 0 means that it does not.
	leaderTTL clock.Millis
}

func newCluster(workers int) *cluster { return newClusterWithLease(workers, lease) }

// newClusterWithLease returns a cluster with the given number of workers, which grant leases of up
// to the given length in milliseconds.
func newClusterWithLease(workers int, lease clock.Millis) *cluster {
	c := &cluster{store: platformtest.NewStore(), lease: lease}
	DeferCleanup(c.store.Close)
	for i := range workers {
		c.addWorker(fmt.Sprintf("i-%d", i))
	}
	return c
}

func (c *cluster) addWorker(id string) { c.addWorkerIn("", "", id) }

// addWorkerIn adds a worker in a failure domain and a rack; "" means the stand-in's default.
func (c *cluster) addWorkerIn(domain, rack, id string) {
	c.startWorker(platformtest.WorkerOptions{ID: id, Domain: domain, Rack: rack})
}

// startWorker adds a worker with the cluster's store and lease.
func (c *cluster) startWorker(opts platformtest.WorkerOptions) {
	opts.Store, opts.Lease = c.store, c.lease.Duration()
	x := platformtest.NewWorker(opts)
	DeferCleanup(x.Close)
	c.workers = append(c.workers, x)
}

// starts returns all starts of a task, worker by worker.
func (c *cluster) starts(task string) []platformtest.Start {
	var list []platformtest.Start
	for _, x := range c.workers {
		for _, s := range x.Starts() {
			if s.Task == task {
				list = append(list, s)
			}
		}
	}
	return list
}

// hooks injects faults between a controller and its store and workers.
type hooks struct {
	*platform.Store
	*platform.WorkerClient

	mu sync.Mutex
	// listDelay is the delay before each list of the jobs' keys.
	listDelay time.Duration
	// refusedWorkers holds the IDs of the workers to which calls are refused.
	refusedWorkers map[string]bool
	// unhealthyWorkers holds the IDs of the workers that reject each order as unhealthy.
	unhealthyWorkers map[string]bool
	// fullWorkers holds the IDs of the workers that reject each order for lack of room.
	fullWorkers map[string]bool
	// misdirectedWorkers holds the IDs of the workers at whose address another instance answers.
	misdirectedWorkers map[string]bool
	// loseNextAnswer discards the worker's answer to the next Start and then refuses all calls
	// to this worker.
	loseNextAnswer bool
	// loseNextWrite discards the store's answer to the controller's next write. readDelay is the
	// delay before each read of a single key.
	loseNextWrite bool
	readDelay     time.Duration
	// beforeCommit is called before each write, and afterCommit after each that has succeeded, which then
	// has the outcome that it returns; nil calls nothing.
	beforeCommit func(ops []kv.Op)
	afterCommit  func(ops []kv.Op) error
	// resumesAt is the time until which the instance is suspended.
	resumesAt time.Time
	// refuseRenewals makes all polls fail. commitAnswerDelay delays the answers to writes, as if the
	// instance were suspended before it handles them.
	refuseRenewals    bool
	commitAnswerDelay time.Duration
}

// set changes the faults.
func (h *hooks) set(change func(*hooks)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change(h)
}

func (h *hooks) Get(ctx context.Context, key string) (kv.Entry, error) {
	h.mu.Lock()
	delay := h.readDelay
	h.mu.Unlock()
	time.Sleep(delay)
	return h.Store.Get(ctx, key)
}

func (h *hooks) Commit(ctx context.Context, ops []kv.Op) (uint64, error) {
	h.mu.Lock()
	delay, before, after := h.commitAnswerDelay, h.beforeCommit, h.afterCommit
	h.mu.Unlock()
	if before != nil {
		before(ops)
	}
	version, err := h.Store.Commit(ctx, ops)
	if err == nil && after != nil {
		err = after(ops)
	}
	time.Sleep(delay)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.loseNextWrite {
		h.loseNextWrite = false
		return 0, &kv.Error{Op: "commit", Kind: kv.Ambiguous, Err: errAnswerLost}
	}
	return version, err
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

func (h *hooks) setRefused(id string, refused bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refusedWorkers[id] = refused
}

func (h *hooks) isRefused(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refusedWorkers[id]
}

func (h *hooks) setFull(id string, full bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fullWorkers[id] = full
}

func (h *hooks) isFull(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fullWorkers[id]
}

func (h *hooks) setMisdirected(id string) { h.misdirect(id, true) }

// misdirect sets whether another instance answers at a worker's address.
func (h *hooks) misdirect(id string, misdirected bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.misdirectedWorkers[id] = misdirected
}

func (h *hooks) isMisdirected(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.misdirectedWorkers[id]
}

func (h *hooks) Start(ctx context.Context, w agent.Worker, o agent.Order) (agent.Verdict, clock.Millis, error) {
	if h.isMisdirected(w.ID) {
		return "", 0, agent.ErrReplaced
	}
	if h.isRefused(w.ID) {
		return "", 0, agent.ErrAbsent
	}
	if h.unhealthyWorkers[w.ID] {
		return agent.Unhealthy, 0, nil
	}
	if h.isFull(w.ID) {
		return agent.Full, 0, nil
	}
	ctx, cancel := h.awaitResumption(ctx)
	defer cancel()
	verdict, workerClock, err := h.WorkerClient.Start(ctx, w, o)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.loseNextAnswer {
		h.loseNextAnswer, h.refusedWorkers[w.ID] = false, true
		return "", 0, errAnswerLost
	}
	return verdict, workerClock, err
}

// errAnswerLost is the error of a call whose answer is lost.
var errAnswerLost = errors.New("answer lost")

func (h *hooks) Renew(ctx context.Context, w agent.Worker, r agent.Renewal) (agent.Report, error) {
	if h.isMisdirected(w.ID) {
		return agent.Report{}, agent.ErrReplaced
	}
	h.mu.Lock()
	refuse := h.refuseRenewals
	h.mu.Unlock()
	if refuse || h.isRefused(w.ID) {
		return agent.Report{}, agent.ErrAbsent
	}
	ctx, cancel := h.awaitResumption(ctx)
	defer cancel()
	return h.WorkerClient.Renew(ctx, w, r)
}

func (h *hooks) Stop(ctx context.Context, w agent.Worker, task agent.Task, run int, fence uint64) error {
	if h.isMisdirected(w.ID) {
		return agent.ErrReplaced
	}
	ctx, cancel := h.awaitResumption(ctx)
	defer cancel()
	return h.WorkerClient.Stop(ctx, w, task, run, fence)
}

// suspend suspends the instance where it has just checked that it leads and is about to act on
// that, or is about to send a call to a worker.
func (h *hooks) suspend(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.resumesAt = time.Now().Add(d)
}

// awaitResumption waits while the instance is suspended. A call that waited is sent although its
// time has run out, since its timer runs late as well.
func (h *hooks) awaitResumption(ctx context.Context) (context.Context, context.CancelFunc) {
	h.mu.Lock()
	wait := time.Until(h.resumesAt)
	h.mu.Unlock()
	if wait <= 0 {
		return ctx, func() {}
	}
	time.Sleep(wait)
	return context.WithTimeout(context.WithoutCancel(ctx), shortTimeout)
}

// instance is one instance of the scheduler, without its HTTP server.
type instance struct {
	*hooks
	board      *board.Board
	election   *election.Election
	runner     *controller.Controller
	jobsMirror *mirror.Mirror
	handler    *intake.Handler
	logs       *logtest.Hook
	// unreachable makes the instance assume that it can't reach the store.
	unreachable atomic.Bool
}

var queues = &site.Config{
	Version: 1,
	Queues: []site.Queue{
		{Name: "urgent", Host: "h", Prefix: "/u/", Service: "svc", Priority: 0, Attempts: 2, ObjectiveFactor: 2, Public: true},
		{Name: "batch", Host: "h", Prefix: "/b/", Service: "svc", Priority: 2, Attempts: 2, ObjectiveFactor: 2, Public: true},
	},
}

func (c *cluster) startInstance(change func(*hooks)) *instance {
	c.instanceCount++
	log := logrus.New()
	log.SetOutput(GinkgoWriter)
	log.SetFormatter(&logrus.TextFormatter{TimestampFormat: "15:04:05.000", FullTimestamp: true})
	entry := log.WithField("instance", c.instanceCount)
	clk := clock.New()
	i := &instance{
		hooks: &hooks{
			Store: platform.NewStore(platform.StoreOptions{Address: c.store.Address()}), WorkerClient: platform.NewWorkerClient(),
			refusedWorkers: make(map[string]bool), misdirectedWorkers: make(map[string]bool), fullWorkers: make(map[string]bool),
		},
		board: board.New(nil),
		logs:  logtest.NewLocal(log),
	}
	if change != nil {
		change(i.hooks)
	}
	i.election = election.New(election.Options{
		Store: i.Store, Key: board.LeaderKey, Name: fmt.Sprint("e", c.instanceCount), TTL: clock.Second, Clock: clk, Log: entry,
		OnElected: func(term uint64) { i.runner.StartLeading(term) }, OnLost: func() { i.runner.StopLeading() },
	})
	i.runner = controller.New(controller.Options{
		Store: i.hooks, Workers: i.hooks, Board: i.board, Prefix: platform.WorkersPrefix, Decode: platform.DecodeWorker,
		Term: i.term, LeaderTTL: c.leaderTTL, SinceStoreChange: func() clock.Millis { return i.jobsMirror.SinceChange() }, Config: func() *site.Config { return queues },
		Limits: func() controller.Limits {
			return controller.Limits{Lease: c.lease, Stop: 50 * clock.Millisecond}
		},
		Clock: clk, Counters: counters.New(), Log: entry,
	})
	i.jobsMirror = mirror.New(mirror.Options{
		Store: i.Store, Prefix: board.Prefix, Clock: clk, Log: entry,
		Replace: func(entries []kv.Entry) { i.election.Observe(!i.board.Replace(entries)) },
		Apply: func(changes []kv.Change) {
			if leaderChanged, hasLeader := i.board.Apply(changes); leaderChanged {
				i.election.Observe(!hasLeader)
			}
		},
	})
	i.handler = intake.New(intake.Options{
		Name: fmt.Sprint("e", c.instanceCount), Store: i.Store, Board: i.board, Config: func() *site.Config { return queues },
		Reachable: func() bool { return !i.unreachable.Load() },
		Clock:     clk, Log: entry,
	})
	DeferCleanup(func(ctx context.Context) {
		i.election.Resign(ctx)
		_ = i.handler.Stop(ctx)
		_ = i.jobsMirror.Stop(ctx)
		_ = i.runner.Stop(ctx)
	})
	return i
}

// term returns the term of the election. The caller goes on with it after a suspension.
func (i *instance) term() (uint64, bool) {
	term, confirmed := i.election.Term()
	_, cancel := i.awaitResumption(context.Background())
	cancel()
	return term, confirmed
}

// isLeader reports whether the instance is the leader.
func (i *instance) isLeader() bool {
	_, ok := i.election.Term()
	return ok
}

// submit submits a job to the queue "batch" and expects it to be accepted.
func (i *instance) submit(id string, spec workflow.Spec) {
	GinkgoHelper()
	grant, refusal := i.handler.Admit(intake.Call{Host: "h", Path: "/b/" + id})
	Expect(refusal).To(BeNil())
	Expect(i.handler.Submit(context.Background(), grant, spec).Verdict).To(Equal(intake.OK))
}

// completeJob submits a short job and waits until it is completed.
func (i *instance) completeJob(id string) {
	GinkgoHelper()
	i.submit(id, workflow.Spec{Payload: "ms=20", Steps: []workflow.Step{step(1)}})
	Eventually(func() workflow.State { return i.state(id) }, shortTimeout).Should(Equal(workflow.Completed))
}

// state returns the state of a job that callers see.
func (i *instance) state(id string) workflow.State {
	v, _ := i.board.Find(id)
	return v.State()
}

// jobID returns a job ID of 16 hexadecimal digits.
func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// step returns a step of equal tasks with one accelerator each.
func step(count int) workflow.Step {
	return workflow.Step{Count: count, Cores: 1000, Memory: 100, Accels: 1, Estimate: 100}
}
