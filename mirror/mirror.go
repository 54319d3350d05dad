// Package mirror keeps a local copy of the keys under a prefix of the store: it lists
// them once and then follows the store's watch. Losing the history of the store, or a
// connection that went silent, leads to a new list.
//
// # Usage
//
//	m := mirror.New(mirror.Options{Store: store, Prefix: "cs/", Replace: b.Replace, Apply: b.Apply})
//	age := m.Age() // how long ago the store was last heard
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

// Store is what a mirror needs of the store.
type Store interface {
	kv.Pager
	Watch(ctx context.Context, prefix string, after uint64, wait clock.Millis) ([]kv.Change, uint64, error)
	Reset()
}

// Defaults of the times in milliseconds.
const (
	// DefaultWait bounds the time for which a connection that went silent goes unnoticed.
	DefaultWait = 1500 * clock.Millisecond
	// DefaultTimeout bounds an answer of the store beyond the wait.
	DefaultTimeout = 1200 * clock.Millisecond
	firstPause     = 50 * clock.Millisecond
	maxPause       = 400 * clock.Millisecond
)

// Options configures a Mirror.
type Options struct {
	Store  Store
	Prefix string
	// Gap returns the least time in milliseconds between two answers of the watch; it
	// bounds the calls that many small changes cause. Nil means no gap.
	Gap func() clock.Millis
	// Wait and Timeout are in milliseconds; 0 means the defaults.
	Wait    clock.Millis
	Timeout clock.Millis
	// PageTimeout bounds the reading of one page of a list, in milliseconds; 0 means Timeout.
	PageTimeout clock.Millis
	// Replace gets the whole content after each list, Apply the changes since then, both
	// from one goroutine.
	Replace func(entries []kv.Entry)
	Apply   func(changes []kv.Change)
	Clock   *clock.Clock
	Log     *logrus.Entry
}

// Mirror follows one prefix until Stop.
type Mirror struct {
	opts   Options
	cancel context.CancelFunc
	done   sync.WaitGroup
	// heard is when the store last answered, 0 before the first list; changed is when it
	// last brought news.
	heard   atomic.Int64
	changed atomic.Int64
}

// New returns a mirror that follows the store until Stop.
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
	if opts.Gap == nil {
		opts.Gap = func() clock.Millis { return 0 }
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Mirror{opts: opts, cancel: cancel}
	m.done.Go(func() { m.follow(ctx) })
	return m
}

// Stop ends the following and waits for its end.
func (m *Mirror) Stop(context.Context) error {
	m.cancel()
	m.done.Wait()
	return nil
}

// Cancel ends the following without waiting.
func (m *Mirror) Cancel() { m.cancel() }

// Synced reports whether the content has been listed once.
func (m *Mirror) Synced() bool { return m.heard.Load() != 0 }

// Age returns the time in milliseconds since the store last answered.
func (m *Mirror) Age() clock.Millis {
	heard := m.heard.Load()
	if heard == 0 {
		return clock.Hour
	}
	return m.opts.Clock.Now() - clock.Millis(heard)
}

// Quiet returns the time in milliseconds since the store last brought news.
func (m *Mirror) Quiet() clock.Millis { return m.opts.Clock.Now() - clock.Millis(m.changed.Load()) }

func (m *Mirror) follow(ctx context.Context) {
	pause := firstPause
	lost := false
	for ctx.Err() == nil {
		revision, err := m.list(ctx)
		if err == nil {
			if lost {
				m.opts.Log.WithField("prefix", m.opts.Prefix).Info("mirror: store regained")
			}
			pause, lost = firstPause, false
			err = m.watch(ctx, revision)
		}
		if ctx.Err() != nil {
			return
		}
		if !lost {
			m.opts.Log.WithError(err).WithFields(logrus.Fields{"prefix": m.opts.Prefix, "age_ms": int64(m.Age())}).Warn("mirror: watch lost")
		}
		lost = true
		m.opts.Store.Reset()
		clock.Sleep(ctx, pause)
		pause = min(2*pause, maxPause)
	}
}

func (m *Mirror) list(ctx context.Context) (uint64, error) {
	entries, revision, err := kv.ListAll(ctx, m.opts.Store, m.opts.Prefix, "", m.opts.PageTimeout)
	if err != nil {
		return 0, err
	}
	m.opts.Replace(entries)
	m.touch()
	m.changed.Store(m.heard.Load())
	return revision, nil
}

// watch follows the changes until the store fails.
func (m *Mirror) watch(ctx context.Context, revision uint64) error {
	for {
		began := m.opts.Clock.Now()
		changes, next, err := m.once(ctx, revision)
		if err != nil {
			return err
		}
		revision = next
		m.touch()
		if len(changes) == 0 {
			continue
		}
		m.opts.Apply(changes)
		m.changed.Store(int64(m.opts.Clock.Now()))
		if !clock.Sleep(ctx, m.opts.Gap()-(m.opts.Clock.Now()-began)) {
			return ctx.Err()
		}
	}
}

func (m *Mirror) once(ctx context.Context, revision uint64) ([]kv.Change, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, (m.opts.Wait + m.opts.Timeout).Duration())
	defer cancel()
	return m.opts.Store.Watch(ctx, m.opts.Prefix, revision, m.opts.Wait)
}

func (m *Mirror) touch() { m.heard.Store(int64(m.opts.Clock.Now())) }
