package quick

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/chestnutsail/chestnutsail/breaker"
	"github.com/chestnutsail/chestnutsail/claim"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/instances"
	"github.com/chestnutsail/chestnutsail/worker"
)

const (
	defaultConns = 64
	// avoidFullTime is how long a worker that refused a request as full is chosen only
	// when no other worker is available.
	avoidFullTime = 20 * clock.Millisecond
	// recentSuccessTime is how recently a service must have succeeded on another worker
	// for its failure on this worker to count as a failure of the worker.
	recentSuccessTime     = clock.Minute
	quarantineFailures    = 5
	quarantineTime        = 2 * clock.Second
	totalsRefreshInterval = 100 * clock.Millisecond
	pruneSlack            = 64
	// maxDraws is the number of random pairs of workers that are tried before all
	// workers are searched.
	maxDraws = 3
)

// workerPool chooses the worker for each request. It tracks the load and the failures
// of the workers as seen in this entry's own requests.
type workerPool struct {
	opts Options

	mu     sync.Mutex
	states map[string]*workerState
	// lastSuccess holds, by service, the time and the worker of the last task that finished.
	lastSuccess map[string]success
	// cachedConns and cachedSlots are the totals as of the last refresh; nextRefresh is
	// the time from which on they are computed anew.
	cachedConns int
	cachedSlots int
	nextRefresh clock.Millis
}

// workerState is what this entry knows of one worker.
type workerState struct {
	inFlight    int
	avoidUntil  clock.Millis
	incarnation string
	address     string
	quarantine  *breaker.Breaker
}

type success struct {
	at     clock.Millis
	worker string
}

// workerConn is one of this entry's connections to a worker, reserved for one request.
type workerConn struct {
	*instances.Worker
	pool         *workerPool
	reportResult func(breaker.Result)
}

func newWorkerPool(opts Options) *workerPool {
	return &workerPool{opts: opts, states: make(map[string]*workerState), lastSuccess: make(map[string]success)}
}

// connShare returns how many of a worker's connections this entry may use.
func (p *workerPool) connShare(w *instances.Worker) int {
	conns := w.Conns
	if conns <= 0 {
		conns = defaultConns
	}
	return max(1, conns/max(p.opts.Entries(), 1))
}

// totalConnShare returns how many connections this entry may use, summed over all workers.
func (p *workerPool) totalConnShare() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refreshTotals()
	return p.cachedConns
}

// totalSlots returns the number of slots, summed over all workers.
func (p *workerPool) totalSlots() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refreshTotals()
	return p.cachedSlots
}

// refreshTotals recomputes the totals if they are older than totalsRefreshInterval,
// and discards the states of unlisted workers once there are too many. The caller
// holds mu.
func (p *workerPool) refreshTotals() {
	now := p.opts.Clock.Now()
	if now < p.nextRefresh {
		return
	}
	p.nextRefresh = now + totalsRefreshInterval
	list := p.opts.Workers.Workers()
	p.cachedConns, p.cachedSlots = 0, 0
	for _, w := range list {
		if !w.Leaving {
			p.cachedConns += p.connShare(w)
			p.cachedSlots += w.Capacity.Slots
		}
	}
	if len(p.states) > 2*len(list)+pruneSlack {
		p.pruneUnlisted(list)
	}
}

func (p *workerPool) pruneUnlisted(list []*instances.Worker) {
	listed := make(map[string]bool, len(list))
	for _, w := range list {
		listed[w.Name] = true
	}
	for name, state := range p.states {
		if !listed[name] && state.inFlight == 0 {
			delete(p.states, name)
		}
	}
}

// acquire reserves a connection to the less loaded of two random workers, leaving out
// the tried ones. A worker that was full within the last avoidFullTime is chosen only
// when there is no other, and a worker in quarantine only for a probe. It returns
// false when no worker is available.
func (p *workerPool) acquire(tried map[string]bool) (*workerConn, bool) {
	list := p.opts.Workers.Workers()
	p.mu.Lock()
	defer p.mu.Unlock()
	for range maxDraws {
		if conn, ok := p.reserveFromRandomPair(list, tried); ok {
			return conn, true
		}
	}
	var fullWorker *instances.Worker
	for _, i := range rand.Perm(len(list)) {
		switch w := list[i]; {
		case !p.usable(w, tried):
		case p.recentlyFull(w):
			fullWorker = w
		default:
			if conn, ok := p.reserve(w); ok {
				return conn, true
			}
		}
	}
	if fullWorker == nil {
		return nil, false
	}
	return p.reserve(fullWorker)
}

