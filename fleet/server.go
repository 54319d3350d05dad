package fleet

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/inflight"
)

// drainPollInterval is the time in milliseconds between two checks whether connections are open.
const drainPollInterval = 10 * clock.Millisecond

// server is an HTTP server that answers the requests of all connections that are open when it is stopped.
type server struct {
	http.Server
	listener net.Listener
	clock    *clock.Clock
	// refused counts what is refused to clients.
	refused func(reason string)
	// conns is the number of open connections.
	conns atomic.Int64
	// served is closed once Serve has returned.
	served chan struct{}
}

// slotKey is the key of the connection's slot in the context of a request.
type slotKey struct{}

// listenAndServe serves an address, whose clients get a share of what clients may use.
func (i *Instance) listenAndServe(address string, share clientShare, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &server{clock: i.clock, refused: i.countRefusal, served: make(chan struct{})}
	bounds := clientBounds(i.opts.Settings, share)
	bounds.OnEvict = func() { i.countRefusal(refusedIdle) }
	s.listener = &clientListener{Listener: listener, limiter: inflight.New(bounds), clock: i.clock, refused: i.countRefusal}
	s.Handler, s.ConnState, s.ConnContext = s.boundBody(handler), s.observe, withSlot
	s.ReadHeaderTimeout, s.IdleTimeout, s.MaxHeaderBytes = headerTimeout.Duration(), idleTimeout.Duration(), maxHeadBytes
	i.servers = append(i.servers, s)
	go func() {
		defer close(s.served)
		err := s.Serve(s.listener)
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			i.opts.Log.WithError(err).WithField("address", address).Error("fleet: HTTP server failed")
		}
	}()
	return nil
}

func withSlot(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*clientConn); ok {
		return context.WithValue(ctx, slotKey{}, c.slot)
	}
	return ctx
}

// observe counts the open connections and follows what each of them is used for.
func (s *server) observe(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*clientConn)
	switch state {
	case http.StateNew:
		s.conns.Add(1)
	case http.StateActive:
		if ok {
			c.serve()
		}
	case http.StateIdle:
		if ok {
			c.await()
		}
	case http.StateClosed, http.StateHijacked:
		s.conns.Add(-1)
	}
}

// stop takes no new connections, closes the idle ones, serves the others until they are closed or only
// shutdownReserve is left, and shuts the server down. A request that is read after the call to Shutdown gets
// no answer, so that call comes last.
func (s *server) stop(ctx context.Context) error {
	err := s.listener.Close()
	if errors.Is(err, net.ErrClosed) {
		// Serve has failed, which is logged.
		err = nil
	}
	// Until Serve has returned, Shutdown would close the listener again and report that as an error.
	<-s.served
	s.SetKeepAlivesEnabled(false)
	drain := ctx
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		drain, cancel = context.WithDeadline(ctx, deadline.Add(-shutdownReserve.Duration()))
		defer cancel()
	}
	for s.conns.Load() > 0 && drain.Err() == nil {
		clock.Sleep(drain, drainPollInterval)
	}
	return errors.Join(err, s.Shutdown(ctx))
}
