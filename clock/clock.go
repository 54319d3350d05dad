// Package clock is the project's only source of time. It counts in whole milliseconds and
// never goes backwards within one process.
//
// # Usage
//
//	c := clock.New()
//	started := c.Now()
//	elapsed := c.Now() - started
//
// Tests and replays use a clock that moves only by calls of Advance:
//
//	c := clock.NewManual(0)
//	c.Advance(2 * clock.Second)
package clock

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a point in time or a duration, in milliseconds. A point in time counts from
// the Unix epoch.
type Millis int64

// Durations, in milliseconds.
const (
	Millisecond Millis = 1
	Second             = 1000 * Millisecond
	Minute             = 60 * Second
	Hour               = 60 * Minute
	// Longest is the longest duration that callers' figures stand for: 100 years. Sums of a million of them stay
	// within 63 bits.
	Longest = 100 * 365 * 24 * Hour
)

// Duration converts the duration m to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// String formats the duration m like a time.Duration, for example "1.5s".
func (m Millis) String() string { return m.Duration().String() }

// FromDuration converts d to milliseconds, rounding towards zero.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// FromFloat converts a number of milliseconds to a duration of at most Longest in either direction, rounding towards
// zero. NaN becomes 0. A plain conversion of a number outside the range of int64 depends on the processor.
func FromFloat(ms float64) Millis {
	if math.IsNaN(ms) {
		return 0
	}
	return Millis(min(max(ms, -float64(Longest)), float64(Longest)))
}

// Clock returns the current time. It reads the wall clock once, when it is created, and
// then follows the monotonic clock, so later changes of the wall clock have no effect.
// Time during which the machine was suspended is included, as it passes for all other
// machines too. A Clock is safe for concurrent use.
type Clock struct {
	start       time.Time
	startMillis Millis
	manual      bool
	now         atomic.Int64
	// bootTime is the machine's time since boot, including suspensions, when the clock was
	// created. suspended is the total time of the suspensions since then, as of the last
	// check, which began when the monotonic clock showed lastCheck milliseconds after start.
	// All three are in milliseconds.
	bootTime  Millis
	suspended atomic.Int64
	lastCheck atomic.Int64
}

// suspendCheckInterval is the minimum time in milliseconds between two checks for a
// suspension. Each check reads the time since boot, which costs a system call.
const suspendCheckInterval = 20 * Millisecond

// New returns a clock that follows the monotonic clock of the machine.
func New() *Clock {
	start := time.Now()
	return &Clock{start: start, startMillis: Millis(start.UnixMilli()), bootTime: sinceBoot()}
}

// sinceBoot returns the machine's time since boot, including suspensions, or 0 if the
// operating system does not provide it.
func sinceBoot() Millis {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return FromDuration(time.Duration(t.Nano()))
}

// NewManual returns a clock that shows start and moves only when Advance is called.
func NewManual(start Millis) *Clock {
	c := &Clock{manual: true}
	c.now.Store(int64(start))
	return c
}

// Now returns the current time in milliseconds since the Unix epoch.
func (c *Clock) Now() Millis {
	if c.manual {
		return Millis(c.now.Load())
	}
	elapsed := FromDuration(time.Since(c.start))
	if lastCheck := c.lastCheck.Load(); int64(elapsed)-lastCheck >= int64(suspendCheckInterval) && c.lastCheck.CompareAndSwap(lastCheck, int64(elapsed)) {
		c.updateSuspended(elapsed)
	}
	return c.startMillis + elapsed + Millis(c.suspended.Load())
}

// updateSuspended updates the total time of suspensions, which is the time that the clock
// since boot has counted and the monotonic clock has not.
func (c *Clock) updateSuspended(elapsed Millis) {
	bootTime := sinceBoot()
	if c.bootTime == 0 || bootTime == 0 {
		return
	}
	// The two clocks are read one after the other, so their readings may differ by a
	// millisecond without a suspension.
	if suspended := int64(bootTime - c.bootTime - elapsed); suspended > c.suspended.Load()+1 {
		c.suspended.Store(suspended)
	}
}

// Advance moves a manual clock forward by d milliseconds. It panics if the clock is not
// manual or d is negative.
func (c *Clock) Advance(d Millis) {
	if !c.manual || d < 0 {
		panic("clock: Advance needs a manual clock and a duration of at least 0 ms")
	}
	c.now.Add(int64(d))
}

// Sleep waits for d milliseconds of real time or until ctx ends, and reports whether the
// full duration passed.
func Sleep(ctx context.Context, d Millis) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// NewTicker returns a time.Ticker with a period of d milliseconds of real time.
func NewTicker(d Millis) *time.Ticker { return time.NewTicker(d.Duration()) }
