package peer

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"time"

	"github.com/gorilla/websocket"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/token"
)

// Path is the HTTP path under which the mesh is served.
const Path = "/mesh"

const (
	nonceHeader = "Mesh-Nonce"
	// nameHeader holds the name of the dialing entry, for the logs of proxies in between.
	nameHeader       = "Mesh-Name"
	handshakeTimeout = 2 * clock.Second
	maxNonceBytes    = 64 // bytes
)

var (
	errUnauthorized     = errors.New("the peer has no valid proof of the shared secret")
	errAlreadyConnected = errors.New("already connected to the peer")
)

// proof returns a token that proves knowledge of the shared secret. It is bound to the
// side ("dial" or "accept"), to the nonces of both sides and to the sender's name, so that
// it can't be replayed on another connection.
func (m *Mesh) proof(side, dialerNonce, acceptorNonce, name string) []byte {
	return []byte(m.opts.Tokens.Mint(token.Peer, proofLabel(side, dialerNonce, acceptorNonce, name)))
}

func (m *Mesh) verifyProof(f frame, side, dialerNonce, acceptorNonce string) bool {
	got, ok := m.opts.Tokens.Check(token.Peer, string(f.Body))
	return ok && f.Kind == kindHello && f.Method != "" && got == proofLabel(side, dialerNonce, acceptorNonce, f.Method)
}

func proofLabel(side, dialerNonce, acceptorNonce, name string) string {
	return side + "/" + dialerNonce + "/" + acceptorNonce + "/" + name
}

func (m *Mesh) newHello(side, dialerNonce, acceptorNonce string) frame {
	m.mu.Lock()
	v := m.selfWithLoad()
	m.mu.Unlock()
	state := v.entryState()
	state.Name = ""
	return frame{Kind: kindHello, Method: v.Name, Body: m.proof(side, dialerNonce, acceptorNonce, v.Name), States: []entryState{state}}
}

// ServeHTTP accepts a connection from another entry. Its first frame has to be a hello with
// a valid proof; otherwise the connection is closed.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	dialerNonce, acceptorNonce := r.Header.Get(nonceHeader), rand.Text()
	if dialerNonce == "" || len(dialerNonce) > maxNonceBytes {
		m.meshMetrics.dropReasons[dropUnauthorized].Inc()
		http.Error(w, "this is the mesh of entries", http.StatusUnauthorized)
		return
	}
	upgrader := websocket.Upgrader{HandshakeTimeout: handshakeTimeout.Duration()}
	conn, err := upgrader.Upgrade(w, r, http.Header{nonceHeader: {acceptorNonce}})
	if err != nil {
		return
	}
	conn.SetReadLimit(maxHelloBytes)
	_ = conn.SetReadDeadline(time.Now().Add(handshakeTimeout.Duration()))
	_ = conn.SetWriteDeadline(time.Now().Add(handshakeTimeout.Duration()))
	f, size, err := readFrame(conn)
	if err != nil || !m.verifyProof(f, "dial", dialerNonce, acceptorNonce) {
		m.refuse(conn, err)
		return
	}
	m.meshMetrics.count(kindHello, directionIn, size)
	if err := m.writeFrame(conn, m.newHello("accept", dialerNonce, acceptorNonce)); err != nil {
		_ = conn.Close()
		return
	}
	_ = m.startLink(newLink(m, conn, false, f), f)
}

// refuse counts, logs and closes a connection whose handshake failed.
func (m *Mesh) refuse(conn *websocket.Conn, err error) {
	reason := dropUnauthorized
	if err != nil {
		reason = dropReasonOf(err)
	}
	m.meshMetrics.dropReasons[reason].Inc()
	m.opts.Log.WithField("reason", reason).WithField("address", conn.RemoteAddr().String()).Warn("peer: connection refused")
	_ = conn.Close()
}

func (m *Mesh) writeFrame(conn *websocket.Conn, f frame) error {
	raw, err := encoder.Marshal(f)
	if err != nil {
		return err
	}
	m.meshMetrics.count(f.Kind, directionOut, len(raw))
	return conn.WriteMessage(websocket.BinaryMessage, raw)
}

// startLink adds a connection to the mesh after its handshake and sends the peer the
// known states. It closes the connection and returns errAlreadyConnected if it is not kept.
func (m *Mesh) startLink(l *link, hello frame) error {
	if !m.addLink(l, hello) {
		reason := dropReplaced
		if l.name == m.opts.Name {
			reason = dropSelf
		}
		l.close(reason)
		return errAlreadyConnected
	}
	m.mergeStates(l, hello.States)
	m.mu.Lock()
	l.send(kindHeartbeat, frame{Kind: kindHeartbeat, States: m.unsentStates(l)})
	m.mu.Unlock()
	return nil
}

// dialPeer connects to the entry at the given address and performs the handshake.
func (m *Mesh) dialPeer(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout.Duration())
	defer cancel()
	dialerNonce := rand.Text()
	dialer := websocket.Dialer{HandshakeTimeout: handshakeTimeout.Duration()}
	conn, resp, err := dialer.DialContext(ctx, "ws://"+address+Path, http.Header{nonceHeader: {dialerNonce}, nameHeader: {m.opts.Name}})
	if resp != nil {
		defer func() { _ = resp.Body.Close() }()
	}
	if err != nil {
		return err
	}
	acceptorNonce := resp.Header.Get(nonceHeader)
	conn.SetReadLimit(maxHelloBytes)
	_ = conn.SetReadDeadline(time.Now().Add(handshakeTimeout.Duration()))
	_ = conn.SetWriteDeadline(time.Now().Add(handshakeTimeout.Duration()))
	if err := m.writeFrame(conn, m.newHello("dial", dialerNonce, acceptorNonce)); err != nil {
		_ = conn.Close()
		return err
	}
	f, size, err := readFrame(conn)
	if err != nil {
		_ = conn.Close()
		return err
	}
	if !m.verifyProof(f, "accept", dialerNonce, acceptorNonce) {
		m.refuse(conn, nil)
		return errUnauthorized
	}
	m.meshMetrics.count(kindHello, directionIn, size)
	return m.startLink(newLink(m, conn, true, f), f)
}
