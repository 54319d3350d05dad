package soak

import (
	"fmt"
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
	// modeClose ends all connections in an orderly way, with a FIN in both directions, and refuses
	// new ones. It stands behind modeCount, so that the faults of earlier seeds stay what they were.
	modeClose
)

const (
	// slowDelay is the delay of each chunk of data in modeSlow.
	slowDelay = 120 * time.Millisecond
	// listenAttempts is the number of attempts to listen again at an address, listenPause apart.
	listenAttempts = 20
	listenPause    = 50 * time.Millisecond
)

// proxy listens on a loopback address and forwards TCP connections to a target address.
type proxy struct {
	port *reservation

	mu       sync.Mutex
	listener net.Listener
	target   string
	mode     mode
	conns    map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	port, err := reserve()
	if err != nil {
		return nil, err
	}
	p := &proxy{port: port, target: target, conns: make(map[net.Conn]bool)}
	if err := p.listen(); err != nil {
		port.release()
		return nil, err
	}
	return p, nil
}

func (p *proxy) address() string { return p.port.address() }

// setTarget changes the address to which new connections are forwarded.
func (p *proxy) setTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// setMode changes the mode. With modeReset and modeClose it closes all open connections. After
// modeClose it listens again at the same address, and fails if that is taken.
func (p *proxy) setMode(m mode) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == m {
		return nil
	}
	wasClosed := p.mode == modeClose
	p.mode = m
	switch m {
	case modeReset:
		p.closeConns()
	case modeClose:
		_ = p.listener.Close()
		for c := range p.conns {
			_ = c.(*net.TCPConn).CloseWrite()
		}
	}
	if wasClosed {
		return p.listen()
	}
	return nil
}

// listen starts a listener. The caller holds the lock.
func (p *proxy) listen() error {
	var err error
	for range listenAttempts {
		var listener net.Listener
		if listener, err = net.Listen("tcp", p.address()); err == nil {
			p.listener = listener
			go p.accept(listener)
			return nil
		}
		time.Sleep(listenPause)
	}
	return fmt.Errorf("soak: proxy can't listen: %w", err)
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
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	p.port.release()
	p.closeConns()
}

func (p *proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
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
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	upstream, err := net.Dial("tcp", target)
	if err != nil {
		_ = conn.Close()
		return
	}
	p.mu.Lock()
	if p.mode == modeClose {
		p.mu.Unlock()
		_ = conn.Close()
		_ = upstream.Close()
		return
	}
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
		case m == modeBlackhole, m == modeClose, m == modeDropAnswers && isAnswer:
			// The connection stays silent after the mode changes, because the data that it
			// lost can't be restored. In modeClose, data that stays unread would turn the
			// orderly end into a reset.
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
