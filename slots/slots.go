// Package slots divides a number of slots between classes, so that no class can use up
// the slots of another. A class may have a floor, which is a number of slots that other
// classes leave free for it, and a ceiling, which is the most slots that it may hold.
//
// # Usage
//
//	p := slots.New(slots.Options[job.Class]{
//		Total: func() int { return 56 },
//		Floor: map[job.Class]int{job.Quick: 50, job.Urgent: 10},
//	})
//	if p.Acquire(job.Sweep) {
//		defer p.Release(job.Sweep)
//	}
package slots

import (
	"fmt"
	"sync"
)

// Options configures a Pool.
type Options[C comparable] struct {
	// Total returns the current number of slots, which may change at any time.
	Total func() int
	// Floor is the share of Total, in percent, that is reserved for each class: other classes
	// can't use it. The shares add up to at most 100.
	Floor map[C]int
	// Ceiling returns the largest number of slots that a class may hold; nil means Total.
	Ceiling func(C) int
}

// Pool counts the slots that each class holds. It is safe for concurrent use.
type Pool[C comparable] struct {
	opts Options[C]

	mu        sync.Mutex
	used      map[C]int
	usedTotal int
}

// New returns a pool with all slots free. It panics if the floors add up to more than
// 100 percent.
func New[C comparable](opts Options[C]) *Pool[C] {
	sum := 0
	for _, share := range opts.Floor {
		sum += share
	}
	if sum > 100 {
		panic(fmt.Sprintf("slots: floors add up to %d percent", sum))
	}
	return &Pool[C]{opts: opts, used: make(map[C]int)}
}

// Acquire takes one slot for a class and reports whether the class could get one.
func (p *Pool[C]) Acquire(c C) bool {
	total := p.opts.Total()
	ceiling := total
	if p.opts.Ceiling != nil {
		ceiling = min(total, p.opts.Ceiling(c))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.used[c] >= ceiling || p.usedTotal+1+p.reserved(c, total) > total {
		return false
	}
	p.used[c]++
	p.usedTotal++
	return true
}

// Release gives back a slot that Acquire took. It panics if the class holds none.
func (p *Pool[C]) Release(c C) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.used[c] == 0 {
		panic(fmt.Sprintf("slots: class %v releases a slot that it does not hold", c))
	}
	p.used[c]--
	p.usedTotal--
}

// Used returns the number of slots that a class holds.
func (p *Pool[C]) Used(c C) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used[c]
}

// reserved returns the number of slots that must stay free for the floors of the other
// classes. The caller holds mu.
func (p *Pool[C]) reserved(c C, total int) int {
	reserved := 0
	for other, share := range p.opts.Floor {
		if other != c {
			reserved += max(0, total*share/100-p.used[other])
		}
	}
	return reserved
}
