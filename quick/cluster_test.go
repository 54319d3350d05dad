package quick_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutsail/chestnutsail/breaker"
	"github.com/chestnutsail/chestnutsail/budget"
	"github.com/chestnutsail/chestnutsail/claim"
	"github.com/chestnutsail/chestnutsail/consul"
	"github.com/chestnutsail/chestnutsail/consultest"
	"github.com/chestnutsail/chestnutsail/instances"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/quick"
	"github.com/chestnutsail/chestnutsail/worker"
	"github.com/chestnutsail/chestnutsail/workertest"
)

// testCluster is a store and a set of workers. Both outlive the entries (the routers) of
// a test.
type testCluster struct {
	store   *consultest.Server
	server  *httptest.Server
	workers []*testWorker
	// earlierValues holds all values that were written to each key, for stale reads. It is
	// guarded by mu.
	mu            sync.Mutex
	earlierValues map[string][]kv.Entry
}

// testWorker is a worker whose process can be replaced by a new one of the same name.
type testWorker struct {
	name    string
	server  *httptest.Server
	current atomic.Pointer[workertest.Server]
	opts    workertest.Options

	mu        sync.Mutex
	processes []*workertest.Server
}

func newTestCluster(workers, slots int) *testCluster {
	c := &testCluster{store: consultest.New(consultest.Options{}), earlierValues: make(map[string][]kv.Entry)}
	c.server = httptest.NewServer(c.store)
	for i := range workers {
		name := fmt.Sprintf("a-%d", i+1)
		tw := &testWorker{name: name, opts: workertest.Options{Name: name, Capacity: job.Resources{Slots: slots}}}
		tw.replaceProcess()
		tw.server = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
			tw.current.Load().ServeHTTP(rw, req)
		}))
		c.workers = append(c.workers, tw)
	}
	return c
}

func (c *testCluster) close() {
	c.server.CloseClientConnections()
	c.server.Close()
	for _, tw := range c.workers {
		tw.server.CloseClientConnections()
		tw.server.Close()
	}
}

// replaceProcess starts a new process of the worker, which has none of the tasks of the
// old one.
func (w *testWorker) replaceProcess() {
	s := workertest.New(w.opts)
	w.mu.Lock()
	w.processes = append(w.processes, s)
	w.mu.Unlock()
	w.current.Store(s)
}

// runs returns the number of times each task was started, by task ID, summed over all
// processes of all workers.
func (c *testCluster) runs() map[string]int {
	runs := make(map[string]int)
	for _, tw := range c.workers {
		tw.mu.Lock()
		for _, s := range tw.processes {
			for _, e := range s.Journal() {
				runs[e.ID]++
			}
		}
		tw.mu.Unlock()
	}
	return runs
}

// faults are the probabilities of the injected failures, in percent of the calls of a
// process to the store and to workers.
type faults struct {
	crash, freeze                                 int
	storeRefuse, storeLoseAnswer, storeDelayWrite int
	storeStaleRead                                int
	workerUnreachable, workerLoseAnswer           int
	workerDelayCall, workerDuplicateCall          int
}

// process is the process of one entry. It has a router whose calls to the store and to
// workers can be lost, delayed or duplicated, and it can freeze or be killed at each
// of these calls.
type process struct {
	testCluster *testCluster
	faults      faults
	router      *quick.Router
	killed      chan struct{}
	killOnce    sync.Once

	mu  sync.Mutex
	rng *rand.Rand
}

type staticWorkers []*instances.Worker

func (s staticWorkers) Workers() []*instances.Worker { return s }

func (s staticWorkers) Worker(name string) (*instances.Worker, bool) {
	for _, w := range s {
		if w.Name == name {
			return w, true
		}
	}
	return nil, false
}

// startProcess starts an entry that lists the workers from index firstWorker on. The
// others count as workers of another failure domain.
func (c *testCluster) startProcess(seed uint64, firstWorker int, f faults, opts quick.Options) *process {
	p := &process{testCluster: c, faults: f, killed: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 1))}
	var list staticWorkers
	for _, tw := range c.workers[firstWorker:] {
		address := tw.server.Listener.Addr().String()
		list = append(list, &instances.Worker{
			Instance: consul.Instance{Name: tw.name, Address: address, Domain: "a", Conns: 64, Capacity: tw.opts.Capacity},
			Client:   worker.New(worker.Config{Address: address, Transport: p}),
		})
	}
	retries := budget.New(budget.Options{Floor: 200, Cap: 500, Base: 2, Max: 20})
	store := &faultyStore{process: p, client: consul.New(consul.Config{Address: c.server.URL})}
	opts.Workers, opts.Transport, opts.Budget = list, p, retries
	opts.Claims = claim.New(claim.Options{
		Store: store, Budget: retries, Breaker: breaker.New(breaker.Options{Failures: 20, Open: 20}),
	})
	p.router = quick.New(opts)
	return p
}

func (p *process) kill() { p.killOnce.Do(func() { close(p.killed) }) }

