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
	// maxQueuedFrames is the number of unsent frames beyond which a connection counts as too
	// slow and is closed.
	maxQueuedFrames = 256
	// maxConcurrentCalls is the number of requests from one peer that are handled at a time.
	maxConcurrentCalls = 128
	writeTimeout       = 5 * clock.Second
	// replacedLinkGrace is the time in milliseconds before a connection that was replaced by
	// another to the same peer is closed, so that calls in progress can complete.
	replacedLinkGrace = 2 * clock.Second
)

// link is a connection to a peer.
type link struct {
	mesh *Mesh
	conn *websocket.Conn
	name string
	// dialed is true if this entry opened the connection, false if the peer did.
	dialed    bool
	ctx       context.Context
	cancel    context.CancelFunc
	queue     chan []byte
	callSlots chan struct{}
	once      sync.Once

	mu         sync.Mutex
	closed     bool
	lastCallID uint64
	pending    map[uint64]chan frame

	// The fields below are guarded by the mutex of the mesh.
	//
	// sentIncarnation maps the name of an entry to the incarnation for which its address
	// was already sent. seenVersions maps the name of an entry to the newest version of its
	// state that was sent or received over this connection.
	incarnation     uint64
	lastReceived    clock.Millis
	lastUsed        clock.Millis
	sentIncarnation map[string]uint64
	seenVersions    map[string]stateVersion
}

func newLink(m *Mesh, conn *websocket.Conn, dialed bool, hello frame) *link {
	ctx, cancel := context.WithCancel(m.ctx)
	now := m.opts.Clock.Now()
	return &link{
		mesh: m, conn: conn, name: hello.Method, dialed: dialed, ctx: ctx, cancel: cancel,
		queue: make(chan []byte, maxQueuedFrames), callSlots: make(chan struct{}, maxConcurrentCalls),
		pending: make(map[uint64]chan frame), incarnation: hello.States[0].Incarnation, lastReceived: now, lastUsed: now,
		sentIncarnation: map[string]uint64{m.opts.Name: m.Self().Incarnation}, seenVersions: make(map[string]stateVersion),
	}
}

// recordVersion records a version of an entry's state that both ends of the connection
// have, unless a newer one is recorded. The caller holds the mutex of the mesh.
func (l *link) recordVersion(name string, s stateVersion) {
	if s.newerThan(l.seenVersions[name]) {
		l.seenVersions[name] = s
	}
}

// run writes queued frames and handles received ones until the connection is closed. It
// closes the connection if nothing is received for three and a half heartbeat intervals.
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
	l.conn.SetReadLimit(maxFrameBytes)
	for {
		_ = l.conn.SetReadDeadline(time.Now().Add((maxMissedHeartbeats * m.opts.HeartbeatInterval).Duration() + (m.opts.HeartbeatInterval / 2).Duration()))
		f, size, err := readFrame(l.conn)
		if err != nil {
			l.close(dropReasonOf(err))
			return
		}
		m.meshMetrics.count(f.Kind, directionIn, size)
		l.handleFrame(f)
	}
}

// readFrame reads and decodes one frame and returns its size in bytes.
func readFrame(conn *websocket.Conn) (frame, int, error) {
	messageType, raw, err := conn.ReadMessage()
	if err != nil {
		return frame{}, 0, err
	}
	if messageType != websocket.BinaryMessage {
		return frame{}, len(raw), errMalformed
	}
	f, err := decode(raw)
	return f, len(raw), err
}

func dropReasonOf(err error) dropReason {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, errMalformed):
		return dropMalformed
	case errors.Is(err, websocket.ErrReadLimit):
		return dropTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		return dropSilent
	default:
		return dropLost
	}
}

// handleFrame processes a received frame.
func (l *link) handleFrame(f frame) {
	m := l.mesh
	m.mu.Lock()
	l.lastReceived = m.opts.Clock.Now()
	if v := m.members[l.name]; v != nil && v.Incarnation == l.incarnation && !v.gone {
		v.lastHeard, v.suspect = l.lastReceived, false
	}
	if f.Kind == kindCall || f.Kind == kindOneWay {
		l.lastUsed = l.lastReceived
	}
	m.mu.Unlock()
	switch f.Kind {
	case kindHeartbeat:
		m.mergeStates(l, f.States)
	case kindCall, kindOneWay:
		l.handleCall(f)
	case kindAnswer, kindError:
		l.deliverAnswer(f)
	case kindHello:
		l.close(dropMalformed)
	}
}

