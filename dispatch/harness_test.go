package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/config"
	"github.com/chestnutsail/chestnutsail/consul"
	"github.com/chestnutsail/chestnutsail/consultest"
	"github.com/chestnutsail/chestnutsail/dispatch"
	"github.com/chestnutsail/chestnutsail/gang"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/ledger"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/renewer"
	"github.com/chestnutsail/chestnutsail/scheduler"
	"github.com/chestnutsail/chestnutsail/term"
	"github.com/chestnutsail/chestnutsail/text"
	"github.com/chestnutsail/chestnutsail/worker"
	"github.com/chestnutsail/chestnutsail/workertest"
)

// times are shorter than the default times of the product, so that a takeover takes less
// than a second.
var times = gang.Times{Reservation: 1000, StartLease: 500, Lease: 2500, CallTimeout: 250}

const (
	termPeriod = 150 * clock.Millisecond
	termLapse  = 600 * clock.Millisecond
)

var errDead = errors.New("the instance is dead")

// domain is one failure domain: a store, workers, and instances that share the test process.
type domain struct {
	store    *consultest.Server
	storeURL string
	workers  []*workertest.Server
	// proxies are in front of the workers, in the same order.
	proxies  []*workerProxy
	servers  []*httptest.Server
	capacity job.Resources

	// noText hides the cluster text from the instances.
	noText atomic.Bool

	mu      sync.Mutex
	entries map[string]*entry
}

// entry is the part of one instance that handles jobs.
type entry struct {
	domain     *domain
	name       string
	network    *network
	ledger     *ledger.Ledger
	election   *term.Election
	dispatcher *dispatch.Dispatcher
	renewals   *renewer.Renewer
	leadership dispatch.Election
	agents     []dispatch.Worker

	mu       sync.Mutex
	handlers map[string]func(context.Context, string, []byte) ([]byte, error)
}

// network is the HTTP transport of one instance. It can fail at a chosen call, before or
// after the call takes effect, and stays down from then on.
type network struct {
	http  http.RoundTripper
	calls atomic.Int64
	// cutAt is the number of the call at which the network fails; 0 means never. cutAfter
	// lets this call take effect first.
	cutAt    atomic.Int64
	cutAfter bool
	dead     atomic.Bool
	// delayAt is the number of the first call that is delayed until resume is closed; all
	// later calls are delayed too. 0 means never.
	delayAt atomic.Int64
	resume  chan struct{}
	// unreachable holds the hosts whose calls get no response.
	unreachable sync.Map
}

