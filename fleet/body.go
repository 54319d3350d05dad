package fleet

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/inflight"
)

const (
	// bodyStallTimeout is the time in milliseconds without a byte after which a body is given up,
	// bodyTimeout the time for a whole body. No caller waits that long.
	bodyStallTimeout = 4 * clock.Second
	bodyTimeout      = 10 * clock.Second
	// discardTimeout is the time in milliseconds for which the rest of a body that nobody reads is awaited,
	// so that a client that is still sending can read the answer.
	discardTimeout = 500 * clock.Millisecond
	// bodyMemory is the memory in bytes that a byte of a body takes: the growing buffer, its last copy and
	// the decoded job.
	bodyMemory = 3
	// smallBody is the size in bytes up to which a body is read also while there is no memory for larger
	// ones, or although the request is refused.
	smallBody = 16 << 10
)

// boundBody bounds the memory and time that the bodies of requests take.
func (s *server) boundBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		slot, ok := r.Context().Value(slotKey{}).(*inflight.Slot)
		if !ok || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		slot.Wait(s.clock.Now())
		b := &boundedBody{
			ReadCloser: r.Body, length: r.ContentLength, server: s, slot: slot,
			control: http.NewResponseController(w), giveUpAt: s.clock.Now() + bodyTimeout,
		}
		defer b.finish()
		// The server looks at the body of its own request when it decides on the connection.
		bounded := *r
		bounded.Body = b
		next.ServeHTTP(&boundedAnswer{ResponseWriter: w, body: b}, &bounded)
	})
}

// boundedBody is a body whose reading takes memory from the limiter and has a time limit.
type boundedBody struct {
	io.ReadCloser
	// length is the declared length in bytes, -1 if none is declared.
	length   int64
	server   *server
	slot     *inflight.Slot
	control  *http.ResponseController
	giveUpAt clock.Millis
	// whole is set once the end of the body was read; err is the error of an earlier read.
	whole bool
	err   error
}

// Read reads from the body. The error is inflight.ErrFull if there is no memory for it.
func (b *boundedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	now := b.server.clock.Now()
	if err := b.allow(min(bodyStallTimeout, b.giveUpAt-now)); err != nil {
		return 0, err
	}
	n, err := b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.whole = true
		b.slot.Serve()
		// The server reads on, to notice when the client closes the connection.
		if unbound := b.control.SetReadDeadline(time.Time{}); unbound != nil {
			err = unbound
		}
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.server.refused(refusedSlowBody)
		err = inflight.ErrSlow
	}
	if n > 0 && !b.slot.Take(b.server.clock.Now(), int64(n)*bodyMemory) {
		b.server.refused(refusedBody)
		n, err = 0, inflight.ErrFull
	}
	b.err = err
	return n, err
}

// allow sets the time from now on in which the client has to send.
func (b *boundedBody) allow(d clock.Millis) error {
	return b.control.SetReadDeadline(time.Now().Add(d.Duration()))
}

// discard reads what is left of a small body, so that the connection can be used again.
func (b *boundedBody) discard() {
	if b.whole || b.length < 0 || b.length > smallBody {
		return
	}
	b.giveUpAt = min(b.giveUpAt, b.server.clock.Now()+discardTimeout)
	// After an error, the connection is closed.
	_, _ = io.Copy(io.Discard, b)
}

// finish gives back the memory of the body and bounds the time for which its rest is awaited.
func (b *boundedBody) finish() {
	b.slot.Release()
	if b.whole {
		return
	}
	b.slot.Wait(b.server.clock.Now())
	// Without a deadline, the connection is closed at the latest when the limiter needs its place.
	_ = b.allow(discardTimeout)
}

// boundedAnswer closes the connection after an answer to a request whose body was not read to its end.
// Otherwise the server would wait for the rest of the body before it answers.
type boundedAnswer struct {
	http.ResponseWriter
	body  *boundedBody
	wrote bool
}

// WriteHeader writes the head of the answer.
func (a *boundedAnswer) WriteHeader(status int) {
	if !a.wrote {
		a.body.discard()
	}
	if !a.wrote && !a.body.whole {
		a.Header().Set("Connection", "close")
	}
	a.wrote = true
	a.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the answer, and its head if that is not written yet.
func (a *boundedAnswer) Write(p []byte) (int, error) {
	if !a.wrote {
		a.WriteHeader(http.StatusOK)
	}
	return a.ResponseWriter.Write(p)
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (a *boundedAnswer) Unwrap() http.ResponseWriter { return a.ResponseWriter }
