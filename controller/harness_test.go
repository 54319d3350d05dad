package controller_test

import (
	"context"
	"fmt"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

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
	store   *platformtest.Store
	workers []*platformtest.Worker
	// hosts is the list of the workers' hosts; nil means that there is none.
	hosts         *platformtest.Hosts
	instanceCount int
	lease         clock.Millis
	// reportInterval is the time between two entries of a worker; 0 means that it is not known.
	reportInterval clock.Millis
	// leaderTTL is how long an instance may go on believing that it leads; 0 means that it does not.
	leaderTTL clock.Millis
	// evacuable reports whether failure domains may be evacuated.
	evacuable bool
	// maxValue is the largest size in bytes of a value in the store; 0 means that of the stand-in.
	maxValue int
	// retention is how long the state of a finished job is kept; 0 keeps it forever.
	retention clock.Millis
	// config is the configuration of all instances.
	config atomic.Pointer[site.Config]
}

func newCluster(workers int) *cluster { return newClusterWithLease(workers, lease) }

// newClusterWithLease returns a cluster with the given number of workers, which grant leases of up
// to the given length in milliseconds.
func newClusterWithLease(workers int, lease clock.Millis) *cluster {
	c := &cluster{store: platformtest.NewStore(), lease: lease}
	c.config.Store(queues)
	DeferCleanup(c.store.Close)
	for i := range workers {
		c.addWorker(fmt.Sprintf("i-%d", i))
	}
	return c
}

func (c *cluster) addWorker(id string) { c.addWorkerIn("", "", id) }

// listHosts makes the cluster list the hosts of its workers, also of those that are added later.
func (c *cluster) listHosts() {
	c.hosts = platformtest.NewHosts()
	DeferCleanup(c.hosts.Close)
	for _, x := range c.workers {
		c.hosts.Set("m-"+x.ID(), x.ID())
	}
}

// newClusterWithLeader returns a cluster of idle workers and its leader, which has completed job 1.
func newClusterWithLeader(workers int, lease clock.Millis) (*cluster, *instance) {
	GinkgoHelper()
	c := newClusterWithLease(workers, lease)
	i := c.startInstance(nil)
	Eventually(i.isLeader, shortTimeout).Should(BeTrue())
	i.completeJob(jobID(1))
	return c, i
}

// addWorkerIn adds a worker in a failure domain and a rack; "" means the stand-in's default.
func (c *cluster) addWorkerIn(domain, rack, id string) {
	c.startWorker(platformtest.WorkerOptions{ID: id, Domain: domain, Rack: rack})
}

// startWorker adds a worker with the cluster's store and lease.
func (c *cluster) startWorker(opts platformtest.WorkerOptions) {
	opts.Store, opts.Lease = c.store, c.lease.Duration()
	x := platformtest.NewWorker(opts)
	DeferCleanup(x.Close)
	if c.hosts != nil {
		c.hosts.Set("m-"+opts.ID, opts.ID)
	}
	c.workers = append(c.workers, x)
}

// storeRecord writes the record of a job to the store, as it is.
func (c *cluster) storeRecord(id string, r workflow.Record) {
	c.store.Put(board.RecordKey(id), workflow.Encode(r))
}

// storeJob writes the record of an account's job in a queue to the store, as an earlier version may have done: with all
// figures as the caller sent them.
func (c *cluster) storeJob(id, account string, q site.Queue, spec workflow.Spec) {
	c.storeRecord(id, workflow.Record{
		Queue: q.Name, Account: account, Policy: workflow.PolicyOf(q, 1), AcceptedAt: clock.New().Now(), Token: "t", Spec: spec,
	})
}

// begun returns a function that counts the starts of the first task of a job.
func (c *cluster) begun(job int) func() int {
	return func() int { return len(c.starts(jobID(job) + ".0.0.0")) }
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

// instance is one instance of the scheduler, without its HTTP server.
type instance struct {
	*hooks
	board      *board.Board
	election   *election.Election
	runner     *controller.Controller
	jobsMirror *mirror.Mirror
	handler    *intake.Handler
	logs       *logtest.Hook
	counters   *counters.Counters
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
			unreachableWorkers: make(map[string]bool), unsendableWorkers: make(map[string]bool),
		},
		board: board.New(nil), counters: counters.New(),
		logs: logtest.NewLocal(log),
	}
	if change != nil {
		change(i.hooks)
	}
	i.election = election.New(election.Options{
		Store: i.Store, Key: board.LeaderKey, Name: fmt.Sprint("e", c.instanceCount), TTL: clock.Second, Clock: clk, Log: entry,
		OnElected: func(term uint64) { i.runner.StartLeading(term) }, OnLost: func() { i.runner.StopLeading() },
	})
	var hosts controller.Hosts
	if c.hosts != nil {
		hosts = platform.NewHostClient(c.hosts.Address())
	}
	i.runner = controller.New(controller.Options{
		Evacuations: c.followEvacuations(i, clk, entry), EvacuationsPrefix: platform.EvacuationPrefix,
		Store: i.hooks, Workers: i.hooks, Hosts: hosts, Board: i.board, Prefix: platform.WorkersPrefix, Decode: platform.DecodeWorker,
		Term: i.term, LeaderTTL: c.leaderTTL, SinceStoreChange: func() clock.Millis { return i.jobsMirror.SinceChange() }, Config: c.config.Load,
		Limits: func() controller.Limits {
			return controller.Limits{Lease: c.lease, Stop: 50 * clock.Millisecond, ReportInterval: c.reportInterval, MaxValue: c.maxValue, Retention: c.retention}
		},
		Clock: clk, Counters: i.counters, Log: entry,
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
		Name: fmt.Sprint("e", c.instanceCount), Store: i.Store, Board: i.board, Config: c.config.Load,
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

// counted returns the value of a counter.
func (i *instance) counted(name string) int { return int(i.counters.Counter(name).Get()) }

// jobID returns a job ID of 16 hexadecimal digits.
func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// step returns a step of equal tasks with one accelerator each.
func step(count int) workflow.Step {
	return workflow.Step{Count: count, Cores: 1000, Memory: 100, Accels: 1, Estimate: 100}
}