// mergeStates merges the states received in a hello or heartbeat frame. If a relevant
// field changed, or if this entry raised its own version to refute a state, it sends
// heartbeats to the connected peers at once, notifies the watchers and updates the
// connections.
func (m *Mesh) mergeStates(l *link, states []entryState) {
	var changed []Peer
	m.mu.Lock()
	before := m.self.stateVersion()
	for i, state := range states {
		if i == 0 {
			state.Name = l.name
			if state.Incarnation == 0 {
				state.Incarnation = l.incarnation
			}
			l.incarnation = state.Incarnation
		}
		if p, ok := m.mergeState(l, state); ok {
			changed = append(changed, p)
		}
	}
	anyChange := len(changed) > 0 || before != m.self.stateVersion()
	m.mu.Unlock()
	if anyChange {
		m.sendHeartbeats()
		m.notifyWatchers(changed)
		m.maintainConnections()
	}
}

// send queues a frame and reports whether it did. It closes the connection if the queue is
// full.
func (l *link) send(k frameKind, f frame) bool {
	raw, err := encoder.Marshal(f)
	if err != nil || len(raw) > maxFrameBytes {
		return false
	}
	if l.ctx.Err() != nil {
		return false
	}
	select {
	case l.queue <- raw:
		l.mesh.meshMetrics.count(k, directionOut, len(raw))
		return true
	default:
		go l.close(dropSlow)
		return false
	}
}

// close closes the connection and fails its pending calls with ErrConnectionLost. Further
// calls of close have no effect.
func (l *link) close(reason dropReason) {
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
		l.mesh.removeLink(l, reason)
	})
}

// removeLink removes a closed connection from the mesh. Unless the connection was replaced
// by another or was closed as idle, it marks the peer as suspect, or as gone if the peer had
// announced that it leaves.
func (m *Mesh) removeLink(l *link, reason dropReason) {
	m.meshMetrics.dropReasons[reason].Inc()
	m.mu.Lock()
	delete(m.openLinks, l)
	var lost []Peer
	if m.links[l.name] == l {
		delete(m.links, l.name)
		lost = m.markDisconnected(l, reason)
	}
	m.mu.Unlock()
	m.opts.Log.WithField("peer", l.name).WithField("reason", reason).Debug("peer: connection closed")
	m.notifyWatchers(lost)
	if len(lost) > 0 {
		m.sendHeartbeats()
	}
}

// markDisconnected updates the member whose connection was closed. A leaving member is
// marked as gone and returned for the watchers; any other is marked as suspect. It does
// nothing if the connection was closed as idle. The caller holds mu.
func (m *Mesh) markDisconnected(l *link, reason dropReason) []Peer {
	v := m.members[l.name]
	if v == nil || v.gone || v.Incarnation != l.incarnation || reason == dropIdle {
		return nil
	}
	if !v.Leaving {
		v.suspect = true
		return nil
	}
	v.gone, v.Leads = true, false
	return []Peer{m.peerForWatchers(v, m.opts.Clock.Now())}
}

// addLink adds a connection to the mesh, starts it and reports whether it did. It rejects a
// connection to this entry itself and one that is not preferred over the present connection
// to the same peer.
func (m *Mesh) addLink(l *link, hello frame) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return false
	}
	if l.name == m.self.Name {
		if l.incarnation != m.self.Incarnation {
			m.reportDuplicateName(hello.States[0].Address)
		}
		return false
	}
	old := m.links[l.name]
	if old != nil && !m.prefersNewLink(l, old) {
		return false
	}
	if old != nil {
		delete(m.openLinks, old)
		time.AfterFunc(replacedLinkGrace.Duration(), func() { old.close(dropReplaced) })
	}
	m.links[l.name] = l
	m.openLinks[l] = true
	m.tasks.Go(l.run)
	return true
}

// prefersNewLink reports whether l replaces old, a connection to the same peer. Both ends
// decide alike, so that they keep the same connection. The caller holds mu.
func (m *Mesh) prefersNewLink(l, old *link) bool {
	if l.incarnation != old.incarnation {
		return l.incarnation > old.incarnation
	}
	if m.opts.Clock.Now()-old.lastReceived > m.opts.HeartbeatInterval+m.opts.HeartbeatInterval/2 {
		return true
	}
	return l.dialed == (m.self.Name < l.name)
}
