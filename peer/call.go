package peer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/chestnutsail/chestnutsail/clock"
)

const defaultCallTimeout = 5 * clock.Second

// Errors that an Error may wrap.
var (
	// ErrUnknownPeer means that no entry of the given name is known.
	ErrUnknownPeer = errors.New("no such peer")
	// ErrConnectionLost means that the connection ended before the answer arrived.
	ErrConnectionLost = errors.New("connection lost")
	// ErrTooLarge means that the request or the answer exceeds the maximum frame size.
	ErrTooLarge = errors.New("larger than a frame")

	errTooManyCalls  = errors.New("too many calls at a time")
	errUnknownMethod = errors.New("no such method")
)

// Error is a failed call to another entry.
type Error struct {
	Peer   string
	Method string
	// Sent is false if the request certainly did not reach the entry.
	Sent bool
	// Remote is true if the entry answered with an error, whose text Err then holds.
	Remote bool
	Err    error
}

// Error returns the method, the name of the entry and the cause.
func (e *Error) Error() string { return fmt.Sprintf("peer: %s at %s: %v", e.Method, e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Call sends a request to the entry of the given name and returns its answer. It opens
// a connection if there is none. Without a deadline in ctx, it times out after 5 s. The
// deadline is sent with the request and applies to the handler too. Errors are of type
// *Error.
func (m *Mesh) Call(ctx context.Context, name, method string, body []byte) ([]byte, error) {
	fail := func(sent, remote bool, err error) ([]byte, error) {
		return nil, &Error{Peer: name, Method: method, Sent: sent, Remote: remote, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, m.remainingTime(ctx).Duration())
	defer cancel()
	l, err := m.connection(ctx, name)
	if err != nil {
		return fail(false, false, err)
	}
	id, answer, ok := l.addPendingCall()
	if !ok {
		return fail(false, false, ErrConnectionLost)
	}
	defer l.removePendingCall(id)
	f := frame{Kind: kindCall, ID: id, Method: method, Body: body, Timeout: int64(m.remainingTime(ctx))}
	if !l.send(kindCall, f) {
		return fail(false, false, ErrTooLarge)
	}
	select {
	case f, open := <-answer:
		switch {
		case !open:
			return fail(true, false, ErrConnectionLost)
		case f.Kind == kindError:
			return fail(true, true, errors.New(f.Text))
		}
		return f.Body, nil
	case <-ctx.Done():
		return fail(true, false, ctx.Err())
	}
}

// Broadcast sends a one-way request to every connected entry for which match returns
// true. Delivery is not guaranteed: the request is lost if the connection ends first.
func (m *Mesh) Broadcast(match func(Peer) bool, method string, body []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, l := range m.links {
		if v := m.members[name]; v != nil && match(v.Peer) {
			l.send(kindOneWay, frame{Kind: kindOneWay, Method: method, Body: body, Timeout: int64(defaultCallTimeout)})
		}
	}
}

// remainingTime returns the time until the deadline of ctx, at least 1 ms, or the default
// timeout if ctx has no deadline.
func (m *Mesh) remainingTime(ctx context.Context) clock.Millis {
	deadline, ok := ctx.Deadline()
	if !ok {
		return defaultCallTimeout
	}
	return max(clock.FromDuration(time.Until(deadline)), 1)
}

// connection returns the connection to the entry of the given name. It opens one if there
// is none. linkAndAddress returns nil and "" for what it does not find.
func (m *Mesh) connection(ctx context.Context, name string) (*link, error) {
	l, address := m.linkAndAddress(name)
	if l == nil && address == "" {
		return nil, ErrUnknownPeer
	}
	if l == nil {
		if err := m.dialPeer(ctx, address); err != nil && !errors.Is(err, errAlreadyConnected) {
			return nil, err
		}
		if l, _ = m.linkAndAddress(name); l == nil {
			return nil, ErrUnknownPeer
		}
	}
	return l, nil
}

func (m *Mesh) linkAndAddress(name string) (*link, string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.links[name]
	if l != nil {
		l.lastUsed = m.opts.Clock.Now()
	}
	if v := m.members[name]; v != nil {
		return l, v.Address
	}
	return l, ""
}

// addPendingCall registers a call and returns its ID and the channel on which its answer
// is delivered. It returns false if the connection is closed.
func (l *link) addPendingCall() (uint64, <-chan frame, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return 0, nil, false
	}
	l.lastCallID++
	answer := make(chan frame, 1)
	l.pending[l.lastCallID] = answer
	return l.lastCallID, answer, true
}

func (l *link) removePendingCall(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
}

// deliverAnswer passes an answer to the call that waits for it. Answers to calls that have
// already timed out are dropped.
func (l *link) deliverAnswer(f frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	answer, ok := l.pending[f.ID]
	if !ok {
		return
	}
	delete(l.pending, f.ID)
	answer <- f
}

// handleCall runs the handler of a request in a goroutine of its own and sends the answer.
// It answers with an error if the method is unknown or if maxConcurrentCalls requests of
// this connection are in progress.
func (l *link) handleCall(f frame) {
	m := l.mesh
	m.mu.Lock()
	handler := m.handlers[f.Method]
	m.mu.Unlock()
	if handler == nil {
		l.reply(f, nil, errUnknownMethod)
		return
	}
	select {
	case l.callSlots <- struct{}{}:
	default:
		l.reply(f, nil, errTooManyCalls)
		return
	}
	m.tasks.Go(func() {
		defer func() { <-l.callSlots }()
		ctx, cancel := context.WithTimeout(l.ctx, clock.Millis(f.Timeout).Duration())
		defer cancel()
		body, err := handler(ctx, l.name, f.Body)
		l.reply(f, body, err)
	})
}

func (l *link) reply(call frame, body []byte, err error) {
	if call.Kind == kindOneWay {
		return
	}
	f := frame{Kind: kindAnswer, ID: call.ID, Body: body}
	if err == nil && l.send(f.Kind, f) {
		return
	}
	if err == nil {
		err = ErrTooLarge
	}
	text := err.Error()
	f = frame{Kind: kindError, ID: call.ID, Text: text[:min(len(text), maxTextBytes)]}
	l.send(f.Kind, f)
}
