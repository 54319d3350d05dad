// Package term elects the instance that schedules a failure domain. One key of the store
// contains the term, which only increases, and its holder. The holder rewrites the key at
// each renewal interval. A candidate takes over after the value has not changed for the
// duration of the lease. Both measure with their own monotonic clocks, so the clocks of two
// instances need not agree.
//
// # Usage
//
//	s := term.New(term.Options{Store: store, Domain: "a", Name: "e1"})
//	if st := s.Now(); st.Leads {
//		// act under st.Term, and call Now again before the next action
//	}
//	s.Stop(ctx) // releases a held term at once
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
	// Leads is set when this instance holds the term and its lease has not lapsed.
	Leads bool
}

// Options configures an Election.
type Options struct {
	Store  Store
	Domain string
	// Name is the name of this instance.
	Name string
	// RenewInterval is the time between two renewals of a held term, and LeaseDuration is the
	// time without a renewal after which a term lapses. Both are in milliseconds; 0 means
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
	// currentSince is the time at which this instance first saw the current value. confirmed
	// is the time at which this instance sent its last successful write; it is 0 after the term
	// or its holder has changed.
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
	s := &Election{opts: opts, cancel: cancel, changed: make(chan struct{})}
	s.currentSince = opts.Clock.Now()
	s.goroutines.Go(func() { s.watch(ctx) })
	s.goroutines.Go(func() { s.campaign(ctx) })
	return s
}

// Stop leaves the election and releases a held term at once, so that another instance can
// take over. The returned error is always nil.
func (s *Election) Stop(ctx context.Context) error {
	s.Resign(ctx)
	s.cancel()
	s.goroutines.Wait()
	return nil
}

// Resign releases a held term, and prevents that this instance takes another one.
func (s *Election) Resign(ctx context.Context) {
	s.resigned.Store(true)
	s.mu.Lock()
	holds, current, version := s.current.Holder == s.opts.Name && s.current.Term > 0, s.current, s.version
	s.mu.Unlock()
	if !holds {
		return
	}
	current.Holder = ""
	next, err := s.write(ctx, current, version)
	if err != nil {
		s.opts.Log.WithError(err).Warn("term: releasing the held term failed")
		return
	}
	s.update(current, next)
}

// Now returns the known state at this moment. It checks the lease with the monotonic clock.
func (s *Election) Now() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := State{Term: s.current.Term, Holder: s.current.Holder}
	st.Leads = st.Term > 0 && st.Holder == s.opts.Name && s.confirmed > 0 && !s.resigned.Load() &&
		s.opts.Clock.Now() < s.confirmed+s.opts.LeaseDuration-s.clockMargin()
	return st
}

// Changed returns a channel that is closed when the term or its holder changes.
func (s *Election) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// clockMargin is the time in milliseconds by which the holder treats its lease as lapsed
// earlier than the candidates do. It allows for clocks that run at different rates.
func (s *Election) clockMargin() clock.Millis { return s.opts.LeaseDuration / 10 }

// campaign renews a held term, and takes over a term that has lapsed, until ctx ends.
func (s *Election) campaign(ctx context.Context) {
	for ctx.Err() == nil {
		delay := s.renewOrTake(ctx)
		// The random delay keeps candidates that saw the same change from writing at the same
		// moment.
		clock.Sleep(ctx, delay+rand.N(s.opts.RenewInterval/8+1))
	}
}

// renewOrTake writes the key if this instance has to renew its term or may take over a lapsed
// one. It returns the time in milliseconds until the next call is due.
func (s *Election) renewOrTake(ctx context.Context) clock.Millis {
	s.mu.Lock()
	current, version := s.current, s.version
	now := s.opts.Clock.Now()
	untilLapse := s.currentSince + s.opts.LeaseDuration - now
	confirmed := s.confirmed > 0
	s.mu.Unlock()
	switch {
	case s.resigned.Load():
		return s.opts.RenewInterval
	case current.Holder == s.opts.Name && current.Term > 0 && confirmed:
		current.Heartbeat++
	case current.Holder != "" && untilLapse > 0:
		return min(untilLapse, s.opts.RenewInterval)
	default:
		current = termRecord{Term: current.Term + 1, Holder: s.opts.Name}
	}
	sentAt := now
	next, err := s.write(ctx, current, version)
	switch kv.KindOf(err) {
	case kv.OK:
		s.confirmWrite(current, next, sentAt)
	case kv.Conflict, kv.Ambiguous:
		s.resolveWrite(ctx, current, sentAt)
	default:
		return s.opts.RenewInterval / 2
	}
	return s.opts.RenewInterval
}

// resolveWrite reads the key after a write that had a conflict or got no response, and
// confirms the write if the key contains the written value.
func (s *Election) resolveWrite(ctx context.Context, written termRecord, sentAt clock.Millis) {
	entry, err := s.opts.Store.Get(ctx, s.key())
	if err != nil {
		return
	}
	var v termRecord
	if err := json.Unmarshal(entry.Value, &v); err != nil {
		s.opts.Log.WithError(err).Error("term: value in the store cannot be decoded")
		return
	}
	if v == written {
		s.confirmWrite(v, entry.Version, sentAt)
		return
	}
	s.update(v, entry.Version)
}

func (s *Election) write(ctx context.Context, v termRecord, version uint64) (uint64, error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.LeaseDuration.Duration())
	defer cancel()
	return s.opts.Store.Put(ctx, s.key(), version, raw)
}

// confirmWrite records a successful write of this instance. The lease starts at the time the
// write was sent.
func (s *Election) confirmWrite(v termRecord, version uint64, sentAt clock.Millis) {
	s.update(v, version)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.version == version {
		s.confirmed = sentAt
	}
}

// update records a value of the key. It ignores values that are not newer than the current
// one.
func (s *Election) update(v termRecord, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version <= s.version {
		return
	}
	holderChanged := v.Term != s.current.Term || v.Holder != s.current.Holder
	s.current, s.version, s.currentSince = v, version, s.opts.Clock.Now()
	if !holderChanged {
		return
	}
	s.confirmed = 0
	close(s.changed)
	s.changed = make(chan struct{})
	s.opts.Log.WithFields(logrus.Fields{"term": v.Term, "holder": v.Holder}).Info("term: holder or term changed")
}

// watch records the values that the store's watch of the key returns, until ctx ends.
func (s *Election) watch(ctx context.Context) {
	var index uint64
	for ctx.Err() == nil {
		entries, next, err := s.opts.Store.Watch(ctx, s.key(), index, 10*s.opts.RenewInterval)
		if err != nil {
			clock.Sleep(ctx, s.opts.RenewInterval)
			continue
		}
		index = next
		for _, e := range entries {
			var v termRecord
			if e.Key == s.key() && json.Unmarshal(e.Value, &v) == nil {
				s.update(v, e.Version)
			}
		}
	}
}

func (s *Election) key() string { return "term/" + s.opts.Domain }
