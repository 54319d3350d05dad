// Package slots divides a number of slots between classes, so that no class can
// take the last ones of another. Each class has a floor that the others leave free
// for it, and may have a ceiling of its own.
//
// # Usage
//
//	p := slots.New(slots.Options[job.Class]{
//		Total: func() int { return 56 },
//		Floor: map[job.Class]int{job.Quick: 50, job.Urgent: 10},
//	})
//	if p.Take(job.Sweep) {
//		defer p.Give(job.Sweep)
//	}
package slots

import (
	"fmt"
	"sync"
)

// Options configures a Pool.
type Options[C comparable] struct {
	// Total returns the number of slots now.
	Total func() int
	// Floor is the share of Total, in percent, that other classes leave free for a class.
	Floor map[C]int
	// Ceiling returns the most slots that a class may hold; nil means no ceiling but Total.
	Ceiling func(C) int
}

// Pool is a divided number of slots. It is safe for concurrent use.
type Pool[C comparable] struct {
	opts Options[C]

	mu        sync.Mutex
	used      map[C]int
	usedTotal int
}

// New returns a pool with all slots free. It panics when the floors exceed 100 percent.
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

// Acquire takes one slot for a class and reports whether there was one.
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

// Release returns a slot that Take took. It panics when the class holds none.
func (p *Pool[C]) Release(c C) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.used[c] == 0 {
		panic(fmt.Sprintf("slots: %v gives a slot that it does not hold", c))
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

// reserved returns the slots that have to stay free for the floors of other classes.
func (p *Pool[C]) reserved(c C, total int) int {
	reserved := 0
	for other, share := range p.opts.Floor {
		if other != c {
			reserved += max(0, total*share/100-p.used[other])
		}
	}
	return reserved
}
