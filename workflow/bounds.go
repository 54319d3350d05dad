package workflow

import "github.com/chestnutsail/chestnutsail/clock"

// MaxEstimate is the longest estimated run time in milliseconds that makes a difference. With it, the sums over the steps
// of a job and over all stored jobs stay within 63 bits.
const MaxEstimate = clock.Longest

// Bound replaces each figure that is negative or above the largest one that makes a difference by the nearest that is
// not. It changes s and its steps.
func (s *Spec) Bound() {
	for i := range s.Steps {
		s.Steps[i].bound()
	}
}

func (s *Step) bound() { s.Estimate = within(s.Estimate, MaxEstimate) }

// within returns the number from 0 to largest that is the nearest to n.
func within[T int | clock.Millis](n, largest T) T { return min(max(n, 0), largest) }

// DecodeRecord decodes an encoded record and bounds its specification, which an earlier version may have stored as the
// caller sent it. The ID is not part of the encoding.
func DecodeRecord(raw []byte) (*Record, error) {
	r := new(Record)
	if err := Decode(raw, r); err != nil {
		return nil, err
	}
	r.Spec.Bound()
	return r, nil
}
