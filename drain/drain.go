// Package drain takes an instance out of service without interrupting requests. A Drainer announces at once
// that the instance is leaving, so that its duties can be handed over. The instance still accepts requests
// for a while, because the load balancer sends them until it has noticed. Then the instance refuses new
// requests and finishes those in progress.
//
// # Usage
//
//	d := drain.New(drain.Options{Linger: 5 * clock.Second, Timeout: 30 * clock.Second})
//	handler := d.Track(mux)             // counts the requests in progress
//	mux.Handle("/v1/requests", d.Admit(callers, refuse))
//	d.Announce(mesh.AnnounceLeaving)    // called when the instance begins to leave
//	<-d.Begun()                         // closed by Begin or Drain
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

// Default times in milliseconds.
const (
	DefaultLinger  = 4 * clock.Second
	DefaultTimeout = 30 * clock.Second
)

// Options configures a Drainer.
type Options struct {
	// Linger is the time in milliseconds for which new requests are still accepted after the instance has
	// begun to leave, so that the load balancer can notice first; 0 means none.
	Linger clock.Millis
	// Timeout is the longest time in milliseconds to wait for requests in progress after the linger time; 0
	// means DefaultTimeout.
	Timeout clock.Millis
	// Log receives the log lines; nil means the standard logger.
	Log *logrus.Entry
}

// Error reports how many requests were still in progress when Options.Timeout had passed.
type Error struct{ InProgress int }

// Error returns the message of the error.
func (e *Error) Error() string {
	return fmt.Sprintf("drain: %d requests were still in progress at the limit", e.InProgress)
}

// Drainer takes one instance out of service. It is safe for concurrent use.
type Drainer struct {
	opts       Options
	begun      chan struct{}
	lingerOver chan struct{}
	once       sync.Once

	mu            sync.Mutex
	announcements []func()
	inProgress    int
	idle          chan struct{}
}

// New returns a drainer for an instance that is in service.
func New(opts Options) *Drainer {
	if opts.Timeout == 0 {
		opts.Timeout = DefaultTimeout
	}
	if opts.Log == nil {
		opts.Log = logrus.NewEntry(logrus.StandardLogger())
	}
	return &Drainer{opts: opts, begun: make(chan struct{}), lingerOver: make(chan struct{})}
}

// Announce adds a function that notifies others that the instance is leaving, or that hands over one of its
// duties. When the instance begins to leave, each function is called in a goroutine of its own, and nothing
// waits for the functions to return.
func (d *Drainer) Announce(announce func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.announcements = append(d.announcements, announce)
}

// Begin starts taking the instance out of service: it calls the announcing functions, and after the linger
// time new requests are refused. It returns at once. Further calls have no effect.
func (d *Drainer) Begin() {
	d.once.Do(func() {
		d.opts.Log.WithField("linger", d.opts.Linger.String()).Info("drain: leaving service")
		close(d.begun)
		d.mu.Lock()
		defer d.mu.Unlock()
		for _, announce := range d.announcements {
			go announce()
		}
		go func() {
			clock.Sleep(context.Background(), d.opts.Linger)
			close(d.lingerOver)
		}()
	})
}

// Begun returns a channel that is closed when the instance begins to leave.
func (d *Drainer) Begun() <-chan struct{} { return d.begun }

// Leaving reports whether the instance has begun to leave.
func (d *Drainer) Leaving() bool { return isClosed(d.begun) }

// Drain takes the instance out of service. It returns nil when the linger time has passed and no request
// is in progress, an *Error when requests are still in progress after Options.Timeout or when ctx ends
// during the wait for them, and the error of ctx when it ends during the linger time.
func (d *Drainer) Drain(ctx context.Context) error {
	d.Begin()
	select {
	case <-d.lingerOver:
	case <-ctx.Done():
		return ctx.Err()
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, d.opts.Timeout.Duration())
	defer cancel()
	select {
	case <-d.idleChannel():
		d.opts.Log.Info("drain: no requests in progress")
		return nil
	case <-timeoutCtx.Done():
		d.mu.Lock()
		defer d.mu.Unlock()
		return &Error{d.inProgress}
	}
}

// Track counts the requests in progress. While the instance is leaving, it also sets "Connection: close" on
// answers, so that callers open new connections to other instances.
func (d *Drainer) Track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.Leaving() {
			w.Header().Set("Connection", "close")
		}
		d.addInProgress(1)
		defer d.addInProgress(-1)
		next.ServeHTTP(&closingWriter{ResponseWriter: w, drainer: d}, r)
	})
}

// Admit passes requests to next until the linger time is over, and to refuse afterwards.
func (d *Drainer) Admit(next, refuse http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isClosed(d.lingerOver) {
			refuse.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (d *Drainer) addInProgress(delta int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inProgress += delta
	if d.inProgress == 0 && d.idle != nil {
		close(d.idle)
		d.idle = nil
	}
}

// idleChannel returns a channel that is closed once no request is in progress.
func (d *Drainer) idleChannel() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.idle == nil {
		d.idle = make(chan struct{})
	}
	idle := d.idle
	if d.inProgress == 0 {
		close(d.idle)
		d.idle = nil
	}
	return idle
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// closingWriter adds "Connection: close" to an answer whose header is written after the instance has begun
// to leave. Without it, the answer to a request that arrived earlier would keep the connection open.
type closingWriter struct {
	http.ResponseWriter
	drainer     *Drainer
	wroteHeader bool
}

// WriteHeader adds the Connection header if the instance is leaving, and writes the status.
func (c *closingWriter) WriteHeader(status int) {
	if !c.wroteHeader && c.drainer.Leaving() {
		c.Header().Set("Connection", "close")
	}
	c.wroteHeader = true
	c.ResponseWriter.WriteHeader(status)
}

// Write writes the header with status 200 unless it has been written, then the data.
func (c *closingWriter) Write(p []byte) (int, error) {
	if !c.wroteHeader {
		c.WriteHeader(http.StatusOK)
	}
	return c.ResponseWriter.Write(p)
}

// Unwrap returns the wrapped writer, as http.ResponseController requires.
func (c *closingWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }
