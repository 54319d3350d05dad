// Package listing keeps this entry's own row in the platform's list of instances:
// from its start, marked while it leaves, and taken off when it stops.
//
// # Usage
//
//	l := listing.New(listing.Options{Platform: store, Row: consul.Instance{Name: "e1", Address: "10.0.0.1:7000", Domain: "a"}})
//	l.Announce(ctx) // marks the row as leaving
//	l.Stop(ctx)     // takes the row off the list
package listing

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/consul"
)

const (
	defaultPeriod = 30 * clock.Second
	minBackoff    = 200 * clock.Millisecond
	maxBackoff    = 5 * clock.Second
	// leaveTimeout bounds each call that is made while the entry leaves, in milliseconds.
	leaveTimeout = clock.Second
)

// Platform is what the listing needs of the platform.
type Platform interface {
	Register(ctx context.Context, role string, i consul.Instance) error
	Deregister(ctx context.Context, name string) error
}

// Options configures a Listing.
type Options struct {
	Platform Platform
	// Row is how the entry is listed.
	Row consul.Instance
	// Period is the time between two repetitions in milliseconds; 0 means 30 s.
	Period clock.Millis
	// Log defaults to the standard logger.
	Log *logrus.Entry
}

// Listing is the row of one entry. It is safe for concurrent use.
type Listing struct {
	opts   Options
	cancel context.CancelFunc
	done   chan struct{}

	mu       sync.Mutex
	instance consul.Instance
}

// New returns a listing that registers the row, and again each period in case the
// platform has lost it, until Stop.
func New(opts Options) *Listing {
	if opts.Period == 0 {
		opts.Period = defaultPeriod
	}
	if opts.Log == nil {
		opts.Log = logrus.NewEntry(logrus.StandardLogger())
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &Listing{opts: opts, cancel: cancel, done: make(chan struct{}), instance: opts.Row}
	go func() {
		defer close(l.done)
		failed := 0
		for {
			wait := opts.Period
			if err := l.register(ctx); err != nil {
				opts.Log.WithError(err).Warn("listing: not listed with the platform")
				failed = min(failed+1, 5)
				wait = rand.N(min(minBackoff<<failed, maxBackoff))
			} else {
				failed = 0
			}
			if !clock.Sleep(ctx, wait) {
				return
			}
		}
	}()
	return l
}

// Announce marks the row as leaving. It gives up after a second: the mark is one of
// several ways in which others learn of it.
func (l *Listing) Announce(ctx context.Context) error {
	l.mu.Lock()
	l.instance.Leaving = true
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout.Duration())
	defer cancel()
	return l.register(ctx)
}

// Stop ends the repetitions and takes the row off the list.
func (l *Listing) Stop(ctx context.Context) error {
	l.cancel()
	<-l.done
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout.Duration())
	defer cancel()
	if err := l.opts.Platform.Deregister(ctx, l.opts.Row.Name); err != nil {
		l.opts.Log.WithError(err).Warn("listing: not taken off the platform's list")
	}
	return nil
}

// register writes the row as it is now. Writes are made one at a time, so that an
// older row does not overtake a newer one.
func (l *Listing) register(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.opts.Platform.Register(ctx, consul.RoleEntry, l.instance)
}
