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
	// avoidTime is how long a worker that said it was full is not asked again.
	avoidTime = 20 * clock.Millisecond
	// blameTime is how recently a service must have worked on another worker for its
	// failure to count against a worker.
	blameTime          = clock.Minute
	quarantineFailures = 5
	quarantineTime     = 2 * clock.Second
	recountTime        = 100 * clock.Millisecond
	maxForgotten       = 64
	// draws is how many random pairs are tried before all workers are.
	draws = 3
)

// fleet is what the entry knows of the workers from its own requests.
type fleet struct {
	opts Options

	mu    sync.Mutex
	known map[string]*state
	// worked is when and where each service worked last.
	worked map[string]success
	// connsSum and slotsSum are as of the last count, recount is the time of the next.
	connsSum int
	slotsSum int
	recount  clock.Millis
}

// state is one worker as this entry sees it.
type state struct {
	inFlight    int
	avoid       clock.Millis
	incarnation string
	address     string
	health      *breaker.Breaker
}

type success struct {
	at     clock.Millis
	worker string
}

// conn is one connection of a worker that a request holds.
type conn struct {
	*instances.Worker
	fleet *fleet
	done  func(breaker.Result)
}

func newFleet(opts Options) *fleet {
	return &fleet{opts: opts, known: make(map[string]*state), worked: make(map[string]success)}
}

// conns returns this entry's share of a worker's connections.
func (f *fleet) conns(w *instances.Worker) int {
	conns := w.Conns
	if conns <= 0 {
		conns = defaultConns
	}
	return max(1, conns/max(f.opts.Entries(), 1))
}

// share returns this entry's share of all connections.
func (f *fleet) share() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count()
	return f.connsSum
}

// slots returns the number of slots of all workers.
func (f *fleet) slots() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count()
	return f.slotsSum
}

// count adds up the workers every so often and forgets those long gone. The
// caller holds mu.
func (f *fleet) count() {
	now := f.opts.Clock.Now()
	if now < f.recount {
		return
	}
	f.recount = now + recountTime
	list := f.opts.Workers.Workers()
	f.connsSum, f.slotsSum = 0, 0
	for _, w := range list {
		if !w.Leaving {
			f.connsSum += f.conns(w)
			f.slotsSum += w.Capacity.Slots
		}
	}
	if len(f.known) > 2*len(list)+maxForgotten {
		f.prune(list)
	}
}

func (f *fleet) prune(list []*instances.Worker) {
	listed := make(map[string]bool, len(list))
	for _, w := range list {
		listed[w.Name] = true
	}
	for name, st := range f.known {
		if !listed[name] && st.inFlight == 0 {
			delete(f.known, name)
		}
	}
}

// acquire takes a connection of the less loaded of two random workers that were not
// tried. Workers that said they were full a moment ago come last, and those in
// quarantine only as probes.
func (f *fleet) acquire(tried map[string]bool) (*conn, bool) {
	list := f.opts.Workers.Workers()
	f.mu.Lock()
	defer f.mu.Unlock()
	for range draws {
		if s, ok := f.draw(list, tried); ok {
			return s, true
		}
	}
	var full *instances.Worker
	for _, i := range rand.Perm(len(list)) {
		switch w := list[i]; {
		case !f.usable(w, tried):
		case f.avoided(w):
			full = w
		default:
			if s, ok := f.take(w); ok {
				return s, true
			}
		}
	}
	if full == nil {
		return nil, false
	}
	return f.take(full)
}

// draw takes the less loaded of two random workers if it can be used.
func (f *fleet) draw(list []*instances.Worker, tried map[string]bool) (*conn, bool) {
	if len(list) == 0 {
		return nil, false
	}
	a, b := list[rand.IntN(len(list))], list[rand.IntN(len(list))]
	if f.state(b).inFlight < f.state(a).inFlight {
		a, b = b, a
	}
	for _, w := range []*instances.Worker{a, b} {
		if f.usable(w, tried) && !f.avoided(w) {
			return f.take(w)
		}
	}
	return nil, false
}

