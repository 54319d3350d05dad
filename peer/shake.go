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

// Path is where the mesh is served.
const Path = "/mesh"

const (
	nonceHeader = "Mesh-Nonce"
	// nameHeader tells who dials, for the logs of whatever stands between.
	nameHeader   = "Mesh-Name"
	shakeTimeout = 2 * clock.Second
	maxNonce     = 64 // bytes
)

var (
	errUnauthorized = errors.New("the peer has no valid proof of the shared secret")
	errDoubled      = errors.New("the peer is connected already")
)

// proof shows knowledge of the shared secret for one connection, side and name, so
// that it is of no use on another connection.
func (m *Mesh) proof(side, dialer, acceptor, name string) []byte {
	return []byte(m.opts.Tokens.Mint(token.Peer, label(side, dialer, acceptor, name)))
}

func (m *Mesh) proven(f frame, side, dialer, acceptor string) bool {
	got, ok := m.opts.Tokens.Check(token.Peer, string(f.Body))
	return ok && f.Kind == kindHello && f.Method != "" && got == label(side, dialer, acceptor, f.Method)
}

func label(side, dialer, acceptor, name string) string {
	return side + "/" + dialer + "/" + acceptor + "/" + name
}

func (m *Mesh) hello(side, dialer, acceptor string) frame {
	m.mu.Lock()
	v := m.selfNow()
	m.mu.Unlock()
	r := v.row()
	r.Name = ""
	return frame{Kind: kindHello, Method: v.Name, Body: m.proof(side, dialer, acceptor, v.Name), Rows: []row{r}}
}

// ServeHTTP takes a connection of another entry.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	dialer, acceptor := r.Header.Get(nonceHeader), rand.Text()
	if dialer == "" || len(dialer) > maxNonce {
		m.meter.drops[dropUnauthorized].Inc()
		http.Error(w, "this is the mesh of entries", http.StatusUnauthorized)
		return
	}
	up := websocket.Upgrader{HandshakeTimeout: shakeTimeout.Duration()}
	conn, err := up.Upgrade(w, r, http.Header{nonceHeader: {acceptor}})
	if err != nil {
		return
	}
	conn.SetReadLimit(maxHello)
	_ = conn.SetReadDeadline(time.Now().Add(shakeTimeout.Duration()))
	_ = conn.SetWriteDeadline(time.Now().Add(shakeTimeout.Duration()))
	f, size, err := read(conn)
	if err != nil || !m.proven(f, "dial", dialer, acceptor) {
		m.refuse(conn, err)
		return
	}
	m.meter.count(kindHello, in, size)
	if err := m.say(conn, m.hello("accept", dialer, acceptor)); err != nil {
		_ = conn.Close()
		return
	}
	_ = m.begin(newLink(m, conn, false, f), f)
}

// refuse closes a connection that did not prove itself.
func (m *Mesh) refuse(conn *websocket.Conn, err error) {
	reason := dropUnauthorized
	if err != nil {
		reason = dropOf(err)
	}
	m.meter.drops[reason].Inc()
	m.opts.Log.WithField("reason", reason).WithField("address", conn.RemoteAddr().String()).Warn("peer: connection refused")
	_ = conn.Close()
}

func (m *Mesh) say(conn *websocket.Conn, f frame) error {
	raw, err := encoder.Marshal(f)
	if err != nil {
		return err
	}
	m.meter.count(f.Kind, out, len(raw))
	return conn.WriteMessage(websocket.BinaryMessage, raw)
}

// begin puts a connection into use and tells the peer all that is known.
func (m *Mesh) begin(l *link, hello frame) error {
	if !m.adopt(l, hello) {
		reason := dropReplaced
		if l.name == m.opts.Name {
			reason = dropSelf
		}
		l.close(reason)
		return errDoubled
	}
	m.learn(l, hello.Rows)
	m.mu.Lock()
	l.send(kindBeat, frame{Kind: kindBeat, Rows: m.news(l)})
	m.mu.Unlock()
	return nil
}

// join opens a connection to the entry at an address.
func (m *Mesh) join(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, shakeTimeout.Duration())
	defer cancel()
	dialer := rand.Text()
	d := websocket.Dialer{HandshakeTimeout: shakeTimeout.Duration()}
	conn, resp, err := d.DialContext(ctx, "ws://"+address+Path, http.Header{nonceHeader: {dialer}, nameHeader: {m.opts.Name}})
	if resp != nil {
		defer func() { _ = resp.Body.Close() }()
	}
	if err != nil {
		return err
	}
	acceptor := resp.Header.Get(nonceHeader)
	conn.SetReadLimit(maxHello)
	_ = conn.SetReadDeadline(time.Now().Add(shakeTimeout.Duration()))
	_ = conn.SetWriteDeadline(time.Now().Add(shakeTimeout.Duration()))
	if err := m.say(conn, m.hello("dial", dialer, acceptor)); err != nil {
		_ = conn.Close()
		return err
	}
	f, size, err := read(conn)
	if err != nil {
		_ = conn.Close()
		return err
	}
	if !m.proven(f, "accept", dialer, acceptor) {
		m.refuse(conn, nil)
		return errUnauthorized
	}
	m.meter.count(kindHello, in, size)
	return m.begin(newLink(m, conn, true, f), f)
}
