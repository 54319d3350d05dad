package peer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gorilla/websocket"

	"github.com/chestnutsail/chestnutsail/clock"
)

const (
	// sendQueue is the number of frames that wait for a slow connection before it is closed.
	sendQueue = 256
	// maxCalls is the number of calls of one peer that are answered at a time.
	maxCalls     = 128
	writeTimeout = 5 * clock.Second
	// replacedGrace lets calls on a doubled connection end, in milliseconds.
	replacedGrace = 2 * clock.Second
)

// link is one open connection to a peer.
type link struct {
	mesh *Mesh
	conn *websocket.Conn
	name string
	// dialed tells that this entry opened the connection.
	dialed bool
	ctx    context.Context
	cancel context.CancelFunc
	queue  chan []byte
	slots  chan struct{}
	once   sync.Once

	mu      sync.Mutex
	closed  bool
	last    uint64
	pending map[uint64]chan frame

	// The fields below belong to the mesh and are guarded by its mutex.
	incarnation uint64
	heard       clock.Millis
	used        clock.Millis
	told        map[string]uint64
	seen        map[string]stamp
}

func newLink(m *Mesh, conn *websocket.Conn, dialed bool, hello frame) *link {
	ctx, cancel := context.WithCancel(m.ctx)
	now := m.opts.Clock.Now()
	return &link{
		mesh: m, conn: conn, name: hello.Method, dialed: dialed, ctx: ctx, cancel: cancel,
		queue: make(chan []byte, sendQueue), slots: make(chan struct{}, maxCalls),
		pending: make(map[uint64]chan frame), incarnation: hello.Rows[0].Incarnation, heard: now, used: now,
		told: map[string]uint64{m.opts.Name: m.Self().Incarnation}, seen: make(map[string]stamp),
	}
}

// saw notes the newest state of an entry that both ends know of. The caller holds
// the mesh's mutex.
func (l *link) saw(name string, s stamp) {
	if s.after(l.seen[name]) {
		l.seen[name] = s
	}
}

// run carries frames until the connection ends.
func (l *link) run() {
	m := l.mesh
	m.tasks.Go(func() {
		for {
			select {
			case <-l.ctx.Done():
				return
			case raw := <-l.queue:
				_ = l.conn.SetWriteDeadline(time.Now().Add(writeTimeout.Duration()))
				if err := l.conn.WriteMessage(websocket.BinaryMessage, raw); err != nil {
					l.close(dropLost)
					return
				}
			}
		}
	})
	l.conn.SetReadLimit(maxFrame)
	for {
		_ = l.conn.SetReadDeadline(time.Now().Add((missedBeats * m.opts.Beat).Duration() + (m.opts.Beat / 2).Duration()))
		f, size, err := read(l.conn)
		if err != nil {
			l.close(dropOf(err))
			return
		}
		m.meter.count(f.Kind, in, size)
		l.take(f)
	}
}

// read reads and decodes one frame.
func read(conn *websocket.Conn) (frame, int, error) {
	form, raw, err := conn.ReadMessage()
	if err != nil {
		return frame{}, 0, err
	}
	if form != websocket.BinaryMessage {
		return frame{}, len(raw), errFrame
	}
	f, err := decode(raw)
	return f, len(raw), err
}

func dropOf(err error) drop {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, errFrame):
		return dropMalformed
	case errors.Is(err, websocket.ErrReadLimit):
		return dropTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		return dropSilent
	default:
		return dropLost
	}
}

// take acts on one frame.
func (l *link) take(f frame) {
	m := l.mesh
	m.mu.Lock()
	l.heard = m.opts.Clock.Now()
	if v := m.members[l.name]; v != nil && v.Incarnation == l.incarnation && !v.gone {
		v.heard, v.suspect = l.heard, false
	}
	if f.Kind == kindCall || f.Kind == kindCast {
		l.used = l.heard
	}
	m.mu.Unlock()
	switch f.Kind {
	case kindBeat:
		m.learn(l, f.Rows)
	case kindCall, kindCast:
		l.serve(f)
	case kindAnswer, kindFault:
		l.settle(f)
	case kindHello:
		l.close(dropMalformed)
	}
}

