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
