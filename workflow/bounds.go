package workflow

import (
	"slices"

	"github.com/chestnutsail/chestnutsail/clock"
)

// The largest figures that make a difference. With them, the sums and products over the steps of a job and over all stored
// jobs stay within 63 bits.
const (
	// MaxResource exceeds what any worker has of a resource.
	MaxResource = 1 << 31
	// MaxEstimate is the longest estimated run time in milliseconds.
	MaxEstimate = clock.Longest
	// MaxTime is the latest Unix time in milliseconds that an occurrence may be due at, and the longest interval
	// between two: the end of the year 9999.
	MaxTime clock.Millis = 253402300799999
)

// Bounded returns a copy of s in which each figure that is negative or above the largest one that makes a difference is
// replaced by the nearest that is not. It doesn't change the steps of s, which other goroutines may read.
func (s *Spec) Bounded() Spec {
	bounded := *s
	bounded.First, bounded.Interval = within(s.First, MaxTime), within(s.Interval, MaxTime)
	bounded.Steps = slices.Clone(s.Steps)
	for i := range bounded.Steps {
		bounded.Steps[i].bound()
	}
	return bounded
}

func (s *Step) bound() {
	s.Cores, s.Memory, s.Accels = within(s.Cores, MaxResource), within(s.Memory, MaxResource), within(s.Accels, MaxResource)
	s.Estimate = within(s.Estimate, MaxEstimate)
	s.PerWorker, s.DisruptionBudget = within(s.PerWorker, MaxTasks), within(s.DisruptionBudget, MaxTasks)
}

// within returns the number from 0 to largest that is the nearest to n.
func within[T int | clock.Millis](n, largest T) T { return min(max(n, 0), largest) }

// DecodeRecord decodes an encoded record and bounds its specification, which an earlier version may have stored as the
// caller sent it. The ID is not part of the encoding.
func DecodeRecord(raw []byte) (*Record, error) {
	r := new(Record)
	if err := Decode(raw, r); err != nil {
		return nil, err
	}
	r.Spec = r.Spec.Bounded()
	return r, nil
}
