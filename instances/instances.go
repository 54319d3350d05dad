// Package instances maintains a directory of the workers of one failure domain. It
// reads them from the platform's list of instances, which lags behind and may be wrong.
// It corrects the list by the results of calls to the workers and by hints from other
// entries of the failure domain that a worker is leaving.
//
// # Usage
//
//	d := instances.New(instances.Options{Source: store, Domain: "a", Mesh: mesh})
//	for _, w := range d.Workers() { ... }
//	d.MarkLeaving("a-7") // takes effect before the list shows it, at all entries of the domain
//
// If the list can't be read, the last one stays in use. A worker that is missing from the
// list is kept for Options.KeepMissing as long as it answers. It is kept longer while more
// than a quarter of the workers are missing, since such a list is probably wrong.
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
	// listWait is the longest time in milliseconds that one watch of the list waits for a
	// change.
	listWait            = 2 * clock.Minute
	probeTimeout        = clock.Second
	maxConcurrentProbes = 16
	// deadAfterFailures is the number of consecutive calls without an answer after which a
	// worker is considered dead.
	deadAfterFailures = 3
	methodHint        = "leaving"
)

// Source provides the list of instances.
type Source interface {
	WatchInstances(ctx context.Context, role, domain string, index uint64, wait clock.Millis) ([]consul.Instance, uint64, error)
}

// Mesh is the part of the mesh of entries that the directory uses to exchange hints.
type Mesh interface {
	Broadcast(match func(peer.Peer) bool, method string, body []byte)
	Handle(method string, f peer.Handler)
}

// Options configures a Directory.
type Options struct {
	Source Source
	// Domain is the failure domain whose workers are in the directory.
	Domain string
	// Mesh exchanges hints with the other entries; nil means that there are no hints.
	Mesh Mesh
	// Period is the minimum time between two reads of the list in milliseconds; 0 means 1 s.
	Period clock.Millis
	// KeepMissing is the time in milliseconds for which a worker that is missing from the
	// list is kept while it answers; 0 means 30 s.
	KeepMissing clock.Millis
	// HintDuration is the time in milliseconds for which a hint overrides the list; 0 means
	// 60 s.
	HintDuration clock.Millis
	// Clock defaults to the system clock.
	Clock *clock.Clock
	// Log defaults to the standard logger.
	Log *logrus.Entry
}

// Worker is a worker of the directory with a client for its agent.
type Worker struct {
	consul.Instance
	Client *worker.Client
	// Unlisted is true if the worker is missing from the list but still in the directory.
	Unlisted bool
	// Dead is true if at least the last three calls to the worker had no answer.
	Dead bool
}

// Directory holds the workers of one failure domain. It is safe for concurrent use.
type Directory struct {
	opts      Options
	transport http.RoundTripper
	cancel    context.CancelFunc
	done      chan struct{}

	mu      sync.RWMutex
	records map[string]*workerRecord
	workers []*Worker
	byName  map[string]*Worker
	// lastRead is the time of the last successful read of the list; 0 means never.
	lastRead clock.Millis
}

// New returns a directory that watches the list until Stop is called.
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

// Stop stops watching the list.
func (d *Directory) Stop(context.Context) error {
	d.cancel()
	<-d.done
	return nil
}

// Workers returns the workers of the failure domain, including leaving and dead ones,
// sorted by name.
func (d *Directory) Workers() []*Worker {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.workers
}

// Worker returns the worker of the given name.
func (d *Directory) Worker(name string) (*Worker, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	w, ok := d.byName[name]
	return w, ok
}

// Racks returns the workers grouped by the name of their rack.
func (d *Directory) Racks() map[string][]*Worker {
	racks := make(map[string][]*Worker)
	for _, w := range d.Workers() {
		racks[w.Rack] = append(racks[w.Rack], w)
	}
	return racks
}

// ListAge returns the time in milliseconds since the last successful read of the list. It
// returns false if there was none.
func (d *Directory) ListAge() (clock.Millis, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.opts.Clock.Now() - d.lastRead, d.lastRead > 0
}

// readList waits until the list has changed since index, for listWait at most, merges it into
// the directory and returns its index. It doesn't wait while workers are missing from the
// list, so that they are probed and removed in time. It returns 0, to read the list from
// scratch, on an error or if the index has decreased.
func (d *Directory) readList(ctx context.Context, index uint64) uint64 {
	wait := listWait
	if d.anyMissing() {
		wait = 0
	}
	list, newIndex, err := d.opts.Source.WatchInstances(ctx, consul.RoleWorker, d.opts.Domain, index, wait)
	if err != nil {
		if ctx.Err() == nil {
			d.opts.Log.WithError(err).Warn("instances: could not read the list of workers; keeping the last one")
		}
		return 0
	}
	d.mergeList(list)
	if newIndex < index {
		return 0 // the platform has restarted its index
	}
	return newIndex
}
