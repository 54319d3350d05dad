// Package dispatch runs the scheduler of a failure domain while this entry holds
// the domain's term: it feeds the pure core with what happens and carries out what
// the core decides. One goroutine owns the core; all calls to workers and to the
// store run beside it and come back as events.
//
// # Usage
//
//	d := dispatch.New(dispatch.Options{Name: "e1", Domain: "a", Ledger: l, Election: election, Workers: workers, Texts: holder})
//	d.Hint("a", entry) // a record was written
//	d.Stop(ctx)
package dispatch

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/config"
	"github.com/chestnutsail/chestnutsail/counters"
	"github.com/chestnutsail/chestnutsail/gang"
	"github.com/chestnutsail/chestnutsail/ledger"
	"github.com/chestnutsail/chestnutsail/renewer"
	"github.com/chestnutsail/chestnutsail/scheduler"
	"github.com/chestnutsail/chestnutsail/term"
)

// Defaults of the times in milliseconds.
const (
	DefaultListing = 30 * clock.Second
	DefaultOrphan  = clock.Hour
	tickPeriod     = clock.Second
	sweepPeriod    = clock.Hour
	notifyPeriod   = clock.Second
)

const (
	inboxSize = 4096
	maxCalls  = 128
	maxHints  = 256
	// traceSize is what a trace takes in bytes; it fits into one call between entries.
	traceSize = 900 << 10
)

// ErrNotLeading means that this entry does not schedule the domain.
var ErrNotLeading = errors.New("dispatch: this entry does not lead the domain")

// Ledger is what the dispatcher needs of the jobs' records.
type Ledger interface {
	Live(ctx context.Context, domain string) ([]ledger.Entry, error)
	IDs(ctx context.Context, domain string) (live, canceled []string, err error)
	Find(ctx context.Context, domain, id string) (ledger.Entry, error)
	Write(ctx context.Context, e ledger.Entry) (ledger.Entry, error)
	End(ctx context.Context, e ledger.Entry) (ledger.Entry, error)
	Sweep(ctx context.Context, domain string) error
	Notify(ctx context.Context, domain string) error
	Notified(ctx context.Context, domain string, index uint64) (uint64, error)
}

// Election tells who leads the domain.
type Election interface {
	Now() term.State
	Changed() <-chan struct{}
}

// Agent is what the dispatcher needs of the agent of a worker.
type Agent interface {
	gang.Agent
	renewer.Agent
}

// Worker is a listed worker of the domain.
type Worker struct {
	Node    scheduler.Node
	Leaving bool
	Agent   Agent
}

// Texts tells which text is in force.
type Texts interface{ Now() config.Snapshot }

// Options configures a Dispatcher.
type Options struct {
	// Name and Domain are this entry's.
	Name     string
	Domain   string
	Ledger   Ledger
	Election Election
	// Workers returns the listed workers of the domain in the order of their names.
	Workers func() []Worker
	Texts   Texts
	// Mesh reaches the other entries; nil means there are none.
	Mesh Mesh
	// Core configures the core of each term.
	Core scheduler.Options
	// Quarantine keeps quick requests away from a worker or lets them in again.
	Quarantine func(worker string, away bool)
	Times      gang.Times
	// Listing is the time in milliseconds between two listings of the live jobs, which
	// find those whose hint was lost; 0 means 30 s.
	Listing clock.Millis
	// Orphan is how long entries renew a gang after they last heard of a scheduler, in
	// milliseconds; 0 means 1 h.
	Orphan   clock.Millis
	Counters *counters.Counters
	// Clock defaults to the machine's.
	Clock *clock.Clock
	Log   *logrus.Entry
}

// Dispatcher schedules the domain whenever this entry leads it. It is safe for
// concurrent use.
type Dispatcher struct {
	opts   Options
	cancel context.CancelFunc
	done   sync.WaitGroup
	hints  chan struct{}
	known  entries
	// notified is when this entry last told a scheduler through the store.
	notified atomic.Int64

	mu      sync.Mutex
	session *session
	heed    func(renewer.Notice)
}

// New returns a dispatcher that works until Stop.
func New(opts Options) *Dispatcher {
	if opts.Listing == 0 {
		opts.Listing = DefaultListing
	}
	if opts.Orphan == 0 {
		opts.Orphan = DefaultOrphan
	}
	if opts.Quarantine == nil {
		opts.Quarantine = func(string, bool) {}
	}
	if opts.Clock == nil {
		opts.Clock = clock.New()
	}
	if opts.Counters == nil {
		opts.Counters = counters.New()
	}
	if opts.Log == nil {
		opts.Log = logrus.NewEntry(logrus.StandardLogger())
	}
	opts.Times = opts.Times.Filled()
	ctx, cancel := context.WithCancel(context.Background())
	d := &Dispatcher{
		opts: opts, cancel: cancel, hints: make(chan struct{}, maxHints),
		known: entries{seen: make(map[string]clock.Millis)}, heed: func(renewer.Notice) {},
	}
	d.listen()
	d.done.Go(func() { d.follow(ctx) })
	return d
}

// Stop ends the scheduling. Gangs go on running.
func (d *Dispatcher) Stop(context.Context) error {
	d.cancel()
	d.done.Wait()
	return nil
}

// follow leads a session in each term that this entry holds.
func (d *Dispatcher) follow(ctx context.Context) {
	for ctx.Err() == nil {
		changed := d.opts.Election.Changed()
		now := d.opts.Election.Now()
		if !now.Leads {
			wait(ctx, changed, 100*clock.Millisecond)
			continue
		}
		d.lead(ctx, now.Term)
	}
}

// lead runs one session until the term changes hands.
func (d *Dispatcher) lead(ctx context.Context, number int64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := newSession(ctx, d, number)
	d.done.Go(func() {
		for ctx.Err() == nil {
			changed := d.opts.Election.Changed()
			if now := d.opts.Election.Now(); now.Term != number || now.Holder != d.opts.Name {
				cancel()
				return
			}
			wait(ctx, changed, clock.Second)
		}
	})
	d.opts.Log.WithField("term", number).Info("dispatch: scheduling begins")
	s.run()
	d.set(nil)
	cancel()
	s.calls.Wait()
	d.opts.Log.WithField("term", number).Info("dispatch: scheduling ends")
}

func (d *Dispatcher) set(s *session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.session = s
}

// leading returns the session of this entry, or nil.
func (d *Dispatcher) leading() *session {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.session
}

// agent returns the agent of a listed worker, or nil.
func (d *Dispatcher) agent(name string) gang.Agent {
	for _, w := range d.opts.Workers() {
		if w.Node.Name == name {
			return w.Agent
		}
	}
	return nil
}

// wait waits until c is closed, d milliseconds have passed or ctx ends.
func wait(ctx context.Context, c <-chan struct{}, d clock.Millis) {
	ctx, cancel := context.WithTimeout(ctx, d.Duration())
	defer cancel()
	select {
	case <-c:
	case <-ctx.Done():
	}
}
