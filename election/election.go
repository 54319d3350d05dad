// Package election elects one instance as the leader. The leader holds a key of the store that is
// bound to a lease. The term is the revision at which the key was written. It increases with every
// election and serves as the fence of all orders of the leader.
//
// # Usage
//
//	e := election.New(election.Options{Store: store, Key: "cs/lead", Name: name,
//		OnElected: startLeading, OnLost: stopLeading})
//	e.Observe(vacant) // called by a mirror of the store
//	if term, ok := e.Term(); ok { ... }
//	e.Resign(ctx)
package election

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/kv"
)

// Store is the part of a store client that an election uses.
type Store interface {
	Commit(ctx context.Context, ops []kv.Op) (uint64, error)
	Get(ctx context.Context, key string) (kv.Entry, error)
	Grant(ctx context.Context, ttl clock.Millis) (uint64, clock.Millis, error)
	Renew(ctx context.Context, lease uint64) error
	Revoke(ctx context.Context, lease uint64) error
}

// Durations in milliseconds.
const (
	// DefaultTTL is the default time after the last renewal until the leader's key expires.
	DefaultTTL = clock.Second
	// renewalsPerTTL is the number of renewals in one TTL.
	renewalsPerTTL = 5
	// maxRenewals is the largest number of renewals in progress.
	maxRenewals = 5
	// callTimeout is the timeout of one call of the store.
	callTimeout = 900 * clock.Millisecond
	// maxJitter is the largest random delay of a candidate, so that not all candidates write
	// the vacant key at the same time.
	maxJitter = 120 * clock.Millisecond
	// yieldsPerTTL is the number of times that a TTL holds the time for which an instance that has lost
	// its lease lets others go first.
	yieldsPerTTL = 2
	// leaseMargin is the time before the lease ends at which the leader stops relying on it.
	leaseMargin = 100 * clock.Millisecond
)

// Options configures an Election.
type Options struct {
	Store Store
	Key   string
	// Name is the unique name of this instance. It is part of the key's value.
	Name string
	// TTL is the time in milliseconds after the last renewal until the key expires; 0 means
	// DefaultTTL.
	TTL clock.Millis
	// Delay returns the time in milliseconds that this instance waits before it tries to write a
	// vacant key; nil means none. Instances that are less suited to lead have a longer delay.
	Delay func() clock.Millis
	// OnElected is called with the term when this instance has been elected, and OnLost when it
	// no longer leads. The calls never overlap, and they must not block.
	OnElected func(term uint64)
	OnLost    func()
	Clock     *clock.Clock
	Log       *logrus.Entry
}

// Election is a candidate for the leadership. It is safe for concurrent use.
type Election struct {
	opts     Options
	cancel   context.CancelFunc
	running  sync.WaitGroup
	vacant   atomic.Bool
	resigned atomic.Bool
	wake     chan struct{}
	// yieldUntil is the time until which this instance lets others go first. Only run uses it.
	yieldUntil clock.Millis

	mu    sync.Mutex
	term  uint64
	lease uint64
	// leaseEnd is the earliest time in milliseconds at which the lease may end at the store.
	leaseEnd clock.Millis
	// renewalFailed is set while the last renewal of the lease has failed.
	renewalFailed bool
}

// ParseHolder returns the name and the lease of the leader from the value of its key.
func ParseHolder(value string) (name string, lease uint64, ok bool) {
	name, text, found := strings.Cut(value, "/")
	lease, err := strconv.ParseUint(text, 10, 64)
	return name, lease, found && err == nil
}