// reserveFromRandomPair draws two random workers and reserves a connection to the less
// loaded one, or to the other one if the first is not usable. The caller holds mu.
func (p *workerPool) reserveFromRandomPair(list []*instances.Worker, tried map[string]bool) (*workerConn, bool) {
	if len(list) == 0 {
		return nil, false
	}
	first, second := list[rand.IntN(len(list))], list[rand.IntN(len(list))]
	if p.workerState(second).inFlight < p.workerState(first).inFlight {
		first, second = second, first
	}
	for _, w := range []*instances.Worker{first, second} {
		if p.usable(w, tried) && !p.recentlyFull(w) {
			return p.reserve(w)
		}
	}
	return nil, false
}

func (p *workerPool) usable(w *instances.Worker, tried map[string]bool) bool {
	return !w.Leaving && !tried[w.Name] && p.workerState(w).inFlight < p.connShare(w)
}

func (p *workerPool) recentlyFull(w *instances.Worker) bool {
	return p.opts.Clock.Now() < p.workerState(w).avoidUntil
}

// reserve reserves a connection to a worker unless the worker is in quarantine. The
// caller holds mu.
func (p *workerPool) reserve(w *instances.Worker) (*workerConn, bool) {
	state := p.workerState(w)
	reportResult, ok := state.quarantine.Allow()
	if !ok {
		return nil, false
	}
	state.inFlight++
	return &workerConn{Worker: w, pool: p, reportResult: reportResult}, true
}

// workerState returns the state of a worker and creates it for a new worker or a new
// address. The caller holds mu.
func (p *workerPool) workerState(w *instances.Worker) *workerState {
	state, ok := p.states[w.Name]
	if !ok || state.address != w.Address {
		state = &workerState{address: w.Address, quarantine: p.newBreaker(w.Name)}
		p.states[w.Name] = state
	}
	return state
}

func (p *workerPool) newBreaker(name string) *breaker.Breaker {
	quarantined := p.opts.Counters.Counter(workerQuarantines)
	return breaker.New(breaker.Options{
		Name: name, Failures: quarantineFailures, Open: quarantineTime,
		OnChange: func(open bool) {
			if open {
				quarantined.Inc()
				p.opts.Log.WithField("worker", name).Warn("quick: worker put into quarantine")
			}
		},
	})
}

// release gives the connection back after a call and updates the state of the worker
// from the answer or the error of that call.
func (c *workerConn) release(service string, answer worker.Task, err error) {
	p := c.pool
	p.mu.Lock()
	state := p.workerState(c.Worker)
	state.inFlight = max(state.inFlight-1, 0)
	now := p.opts.Clock.Now()
	if worker.RefusalOf(err) == worker.Full {
		state.avoidUntil = now + avoidFullTime
	}
	if worker.RefusalOf(err) == worker.Replaced {
		state.incarnation = ""
	}
	result := p.classify(c.Name, service, answer, err, now)
	p.mu.Unlock()
	c.reportResult(result)
}

// releaseUnused gives the connection back when no call was made on it.
func (c *workerConn) releaseUnused() {
	c.pool.mu.Lock()
	state := c.pool.workerState(c.Worker)
	state.inFlight = max(state.inFlight-1, 0)
	c.pool.mu.Unlock()
	c.reportResult(breaker.Inconclusive)
}

// classify decides whether a call counts as a success or a failure of the worker, or
// as neither. A refusal, and a call that was canceled or whose deadline passed, count as
// a success. A failed task counts against the worker only if the same service has
// recently succeeded on another worker; otherwise the service itself may be at fault.
// The caller holds mu.
func (p *workerPool) classify(name, service string, answer worker.Task, err error, now clock.Millis) breaker.Result {
	switch {
	case worker.RefusalOf(err) != "":
		return breaker.Success
	case err != nil:
		return breaker.ResultOf(isCanceled(err))
	case answer.State == worker.Finished:
		p.lastSuccess[service] = success{now, name}
		return breaker.Success
	case answer.State == worker.Failed:
		latest, ok := p.lastSuccess[service]
		if ok && latest.worker != name && now-latest.at < recentSuccessTime {
			return breaker.Failure
		}
		return breaker.Inconclusive
	default:
		return breaker.Inconclusive
	}
}

// incarnation returns the incarnation of the worker's process. The first call requests
// it from the worker; later calls use the cached value.
func (c *workerConn) incarnation(ctx context.Context) (string, error) {
	p := c.pool
	p.mu.Lock()
	known := p.workerState(c.Worker).incarnation
	p.mu.Unlock()
	if known != "" {
		return known, nil
	}
	report, err := c.Client.Report(ctx)
	if err != nil {
		return "", err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workerState(c.Worker).incarnation = report.Incarnation
	return report.Incarnation, nil
}

// workerClient returns a client for the worker that a claim names. The worker may be of
// another failure domain and so not be listed at this entry.
func (r *Router) workerClient(c claim.Claim) *worker.Client {
	if w, ok := r.opts.Workers.Worker(c.Worker); ok && w.Address == c.Address {
		return w.Client
	}
	return worker.New(worker.Config{Address: c.Address, Transport: r.opts.Transport})
}