func (net *network) RoundTrip(r *http.Request) (*http.Response, error) {
	n := net.calls.Add(1)
	if _, cut := net.unreachable.Load(r.URL.Host); cut {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	if at := net.delayAt.Load(); at > 0 && n >= at {
		<-net.resume
	}
	last := n == net.cutAt.Load()
	if last && !net.cutAfter {
		net.dead.Store(true)
	}
	if net.dead.Load() {
		return nil, errDead
	}
	resp, err := net.http.RoundTrip(r)
	if last {
		net.dead.Store(true)
	}
	if net.dead.Load() && err == nil {
		_ = resp.Body.Close()
		return nil, errDead
	}
	return resp, err
}

// newDomain returns a domain of n workers with 8 accelerators each and no instances.
func newDomain(n int) *domain {
	d := &domain{entries: make(map[string]*entry), capacity: job.Resources{Accelerators: 8, Slots: 8}}
	d.store = consultest.New(consultest.Options{})
	server := httptest.NewServer(d.store)
	DeferCleanup(server.Close)
	d.storeURL = server.URL
	for i := range n {
		w := workertest.New(workertest.Options{Name: workerName(i), Capacity: d.capacity})
		workerProxy := &workerProxy{worker: w}
		d.proxies = append(d.proxies, workerProxy)
		server := httptest.NewServer(workerProxy)
		DeferCleanup(func() {
			w.SetFaults(workertest.Faults{})
			server.CloseClientConnections()
			server.Close()
		})
		d.workers = append(d.workers, w)
		d.servers = append(d.servers, server)
	}
	return d
}

// workerProxy passes calls to one worker. It fails for good at call number closeAt, whose
// effect on the worker is lost.
type workerProxy struct {
	worker  http.Handler
	calls   atomic.Int64
	closeAt atomic.Int64
	closed  atomic.Bool
}

func (p *workerProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if n := p.calls.Add(1); n == p.closeAt.Load() {
		p.closed.Store(true)
	}
	if p.closed.Load() {
		panic(http.ErrAbortHandler)
	}
	p.worker.ServeHTTP(w, r)
	if p.closed.Load() {
		panic(http.ErrAbortHandler)
	}
}

func workerName(i int) string { return fmt.Sprintf("a-%02d", i+1) }

// addEntry starts an instance. The functions in set change its options.
func (d *domain) addEntry(name string, set ...func(*dispatch.Options)) *entry {
	log := logrus.New()
	log.SetOutput(GinkgoWriter)
	e := &entry{
		domain: d, name: name, network: &network{http: &http.Transport{MaxIdleConnsPerHost: 32}, resume: make(chan struct{})},
		handlers: make(map[string]func(context.Context, string, []byte) ([]byte, error)),
	}
	for i, s := range d.servers {
		node := scheduler.Node{Name: workerName(i), Domain: "a", Rack: "r1", Capacity: d.capacity}
		agent := worker.New(worker.Config{Address: s.Listener.Addr().String(), Transport: e.network})
		e.agents = append(e.agents, dispatch.Worker{Node: node, Agent: agent})
	}
	logger := log.WithField("entry", name)
	store := consul.New(consul.Config{Address: d.storeURL, Transport: e.network, Timeout: clock.Second})
	e.ledger = ledger.New(ledger.Options{Store: store, Domain: "a", Log: logger, Hint: func(domain string, r ledger.Entry) { e.dispatcher.Hint(domain, r) }})
	e.election = term.New(term.Options{Store: store, Domain: "a", Name: name, RenewInterval: termPeriod, LeaseDuration: termLapse, Log: logger})
	opts := dispatch.Options{
		Name: name, Domain: "a", Ledger: e.ledger, Election: e.election, Texts: e, Mesh: e, Log: logger,
		Workers: func() []dispatch.Worker { return e.agents }, Times: times, ListInterval: clock.Second, OrphanTimeout: 2 * clock.Second,
	}
	for _, f := range set {
		f(&opts)
	}
	e.leadership = opts.Election
	e.dispatcher = dispatch.New(opts)
	e.renewals = renewer.New(renewer.Options{
		Name: name, Publisher: e.dispatcher, Term: e.highestTerm, Log: logger,
		Period: clock.Second, Lease: times.Lease, Grace: clock.Second,
		Entries: func() []string {
			var names []string
			for _, p := range e.dispatcher.Peers() {
				names = append(names, p.Name)
			}
			return names
		},
		Workers: func() []renewer.Target {
			var targets []renewer.Target
			for _, w := range e.agents {
				targets = append(targets, renewer.Target{Name: w.Node.Name, Agent: w.Agent})
			}
			return targets
		},
	})
	e.dispatcher.OnNotice(e.renewals.HandleNotice)
	d.mu.Lock()
	d.entries[name] = e
	d.mu.Unlock()
	DeferCleanup(e.kill)
	return e
}

// addLedger returns a ledger of the domain that no instance uses and that sends no hints.
func (d *domain) addLedger() *ledger.Ledger {
	log := logrus.New()
	log.SetOutput(GinkgoWriter)
	l := ledger.New(ledger.Options{
		Store: consul.New(consul.Config{Address: d.storeURL, Timeout: clock.Second}), Domain: "a",
		Log: log.WithField("entry", "older"), Hint: func(string, ledger.Entry) {},
	})
	DeferCleanup(l.Stop)
	return l
}

// kill disconnects the instance and then stops it, so that it cannot notify the others.
func (e *entry) kill() {
	e.network.dead.Store(true)
	ctx := context.Background()
	_ = e.renewals.Stop(ctx)
	_ = e.dispatcher.Stop(ctx)
	_ = e.election.Stop(ctx)
	_ = e.ledger.Stop(ctx)
}

// Now returns a cluster text that guarantees the whole fleet to one account, so that
// work that cannot be stopped may run on every worker.
func (e *entry) Now() config.Snapshot {
	if e.domain.noText.Load() {
		return config.Snapshot{Text: &text.Text{}}
	}
	return config.Snapshot{Revision: 1, Text: &text.Text{
		Fleet:    []text.Pool{{Domain: "a", Racks: 1, Workers: len(e.agents), Accels: 8, Slots: 8}},
		Accounts: []text.Account{{Name: "kulhar", Guarantee: []text.Guarantee{{Accels: 8, Count: len(e.agents)}}}},
	}}
}

// highestTerm returns the highest term that this instance or a live peer knows.
func (e *entry) highestTerm() int64 {
	t := e.leadership.Now().Term
	for _, p := range e.Peers() {
		t = max(t, p.Term)
	}
	return t
}

// Peers returns the other instances that are not dead.
func (e *entry) Peers() []dispatch.Peer {
	e.domain.mu.Lock()
	defer e.domain.mu.Unlock()
	var peers []dispatch.Peer
	for name, other := range e.domain.entries {
		if name != e.name && !other.network.dead.Load() {
			state := other.leadership.Now()
			peers = append(peers, dispatch.Peer{Name: name, Domain: "a", Leads: state.Leads, Term: state.Term})
		}
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].Name < peers[j].Name })
	return peers
}

