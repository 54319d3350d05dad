// Package instances keeps the directory of the workers of one failure domain. It
// merges the platform's list, which lags and may be wrong, with what calls to the
// workers show and with hints from the other entries of the domain.
//
// # Usage
//
//	d := instances.New(instances.Options{Source: store, Domain: "a", Mesh: mesh})
//	for _, w := range d.Workers() { ... }
//	d.MarkLeaving("a-7") // at once, at every entry of the domain
//
// A list that can't be read leaves the last one in place. A worker that vanishes
// from the list is kept for a while as long as it answers, and without a bound while
// a large part of the list has vanished at once.
package instances

import (
	"context"
	"net/http"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/consul"
	"github.com/chestnutsail/chestnutsail/peer"
	"github.com/chestnutsail/chestnutsail/worker"
)

const (
	defaultPeriod       = clock.Second
	defaultKeepMissing  = 30 * clock.Second
	defaultHintDuration = clock.Minute
	// listWait bounds one watch of the list, in milliseconds.
	listWait            = 2 * clock.Minute
	probeTimeout        = clock.Second
	maxConcurrentProbes = 16
	// deadAfterFailures is the number of calls in a row without an answer that show a worker dead.
	deadAfterFailures = 3
	methodHint        = "leaving"
)

// Source is where the list of instances comes from.
type Source interface {
	WatchInstances(ctx context.Context, role, domain string, index uint64, wait clock.Millis) ([]consul.Instance, uint64, error)
}

// Mesh carries hints between entries.
type Mesh interface {
	Broadcast(match func(peer.Peer) bool, method string, body []byte)
	Handle(method string, f peer.Handler)
}

// Options configures a Directory.
type Options struct {
	Source Source
	// Domain is the failure domain whose workers are kept.
	Domain string
	// Mesh carries hints; nil means that there are none.
	Mesh Mesh
	// Period is the least time between two readings in milliseconds; 0 means 1 s.
	Period clock.Millis
	// KeepMissing is how long a worker that vanished from the list is kept while it answers,
	// in milliseconds; 0 means 30 s.
	KeepMissing clock.Millis
	// HintDuration is how long a hint holds against a list that lags, in milliseconds; 0 means 60 s.
	HintDuration clock.Millis
	// Clock defaults to the machine's.
	Clock *clock.Clock
	// Log defaults to the standard logger.
	Log *logrus.Entry
}

// Worker is a worker with a client of its agent.
type Worker struct {
	consul.Instance
	Client *worker.Client
	// Unlisted tells that the worker has vanished from the list and still answers.
	Unlisted bool
	// Dead tells that the last calls to the worker had no answer.
	Dead bool
}

// Directory holds the workers. It is safe for concurrent use.
type Directory struct {
	opts      Options
	transport http.RoundTripper
	cancel    context.CancelFunc
	done      chan struct{}

	mu      sync.RWMutex
	records map[string]*workerRecord
	workers []*Worker
	byName  map[string]*Worker
	// lastRead is when the list was last read; 0 means never.
	lastRead clock.Millis
}

// New returns a directory that follows the list until Stop.
func New(opts Options) *Directory {
	if opts.Period == 0 {
		opts.Period = defaultPeriod
	}
	if opts.KeepMissing == 0 {
		opts.KeepMissing = defaultKeepMissing
	}
	if opts.HintDuration == 0 {
		opts.HintDuration = defaultHintDuration
	}
	if opts.Clock == nil {
		opts.Clock = clock.New()
	}
	if opts.Log == nil {
		opts.Log = logrus.NewEntry(logrus.StandardLogger())
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Directory{
		opts: opts, cancel: cancel, done: make(chan struct{}),
		records: make(map[string]*workerRecord), byName: make(map[string]*Worker),
		transport: &http.Transport{MaxIdleConnsPerHost: 8},
	}
	if opts.Mesh != nil {
		d.handleHints()
	}
	go func() {
		defer close(d.done)
		var index uint64
		for {
			index = d.readList(ctx, index)
			d.probeMissing(ctx)
			if !clock.Sleep(ctx, opts.Period) {
				return
			}
		}
	}()
	return d
}

// Stop ends following the list.
func (d *Directory) Stop(context.Context) error {
	d.cancel()
	<-d.done
	return nil
}

// Workers returns the workers of the domain, ordered by name, leaving ones included.
func (d *Directory) Workers() []*Worker {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.workers
}

// Worker returns a worker of the domain by name.
func (d *Directory) Worker(name string) (*Worker, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	w, ok := d.byName[name]
	return w, ok
}

// Racks returns the workers by rack.
func (d *Directory) Racks() map[string][]*Worker {
	racks := make(map[string][]*Worker)
	for _, w := range d.Workers() {
		racks[w.Rack] = append(racks[w.Rack], w)
	}
	return racks
}

// Age returns the time since the list was last read in milliseconds, and false if it
// never was.
func (d *Directory) Age() (clock.Millis, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.opts.Clock.Now() - d.lastRead, d.lastRead > 0
}

// readList reads the list, waiting for a change after index, and returns its index.
func (d *Directory) readList(ctx context.Context, index uint64) uint64 {
	wait := listWait
	if d.anyMissing() {
		wait = 0
	}
	list, newIndex, err := d.opts.Source.WatchInstances(ctx, consul.RoleWorker, d.opts.Domain, index, wait)
	if err != nil {
		if ctx.Err() == nil {
			d.opts.Log.WithError(err).Warn("instances: list not read; the last one stays")
		}
		return 0
	}
	d.mergeList(list)
	if newIndex < index {
		return 0 // the platform counts anew
	}
	return newIndex
}
