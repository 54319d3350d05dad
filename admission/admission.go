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
	defaultLimit      = 256
	intervalSmoothing = 16
)

// Options configures a Queue.
type Options[K comparable] struct {
	// Acquire takes capacity for one request of a key and reports whether there was any;
	// Give returns it. Both are called one at a time.
	Acquire func(K) bool
	Release func(K)
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

	mu          sync.Mutex
	queues      map[K]*keyQueue
	virtualTime float64
	// departureInterval is the smoothed time between two departures, in milliseconds.
	departureInterval float64
	lastDeparture     clock.Millis
}

// keyQueue is what waits under one key, with the virtual time at which its last
// request finishes.
type keyQueue struct {
	waiting       []*waiter
	virtualFinish float64
}

type waiter struct {
	virtualStart float64
	admitted     chan struct{}
}

// New returns an empty queue.
func New[K comparable](opts Options[K]) *Queue[K] {
	if opts.Limit == 0 {
		opts.Limit = defaultLimit
	}
	if opts.Clock == nil {
		opts.Clock = clock.New()
	}
	return &Queue[K]{opts: opts, queues: make(map[K]*keyQueue)}
}

// Enter waits for capacity. It returns ErrFull at once when too many wait, and the
// cause of ctx when that ends first. After nil, Leave must be called once.
func (q *Queue[K]) Enter(ctx context.Context, k K) error {
	w, err := q.enqueue(k)
	if err != nil {
		return err
	}
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case <-w.admitted:
		return nil
	default:
	}
	q.remove(k, w)
	return context.Cause(ctx)
}

// Leave gives the capacity of one request back and lets in what can enter now.
func (q *Queue[K]) Leave(k K) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.opts.Clock.Now()
	if q.lastDeparture != 0 {
		q.departureInterval += (float64(now-q.lastDeparture) - q.departureInterval) / intervalSmoothing
	}
	q.lastDeparture = now
	q.opts.Release(k)
	q.admit()
}

// Waiting returns the number of requests that wait under a key.
func (q *Queue[K]) Waiting(k K) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if kq, ok := q.queues[k]; ok {
		return len(kq.waiting)
	}
	return 0
}

// Delay estimates in milliseconds how long what waits now takes to get in.
func (q *Queue[K]) Delay() clock.Millis {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, kq := range q.queues {
		n += len(kq.waiting)
	}
	return clock.Millis(q.departureInterval * float64(n))
}

func (q *Queue[K]) enqueue(k K) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	kq, ok := q.queues[k]
	if !ok {
		kq = &keyQueue{}
		q.queues[k] = kq
	}
	if len(kq.waiting) >= q.opts.Limit {
		return nil, ErrFull
	}
	w := &waiter{virtualStart: max(kq.virtualFinish, q.virtualTime), admitted: make(chan struct{})}
	kq.virtualFinish = w.virtualStart + 1/float64(max(q.opts.Weight(k), 1))
	kq.waiting = append(kq.waiting, w)
	q.admit()
	return w, nil
}

// admit lets in, in the order of virtual start times, all that capacity is found
// for. The caller holds mu.
func (q *Queue[K]) admit() {
	refused := make(map[K]bool)
	for {
		k, kq := q.nextQueue(refused)
		if kq == nil {
			return
		}
		if !q.opts.Acquire(k) {
			refused[k] = true
			continue
		}
		w := kq.waiting[0]
		kq.waiting = kq.waiting[1:]
		q.virtualTime = max(q.virtualTime, w.virtualStart)
		close(w.admitted)
		q.deleteIfIdle(k, kq)
	}
}

// nextQueue returns the line whose first request starts first, leaving out refused keys.
func (q *Queue[K]) nextQueue(refused map[K]bool) (key K, queue *keyQueue) {
	for k, kq := range q.queues {
		if len(kq.waiting) == 0 || refused[k] {
			continue
		}
		if queue == nil || kq.waiting[0].virtualStart < queue.waiting[0].virtualStart {
			key, queue = k, kq
		}
	}
	return key, queue
}

// remove takes a request that gave up out of its line. The caller holds mu.
func (q *Queue[K]) remove(k K, w *waiter) {
	kq := q.queues[k]
	for i, other := range kq.waiting {
		if other == w {
			kq.waiting = append(kq.waiting[:i], kq.waiting[i+1:]...)
			break
		}
	}
	q.deleteIfIdle(k, kq)
}

// deleteIfIdle drops an empty line that owes nothing to the others any more.
func (q *Queue[K]) deleteIfIdle(k K, kq *keyQueue) {
	if len(kq.waiting) == 0 && kq.virtualFinish <= q.virtualTime {
		delete(q.queues, k)
	}
}
