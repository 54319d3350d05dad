package overload_test

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/platform/platformtest"
	"github.com/chestnutsail/chestnutsail/suite"
	"github.com/chestnutsail/chestnutsail/witness"
)

func TestOverload(t *testing.T) { suite.Run(t, "overload") }

const (
	// maxBody is the largest body in bytes that the configuration allows.
	maxBody = 1 << 18
	// wholeEvery is the number of clients of which one sends its message to the end. The others stop one
	// byte short of it.
	wholeEvery = 8
	// writeTimeout bounds one write of a client whose connection the instance does not read.
	writeTimeout = 3 * time.Second
)

// crowd is a number of clients that each open a connection, send the same message and stay.
type crowd struct {
	clients int
	message string
	// piece is the number of bytes that a client sends at a time; 0 means all.
	piece int
	// whole is set if each client sends its message to the end.
	whole bool
}

// join opens the connections of the crowd and returns when all clients have sent what they send, or what
// the instance let them send. The connections stay open until the end of the test.
func (c crowd) join(address string) {
	GinkgoHelper()
	var clients sync.WaitGroup
	for n := range c.clients {
		conn, err := net.DialTimeout("tcp", address, hangTimeout)
		if err != nil {
			// The instance may refuse the connection.
			continue
		}
		DeferCleanup(func() { _ = conn.Close() })
		message := []byte(c.message)
		if !c.whole && n%wholeEvery != 0 {
			message = message[:len(message)-1]
		}
		clients.Go(func() { c.send(conn, message) })
	}
	clients.Wait()
}

func (c crowd) send(conn net.Conn, message []byte) {
	size := len(message)
	if c.piece > 0 {
		size = c.piece
	}
	for len(message) > 0 {
		n := min(size, len(message))
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := conn.Write(message[:n]); err != nil {
			return
		}
		message = message[n:]
		if len(message) > 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

// path is that of a job in the queue.
const path = "/q/5c0e7a21d94b36f9"

// head returns the head of a submission at a path, without its end.
func head(path string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: " + platformtest.Host + "\r\nContent-Type: application/json\r\n"
}

// payload returns a job of the largest size that is allowed.
func payload() string {
	const start, end = `{"spec":"`, `","steps":[{"count":1}]}`
	return start + strings.Repeat("a", maxBody-len(start)-len(end)) + end
}

// largeJob returns a valid job of the largest size that is allowed.
func largeJob() string {
	const job = `{"spec":"ms=1","steps":[{"count":1}]}`
	return job + strings.Repeat(" ", maxBody-len(job))
}

// manySteps returns a body of the largest size that is allowed with as many steps as it can hold.
func manySteps() string {
	const start, end = `{"spec":"a","steps":[{}`, `]}`
	body := start + strings.Repeat(`,{}`, (maxBody-len(start)-len(end))/3)
	return body + end
}

func withLength(path, body string) string {
	return head(path) + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
}

func inChunks(body string, size int) string {
	var b bytes.Buffer
	b.WriteString(head(path) + "Transfer-Encoding: chunked\r\n\r\n")
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	b.WriteString("0\r\n\r\n")
	return b.String()
}

// lines returns header fields with distinct names.
func lines() string {
	const size = 200 << 10
	var b strings.Builder
	for n := 0; b.Len() < size; n++ {
		fmt.Fprintf(&b, "x%x:\r\n", n)
	}
	return b.String()
}

var (
	callers = func(i *instance) string { return i.settings.Callers }
	health  = func(i *instance) string { return i.settings.Ready }
)

var _ = Describe("an instance under overload", Serial, func() {
	DescribeTable("stays within its limits and serves others", func(address func(*instance) string, c crowd) {
		i := startInstance()
		c.join(address(i))
		i.expectSound()
	},
		Entry("beside heads over the limit", callers, crowd{clients: 120, message: head(path) + "A: " + strings.Repeat("a", 2<<20) + "\r\n\r\n", whole: true}),
		Entry("beside heads with a line without end", callers, crowd{clients: 120, message: head(path) + "A: " + strings.Repeat("a", 1000<<10), piece: 64 << 10, whole: true}),
		Entry("beside heads with lines without end", callers, crowd{clients: 60, message: head(path) + lines(), piece: 32 << 10, whole: true}),
		Entry("beside empty lines without end before a request", callers, crowd{clients: 120, message: strings.Repeat("\r\n", 512<<10), piece: 64 << 10, whole: true}),
		Entry("beside empty lines without end after a request", callers, crowd{clients: 120, message: "POST /q/ HTTP/1.1\r\nHost: " + platformtest.Host + "\r\nContent-Length: 0\r\n\r\n" + strings.Repeat("\r\n", 512<<10), piece: 64 << 10, whole: true}),
		Entry("beside large bodies sent whole", callers, crowd{clients: 160, message: withLength(path, payload())}),
		Entry("beside large bodies sent piece by piece", callers, crowd{clients: 160, message: withLength(path, payload()), piece: 8 << 10}),
		Entry("beside large bodies of many steps", callers, crowd{clients: 40, message: withLength(path, manySteps()), whole: true}),
		Entry("beside bodies in large chunks", callers, crowd{clients: 160, message: inChunks(payload(), 32<<10)}),
		Entry("beside bodies in large chunks, piece by piece", callers, crowd{clients: 160, message: inChunks(payload(), 32<<10), piece: 8 << 10}),
		Entry("beside bodies in chunks of one byte", callers, crowd{clients: 160, message: inChunks(payload(), 1)}),
		Entry("beside more connections than it has descriptors for", callers, crowd{clients: 300, message: "POST /q/", whole: true}),
		Entry("beside bodies for other instances' port", (*instance).peers, crowd{clients: 160, message: withLength("/calls"+path, payload())}),
		Entry("beside bodies for the witness", (*instance).peers, crowd{clients: 160, message: withLength(witness.Path, payload())}),
		Entry("beside heads without end at other instances' port", (*instance).peers, crowd{clients: 60, message: head(path) + lines(), whole: true}),
		Entry("beside heads without end at the port of the health check", health, crowd{clients: 120, message: head(path) + lines(), whole: true}),
		Entry("beside more connections to the health check than it has descriptors for", health, crowd{clients: 300, message: "GET /", whole: true}),
		Entry("beside heads without end at the port for metrics", (*instance).metrics, crowd{clients: 60, message: head(path) + lines(), whole: true}),
	)

	DescribeTable("takes a request of the largest size", func(request string, c crowd) {
		i := startInstance()
		c.join(i.settings.Callers)
		Eventually(func() string { return i.statusLine(request) }, hangTimeout).Should(HavePrefix("HTTP/1.1 200 "))
		i.expectSound()
	},
		Entry("in calm", withLength(path, largeJob()), crowd{}),
		Entry("in calm, in chunks", inChunks(largeJob(), 1000), crowd{}),
		Entry("beside bodies that stop short of their end", withLength(path, largeJob()), crowd{clients: 160, message: withLength(path, payload())}),
	)
})
