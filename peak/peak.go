// Package peak tracks the recent peak of a changing quantity. The peak rises immediately with the
// quantity, and decays exponentially when the quantity falls.
//
// # Usage
//
//	p := peak.New(6 * clock.Second)
//	p.Observe(now, 480)
//	reserve := p.Value() - current
package peak

import (
	"math"

	"github.com/chestnutsail/chestnutsail/clock"
)

// Peak is the recent peak of a quantity. It is not safe for concurrent use.
type Peak struct {
	halfLife   clock.Millis
	value      float64
	observedAt clock.Millis
}

// New returns a peak with the value 0. halfLife is the time in milliseconds in which the peak
// decays to one half.
func New(halfLife clock.Millis) *Peak { return &Peak{halfLife: halfLife} }

// Observe records the value of the quantity at a time in milliseconds. Times must not decrease.
func (p *Peak) Observe(now clock.Millis, v float64) {
	if elapsed := now - p.observedAt; elapsed > 0 {
		p.value *= math.Exp2(-float64(elapsed) / float64(p.halfLife))
	}
	p.observedAt = now
	p.value = max(p.value, v)
}

// Value returns the peak as of the last observation.
func (p *Peak) Value() float64 { return p.value }
