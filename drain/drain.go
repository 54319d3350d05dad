// Package drain takes an instance out of service without cutting a request: it says
// that the instance is leaving and hands its duties on at once, goes on serving while
// the balancer still sends, then takes nothing new and finishes what is in progress.
//
// # Usage
//
//	d := drain.New(drain.Options{Linger: 5 * clock.Second, Limit: 30 * clock.Second})
//	handler := d.Track(mux)             // counts what is in progress
//	mux.Handle("/v1/requests", d.Admit(callers, refuse))
//	d.Announce(mesh.Leave)              // called when it begins to leave
//	<-d.Begun()                         // somebody asked for it
//	err := d.Drain(ctx)
package drain

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
)

// Defaults of the spans.
const (
	DefaultLinger = 4 * clock.Second
	DefaultLimit  = 30 * clock.Second
)

// Options configures a Drainer.
type Options struct {
	// Linger is how long new requests are still served, in milliseconds, so that the
	// balancer learns first; 0 means none.
	Linger clock.Millis
	// Limit bounds the wait for requests in progress, in milliseconds; 0 means 30 s.
	Limit clock.Millis
	// Log defaults to the standard logger.
	Log *logrus.Entry
}

// Error tells how many requests were still in progress at the limit.
type Error struct{ InProgress int }

// Error formats the number.
func (e *Error) Error() string {
	return fmt.Sprintf("drain: %d requests were still in progress at the limit", e.InProgress)
}

// Drainer takes one instance out of service. It is safe for concurrent use.
type Drainer struct {
	opts  Options
	begun chan struct{}
	shut  chan struct{}
	once  sync.Once

	mu       sync.Mutex
	channels []func()
	active   int
	idle     chan struct{}
}

// New returns a drainer of an instance in service.
func New(opts Options) *Drainer {
	if opts.Limit == 0 {
		opts.Limit = DefaultLimit
	}
	if opts.Log == nil {
		opts.Log = logrus.NewEntry(logrus.StandardLogger())
	}
	return &Drainer{opts: opts, begun: make(chan struct{}), shut: make(chan struct{})}
}

// Announce adds a function that tells others that the instance is leaving, or hands a
// duty on. All are called at once and none is waited for.
func (d *Drainer) Announce(say func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.channels = append(d.channels, say)
}

// Begin makes the instance leave: it says so and stops taking new work after the
// linger. It does nothing the second time.
func (d *Drainer) Begin() {
	d.once.Do(func() {
		d.opts.Log.WithField("linger", d.opts.Linger.String()).Info("drain: leaving")
		close(d.begun)
		d.mu.Lock()
		defer d.mu.Unlock()
		for _, say := range d.channels {
			go say()
		}
		go func() {
			clock.Sleep(context.Background(), d.opts.Linger)
			close(d.shut)
		}()
	})
}

// Begun is closed when the instance begins to leave.
func (d *Drainer) Begun() <-chan struct{} { return d.begun }

// Leaving reports whether the instance has begun to leave.
func (d *Drainer) Leaving() bool { return done(d.begun) }

// Drain makes the instance leave and returns when nothing is in progress, or with
// *Error at the limit, or when ctx ends.
func (d *Drainer) Drain(ctx context.Context) error {
	d.Begin()
	select {
	case <-d.shut:
	case <-ctx.Done():
		return ctx.Err()
	}
	limit, cancel := context.WithTimeout(ctx, d.opts.Limit.Duration())
	defer cancel()
	select {
	case <-d.quiet():
		d.opts.Log.Info("drain: nothing in progress")
		return nil
	case <-limit.Done():
		d.mu.Lock()
		defer d.mu.Unlock()
		return &Error{d.active}
	}
}

// Track counts the requests in progress and asks callers to close their connections
// while the instance leaves.
func (d *Drainer) Track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.Leaving() {
			w.Header().Set("Connection", "close")
		}
		d.count(1)
		defer d.count(-1)
		next.ServeHTTP(&closer{ResponseWriter: w, drainer: d}, r)
	})
}

// Admit serves through next until the linger is over and through refuse afterwards.
func (d *Drainer) Admit(next, refuse http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if done(d.shut) {
			refuse.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (d *Drainer) count(by int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active += by
	if d.active == 0 && d.idle != nil {
		close(d.idle)
		d.idle = nil
	}
}

// quiet returns a channel that is closed once nothing is in progress.
func (d *Drainer) quiet() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.idle == nil {
		d.idle = make(chan struct{})
	}
	idle := d.idle
	if d.active == 0 {
		close(d.idle)
		d.idle = nil
	}
	return idle
}

func done(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// closer asks for the end of the connection with an answer that is written while the
// instance leaves, though its request came before.
type closer struct {
	http.ResponseWriter
	drainer *Drainer
	wrote   bool
}

// WriteHeader adds the Connection header if the instance is leaving by now.
func (c *closer) WriteHeader(status int) {
	if !c.wrote && c.drainer.Leaving() {
		c.Header().Set("Connection", "close")
	}
	c.wrote = true
	c.ResponseWriter.WriteHeader(status)
}

// Write writes the header first.
func (c *closer) Write(p []byte) (int, error) {
	if !c.wrote {
		c.WriteHeader(http.StatusOK)
	}
	return c.ResponseWriter.Write(p)
}

// Unwrap gives http.ResponseController the writer below.
func (c *closer) Unwrap() http.ResponseWriter { return c.ResponseWriter }
