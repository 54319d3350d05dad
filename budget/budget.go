// Package budget bounds the retries of one process to a share of its successes, so
// that a dependency that fails is not called more often than one that works.
//
// # Usage
//
//	b := budget.New(budget.Options{})
//	for try := 1; ; try++ {
//		if err := call(); err == nil {
//			b.Succeed()
//			return nil
//		}
//		if !b.Retry(ctx, try) {
//			return err
//		}
//	}
package budget

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/chestnutsail/chestnutsail/clock"
)

const (
	defaultPercent  = 10
	defaultFloor    = 2
	defaultCap      = 50
	defaultBaseWait = 25 * clock.Millisecond
	defaultMaxWait  = 2 * clock.Second
	maxDoublings    = 16
)

// Options configures a Budget. The zero value is useful.
type Options struct {
	// Percent is the number of retries allowed for each 100 successes; default 10.
	Percent int
	// Floor is the number of retries allowed per second without any success; default 2.
	Floor int
	// Cap is the number of retries that can be saved up; default 50.
	Cap int
	// Base and Max bound the wait before a retry in milliseconds; default 25 ms and 2 s.
	Base clock.Millis
	Max  clock.Millis
	// Clock defaults to the machine's.
	Clock *clock.Clock
}

// Budget counts the retries that a process may still make. It is safe for
// concurrent use.
type Budget struct {
	opts Options

	mu         sync.Mutex
	available  float64
	refilledAt clock.Millis
	spent      uint64
	denied     uint64
}

// New returns a budget with the floor of one second saved up.
func New(opts Options) *Budget {
	opts.Percent = orDefault(opts.Percent, defaultPercent)
	opts.Floor = orDefault(opts.Floor, defaultFloor)
	opts.Cap = orDefault(opts.Cap, defaultCap)
	opts.Base = orDefault(opts.Base, defaultBaseWait)
	opts.Max = orDefault(opts.Max, defaultMaxWait)
	if opts.Clock == nil {
		opts.Clock = clock.New()
	}
	return &Budget{opts: opts, available: float64(opts.Floor), refilledAt: opts.Clock.Now()}
}

// Succeed earns the share of a retry that one success is worth.
func (b *Budget) Succeed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(float64(b.opts.Percent) / 100)
}

// Take spends one retry and reports whether one was left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.opts.Clock.Now()
	b.add(float64(b.opts.Floor) * float64(now-b.refilledAt) / float64(clock.Second))
	b.refilledAt = now
	if b.available < 1 {
		b.denied++
		return false
	}
	b.available--
	b.spent++
	return true
}

// Wait returns a random wait in milliseconds before the retry that follows the
// try-th try, counted from 1: full jitter below a bound that doubles with each try.
func (b *Budget) Wait(try int) clock.Millis {
	bound := min(b.opts.Base<<min(max(try-1, 0), maxDoublings), b.opts.Max)
	return rand.N(bound + 1)
}

// Retry spends one retry, waits and reports whether to try again. It answers
// false at once when no retry is left or when ctx would end before the wait does.
func (b *Budget) Retry(ctx context.Context, try int) bool {
	if ctx.Err() != nil || !b.Take() {
		return false
	}
	return clock.Sleep(ctx, b.Wait(try))
}

// Stats returns the number of retries made and denied so far.
func (b *Budget) Stats() (made, denied uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spent, b.denied
}

// add adds to what is saved up. The caller holds mu.
func (b *Budget) add(n float64) { b.available = min(b.available+n, float64(b.opts.Cap)) }

func orDefault[T ~int | ~int64](v, fallback T) T {
	if v == 0 {
		return fallback
	}
	return v
}
