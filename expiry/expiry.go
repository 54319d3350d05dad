// Package expiry deletes claims that are past their retention, so that their number in
// the store stays bounded. All entries share this work without coordination: each entry
// lists one random bucket at a time, and deletes claims by compare-and-swap.
//
// # Usage
//
//	s := expiry.New(expiry.Options{Registry: registry, Entries: liveEntries})
//	defer s.Stop(ctx)
package expiry

import (
	"context"
	"math/rand/v2"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/claim"
	"github.com/chestnutsail/chestnutsail/clock"
)

const defaultCycle = 2 * clock.Hour

// Options configures a Sweeper.
type Options struct {
	Registry *claim.Registry
	// Entries returns the number of live entries, which share the work equally; nil means 1.
	Entries func() int
	// Cycle is the time in milliseconds in which all entries together list each bucket
	// about once; default 2 h.
	Cycle clock.Millis
	Log   *logrus.Entry
}

// Sweeper deletes expired claims in the background, one random bucket at a time.
type Sweeper struct {
	opts   Options
	cancel context.CancelFunc
	done   chan struct{}
}

// New returns a sweeper that runs in the background until Stop is called.
func New(opts Options) *Sweeper {
	if opts.Entries == nil {
		opts.Entries = func() int { return 1 }
	}
	if opts.Cycle == 0 {
		opts.Cycle = defaultCycle
	}
	if opts.Log == nil {
		opts.Log = logrus.NewEntry(logrus.StandardLogger())
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Sweeper{opts: opts, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		for clock.Sleep(ctx, s.pause()) {
			s.sweep(ctx)
		}
	}()
	return s
}

// Stop ends the sweeper and waits for its goroutine. The error is always nil.
func (s *Sweeper) Stop(context.Context) error {
	s.cancel()
	<-s.done
	return nil
}

func (s *Sweeper) sweep(ctx context.Context) {
	bucket := rand.IntN(claim.Buckets)
	_, deleted, err := s.opts.Registry.Expire(ctx, bucket)
	if err != nil {
		s.opts.Log.WithError(err).Debug("expiry: cannot delete expired claims")
		return
	}
	if deleted > 0 {
		s.opts.Log.WithField("claims", deleted).Debug("expiry: expired claims deleted")
	}
}

// pause returns a random delay between two buckets, in milliseconds. Its mean is such
// that all entries together list every bucket about once per cycle.
func (s *Sweeper) pause() clock.Millis {
	mean := s.opts.Cycle * clock.Millis(max(s.opts.Entries(), 1)) / claim.Buckets
	return max(rand.N(2*mean+1), 1)
}
