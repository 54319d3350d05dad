package quick

import (
	"sync"

	"github.com/chestnutsail/chestnutsail/clock"
)

const (
	minHedge   = 50 * clock.Millisecond
	maxPaces   = 4096
	meanWeight = 8
	devWeight  = 4
	deviations = 4
)

// paces follows how long the answers of each service take.
type paces struct {
	fixed clock.Millis

	mu sync.Mutex
	of map[string]pace
}

// pace is the smoothed mean and deviation of answer times, in milliseconds.
type pace struct{ mean, dev float64 }

func newPaces(fixed clock.Millis) *paces { return &paces{fixed: fixed, of: make(map[string]pace)} }

func (p *paces) note(service string, took clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, ok := p.of[service]
	if !ok {
		if len(p.of) < maxPaces {
			p.of[service] = pace{float64(took), float64(took) / 2}
		}
		return
	}
	off := float64(took) - old.mean
	old.mean += off / meanWeight
	old.dev += (max(off, -off) - old.dev) / devWeight
	p.of[service] = old
}

// hedge returns the wait before a second worker is asked, or a negative value for never.
func (p *paces) hedge(service string) clock.Millis {
	if p.fixed != 0 {
		return p.fixed
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.of[service]
	if !ok {
		return -1
	}
	return max(minHedge, clock.Millis(known.mean+deviations*known.dev))
}
