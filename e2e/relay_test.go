package e2e_test

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// network forwards TCP connections between processes and can be cut between any two of
// them. While it is cut, it holds data back and keeps connections open, as happens when
// packets are lost.
type network struct {
	mu   sync.Mutex
	cuts map[[2]string]bool
}

// cut holds back all data between the processes a and b, in both directions, until
// removeCuts is called.
func (n *network) cut(a, b string) { n.setCut(a, b, true) }

func (n *network) removeCuts() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts = make(map[[2]string]bool)
}

func (n *network) setCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{a, b}], n.cuts[[2]string{b, a}] = cut, cut
}

func (n *network) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]string{a, b}]
}

// relay returns an address that forwards connections from the process named from to the
// process named to, which listens on target. If from is empty, the name of the connecting
// process is read from the Mesh-Name header of its first request.
func (n *network) relay(from, to, target string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go n.forward(conn, from, to, target)
		}
	}()
	return l.Addr().String()
}

func (n *network) forward(conn net.Conn, from, to, target string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var head []byte
	if from == "" {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		from = req.Header.Get("Mesh-Name")
		var out bytes.Buffer
		_ = req.Write(&out)
		head = out.Bytes()
	}
	for n.isCut(from, to) {
		time.Sleep(10 * time.Millisecond)
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer server.Close()
	if _, err := server.Write(head); err != nil {
		return
	}
	done := make(chan struct{}, 2)
	copyData := func(dst net.Conn, src interface{ Read([]byte) (int, error) }) {
		defer func() { done <- struct{}{} }()
		buffer := make([]byte, 32<<10)
		for {
			size, err := src.Read(buffer)
			for n.isCut(from, to) {
				time.Sleep(10 * time.Millisecond)
			}
			if err != nil {
				return
			}
			if _, err := dst.Write(buffer[:size]); err != nil {
				return
			}
		}
	}
	go copyData(server, reader)
	go copyData(conn, server)
	<-done
}
