package peer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/chestnutsail/chestnutsail/clock"
)

const defaultCall = 5 * clock.Second

// Causes of failed calls.
var (
	// ErrNoPeer means that no entry of the name is known.
	ErrNoPeer = errors.New("no such peer")
	// ErrLost means that the connection ended before the answer came.
	ErrLost = errors.New("connection lost")
	// ErrTooLarge means that the call does not fit into a frame.
	ErrTooLarge = errors.New("larger than a frame")

	errBusy   = errors.New("too many calls at a time")
	errMethod = errors.New("no such method")
)

// Error tells which call to which entry failed.
type Error struct {
	Peer   string
	Method string
	// Sent is false when the call certainly never reached the entry.
	Sent bool
	// Remote tells that the entry answered, with an error of its own in Err.
	Remote bool
	Err    error
}

// Error formats the call, the entry and the cause.
func (e *Error) Error() string { return fmt.Sprintf("peer: %s at %s: %v", e.Method, e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Call asks the entry of the given name and waits for its answer, at most 5 s if ctx
// has no deadline. The deadline is carried along. Failures are *Error.
func (m *Mesh) Call(ctx context.Context, name, method string, in []byte) ([]byte, error) {
	fail := func(sent, remote bool, err error) ([]byte, error) {
		return nil, &Error{Peer: name, Method: method, Sent: sent, Remote: remote, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, m.timeout(ctx).Duration())
	defer cancel()
	l, err := m.reach(ctx, name)
	if err != nil {
		return fail(false, false, err)
	}
	id, answer, ok := l.expect()
	if !ok {
		return fail(false, false, ErrLost)
	}
	defer l.forget(id)
	f := frame{Kind: kindCall, ID: id, Method: method, Body: in, Timeout: int64(m.timeout(ctx))}
	if !l.send(kindCall, f) {
		return fail(false, false, ErrTooLarge)
	}
	select {
	case f, open := <-answer:
		switch {
		case !open:
			return fail(true, false, ErrLost)
		case f.Kind == kindFault:
			return fail(true, true, errors.New(f.Text))
		}
		return f.Body, nil
	case <-ctx.Done():
		return fail(true, false, ctx.Err())
	}
}

// Cast tells every connected entry that match accepts, without waiting for answers.
// It is lost with the connections it travels on.
func (m *Mesh) Cast(match func(Peer) bool, method string, in []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, l := range m.links {
		if v := m.members[name]; v != nil && match(v.Peer) {
			l.send(kindCast, frame{Kind: kindCast, Method: method, Body: in, Timeout: int64(defaultCall)})
		}
	}
}

// timeout returns what is left of the call's time, at least 1 ms.
func (m *Mesh) timeout(ctx context.Context) clock.Millis {
	deadline, ok := ctx.Deadline()
	if !ok {
		return defaultCall
	}
	return max(clock.FromDuration(time.Until(deadline)), 1)
}

// reach returns the connection to an entry and opens one if there is none.
func (m *Mesh) reach(ctx context.Context, name string) (*link, error) {
	l, address := m.find(name)
	if l == nil && address == "" {
		return nil, ErrNoPeer
	}
	if l == nil {
		if err := m.join(ctx, address); err != nil && !errors.Is(err, errDoubled) {
			return nil, err
		}
		if l, _ = m.find(name); l == nil {
			return nil, ErrNoPeer
		}
	}
	return l, nil
}

func (m *Mesh) find(name string) (*link, string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.links[name]
	if l != nil {
		l.used = m.opts.Clock.Now()
	}
	if v := m.members[name]; v != nil {
		return l, v.Address
	}
	return l, ""
}

// expect prepares for the answer to one call.
func (l *link) expect() (uint64, <-chan frame, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return 0, nil, false
	}
	l.last++
	answer := make(chan frame, 1)
	l.pending[l.last] = answer
	return l.last, answer, true
}

func (l *link) forget(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
}

// settle hands an answer to the call that waits for it. Late answers are dropped.
func (l *link) settle(f frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	answer, ok := l.pending[f.ID]
	if !ok {
		return
	}
	delete(l.pending, f.ID)
	answer <- f
}

// serve answers one call.
func (l *link) serve(f frame) {
	m := l.mesh
	m.mu.Lock()
	handler := m.handlers[f.Method]
	m.mu.Unlock()
	if handler == nil {
		l.reply(f, nil, errMethod)
		return
	}
	select {
	case l.slots <- struct{}{}:
	default:
		l.reply(f, nil, errBusy)
		return
	}
	m.tasks.Go(func() {
		defer func() { <-l.slots }()
		ctx, cancel := context.WithTimeout(l.ctx, clock.Millis(f.Timeout).Duration())
		defer cancel()
		body, err := handler(ctx, l.name, f.Body)
		l.reply(f, body, err)
	})
}

func (l *link) reply(call frame, body []byte, err error) {
	if call.Kind == kindCast {
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
	f = frame{Kind: kindFault, ID: call.ID, Text: text[:min(len(text), maxText)]}
	l.send(f.Kind, f)
}
