// Package admission queues requests by key until there is capacity for them. Capacity
// goes to the waiting keys in proportion to their weights (weighted fair queueing). A
// request is refused at once when the queue of its key is full.
//
// # Usage
//
//	q := admission.New(admission.Options[string]{
//		Acquire: func(account string) bool { return pool.Acquire(account) },
//		Release: pool.Release,
//		Weight:  func(account string) int { return weights[account] },
//	})
//	if err := q.Enter(ctx, account); err != nil { ... } // admission.ErrFull: refused at once
//	defer q.Leave(account)
package admission

import (
	"context"
	"errors"
	"sync"

	"github.com/chestnutsail/chestnutsail/clock"
)

// ErrFull means that the queue of the request's key is full.
var ErrFull = errors.New("admission: the queue is full")

const (
	defaultLimit      = 256
	intervalSmoothing = 16
)

// Options configures a Queue.
type Options[K comparable] struct {
	// Acquire takes capacity for one request of a key and reports whether there was any.
	// Release gives that capacity back. Calls of the two never overlap.
	Acquire func(K) bool
	Release func(K)
	// Weight returns the relative weight of a key; a value below 1 counts as 1.
	Weight func(K) int
	// Limit is the number of requests of one key that may wait; default 256.
	Limit int
	// Clock defaults to the system clock.
	Clock *clock.Clock
}

// Queue holds the waiting requests, by key. It is safe for concurrent use.
type Queue[K comparable] struct {
	opts Options[K]

	mu          sync.Mutex
	queues      map[K]*keyQueue
	virtualTime float64
	// departureInterval is the smoothed time between two calls of Leave, in milliseconds.
	departureInterval float64
	lastDeparture     clock.Millis
}

// keyQueue holds the waiting requests of one key and the virtual time at which the last
// request of the key finishes.
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

// Enter waits until there is capacity for a request of the key. It returns ErrFull at
// once if the queue of the key is full, and the cause of ctx if ctx ends first. When it
// returns nil, the caller must call Leave once.
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

// Leave releases the capacity of one request and admits the requests for which there is
// capacity now.
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

// Waiting returns the number of waiting requests of a key.
func (q *Queue[K]) Waiting(k K) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if kq, ok := q.queues[k]; ok {
		return len(kq.waiting)
	}
	return 0
}

// Delay estimates, in milliseconds, how long it takes until all requests that wait now
// are admitted.
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

// admit admits waiting requests in the order of their virtual start times, as long as
// there is capacity for a key. The caller holds mu.
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

// nextQueue returns the queue, and its key, whose first request has the earliest virtual
// start time. Refused keys are left out. The queue is nil if no request waits.
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

// remove removes a request whose context has ended from its queue. The caller holds mu.
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

// deleteIfIdle deletes an empty queue once the virtual time has reached its virtual
// finish time. Before that the queue must stay: a new one would start too early, ahead
// of other keys. The caller holds mu.
func (q *Queue[K]) deleteIfIdle(k K, kq *keyQueue) {
	if len(kq.waiting) == 0 && kq.virtualFinish <= q.virtualTime {
		delete(q.queues, k)
	}
}
