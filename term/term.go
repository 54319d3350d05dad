// Package term elects the instance that schedules a failure domain. One key of the store
// contains the term, which only increases, and its holder. The holder rewrites the key at
// each renewal interval. A candidate takes over after the value has not changed for the
// duration of the lease. Both measure with their own monotonic clocks, so the clocks of two
// instances need not agree.
//
// # Usage
//
//	e := term.New(term.Options{Store: store, Domain: "a", Name: "e1"})
//	if st := e.Now(); st.Leads {
//		// act under st.Term, and call Now again before the next action
//	}
//	e.Stop(ctx) // releases a held term at once
package term

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/kv"
)

// Default interval and lease duration in milliseconds.
const (
	DefaultRenewInterval = 800 * clock.Millisecond
	DefaultLeaseDuration = 2400 * clock.Millisecond
)

// Store is the part of the platform's store that the election uses.
type Store interface {
	Put(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
	Get(ctx context.Context, key string) (kv.Entry, error)
	Watch(ctx context.Context, prefix string, index uint64, wait clock.Millis) ([]kv.Entry, uint64, error)
}

// State is the leadership of a domain as an instance knows it.
type State struct {
	// Term is the highest known term; 0 means none.
	Term int64
	// Holder is the name of the instance that holds the term, or "" after it has resigned.
	Holder string
	// Leads is set when this instance holds the term and its lease has not expired.
	Leads bool
}

// Options configures an Election.
type Options struct {
	Store  Store
	Domain string
	// Name is the name of this instance.
	Name string
	// RenewInterval is the time between two renewals of a held term, and LeaseDuration is the
	// time without a renewal after which a term expires. Both are in milliseconds; 0 means
	// the default.
	RenewInterval clock.Millis
	LeaseDuration clock.Millis
	// Clock defaults to the system clock.
	Clock *clock.Clock
	Log   *logrus.Entry
}

// Election is the participation of one instance in the election of one domain. It is safe
// for concurrent use.
type Election struct {
	opts       Options
	resigned   atomic.Bool
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu      sync.Mutex
	current termRecord
	version uint64
	// currentSince is the time at which this instance first saw the value current. confirmed is
	// the time at which this instance sent its last successful write; it is reset to 0 when
	// this instance sees that the term or its holder has changed.
	currentSince clock.Millis
	confirmed    clock.Millis
	changed      chan struct{}
}

// termRecord is the value of the domain's key.
type termRecord struct {
	Term   int64  `json:"term"`
	Holder string `json:"holder"`
	// Heartbeat changes with each write of the holder, so that every renewal changes the value.
	Heartbeat int64 `json:"beat"`
}

// New returns an Election that takes part until Stop.
func New(opts Options) *Election {
	if opts.RenewInterval == 0 {
		opts.RenewInterval = DefaultRenewInterval
	}
	if opts.LeaseDuration == 0 {
		opts.LeaseDuration = DefaultLeaseDuration
	}
	if opts.Clock == nil {
		opts.Clock = clock.New()
	}
	if opts.Log == nil {
		opts.Log = logrus.NewEntry(logrus.StandardLogger())
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Election{opts: opts, cancel: cancel, changed: make(chan struct{})}
	e.currentSince = opts.Clock.Now()
	e.goroutines.Go(func() { e.watch(ctx) })
	e.goroutines.Go(func() { e.campaign(ctx) })
	return e
}

// Stop leaves the election and releases a held term at once, so that another instance can
// take over. The returned error is always nil.
func (e *Election) Stop(ctx context.Context) error {
	e.Resign(ctx)
	e.cancel()
	e.goroutines.Wait()
	return nil
}

// Resign releases a held term, and prevents this instance from taking another one.
func (e *Election) Resign(ctx context.Context) {
	e.resigned.Store(true)
	e.mu.Lock()
	holds, current, version := e.current.Holder == e.opts.Name && e.current.Term > 0, e.current, e.version
	e.mu.Unlock()
	if !holds {
		return
	}
	current.Holder = ""
	next, err := e.write(ctx, current, version)
	if err != nil {
		e.opts.Log.WithError(err).Warn("term: releasing the held term failed")
		return
	}
	e.update(current, next)
}

// Now returns the known state at this moment. It checks the lease with the monotonic clock.
func (e *Election) Now() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := State{Term: e.current.Term, Holder: e.current.Holder}
	st.Leads = st.Term > 0 && st.Holder == e.opts.Name && e.confirmed > 0 && !e.resigned.Load() &&
		e.opts.Clock.Now() < e.confirmed+e.opts.LeaseDuration-e.clockMargin()
	return st
}

// Changed returns a channel that is closed when the term or its holder changes.
func (e *Election) Changed() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.changed
}

