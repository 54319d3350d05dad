// Package clock is the project's only source of time. It counts in whole
// milliseconds and never runs backwards within one process.
//
// # Usage
//
//	c := clock.New()
//	started := c.Now()
//	elapsed := c.Now() - started
//
// Tests and replays use a clock that moves only when told to:
//
//	c := clock.NewManual(0)
//	c.Advance(2 * clock.Second)
package clock

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a point in time or a span of time in milliseconds. As a point it
// counts from the Unix epoch.
type Millis int64

// Spans of time, in milliseconds.
const (
	Millisecond Millis = 1
	Second             = 1000 * Millisecond
	Minute             = 60 * Second
	Hour               = 60 * Minute
)

// Duration converts the span m for use with the standard library.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// String formats the span m in the manner of time.Duration.
func (m Millis) String() string { return m.Duration().String() }

// FromDuration converts d to milliseconds, rounding towards zero.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Clock tells the time. It reads the wall clock once and then follows the
// monotonic clock, so a step of the wall clock does not show. Time for which the
// machine was suspended counts, as it does for everybody else. A Clock is safe for
// concurrent use.
type Clock struct {
	start       time.Time
	startMillis Millis
	manual      bool
	now         atomic.Int64
	// bootTime is the machine's time since boot at start, in milliseconds, suspensions
	// counted; slept is by how much it has run ahead since, read at looked.
	bootTime  Millis
	suspended atomic.Int64
	lastCheck atomic.Int64
}

// suspendCheckInterval is the time in milliseconds after which a suspension is looked for
// again: reading the time since boot costs a system call.
const suspendCheckInterval = 20 * Millisecond

// New returns a clock that follows the machine's monotonic clock.
func New() *Clock {
	start := time.Now()
	return &Clock{start: start, startMillis: Millis(start.UnixMilli()), bootTime: sinceBoot()}
}

// sinceBoot returns the machine's time since boot, suspensions counted, or 0 if the
// system does not tell.
func sinceBoot() Millis {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return FromDuration(time.Duration(t.Nano()))
}

// NewManual returns a clock that stands at start until Advance moves it.
func NewManual(start Millis) *Clock {
	c := &Clock{manual: true}
	c.now.Store(int64(start))
	return c
}

// Now returns the present time in milliseconds since the Unix epoch.
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

// updateSuspended takes note of time that only the clock since boot has counted.
func (c *Clock) updateSuspended(elapsed Millis) {
	bootTime := sinceBoot()
	if c.bootTime == 0 || bootTime == 0 {
		return
	}
	// Reading two clocks in turn differs by a millisecond at times.
	if suspended := int64(bootTime - c.bootTime - elapsed); suspended > c.suspended.Load()+1 {
		c.suspended.Store(suspended)
	}
}

// Advance moves a manual clock forward by d milliseconds. It panics when the
// clock is not manual or d is negative.
func (c *Clock) Advance(d Millis) {
	if !c.manual || d < 0 {
		panic("clock: Advance needs a manual clock and a span of at least 0 ms")
	}
	c.now.Add(int64(d))
}

// Sleep waits for d milliseconds of real time or until ctx ends, and reports
// whether the whole span passed.
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

// NewTicker returns a ticker of real time with a period of d milliseconds.
func NewTicker(d Millis) *time.Ticker { return time.NewTicker(d.Duration()) }
