package fleet

import (
	"bytes"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/inflight"
)

const (
	// maxHeadBytes is the largest head of a request in bytes; net/http reads up to 4 KiB more. maxHeadLines
	// is the largest number of its lines, empty ones before it included, since each field takes far more
	// memory than its bytes.
	maxHeadBytes = 16 << 10
	maxHeadLines = 128
	// headReadSize is the number of bytes read at a time until a head is complete. The lines of the last
	// read don't count, as they may belong to the body.
	headReadSize = 1 << 10
	// writeTimeout bounds one write to a client that takes no answer, in milliseconds.
	writeTimeout = 10 * clock.Second
	// refusalTimeout bounds the writing of the answer to a head that is too long, in milliseconds.
	refusalTimeout = 100 * clock.Millisecond
)

// errHeadTooLong is returned by the connection of a client whose request has too many lines. net/http
// closes the connection without an answer on an error of this kind.
var errHeadTooLong = &net.OpError{Op: "read", Err: errors.New("the head of the request has too many lines")}

var headRefusal = []byte("HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")

// clientListener accepts connections within the bounds of a limiter. It closes those beyond them.
type clientListener struct {
	net.Listener
	limiter *inflight.Limiter
	clock   *clock.Clock
	refused func(reason string)
}

// Accept returns the next connection that the limiter admits.
func (l *clientListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &clientConn{Conn: conn, listener: l}
		// An error of closing says that the connection is closed already.
		c.slot = l.limiter.Open(l.clock.Now(), func() { _ = conn.Close() })
		if c.slot != nil {
			c.readsHead.Store(true)
			return c, nil
		}
		_ = conn.Close()
		l.refused(refusedConnection)
	}
}

// clientConn is a connection of a client. It bounds the lines of the heads of requests and the time for
// which a write may stand still, and tells the limiter what the connection waits for.
type clientConn struct {
	net.Conn
	listener *clientListener
	slot     *inflight.Slot
	// readsHead is set while the head of a request is awaited or read; lines counts its lines so far.
	readsHead atomic.Bool
	lines     atomic.Int64
}

// Read reads from the client. Until the head of a request is complete, it reads a little at a time.
func (c *clientConn) Read(p []byte) (int, error) {
	head := c.readsHead.Load()
	if head && c.lines.Load() > maxHeadLines {
		return 0, c.refuseHead()
	}
	if head {
		p = p[:min(len(p), headReadSize)]
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.slot.Progress(c.listener.clock.Now())
	}
	if head {
		c.lines.Add(int64(bytes.Count(p[:n], []byte{'\n'})))
	}
	return n, err
}

func (c *clientConn) refuseHead() error {
	c.listener.refused(refusedHead)
	if err := c.SetWriteDeadline(time.Now().Add(refusalTimeout.Duration())); err != nil {
		return errHeadTooLong
	}
	// The client learns the reason from the closed connection if the answer can't be written.
	_, _ = c.Conn.Write(headRefusal)
	return errHeadTooLong
}

// Write writes to the client, which must take the bytes within writeTimeout.
func (c *clientConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout.Duration())); err != nil {
		return 0, err
	}
	if c.slot.Wait(c.listener.clock.Now()) {
		defer c.slot.Serve()
	}
	return c.Conn.Write(p)
}

// CloseWrite tells the client that no more is written. The server does so when it refuses a request, and
// leaves the client time to read the answer.
func (c *clientConn) CloseWrite() error {
	c.slot.Wait(c.listener.clock.Now())
	if conn, ok := c.Conn.(*net.TCPConn); ok {
		return conn.CloseWrite()
	}
	return nil
}

// await records that the next request is awaited.
func (c *clientConn) await() {
	c.lines.Store(0)
	c.readsHead.Store(true)
	c.slot.Wait(c.listener.clock.Now())
}

// serve records that the head of a request was read.
func (c *clientConn) serve() {
	c.readsHead.Store(false)
	c.slot.Serve()
}

// Close closes the connection.
func (c *clientConn) Close() error {
	c.slot.Close()
	return c.Conn.Close()
}
