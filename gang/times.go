package gang

import "github.com/chestnutsail/chestnutsail/clock"

// Times are the spans of a gang's life in milliseconds. A field that is 0 has its default.
type Times struct {
	// Hold is how long a reservation is kept; default 4 s.
	Hold clock.Millis
	// Short is the lease of a member until the whole gang is confirmed; default 2 s.
	Short clock.Millis
	// Lease is the lease of a member of a whole gang; default 40 s.
	Lease clock.Millis
	// Call bounds one call to an agent; default 1 s.
	Call clock.Millis
}

// Defaults of Times.
const (
	DefaultHold  = 4 * clock.Second
	DefaultShort = 2 * clock.Second
	DefaultLease = 40 * clock.Second
	DefaultCall  = clock.Second
)

// Filled returns t with its defaults filled in.
func (t Times) Filled() Times {
	fill := func(v *clock.Millis, d clock.Millis) {
		if *v == 0 {
			*v = d
		}
	}
	fill(&t.Hold, DefaultHold)
	fill(&t.Short, DefaultShort)
	fill(&t.Lease, DefaultLease)
	fill(&t.Call, DefaultCall)
	return t
}