func (f *fleet) usable(w *instances.Worker, tried map[string]bool) bool {
	return !w.Leaving && !tried[w.Name] && f.state(w).inFlight < f.conns(w)
}

func (f *fleet) avoided(w *instances.Worker) bool {
	return f.opts.Clock.Now() < f.state(w).avoid
}

// take takes a connection of a worker unless it is in quarantine.
func (f *fleet) take(w *instances.Worker) (*conn, bool) {
	st := f.state(w)
	done, ok := st.health.Allow()
	if !ok {
		return nil, false
	}
	st.inFlight++
	return &conn{Worker: w, fleet: f, done: done}, true
}

// state returns what is known of a worker. The caller holds mu.
func (f *fleet) state(w *instances.Worker) *state {
	st, ok := f.known[w.Name]
	if !ok || st.address != w.Address {
		st = &state{address: w.Address, health: f.newHealth(w.Name)}
		f.known[w.Name] = st
	}
	return st
}

func (f *fleet) newHealth(name string) *breaker.Breaker {
	trips := f.opts.Counters.Counter(quarantines)
	return breaker.New(breaker.Options{
		Name: name, Failures: quarantineFailures, Open: quarantineTime,
		Changed: func(open bool) {
			if open {
				trips.Inc()
				f.opts.Log.WithField("worker", name).Warn("quick: worker in quarantine")
			}
		},
	})
}

// release gives the connection back with what the worker's answer showed.
func (s *conn) release(service string, t worker.Task, err error) {
	f := s.fleet
	f.mu.Lock()
	st := f.state(s.Worker)
	st.inFlight = max(st.inFlight-1, 0)
	now := f.opts.Clock.Now()
	if worker.RefusalOf(err) == worker.Full {
		st.avoid = now + avoidTime
	}
	if worker.RefusalOf(err) == worker.Replaced {
		st.incarnation = ""
	}
	result := f.judge(s.Name, service, t, err, now)
	f.mu.Unlock()
	s.done(result)
}

// free gives the connection back without a call having been made.
func (s *conn) free() {
	s.fleet.mu.Lock()
	st := s.fleet.state(s.Worker)
	st.inFlight = max(st.inFlight-1, 0)
	s.fleet.mu.Unlock()
	s.done(breaker.Neither)
}

// judge tells a worker that fails from a service that fails. The caller holds mu.
func (f *fleet) judge(name, service string, t worker.Task, err error, now clock.Millis) breaker.Result {
	switch {
	case worker.RefusalOf(err) != "":
		return breaker.Worked
	case err != nil:
		return breaker.ResultOf(canceled(err))
	case t.State == worker.Finished:
		f.worked[service] = success{now, name}
		return breaker.Worked
	case t.State == worker.Failed:
		last, ok := f.worked[service]
		if ok && last.worker != name && now-last.at < blameTime {
			return breaker.Broke
		}
		return breaker.Neither
	default:
		return breaker.Neither
	}
}

// incarnation returns the name of the worker's process, asking for it once.
func (s *conn) incarnation(ctx context.Context) (string, error) {
	f := s.fleet
	f.mu.Lock()
	known := f.state(s.Worker).incarnation
	f.mu.Unlock()
	if known != "" {
		return known, nil
	}
	report, err := s.Client.Report(ctx)
	if err != nil {
		return "", err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state(s.Worker).incarnation = report.Incarnation
	return report.Incarnation, nil
}

// agent returns a client of the worker that a claim names, of whichever failure
// domain it is.
func (r *Router) agent(c claim.Claim) *worker.Client {
	if w, ok := r.opts.Workers.Worker(c.Worker); ok && w.Address == c.Address {
		return w.Client
	}
	return worker.New(worker.Config{Address: c.Address, Transport: r.opts.Transport})
}