// New starts a candidate that takes part in elections until Resign.
func New(opts Options) *Election {
	if opts.TTL == 0 {
		opts.TTL = DefaultTTL
	}
	if opts.Delay == nil {
		opts.Delay = func() clock.Millis { return 0 }
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Election{opts: opts, cancel: cancel, wake: make(chan struct{}, 1)}
	e.running.Go(func() { e.run(ctx) })
	return e
}

// Term returns the term in which this instance leads, or 0, and whether its lease is certainly
// still valid.
func (e *Election) Term() (uint64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term, e.term != 0 && e.opts.Clock.Now() < e.leaseEnd-leaseMargin
}

// IsRenewing reports whether this instance leads in a term and its last renewal of the lease has
// succeeded. A leader of which that is not true is about to lose the leadership.
func (e *Election) IsRenewing(term uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term == term && term != 0 && !e.renewalFailed && e.opts.Clock.Now() < e.leaseEnd-leaseMargin
}

// Depose ends the lease of another leader that has failed, so that its key is vacant at once. The
// leader itself may go on believing that it leads until its TTL has passed.
func (e *Election) Depose(ctx context.Context, lease uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	err := e.opts.Store.Revoke(ctx, lease)
	if kv.KindOf(err) == kv.Missing {
		return nil
	}
	return err
}

// Observe informs the candidate whether the leader's key is vacant, that is, does not exist.
func (e *Election) Observe(vacant bool) {
	e.vacant.Store(vacant)
	if !vacant {
		return
	}
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Resign leaves the election. If this instance leads, it revokes its lease, so that another
// instance can be elected immediately.
func (e *Election) Resign(ctx context.Context) {
	if e.resigned.Swap(true) {
		return
	}
	e.cancel()
	e.running.Wait()
	e.mu.Lock()
	lease, wasLeader := e.lease, e.term != 0
	e.term = 0
	e.mu.Unlock()
	if !wasLeader {
		return
	}
	e.opts.OnLost()
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	if err := e.opts.Store.Revoke(ctx, lease); err != nil {
		e.opts.Log.WithError(err).Warn("election: lease not revoked; the key expires with it")
	}
}

func (e *Election) run(ctx context.Context) {
	for ctx.Err() == nil {
		if e.isLeader() {
			e.lead(ctx)
			// Others may have ended the lease because this instance has failed in their eyes.
			e.yieldUntil = e.opts.Clock.Now() + e.opts.TTL/yieldsPerTTL
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
		}
		delay := max(e.opts.Delay(), e.yieldUntil-e.opts.Clock.Now()) + rand.N(maxJitter)
		if !clock.Sleep(ctx, delay) || !e.vacant.Load() {
			continue
		}
		if err := e.campaign(ctx); err != nil && ctx.Err() == nil {
			e.opts.Log.WithError(err).Debug("election: not elected")
			clock.Sleep(ctx, maxJitter)
			e.Observe(e.vacant.Load())
		}
	}
}

func (e *Election) isLeader() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term != 0
}

// campaign tries to write the vacant key, and becomes the leader if that succeeds.
func (e *Election) campaign(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 3*callTimeout.Duration())
	defer cancel()
	start := e.opts.Clock.Now()
	lease, ttl, err := e.opts.Store.Grant(ctx, e.opts.TTL)
	if err != nil {
		return err
	}
	// The ID of the lease makes the value unique. If the write gets no answer, reading the key shows
	// whether this instance wrote it.
	value := []byte(e.opts.Name + "/" + strconv.FormatUint(lease, 10))
	term, err := e.opts.Store.Commit(ctx, []kv.Op{{Key: e.opts.Key, Value: value, Lease: lease}})
	switch kv.KindOf(err) {
	case kv.OK:
	case kv.Ambiguous:
		entry, readErr := e.opts.Store.Get(ctx, e.opts.Key)
		if readErr != nil {
			return readErr
		}
		if string(entry.Value) != string(value) {
			return err
		}
		term = entry.Version
	default:
		e.vacant.Store(kv.KindOf(err) != kv.Conflict)
		return err
	}
	e.mu.Lock()
	e.term, e.lease, e.leaseEnd, e.renewalFailed = term, lease, start+ttl, false
	e.mu.Unlock()
	e.opts.Log.WithFields(logrus.Fields{"term": term, "took_ms": int64(e.opts.Clock.Now() - start)}).Info("election: elected")
	e.opts.OnElected(term)
	return nil
}

// renewal is the outcome of one renewal of the lease that began at start.
type renewal struct {
	start clock.Millis
	err   error
}

// lead renews the lease until it has ended. Renewals begin at fixed times, also while earlier ones
// are in progress: the answer to one may be lost, and the lease does not outlast the wait for it.
func (e *Election) lead(ctx context.Context) {
	ticker := clock.NewTicker(e.opts.TTL / renewalsPerTTL)
	defer ticker.Stop()
	outcomes := make(chan renewal, maxRenewals)
	inProgress := 0
	e.mu.Lock()
	lease := e.lease
	e.mu.Unlock()
	for e.isLeader() {
		select {
		case <-ctx.Done():
			return
		case r := <-outcomes:
			inProgress--
			e.onRenewed(r)
		case <-ticker.C:
			if inProgress < maxRenewals {
				inProgress++
				e.running.Go(func() { outcomes <- e.renew(ctx, lease) })
			}
		}
	}
}

func (e *Election) renew(ctx context.Context, lease uint64) renewal {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	start := e.opts.Clock.Now()
	return renewal{start, e.opts.Store.Renew(ctx, lease)}
}

func (e *Election) onRenewed(r renewal) {
	e.mu.Lock()
	overdue := r.start > e.leaseEnd
	switch {
	case r.err == nil:
		e.renewalFailed = false
		e.leaseEnd = max(e.leaseEnd, r.start+e.opts.TTL)
	case kv.KindOf(r.err) == kv.Missing:
		e.term = 0
	default:
		// Without an answer in time, later renewals that succeeded tell more.
		e.renewalFailed = r.start+e.opts.TTL > e.leaseEnd
	}
	lost := e.term == 0
	e.mu.Unlock()
	switch {
	case lost:
		e.opts.Log.WithError(r.err).Warn("election: lease has expired; no longer leading")
		e.opts.OnLost()
	case r.err != nil:
		e.opts.Log.WithError(r.err).WithField("overdue", overdue).Warn("election: lease not renewed")
	case overdue:
		e.opts.Log.Info("election: lease renewed after it was overdue")
	}
}
