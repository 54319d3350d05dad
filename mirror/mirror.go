// Package mirror keeps a local copy of the keys under a prefix of the store. It lists the keys
// once and then follows the changes with the store's watch. If the watch fails, because the store
// has compacted its history or does not answer in time, the mirror lists the keys again.
//
// # Usage
//
//	m := mirror.New(mirror.Options{Store: store, Prefix: "cs/", Replace: b.Replace, Apply: b.Apply})
//	age := m.Age() // the time since the last answer of the store
//	m.Stop(ctx)
package mirror

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/kv"
)

// Store is the part of a store client that a mirror uses.
type Store interface {
	kv.Pager
	Watch(ctx context.Context, prefix string, after uint64, wait clock.Millis) ([]kv.Change, uint64, error)
	Reset()
}

// Default durations in milliseconds.
const (
	// DefaultWait is the default time for which one call of the watch waits for changes.
	// Together with the timeout, it limits the time until a connection that no longer delivers
	// anything is noticed.
	DefaultWait = 1500 * clock.Millisecond
	// DefaultTimeout is the default time that an answer of the store may take in addition to the
	// wait. After a failure, the mirror waits for initialRetryDelay, and twice as long after
	// each further one, up to maxRetryDelay.
	DefaultTimeout    = 1200 * clock.Millisecond
	initialRetryDelay = 50 * clock.Millisecond
	maxRetryDelay     = 400 * clock.Millisecond
)

// Options configures a Mirror.
type Options struct {
	Store  Store
	Prefix string
	// MinInterval returns the shortest time in milliseconds between two answers of the watch that
	// contain changes. It limits the number of calls when there are many small changes. Nil
	// means that there is no such limit.
	MinInterval func() clock.Millis
	// Wait and Timeout are in milliseconds; 0 means DefaultWait and DefaultTimeout.
	Wait    clock.Millis
	Timeout clock.Millis
	// PageTimeout is the timeout for reading one page of a list, in milliseconds; 0 means Timeout.
	PageTimeout clock.Millis
	// Replace is called with all entries after each list, and Apply with the changes since
	// then. Both are called from the same goroutine.
	Replace func(entries []kv.Entry)
	Apply   func(changes []kv.Change)
	Clock   *clock.Clock
	Log     *logrus.Entry
}

// Mirror follows the changes under one prefix until Stop. It is safe for concurrent use.
type Mirror struct {
	opts    Options
	cancel  context.CancelFunc
	running sync.WaitGroup
	// answeredAt is the time at which the store last answered; 0 before the first list.
	// changedAt is the time of the last list or of the last changes that the store reported,
	// whichever is later. Both are in milliseconds.
	answeredAt atomic.Int64
	changedAt  atomic.Int64
}

// New starts a mirror that follows the store until Stop.
func New(opts Options) *Mirror {
	if opts.Wait == 0 {
		opts.Wait = DefaultWait
	}
	if opts.Timeout == 0 {
		opts.Timeout = DefaultTimeout
	}
	if opts.PageTimeout == 0 {
		opts.PageTimeout = opts.Timeout
	}
	if opts.MinInterval == nil {
		opts.MinInterval = func() clock.Millis { return 0 }
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Mirror{opts: opts, cancel: cancel}
	m.running.Go(func() { m.follow(ctx) })
	return m
}

// Stop stops the mirror and waits until it has stopped.
func (m *Mirror) Stop(context.Context) error {
	m.cancel()
	m.running.Wait()
	return nil
}

// Cancel stops the mirror without waiting.
func (m *Mirror) Cancel() { m.cancel() }

// Synced reports whether the keys have been listed at least once.
func (m *Mirror) Synced() bool { return m.answeredAt.Load() != 0 }

// Age returns the time in milliseconds since the store last answered. It returns one hour before
// the first list.
func (m *Mirror) Age() clock.Millis {
	answeredAt := m.answeredAt.Load()
	if answeredAt == 0 {
		return clock.Hour
	}
	return m.opts.Clock.Now() - clock.Millis(answeredAt)
}

// SinceChange returns the time in milliseconds since the store last reported changes or the keys
// were last listed, whichever is later.
func (m *Mirror) SinceChange() clock.Millis {
	return m.opts.Clock.Now() - clock.Millis(m.changedAt.Load())
}

func (m *Mirror) follow(ctx context.Context) {
	retryDelay := initialRetryDelay
	disconnected := false
	for ctx.Err() == nil {
		revision, err := m.list(ctx)
		if err == nil {
			if disconnected {
				m.opts.Log.WithField("prefix", m.opts.Prefix).Info("mirror: store is reachable again")
			}
			retryDelay, disconnected = initialRetryDelay, false
			err = m.watch(ctx, revision)
		}
		if ctx.Err() != nil {
			return
		}
		if !disconnected {
			m.opts.Log.WithError(err).WithFields(logrus.Fields{"prefix": m.opts.Prefix, "age_ms": int64(m.Age())}).Warn("mirror: list or watch failed; listing the keys again")
		}
		disconnected = true
		m.opts.Store.Reset()
		clock.Sleep(ctx, retryDelay)
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
}

func (m *Mirror) list(ctx context.Context) (uint64, error) {
	entries, revision, err := kv.ListAll(ctx, m.opts.Store, m.opts.Prefix, "", m.opts.PageTimeout)
	if err != nil {
		return 0, err
	}
	m.opts.Replace(entries)
	m.recordAnswer()
	m.changedAt.Store(m.answeredAt.Load())
	return revision, nil
}

// watch follows the changes after a revision until a call of the store fails or ctx ends.
func (m *Mirror) watch(ctx context.Context, revision uint64) error {
	for {
		start := m.opts.Clock.Now()
		changes, next, err := m.watchOnce(ctx, revision)
		if err != nil {
			return err
		}
		revision = next
		m.recordAnswer()
		if len(changes) == 0 {
			continue
		}
		m.opts.Apply(changes)
		m.changedAt.Store(int64(m.opts.Clock.Now()))
		if !clock.Sleep(ctx, m.opts.MinInterval()-(m.opts.Clock.Now()-start)) {
			return ctx.Err()
		}
	}
}

func (m *Mirror) watchOnce(ctx context.Context, revision uint64) ([]kv.Change, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, (m.opts.Wait + m.opts.Timeout).Duration())
	defer cancel()
	return m.opts.Store.Watch(ctx, m.opts.Prefix, revision, m.opts.Wait)
}

func (m *Mirror) recordAnswer() { m.answeredAt.Store(int64(m.opts.Clock.Now())) }
