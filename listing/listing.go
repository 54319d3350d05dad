// Package listing registers this entry in the platform's list of instances. It marks the
// registration as leaving when the entry begins to shut down, and removes it at the end.
//
// # Usage
//
//	self := consul.Instance{Name: "e1", Address: "10.0.0.1:7000", Domain: "a"}
//	l := listing.New(listing.Options{Platform: store, Self: self})
//	l.MarkLeaving(ctx) // marks the entry as leaving
//	l.Stop(ctx)        // removes the entry from the list
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
	// leaveTimeout is the timeout in milliseconds of each call made while the entry shuts
	// down.
	leaveTimeout = clock.Second
)

// Platform is the part of the platform's API that a Listing uses.
type Platform interface {
	Register(ctx context.Context, role string, i consul.Instance) error
	Deregister(ctx context.Context, name string) error
}

// Options configures a Listing.
type Options struct {
	Platform Platform
	// Self is the registration of the entry.
	Self consul.Instance
	// Period is the time in milliseconds after which a successful registration is repeated;
	// 0 means 30 s.
	Period clock.Millis
	// Log defaults to the standard logger.
	Log *logrus.Entry
}

// Listing maintains the registration of one entry. It is safe for concurrent use.
type Listing struct {
	opts   Options
	cancel context.CancelFunc
	done   chan struct{}

	mu       sync.Mutex
	instance consul.Instance
}

// New returns a listing that registers the entry until Stop is called. It repeats the
// registration every period in case the platform has lost it, and retries a failed one with
// exponential backoff.
func New(opts Options) *Listing {
	if opts.Period == 0 {
		opts.Period = defaultPeriod
	}
	if opts.Log == nil {
		opts.Log = logrus.NewEntry(logrus.StandardLogger())
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &Listing{opts: opts, cancel: cancel, done: make(chan struct{}), instance: opts.Self}
	go func() {
		defer close(l.done)
		failed := 0
		for {
			wait := opts.Period
			if err := l.register(ctx); err != nil {
				opts.Log.WithError(err).Warn("listing: could not register with the platform; retrying")
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

// MarkLeaving marks the entry as leaving in the platform's list. It gives up after 1 s, since
// the mark is only one of several ways in which others learn that the entry leaves.
func (l *Listing) MarkLeaving(ctx context.Context) error {
	l.mu.Lock()
	l.instance.Leaving = true
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout.Duration())
	defer cancel()
	return l.register(ctx)
}

// Stop stops the repetitions and removes the entry from the list. A failure is only logged.
func (l *Listing) Stop(ctx context.Context) error {
	l.cancel()
	<-l.done
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout.Duration())
	defer cancel()
	if err := l.opts.Platform.Deregister(ctx, l.opts.Self.Name); err != nil {
		l.opts.Log.WithError(err).Warn("listing: could not remove the entry from the platform's list")
	}
	return nil
}

// register writes the present registration. Writes are made one at a time, so that an older
// one can't overwrite a newer one.
func (l *Listing) register(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.opts.Platform.Register(ctx, consul.RoleEntry, l.instance)
}