// clockMargin is the time in milliseconds by which the holder treats its lease as expired
// earlier than the candidates do. It allows for clocks that run at different rates.
func (e *Election) clockMargin() clock.Millis { return e.opts.LeaseDuration / 10 }

// campaign renews a held term, and takes over a term that has expired, until ctx ends.
func (e *Election) campaign(ctx context.Context) {
	for ctx.Err() == nil {
		delay := e.renewOrTake(ctx)
		// The random delay keeps candidates that saw the same change from writing at the same
		// moment.
		clock.Sleep(ctx, delay+rand.N(e.opts.RenewInterval/8+1))
	}
}

// renewOrTake writes the key if this instance has to renew its term or may take over an
// expired one. It returns the time in milliseconds until the next call is due.
func (e *Election) renewOrTake(ctx context.Context) clock.Millis {
	e.mu.Lock()
	current, version := e.current, e.version
	now := e.opts.Clock.Now()
	untilExpiry := e.currentSince + e.opts.LeaseDuration - now
	confirmed := e.confirmed > 0
	e.mu.Unlock()
	switch {
	case e.resigned.Load():
		return e.opts.RenewInterval
	case current.Holder == e.opts.Name && current.Term > 0 && confirmed:
		current.Heartbeat++
	case current.Holder != "" && untilExpiry > 0:
		return min(untilExpiry, e.opts.RenewInterval)
	default:
		current = termRecord{Term: current.Term + 1, Holder: e.opts.Name}
	}
	sentAt := now
	next, err := e.write(ctx, current, version)
	switch kv.KindOf(err) {
	case kv.OK:
		e.confirmWrite(current, next, sentAt)
	case kv.Conflict, kv.Ambiguous:
		e.resolveWrite(ctx, current, sentAt)
	default:
		return e.opts.RenewInterval / 2
	}
	return e.opts.RenewInterval
}

// resolveWrite reads the key after a write that had a conflict or got no response, and
// confirms the write if the key contains the written value.
func (e *Election) resolveWrite(ctx context.Context, written termRecord, sentAt clock.Millis) {
	entry, err := e.opts.Store.Get(ctx, e.key())
	if err != nil {
		return
	}
	var v termRecord
	if err := json.Unmarshal(entry.Value, &v); err != nil {
		e.opts.Log.WithError(err).Error("term: value in the store cannot be decoded")
		return
	}
	if v == written {
		e.confirmWrite(v, entry.Version, sentAt)
		return
	}
	e.update(v, entry.Version)
}

func (e *Election) write(ctx context.Context, v termRecord, version uint64) (uint64, error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, e.opts.LeaseDuration.Duration())
	defer cancel()
	return e.opts.Store.Put(ctx, e.key(), version, raw)
}

// confirmWrite records a successful write of this instance. The lease starts at the time the
// write was sent.
func (e *Election) confirmWrite(v termRecord, version uint64, sentAt clock.Millis) {
	e.update(v, version)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.version == version {
		e.confirmed = sentAt
	}
}

// update records a value of the key. It ignores values that are not newer than the current
// one.
func (e *Election) update(v termRecord, version uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if version <= e.version {
		return
	}
	holderChanged := v.Term != e.current.Term || v.Holder != e.current.Holder
	e.current, e.version, e.currentSince = v, version, e.opts.Clock.Now()
	if !holderChanged {
		return
	}
	e.confirmed = 0
	close(e.changed)
	e.changed = make(chan struct{})
	e.opts.Log.WithFields(logrus.Fields{"term": v.Term, "holder": v.Holder}).Info("term: holder or term changed")
}

// watch records the values that the store's watch of the key returns, until ctx ends.
func (e *Election) watch(ctx context.Context) {
	var index uint64
	for ctx.Err() == nil {
		entries, next, err := e.opts.Store.Watch(ctx, e.key(), index, 10*e.opts.RenewInterval)
		if err != nil {
			clock.Sleep(ctx, e.opts.RenewInterval)
			continue
		}
		index = next
		for _, entry := range entries {
			var v termRecord
			if entry.Key == e.key() && json.Unmarshal(entry.Value, &v) == nil {
				e.update(v, entry.Version)
			}
		}
	}
}

func (e *Election) key() string { return "term/" + e.opts.Domain }
