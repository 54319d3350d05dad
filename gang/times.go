package gang

import "github.com/chestnutsail/chestnutsail/clock"

// Times holds the lease durations and timeouts of a gang in milliseconds. A field that is 0
// means its default.
type Times struct {
	// Reservation is how long a worker keeps a reservation; default 4 s.
	Reservation clock.Millis
	// StartLease is the lease of a member until the whole gang is confirmed; default 2 s.
	StartLease clock.Millis
	// Lease is the lease of a member once the whole gang runs; default 40 s.
	Lease clock.Millis
	// CallTimeout is the timeout of one call to an agent; default 1 s.
	CallTimeout clock.Millis
}

// Defaults of Times.
const (
	DefaultReservation = 4 * clock.Second
	DefaultStartLease  = 2 * clock.Second
	DefaultLease       = 40 * clock.Second
	DefaultCallTimeout = clock.Second
)

const (
	// maxClockLag is the fraction by which a worker's clock may run slow. The workers'
	// protocol allows 2 %; the rest is a safety margin.
	maxClockLag = 0.03
	// leaseExpiryMargin is the time after the end of a lease at which the lease counts as
	// expired.
	leaseExpiryMargin = 300 * clock.Millisecond
)

// lapse returns the time in milliseconds after which Lease has ended by the slowest clock.
func (t Times) lapse() clock.Millis {
	return clock.Millis(float64(t.Lease)*(1+maxClockLag)) + leaseExpiryMargin
}

// WithDefaults returns t with the fields that are 0 set to their defaults.
func (t Times) WithDefaults() Times {
	fill := func(v *clock.Millis, d clock.Millis) {
		if *v == 0 {
			*v = d
		}
	}
	fill(&t.Reservation, DefaultReservation)
	fill(&t.StartLease, DefaultStartLease)
	fill(&t.Lease, DefaultLease)
	fill(&t.CallTimeout, DefaultCallTimeout)
	return t
}
