// Package dispatch runs the scheduler of a failure domain while this instance holds
// the domain's term. The dispatcher passes events to the scheduler core, which does no
// I/O, and executes the actions that the core returns. One goroutine owns the core. All
// calls to workers and to the store run on other goroutines, and their results are
// passed to the core as events.
//
// # Usage
//
//	d := dispatch.New(dispatch.Options{
//		Name: "e1", Domain: "a", Ledger: l, Election: election, Workers: workers, Texts: holder,
//	})
//	d.Hint("a", entry) // tells the scheduler of domain "a" that a record was written
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

// Intervals and timeouts in milliseconds. Default... are the defaults of Options.
const (
	DefaultListInterval  = 30 * clock.Second
	DefaultOrphanTimeout = clock.Hour
	tickPeriod           = clock.Second
	sweepPeriod          = clock.Hour
	notifyPeriod         = clock.Second
)

const (
	inboxSize           = 4096
	maxConcurrentStarts = 128
	maxPendingHints     = 256
	// maxTraceBytes limits a trace so that it fits into one call between instances.
	maxTraceBytes = 900 << 10
)

// ErrNotLeading means that this instance does not lead the scheduling of the domain, or
// that the leader is not known.
var ErrNotLeading = errors.New("dispatch: this entry does not lead the domain")

// Ledger is the part of ledger.Ledger that the dispatcher uses.
type Ledger interface {
	Live(ctx context.Context, domain string) ([]ledger.Entry, error)
	IDs(ctx context.Context, domain string) (live, canceled []string, err error)
	Find(ctx context.Context, domain, id string) (ledger.Entry, error)
	Write(ctx context.Context, e ledger.Entry) (ledger.Entry, error)
	End(ctx context.Context, e ledger.Entry) (ledger.Entry, error)
	Sweep(ctx context.Context, domain string) error
	Notify(ctx context.Context, domain string) error
	AwaitNotify(ctx context.Context, domain string, index uint64) (uint64, error)
}

// Election reports which instance leads the domain.
type Election interface {
	Now() term.State
	Changed() <-chan struct{}
}

// Agent is the part of a worker agent's API that the dispatcher uses.
type Agent interface {
	gang.Agent
	renewer.Agent
}

// Worker is a worker that is listed in the domain. Leaving is set while it drains.
type Worker struct {
	Node    scheduler.Node
	Leaving bool
	Agent   Agent
}

// Texts returns the cluster text in force.
type Texts interface{ Now() config.Snapshot }

// Options configures a Dispatcher.
type Options struct {
	// Name and Domain are the name and the failure domain of this instance.
	Name     string
	Domain   string
	Ledger   Ledger
	Election Election
	// Workers returns the listed workers of the domain, sorted by name.
	Workers func() []Worker
	Texts   Texts
	// Mesh connects to the other instances; nil means that there are none.
	Mesh Mesh
	// Core configures the scheduler core that is created for each term.
	Core scheduler.Options
	// Quarantine stops the routing of quick requests to a worker when quarantined is
	// true, and resumes it when quarantined is false.
	Quarantine func(worker string, quarantined bool)
	Times      gang.Times
	// ListInterval is the time in milliseconds between two listings of the live jobs. A
	// listing finds the jobs whose hint was lost. 0 means 30 s.
	ListInterval clock.Millis
	// OrphanTimeout is the time in milliseconds for which an instance keeps renewing the
	// leases of a gang after its last contact with a scheduler; 0 means 1 h.
	OrphanTimeout clock.Millis
	Counters      *counters.Counters
	// Clock defaults to the system clock.
	Clock *clock.Clock
	Log   *logrus.Entry
}

// Dispatcher schedules the domain whenever this instance leads it. It is safe for
// concurrent use.
type Dispatcher struct {
	opts       Options
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	hints      chan struct{}
	knownPeers peerHistory
	// lastNotify is the time in milliseconds of the latest notification that this
	// instance has sent, or is about to send, to a scheduler through the store.
	lastNotify atomic.Int64

	mu       sync.Mutex
	session  *session
	onNotice func(renewer.Notice)
}

// New returns a dispatcher that runs until Stop.
func New(opts Options) *Dispatcher {
	if opts.ListInterval == 0 {
		opts.ListInterval = DefaultListInterval
	}
	if opts.OrphanTimeout == 0 {
		opts.OrphanTimeout = DefaultOrphanTimeout
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
	opts.Times = opts.Times.WithDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	d := &Dispatcher{
		opts: opts, cancel: cancel, hints: make(chan struct{}, maxPendingHints),
		knownPeers: peerHistory{lastSeen: make(map[string]clock.Millis)}, onNotice: func(renewer.Notice) {},
	}
	d.registerHandlers()
	d.goroutines.Go(func() { d.watchElection(ctx) })
	return d
}

// Stop ends the scheduling by this instance. Running gangs continue. The returned error
// is always nil.
func (d *Dispatcher) Stop(context.Context) error {
	d.cancel()
	d.goroutines.Wait()
	return nil
}

// watchElection runs a scheduling session for each term that this instance holds, until
// ctx ends.
func (d *Dispatcher) watchElection(ctx context.Context) {
	for ctx.Err() == nil {
		changed := d.opts.Election.Changed()
		state := d.opts.Election.Now()
		if !state.Leads {
			waitFor(ctx, changed, 100*clock.Millisecond)
			continue
		}
		d.runSession(ctx, state.Term)
	}
}

// runSession runs one scheduling session until another instance or another term leads
// the domain, or ctx ends.
func (d *Dispatcher) runSession(ctx context.Context, termNumber int64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := newSession(ctx, d, termNumber)
	d.goroutines.Go(func() {
		for ctx.Err() == nil {
			changed := d.opts.Election.Changed()
			if state := d.opts.Election.Now(); state.Term != termNumber || state.Holder != d.opts.Name {
				cancel()
				return
			}
			waitFor(ctx, changed, clock.Second)
		}
	})
	d.opts.Log.WithField("term", termNumber).Info("dispatch: scheduling begins")
	s.run()
	d.setSession(nil)
	cancel()
	s.background.Wait()
	d.opts.Log.WithField("term", termNumber).Info("dispatch: scheduling ends")
}

func (d *Dispatcher) setSession(s *session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.session = s
}

// currentSession returns the running session of this instance, or nil.
func (d *Dispatcher) currentSession() *session {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.session
}

// findAgent returns the agent of a listed worker, or nil.
func (d *Dispatcher) findAgent(name string) gang.Agent {
	for _, w := range d.opts.Workers() {
		if w.Node.Name == name {
			return w.Agent
		}
	}
	return nil
}

// waitFor returns when c is closed, when the timeout in milliseconds has passed, or when
// ctx ends.
func waitFor(ctx context.Context, c <-chan struct{}, timeout clock.Millis) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	select {
	case <-c:
	case <-ctx.Done():
	}
}