// Call calls a method of another instance in the test process.
func (e *entry) Call(ctx context.Context, name, method string, in []byte) ([]byte, error) {
	e.domain.mu.Lock()
	other := e.domain.entries[name]
	e.domain.mu.Unlock()
	if other == nil || other.network.dead.Load() || e.network.dead.Load() {
		return nil, errDead
	}
	other.mu.Lock()
	f := other.handlers[method]
	other.mu.Unlock()
	return f(ctx, e.name, in)
}

// Handle registers the handler for the calls of a method by other instances.
func (e *entry) Handle(method string, f func(context.Context, string, []byte) ([]byte, error)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handlers[method] = f
}

// awaitLeadership waits until the instance leads the domain.
func (e *entry) awaitLeadership() {
	GinkgoHelper()
	Eventually(func() bool { return e.election.Now().Leads }).WithTimeout(10 * time.Second).WithPolling(10 * time.Millisecond).Should(BeTrue())
}

// awaitEnd waits until a job has ended and returns its outcome.
func (e *entry) awaitEnd(key string) outcome.Outcome {
	GinkgoHelper()
	var o outcome.Outcome
	Eventually(func() bool {
		o = e.ledger.Query(context.Background(), "kulhar", key)
		return o.Kind != outcome.Accepted && o.Reason != outcome.StoreUnreachable
	}).WithTimeout(10*time.Second).WithPolling(20*time.Millisecond).Should(BeTrue(), func() string {
		raw, _ := e.domain.store.Value("live/a/kulhar/" + key)
		trace, _ := e.dispatcher.Trace(context.Background())
		return fmt.Sprintf("job %s did not end: %s %+v\n%s", key, raw, e.domain.runs("kulhar/"+key), trace)
	})
	return o
}

func gangSpec(key string, tasks int, script string) job.Spec {
	return job.Spec{
		Account: "kulhar", Service: "reconcile", Key: key, Class: job.Batch,
		Shape: job.Shape{Tasks: tasks, Accelerators: 8}, Payload: []byte(script),
	}
}

// run holds the entries of the workers' journals for one attempt of a job.
type run struct {
	id      string
	attempt int
	parts   []workertest.Execution
}

// runs returns every attempt of a job that the workers' journals contain, in order.
func (d *domain) runs(id string) []run {
	byAttempt := make(map[int]*run)
	for _, w := range d.workers {
		for _, x := range w.Journal() {
			if x.ID != id {
				continue
			}
			if byAttempt[x.Attempt] == nil {
				byAttempt[x.Attempt] = &run{id: id, attempt: x.Attempt}
			}
			byAttempt[x.Attempt].parts = append(byAttempt[x.Attempt].parts, x)
		}
	}
	var out []run
	for _, r := range byAttempt {
		out = append(out, *r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].attempt < out[j].attempt })
	return out
}

// finished reports whether all parts of the attempt finished by themselves.
func (r run) finished(size int) bool {
	for _, x := range r.parts {
		if x.State != worker.Finished {
			return false
		}
	}
	return len(r.parts) == size
}

// partialTime returns for how long a part ran while another part neither ran nor had
// finished, in milliseconds.
func (r run) partialTime(size int, now clock.Millis) clock.Millis {
	var points []clock.Millis
	end := func(x workertest.Execution) clock.Millis {
		if x.End == 0 {
			return now
		}
		return x.End
	}
	for _, x := range r.parts {
		points = append(points, x.Start, end(x))
	}
	sort.Slice(points, func(i, j int) bool { return points[i] < points[j] })
	var total clock.Millis
	for i := 1; i < len(points); i++ {
		running, runningOrFinished := 0, 0
		for _, x := range r.parts {
			if x.Start <= points[i-1] && end(x) >= points[i] {
				running++
			}
			if x.Start <= points[i-1] && (end(x) >= points[i] || x.State == worker.Finished) {
				runningOrFinished++
			}
		}
		if running > 0 && runningOrFinished < size {
			total += points[i] - points[i-1]
		}
	}
	return total
}
