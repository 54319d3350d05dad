// Package warmup tells how much of its capacity a worker is worth while it is cold, that is slow for some time
// after its start. It rises steadily from minWorth to 1, so that a group of workers that come back cold at the same
// time is not filled at once.
//
// # Usage
//
//	var s warmup.State
//	s.Observe(now, remaining) // the worker says how long it stays cold
//	capacity *= s.Worth(now)
package warmup

import "github.com/chestnutsail/chestnutsail/clock"

// minWorth is the share of its capacity that a worker is worth at the begin of its cold time. How slow a cold
// worker is, is not known.
const minWorth = 0.5

// State is the cold time of one worker. The zero value is a warm worker.
type State struct{ from, until clock.Millis }

// Observe records that the worker stays cold for a remaining time in milliseconds; 0 means that it is warm.
func (s *State) Observe(now, remaining clock.Millis) {
	if remaining <= 0 {
		*s = State{}
		return
	}
	if now >= s.until {
		s.from = now
	}
	s.until = now + remaining
}

// Worth returns what the worker is worth, from minWorth to 1, which stands for a warm worker.
func (s *State) Worth(now clock.Millis) float64 {
	if now >= s.until {
		return 1
	}
	return minWorth + (1-minWorth)*float64(now-s.from)/float64(s.until-s.from)
}
