// Package health monitors a dependency with a cheap periodic probe and reports whether it is
// reachable.
//
// # Usage
//
//	h := health.New(health.Options{Name: "store", Probe: store.Probe, Clock: c, Log: log})
//	if !h.OK() { ... } // refuse requests that need the dependency
package health

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
)

// Default durations in milliseconds.
const (
	// DefaultPeriod is the default time between two probes.
	DefaultPeriod = 250 * clock.Millisecond
	// DefaultLossTimeout is the default time without a successful probe after which the
	// dependency is considered unreachable. A slow store answers within half of this time.
	DefaultLossTimeout = 650 * clock.Millisecond
)

// Options configures a Monitor.
type Options struct {
	// Name is the name of the dependency in the log.
	Name string
	// Probe sends a cheap request to the dependency.
	Probe func(ctx context.Context) error
	// Period is the time between two probes. LossTimeout is the time without a successful probe
	// after which the dependency is considered unreachable, and also the timeout of one probe.
	// Both are in milliseconds; 0 means the defaults.
	Period      clock.Millis
	LossTimeout clock.Millis
	// OnChange is called with each change of reachability; nil means that nothing is called.
	OnChange func(ok bool)
	Clock    *clock.Clock
	Log      *logrus.Entry
}

// Monitor probes a dependency until Stop. It is safe for concurrent use.
type Monitor struct {
	opts        Options
	cancel      context.CancelFunc
	running     sync.WaitGroup
	lastSuccess atomic.Int64
	reachable   atomic.Bool
}

// New starts a monitor. The dependency is considered unreachable until the first successful
// probe.
func New(opts Options) *Monitor {
	if opts.Period == 0 {
		opts.Period = DefaultPeriod
	}
	if opts.LossTimeout == 0 {
		opts.LossTimeout = DefaultLossTimeout
	}
	if opts.OnChange == nil {
		opts.OnChange = func(bool) {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Monitor{opts: opts, cancel: cancel}
	m.running.Go(func() { m.run(ctx) })
	return m
}

// Stop ends the probing and waits for the last probe to end.
func (m *Monitor) Stop(context.Context) error {
	m.cancel()
	m.running.Wait()
	return nil
}

// OK reports whether the dependency is reachable.
func (m *Monitor) OK() bool { return m.reachable.Load() }

// LastSuccess returns the time in milliseconds of the last successful probe; 0 before the first.
func (m *Monitor) LastSuccess() clock.Millis { return clock.Millis(m.lastSuccess.Load()) }

func (m *Monitor) run(ctx context.Context) {
	ticker := clock.NewTicker(m.opts.Period)
	defer ticker.Stop()
	var probing atomic.Bool
	for {
		if probing.CompareAndSwap(false, true) {
			m.running.Go(func() {
				defer probing.Store(false)
				m.probe(ctx)
			})
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if m.reachable.Load() && m.opts.Clock.Now()-clock.Millis(m.lastSuccess.Load()) > m.opts.LossTimeout {
			m.setReachable(false)
		}
	}
}

// probe sends one probe. Probes do not overlap, so a slow dependency does not get more requests.
func (m *Monitor) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.opts.LossTimeout.Duration())
	defer cancel()
	if err := m.opts.Probe(ctx); err != nil {
		return
	}
	m.lastSuccess.Store(int64(m.opts.Clock.Now()))
	m.setReachable(true)
}

func (m *Monitor) setReachable(ok bool) {
	if m.reachable.Swap(ok) == ok {
		return
	}
	log := m.opts.Log.WithFields(logrus.Fields{"dependency": m.opts.Name, "age_ms": int64(m.opts.Clock.Now()) - m.lastSuccess.Load()})
	if ok {
		log.Info("health: dependency is reachable")
	} else {
		log.Warn("health: dependency is unreachable")
	}
	m.opts.OnChange(ok)
}
