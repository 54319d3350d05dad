// Package inflight bounds the connections that clients hold open at a server and the memory of the request
// bodies that the server is reading. When a bound is reached, room is made at the cost of clients that hold
// resources without progress. A connection whose request was read whole is never closed for that.
//
// The package decides only; it neither reads nor closes anything by itself.
//
// # Usage
//
//	l := inflight.New(inflight.Options{Conns: 1000, Bytes: 16 << 20, Stall: 500 * clock.Millisecond})
//	slot := l.Open(now, conn.Close) // nil: refuse the connection
//	defer slot.Close()
//	slot.Progress(now)                  // bytes of the client have arrived
//	if !slot.Take(now, n) { ... }       // n bytes of a body don't fit: refuse the request
//	slot.Release()                      // the body is no longer in memory
package inflight

import (
	"container/list"
	"errors"
	"sync"

	"github.com/chestnutsail/chestnutsail/clock"
)

// Errors of reading a body.
var (
	// ErrFull means that there is no memory for the body now.
	ErrFull = errors.New("inflight: no memory for the body now")
	// ErrSlow means that the client has not sent the body in time.
	ErrSlow = errors.New("inflight: the body was not sent in time")
)

// Options configures a Limiter.
type Options struct {
	// Conns is the largest number of open connections; 0 means no bound.
	Conns int
	// Bytes is the largest memory in bytes of all bodies together; 0 means no bound.
	Bytes int64
	// Free is the memory in bytes of each body that does not count, so that small requests are read also
	// while large ones use all of Bytes. Conns times Free is the memory needed for that.
	Free int64
	// Stall is the time in milliseconds without progress after which a connection may be closed to make
	// room for the body of another one.
	Stall clock.Millis
	// OnEvict is called for each connection that is closed to make room; it may be nil.
	OnEvict func()
}

// Limiter holds the connections of one server. It is safe for concurrent use.
type Limiter struct {
	opts Options

	mu    sync.Mutex
	count int
	bytes int64
	// waiting holds the slots that wait for their client, the one with the least recent progress first.
	waiting *list.List
}

// Slot is one connection. Its methods are safe for concurrent use.
type Slot struct {
	limiter *Limiter
	abort   func()
	// element is the slot's place in waiting; nil while a request that was read whole is served.
	element  *list.Element
	progress clock.Millis
	// taken is the memory of the body that is being read, counted that which counts against Bytes.
	taken, counted int64
	closed         bool
}

// New returns a limiter without connections.
func New(opts Options) *Limiter {
	if opts.OnEvict == nil {
		opts.OnEvict = func() {}
	}
	return &Limiter{opts: opts, waiting: list.New()}
}

// Open admits a connection, if need be in place of the one that waits for its client with the least recent
// progress. It returns nil if there is none. The limiter calls abort, from any goroutine, to close the
// connection.
func (l *Limiter) Open(now clock.Millis, abort func()) *Slot {
	l.mu.Lock()
	var victim *Slot
	if l.opts.Conns > 0 && l.count >= l.opts.Conns {
		front := l.waiting.Front()
		if front == nil {
			l.mu.Unlock()
			return nil
		}
		victim = front.Value.(*Slot)
		victim.remove()
	}
	s := &Slot{limiter: l, abort: abort, progress: now}
	s.element = l.waiting.PushBack(s)
	l.count++
	l.mu.Unlock()
	l.evict(victim)
	return s
}

func (l *Limiter) evict(victims ...*Slot) {
	for _, s := range victims {
		if s != nil {
			s.abort()
			l.opts.OnEvict()
		}
	}
}

// Usage returns the number of open connections and the memory of bodies in bytes.
func (l *Limiter) Usage() (conns int, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count, l.bytes
}

// Progress records that the client has sent or taken bytes.
func (s *Slot) Progress(now clock.Millis) {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	s.progress = now
	if s.element != nil {
		s.limiter.waiting.MoveToBack(s.element)
	}
}

// Serve records that a request was read whole. The connection is not closed to make room until Wait is
// called.
func (s *Slot) Serve() {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	s.leaveWaiting()
}

// Wait records that the server waits for the client: for a request, the rest of it, or the taking of an
// answer. It reports whether a request was being served until then.
func (s *Slot) Wait(now clock.Millis) bool {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	if s.closed || s.element != nil {
		return false
	}
	s.progress = now
	s.element = s.limiter.waiting.PushBack(s)
	return true
}

// Take adds n bytes to the memory of the body that is being read, and reports whether there is room. If
// need be, it closes connections that hold bodies and have made no progress for the stall time.
func (s *Slot) Take(now clock.Millis, n int64) bool {
	l := s.limiter
	l.mu.Lock()
	if s.closed {
		l.mu.Unlock()
		return false
	}
	s.taken += n
	more := max(s.taken-l.opts.Free, 0) - s.counted
	var victims []*Slot
	if l.opts.Bytes > 0 {
		victims = l.makeRoom(now, s, more)
	}
	fits := l.opts.Bytes <= 0 || l.bytes+more <= l.opts.Bytes
	if fits {
		s.counted += more
		l.bytes += more
	} else {
		s.taken -= n
	}
	l.mu.Unlock()
	l.evict(victims...)
	return fits
}

// makeRoom removes stalled slots that hold bodies, other than s, so that more bytes fit. It removes none if
// that does not suffice.
func (l *Limiter) makeRoom(now clock.Millis, s *Slot, more int64) []*Slot {
	missing := l.bytes + more - l.opts.Bytes
	var victims []*Slot
	for e := l.waiting.Front(); e != nil && missing > 0; e = e.Next() {
		other := e.Value.(*Slot)
		if now-other.progress < l.opts.Stall {
			return nil
		}
		if other != s && other.counted > 0 {
			missing -= other.counted
			victims = append(victims, other)
		}
	}
	if missing > 0 {
		return nil
	}
	for _, victim := range victims {
		victim.remove()
	}
	return victims
}

// Release gives back the memory of the body.
func (s *Slot) Release() {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	s.release()
}

// Close records that the connection is closed. Closing it again has no effect.
func (s *Slot) Close() {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	s.remove()
}

func (s *Slot) remove() {
	if s.closed {
		return
	}
	s.closed = true
	s.limiter.count--
	s.leaveWaiting()
	s.release()
}

func (s *Slot) leaveWaiting() {
	if s.element != nil {
		s.limiter.waiting.Remove(s.element)
		s.element = nil
	}
}

func (s *Slot) release() {
	s.limiter.bytes -= s.counted
	s.taken, s.counted = 0, 0
}