func (p *process) isKilled() bool {
	select {
	case <-p.killed:
		return true
	default:
		return false
	}
}

func (p *process) chance(percent int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.IntN(100) < percent
}

func (p *process) randomDuration(low, high time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return low + time.Duration(p.rng.Int64N(int64(high-low)))
}

// freezeOrKill may freeze the process for 200 to 600 ms or kill it before a call. It
// reports whether the process is still running.
func (p *process) freezeOrKill() bool {
	if p.chance(p.faults.freeze) {
		time.Sleep(p.randomDuration(200*time.Millisecond, 600*time.Millisecond))
	}
	if p.chance(p.faults.crash) {
		p.kill()
	}
	return !p.isKilled()
}

var (
	errKilled   = errors.New("the process was killed")
	errInjected = errors.New("injected failure of a call")
)

// faultyStore passes the calls of one process on to the store and injects failures.
type faultyStore struct {
	process *process
	client  *consul.Client
}

func (s *faultyStore) List(ctx context.Context, prefix string) ([]kv.Entry, uint64, error) {
	return s.client.List(ctx, prefix)
}

func (s *faultyStore) Commit(ctx context.Context, ops []kv.Op) ([]uint64, error) {
	p, f := s.process, s.process.faults
	fail := func(k kv.Kind, err error) ([]uint64, error) {
		return nil, &kv.Error{Op: "commit", Key: ops[0].Key, Kind: k, Err: err}
	}
	switch {
	case !p.freezeOrKill():
		return fail(kv.Ambiguous, errKilled)
	case p.chance(f.storeRefuse):
		return fail(kv.Refused, errInjected)
	case p.chance(f.storeDelayWrite):
		time.AfterFunc(p.randomDuration(time.Millisecond, 500*time.Millisecond), func() {
			_, _ = s.client.Commit(context.Background(), ops)
		})
		return fail(kv.Ambiguous, errInjected)
	}
	versions, err := s.client.Commit(ctx, ops)
	if err == nil {
		p.testCluster.recordValue(kv.Entry{Key: ops[0].Key, Value: ops[0].Value, Version: versions[0]})
	}
	if p.chance(f.crash) {
		p.kill()
	}
	if p.isKilled() || p.chance(f.storeLoseAnswer) {
		return fail(kv.Ambiguous, errInjected)
	}
	return versions, err
}

func (s *faultyStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	p := s.process
	if !p.freezeOrKill() || p.chance(p.faults.storeRefuse) {
		return kv.Entry{}, &kv.Error{Op: "get", Key: key, Kind: kv.Refused, Err: errInjected}
	}
	if p.chance(p.faults.storeStaleRead) {
		if value, ok := p.testCluster.staleValue(key, p); ok {
			return value, nil
		}
		return kv.Entry{}, &kv.Error{Op: "get", Key: key, Kind: kv.Missing, Err: kv.ErrMissing}
	}
	return s.client.Get(ctx, key)
}

func (c *testCluster) recordValue(e kv.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.earlierValues[e.Key] = append(c.earlierValues[e.Key], e)
}

func (c *testCluster) staleValue(key string, p *process) (kv.Entry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	values := c.earlierValues[key]
	if len(values) == 0 {
		return kv.Entry{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return values[p.rng.IntN(len(values))], true
}

// RoundTrip makes one call of the process to a worker and injects failures.
func (p *process) RoundTrip(req *http.Request) (*http.Response, error) {
	var body []byte
	if req.Body != nil {
		body, _ = io.ReadAll(req.Body)
		_ = req.Body.Close()
	}
	send := func(ctx context.Context) (*http.Response, error) {
		return http.DefaultTransport.RoundTrip(copyRequest(ctx, req, body))
	}
	sendAndDiscard := func() {
		if resp, err := send(context.Background()); err == nil {
			_ = resp.Body.Close()
		}
	}
	f := p.faults
	switch {
	case !p.freezeOrKill():
		return nil, errKilled
	case p.chance(f.workerUnreachable):
		return nil, &net.OpError{Op: "dial", Err: errInjected}
	case p.chance(f.workerDelayCall):
		time.AfterFunc(p.randomDuration(time.Millisecond, 500*time.Millisecond), sendAndDiscard)
		return nil, errInjected
	case p.chance(f.workerDuplicateCall):
		time.AfterFunc(p.randomDuration(time.Millisecond, 500*time.Millisecond), sendAndDiscard)
	}
	resp, err := send(req.Context())
	if p.chance(f.crash) {
		p.kill()
	}
	if err == nil && (p.isKilled() || p.chance(f.workerLoseAnswer)) {
		_ = resp.Body.Close()
		return nil, errInjected
	}
	return resp, err
}

func copyRequest(ctx context.Context, req *http.Request, body []byte) *http.Request {
	duplicate := req.Clone(ctx)
	duplicate.Body = io.NopCloser(bytes.NewReader(body))
	duplicate.ContentLength = int64(len(body))
	return duplicate
}
