// Package admission lets requests in, fairly by weight between the keys that wait,
// and sheds at once what would wait too long.
//
// # Usage
//
//	q := admission.New(admission.Options[string]{
//		Take: func(account string) bool { return pool.Take(account) },
//		Give: pool.Give,
//		Weight: func(account string) int { return weights[account] },
//	})
//	if err := q.Enter(ctx, account); err != nil { ... } // admission.ErrFull: shed
//	defer q.Leave(account)
package admission

import (
	"context"
	"errors"
	"sync"

	"github.com/chestnutsail/chestnutsail/clock"
)

// ErrFull means that the queue of the key is full.
var ErrFull = errors.New("admission: the queue is full")

const (
	defaultLimit = 256
	smoothing    = 16
)

// Options configures a Queue.
type Options[K comparable] struct {
	// Take takes capacity for one request of a key and reports whether there was any;
	// Give returns it. Both are called one at a time.
	Take func(K) bool
	Give func(K)
	// Weight returns the share of a key against others; below 1 counts as 1.
	Weight func(K) int
	// Limit is the number of requests of one key that may wait; default 256.
	Limit int
	// Clock defaults to the machine's.
	Clock *clock.Clock
}

// Queue holds what waits, by key. It is safe for concurrent use.
type Queue[K comparable] struct {
	opts Options[K]

	mu      sync.Mutex
	lines   map[K]*line
	virtual float64
	// pace is the smoothed time between two departures, in milliseconds.
	pace float64
	last clock.Millis
}

// line is what waits under one key, with the virtual time at which its last
// request finishes.
type line struct {
	waiting []*waiter
	finish  float64
}

type waiter struct {
	start float64
	in    chan struct{}
}

// New returns an empty queue.
func New[K comparable](opts Options[K]) *Queue[K] {
	if opts.Limit == 0 {
		opts.Limit = defaultLimit
	}
	if opts.Clock == nil {
		opts.Clock = clock.New()
	}
	return &Queue[K]{opts: opts, lines: make(map[K]*line)}
}

// Enter waits for capacity. It returns ErrFull at once when too many wait, and the
// cause of ctx when that ends first. After nil, Leave must be called once.
func (q *Queue[K]) Enter(ctx context.Context, k K) error {
	w, err := q.join(k)
	if err != nil {
		return err
	}
	select {
	case <-w.in:
		return nil
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case <-w.in:
		return nil
	default:
	}
	q.drop(k, w)
	return context.Cause(ctx)
}

// Leave gives the capacity of one request back and lets in what can enter now.
func (q *Queue[K]) Leave(k K) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.opts.Clock.Now()
	if q.last != 0 {
		q.pace += (float64(now-q.last) - q.pace) / smoothing
	}
	q.last = now
	q.opts.Give(k)
	q.admit()
}

// Waiting returns the number of requests that wait under a key.
func (q *Queue[K]) Waiting(k K) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if l, ok := q.lines[k]; ok {
		return len(l.waiting)
	}
	return 0
}

// Delay estimates in milliseconds how long what waits now takes to get in.
func (q *Queue[K]) Delay() clock.Millis {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, l := range q.lines {
		n += len(l.waiting)
	}
	return clock.Millis(q.pace * float64(n))
}

func (q *Queue[K]) join(k K) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l, ok := q.lines[k]
	if !ok {
		l = &line{}
		q.lines[k] = l
	}
	if len(l.waiting) >= q.opts.Limit {
		return nil, ErrFull
	}
	w := &waiter{start: max(l.finish, q.virtual), in: make(chan struct{})}
	l.finish = w.start + 1/float64(max(q.opts.Weight(k), 1))
	l.waiting = append(l.waiting, w)
	q.admit()
	return w, nil
}

// admit lets in, in the order of virtual start times, all that capacity is found
// for. The caller holds mu.
func (q *Queue[K]) admit() {
	refused := make(map[K]bool)
	for {
		k, l := q.next(refused)
		if l == nil {
			return
		}
		if !q.opts.Take(k) {
			refused[k] = true
			continue
		}
		w := l.waiting[0]
		l.waiting = l.waiting[1:]
		q.virtual = max(q.virtual, w.start)
		close(w.in)
		q.forget(k, l)
	}
}

// next returns the line whose first request starts first, leaving out refused keys.
func (q *Queue[K]) next(refused map[K]bool) (best K, first *line) {
	for k, l := range q.lines {
		if len(l.waiting) == 0 || refused[k] {
			continue
		}
		if first == nil || l.waiting[0].start < first.waiting[0].start {
			best, first = k, l
		}
	}
	return best, first
}

// drop takes a request that gave up out of its line. The caller holds mu.
func (q *Queue[K]) drop(k K, w *waiter) {
	l := q.lines[k]
	for i, other := range l.waiting {
		if other == w {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			break
		}
	}
	q.forget(k, l)
}

// forget drops an empty line that owes nothing to the others any more.
func (q *Queue[K]) forget(k K, l *line) {
	if len(l.waiting) == 0 && l.finish <= q.virtual {
		delete(q.lines, k)
	}
}
