// Package breaker is a circuit breaker. It stops calls to a dependency that fails, and
// then allows single probes until one of them succeeds.
//
// # Usage
//
//	b := breaker.New(breaker.Options{Name: "store"})
//	done, ok := b.Allow()
//	if !ok { ... } // the breaker is open: refuse at once without a call
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
	errInconclusive = errors.New("breaker: the result of the call is inconclusive")
)

// Result is what a call shows about the dependency.
type Result int

// The results of a call.
const (
	// Success means that the dependency answered.
	Success Result = iota
	// Failure means that the dependency failed or did not answer in time.
	Failure
	// Inconclusive means that the caller canceled the call before the dependency could
	// answer. Such a call counts as neither a success nor a failure.
	Inconclusive
)

// ResultOf returns Success if ok is true and Failure otherwise.
func ResultOf(ok bool) Result {
	if ok {
		return Success
	}
	return Failure
}

// Options configures a Breaker. The zero value selects the defaults.
type Options struct {
	// Name is the name of the dependency.
	Name string
	// Failures is the number of consecutive failures that open the breaker; default 5.
	Failures int
	// Open is the time in milliseconds from the opening to the first probe; default 1 s.
	Open clock.Millis
	// OnChange is called on each change of state; open says whether calls are stopped from
	// now on. It may be nil.
	OnChange func(open bool)
}

// Breaker is the circuit breaker for the calls to one dependency. It is safe for concurrent use.
type Breaker struct {
	opts Options
	b    *gobreaker.TwoStepCircuitBreaker[struct{}]
}

// New returns a closed breaker, which allows all calls.
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

// Open reports whether the breaker is open, so that Allow denies calls.
func (b *Breaker) Open() bool { return b.b.State() == gobreaker.StateOpen }

// Allow reports whether a call may be made. If so, the caller must call done once with the
// result of that call; otherwise done is nil.
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
