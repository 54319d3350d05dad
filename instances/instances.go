// Package instances keeps the directory of workers of one failure domain, as the
// platform lists them. The list lags, so a listed worker may be gone.
//
// # Usage
//
//	d := instances.New(instances.Options{Source: store, Domain: "a"})
//	for _, w := range d.Workers() { ... }
package instances

import (
	"context"
	"net/http"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/worker"
)

// Source is where the list of instances comes from.
type Source interface {
	WatchInstances(ctx context.Context, role, domain string, index uint64, wait clock.Millis) ([]platform.Instance, uint64, error)
}

// Options configures a Directory.
type Options struct {
	Source Source
	// Domain is the failure domain whose workers are kept.
	Domain string
	// Period is the least time between two readings in milliseconds; 0 means 1 s.
	Period clock.Millis
	// Wait is how long a reading waits for a change in milliseconds; 0 means 5 min.
	Wait clock.Millis
	Log  *logrus.Entry
}

// Worker is a listed worker with a client of its agent.
type Worker struct {
	platform.Instance
	Client *worker.Client
}

// Directory holds the workers as last read. It is safe for concurrent use.
type Directory struct {
	opts      Options
	transport http.RoundTripper
	cancel    context.CancelFunc
	done      chan struct{}

	mu      sync.RWMutex
	workers []*Worker
	byName  map[string]*Worker
}

// New returns a directory that reads the list until Stop.
func New(opts Options) *Directory {
	if opts.Period == 0 {
		opts.Period = clock.Second
	}
	if opts.Wait == 0 {
		opts.Wait = 5 * clock.Minute
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Directory{
		opts: opts, cancel: cancel, done: make(chan struct{}), byName: make(map[string]*Worker),
		transport: &http.Transport{MaxIdleConnsPerHost: 8},
	}
	go func() {
		defer close(d.done)
		d.follow(ctx)
	}()
	return d
}

// follow reads the list and then each change of it until ctx ends.
func (d *Directory) follow(ctx context.Context) {
	var index uint64
	for {
		list, next, err := d.opts.Source.WatchInstances(ctx, platform.RoleWorker, d.opts.Domain, index, d.opts.Wait)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			d.opts.Log.WithError(err).Warn("instances: list not read")
		case next < index:
			// The platform counts anew; what it has now is read at once.
			index = 0
			d.take(list)
		default:
			index = next
			d.take(list)
		}
		if !clock.Sleep(ctx, d.opts.Period) {
			return
		}
	}
}

// Stop ends the reading of the list.
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

// take puts a list in the place of the one before.
func (d *Directory) take(list []platform.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	workers := make([]*Worker, 0, len(list))
	byName := make(map[string]*Worker, len(list))
	for _, i := range list {
		if i.Domain != d.opts.Domain {
			continue
		}
		w := &Worker{Instance: i}
		if old, ok := d.byName[i.Name]; ok && old.Address == i.Address {
			w.Client = old.Client
		} else {
			w.Client = worker.New(worker.Config{Address: i.Address, Transport: d.transport})
		}
		workers = append(workers, w)
		byName[i.Name] = w
	}
	d.workers, d.byName = workers, byName
}
