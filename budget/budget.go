// Package budget limits the retries of one process to a fraction of its successful calls,
// so that retries do not overload a dependency that is failing.
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

// Options configures a Budget. The zero value selects the defaults.
type Options struct {
	// Percent is the number of retries allowed for each 100 successes; default 10.
	Percent int
	// Floor is the number of retries allowed per second in addition to Percent, also
	// without any success; default 2.
	Floor int
	// Cap is the largest number of unused retries that can accumulate; default 50.
	Cap int
	// Base is the largest wait before the first retry, in milliseconds; default 25 ms. It
	// doubles with each further retry up to Max; default 2 s.
	Base clock.Millis
	Max  clock.Millis
	// Clock defaults to the system clock.
	Clock *clock.Clock
}

// Budget is a token bucket of the retries that a process may still make. It is safe for
// concurrent use.
type Budget struct {
	opts Options

	mu         sync.Mutex
	available  float64
	refilledAt clock.Millis
	spent      uint64
	denied     uint64
}

// New returns a budget that starts with Floor retries available.
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

// Succeed counts one successful call, which adds Percent/100 of a retry to the budget.
func (b *Budget) Succeed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(float64(b.opts.Percent) / 100)
}

// Take takes one retry from the budget and reports whether one was available.
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

// Wait returns how long to wait, in milliseconds, before the retry that follows try
// number try, counted from 1. The wait is random between 0 and a bound that doubles with
// each try (exponential backoff with full jitter).
func (b *Budget) Wait(try int) clock.Millis {
	bound := min(b.opts.Base<<min(max(try-1, 0), maxDoublings), b.opts.Max)
	return rand.N(bound + 1)
}

// Retry takes one retry from the budget, waits as Wait says and reports whether to try
// again. It returns false at once if no retry is available or ctx has ended, and as soon
// as ctx ends during the wait.
func (b *Budget) Retry(ctx context.Context, try int) bool {
	if ctx.Err() != nil || !b.Take() {
		return false
	}
	return clock.Sleep(ctx, b.Wait(try))
}

// Stats returns how many retries Take has allowed and denied so far.
func (b *Budget) Stats() (made, denied uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spent, b.denied
}

// add adds n retries to the budget, up to Cap. The caller holds mu.
func (b *Budget) add(n float64) { b.available = min(b.available+n, float64(b.opts.Cap)) }

func orDefault[T ~int | ~int64](v, fallback T) T {
	if v == 0 {
		return fallback
	}
	return v
}
