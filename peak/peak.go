// Package peak remembers the highest of a changing quantity's recent values: it rises
// with the quantity at once and falls slowly after it.
//
// # Usage
//
//	p := peak.New(6 * clock.Second)
//	p.Observe(now, 480)
//	room := p.Value() - current
package peak

import (
	"math"

	"github.com/chestnutsail/chestnutsail/clock"
)

// Peak is the recent peak of a quantity. It is not safe for concurrent use.
type Peak struct {
	half  clock.Millis
	value float64
	at    clock.Millis
}

// New returns a peak of 0 that halves in half milliseconds once the quantity is gone.
func New(half clock.Millis) *Peak { return &Peak{half: half} }

// Observe takes the quantity at a time; times must not fall.
func (p *Peak) Observe(now clock.Millis, v float64) {
	if elapsed := now - p.at; elapsed > 0 {
		p.value *= math.Exp2(-float64(elapsed) / float64(p.half))
	}
	p.at = now
	p.value = max(p.value, v)
}

// Value returns the peak as of the last observation.
func (p *Peak) Value() float64 { return p.value }
