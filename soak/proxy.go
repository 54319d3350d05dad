package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode tells what a proxy does with connections and their data.
type mode int

const (
	modeForward mode = iota
	// modeSlow delays every chunk of data by slowDelay.
	modeSlow
	// modeReset closes all connections, and each new connection at once.
	modeReset
	// modeBlackhole keeps connections open and discards all data.
	modeBlackhole
	// modeDropAnswers forwards requests and discards the answers.
	modeDropAnswers
	modeCount
)

// slowDelay is the delay of each chunk of data in modeSlow.
const slowDelay = 120 * time.Millisecond

// proxy listens on a loopback address and forwards TCP connections to a target address.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setMode changes the mode. With modeReset it closes all open connections.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == modeReset {
		p.closeConns()
	}
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) closeConns() {
	for c := range p.conns {
		_ = c.Close()
	}
	clear(p.conns)
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeConns()
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == modeReset {
			_ = conn.Close()
			continue
		}
		go p.serve(conn)
	}
}

func (p *proxy) serve(conn net.Conn) {
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	p.mu.Lock()
	p.conns[conn], p.conns[upstream] = true, true
	p.mu.Unlock()
	go p.copyData(upstream, conn, false)
	p.copyData(conn, upstream, true)
	p.mu.Lock()
	delete(p.conns, conn)
	delete(p.conns, upstream)
	p.mu.Unlock()
	_ = conn.Close()
	_ = upstream.Close()
}

// copyData copies data in one direction of a connection according to the current mode.
// isAnswer is true for the direction from the target to the client.
func (p *proxy) copyData(dst io.Writer, src io.Reader, isAnswer bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := src.Read(buffer)
		m := p.currentMode()
		switch {
		case m == modeSlow:
			time.Sleep(slowDelay)
		case m == modeBlackhole, m == modeDropAnswers && isAnswer:
			// The connection stays silent after the mode changes, because the data that it
			// lost can't be restored.
			_, _ = io.Copy(io.Discard, src)
			return
		}
		if n > 0 {
			if _, writeErr := dst.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