// learn takes in the rows of a heartbeat and passes on at once what matters.
func (m *Mesh) learn(l *link, rows []row) {
	var changed []Peer
	m.mu.Lock()
	before := m.self.stamp()
	for i, r := range rows {
		if i == 0 {
			r.Name = l.name
			if r.Incarnation == 0 {
				r.Incarnation = l.incarnation
			}
			l.incarnation = r.Incarnation
		}
		if p, ok := m.merge(l, r); ok {
			changed = append(changed, p)
		}
	}
	news := len(changed) > 0 || before != m.self.stamp()
	m.mu.Unlock()
	if news {
		m.flush()
		m.notify(changed)
		m.connect()
	}
}

// send queues a frame. A connection whose queue is full is closed.
func (l *link) send(k kind, f frame) bool {
	raw, err := encoder.Marshal(f)
	if err != nil || len(raw) > maxFrame {
		return false
	}
	if l.ctx.Err() != nil {
		return false
	}
	select {
	case l.queue <- raw:
		l.mesh.meter.count(k, out, len(raw))
		return true
	default:
		go l.close(dropSlow)
		return false
	}
}

// close ends the connection once and fails the calls that wait on it.
func (l *link) close(reason drop) {
	l.once.Do(func() {
		l.cancel()
		_ = l.conn.Close()
		l.mu.Lock()
		l.closed = true
		for id, answer := range l.pending {
			close(answer)
			delete(l.pending, id)
		}
		l.mu.Unlock()
		l.mesh.closed(l, reason)
	})
}

// closed forgets a connection that has ended.
func (m *Mesh) closed(l *link, reason drop) {
	m.meter.drops[reason].Inc()
	m.mu.Lock()
	delete(m.open, l)
	var lost []Peer
	if m.links[l.name] == l {
		delete(m.links, l.name)
		lost = m.unlink(l, reason)
	}
	m.mu.Unlock()
	m.opts.Log.WithField("peer", l.name).WithField("reason", reason).Debug("peer: connection closed")
	m.notify(lost)
	if len(lost) > 0 {
		m.flush()
	}
}

// unlink notes that the peer is no longer connected and returns it if it has left.
// The caller holds mu.
func (m *Mesh) unlink(l *link, reason drop) []Peer {
	v := m.members[l.name]
	if v == nil || v.gone || v.Incarnation != l.incarnation || reason == dropIdle {
		return nil
	}
	if !v.Leaving {
		v.suspect = true
		return nil
	}
	v.gone, v.Leads = true, false
	return []Peer{m.told(v, m.opts.Clock.Now())}
}

// adopt puts a new connection into use and reports whether it did.
func (m *Mesh) adopt(l *link, hello frame) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return false
	}
	if l.name == m.self.Name {
		if l.incarnation != m.self.Incarnation {
			m.duplicate(hello.Rows[0].Address)
		}
		return false
	}
	old := m.links[l.name]
	if old != nil && !m.prefers(l, old) {
		return false
	}
	if old != nil {
		delete(m.open, old)
		time.AfterFunc(replacedGrace.Duration(), func() { old.close(dropReplaced) })
	}
	m.links[l.name] = l
	m.open[l] = true
	m.tasks.Go(l.run)
	return true
}

// prefers tells which of two connections to the same peer is kept. Both ends come to
// the same answer. The caller holds mu.
func (m *Mesh) prefers(l, old *link) bool {
	if l.incarnation != old.incarnation {
		return l.incarnation > old.incarnation
	}
	if m.opts.Clock.Now()-old.heard > m.opts.Beat+m.opts.Beat/2 {
		return true
	}
	return l.dialed == (m.self.Name < l.name)
}
