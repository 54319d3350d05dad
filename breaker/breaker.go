// Package breaker stops calls to a dependency that fails, and lets single probes
// through until it answers again.
//
// # Usage
//
//	b := breaker.New(breaker.Options{Name: "store"})
//	done, ok := b.Allow()
//	if !ok { ... } // refuse at once, nothing was called
//	err := call()
//	done(breaker.ResultOf(err == nil))
package breaker

import (
	"errors"

	"github.com/sony/gobreaker/v2"

	"github.com/chestnutsail/chestnutsail/clock"
)

const (
	defaultFailures = 5
	defaultOpen     = clock.Second
)

var (
	errFailed       = errors.New("breaker: the call failed")
	errInconclusive = errors.New("breaker: the call tells nothing")
)

// Result is what a call showed of its dependency.
type Result int

// The results of a call.
const (
	// Success means that the dependency answered.
	Success Result = iota
	// Failure means that it failed or did not answer in its own time.
	Failure
	// Inconclusive means that the caller gave up first, which shows nothing.
	Inconclusive
)

// ResultOf returns Worked or Broke.
func ResultOf(ok bool) Result {
	if ok {
		return Success
	}
	return Failure
}

// Options configures a Breaker. The zero value is useful.
type Options struct {
	// Name is the name of the dependency.
	Name string
	// Failures is the number of failures in a row that open the breaker; default 5.
	Failures int
	// Open is the time in milliseconds between the opening and a probe; default 1 s.
	Open clock.Millis
	// OnChange is called on each change with whether calls are stopped now; it may be nil.
	OnChange func(open bool)
}

// Breaker guards the calls to one dependency. It is safe for concurrent use.
type Breaker struct {
	opts Options
	b    *gobreaker.TwoStepCircuitBreaker[struct{}]
}

// New returns a breaker that lets calls through.
func New(opts Options) *Breaker {
	if opts.Failures == 0 {
		opts.Failures = defaultFailures
	}
	if opts.Open == 0 {
		opts.Open = defaultOpen
	}
	settings := gobreaker.Settings{
		Name: opts.Name, MaxRequests: 1, Timeout: opts.Open.Duration(),
		ReadyToTrip: func(c gobreaker.Counts) bool { return int(c.ConsecutiveFailures) >= opts.Failures },
		IsExcluded:  func(err error) bool { return errors.Is(err, errInconclusive) },
	}
	if opts.OnChange != nil {
		settings.OnStateChange = func(_ string, _, to gobreaker.State) { opts.OnChange(to == gobreaker.StateOpen) }
	}
	return &Breaker{opts: opts, b: gobreaker.NewTwoStepCircuitBreaker[struct{}](settings)}
}

// Name returns the name of the dependency.
func (b *Breaker) Name() string { return b.opts.Name }

// Open reports whether calls are stopped now.
func (b *Breaker) Open() bool { return b.b.State() == gobreaker.StateOpen }

// Allow reports whether a call may be made. When it may, done must be called once
// with what the call showed.
func (b *Breaker) Allow() (done func(Result), ok bool) {
	report, err := b.b.Allow()
	if err != nil {
		return nil, false
	}
	return func(r Result) {
		switch r {
		case Success:
			report(nil)
		case Failure:
			report(errFailed)
		default:
			report(errInconclusive)
		}
	}, true
}
