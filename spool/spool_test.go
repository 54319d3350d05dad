package spool_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/spool"
	"github.com/chestnutsail/chestnutsail/suite"
)

func TestSpool(t *testing.T) { suite.Run(t, "spool") }

// fullPipe takes at most takes bytes of a write and then has no room for every second one. The first
// breaks writes end with an error that no later try mends.
type fullPipe struct {
	mu     sync.Mutex
	buffer bytes.Buffer
	takes  int
	breaks int
	writes atomic.Int32
	full   bool
}

func (p *fullPipe) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.writes.Add(1)
	if p.breaks > 0 {
		p.breaks--
		n, _ := p.buffer.Write(b[:min(p.takes, len(b))])
		p.takes = len(b) * 100
		return n, syscall.EIO
	}
	if p.full = !p.full; !p.full {
		return 0, syscall.EAGAIN
	}
	n, _ := p.buffer.Write(b[:min(p.takes, len(b))])
	if n < len(b) {
		return n, syscall.EAGAIN
	}
	return n, nil
}

func (p *fullPipe) String() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.buffer.String()
}

var _ = Describe("a spool", func() {
	It("writes lines in their order, and writes all of them before Stop returns", func() {
		var out bytes.Buffer
		s := spool.New(spool.Options{Out: &out})
		for _, line := range []string{"a\n", "b\n", "c\n"} {
			_, err := s.Write([]byte(line))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(s.Stop(context.Background())).To(Succeed())
		Expect(out.String()).To(Equal("a\nb\nc\n"))
	})

	// Guards against lines that are cut off, or lost and not counted, in a burst of lines.
	It("writes lines whole to a pipe that takes a part of a write and then no more for a while", func() {
		out := &fullPipe{takes: 100}
		var dropped atomic.Int32
		s := spool.New(spool.Options{Out: out, OnDrop: func() { dropped.Add(1) }})
		var want strings.Builder
		for i := range 300 {
			line := fmt.Sprintf("line %d of a burst\n", i)
			want.WriteString(line)
			_, err := s.Write([]byte(line))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(s.Stop(context.Background())).To(Succeed())
		Expect(out.String()).To(Equal(want.String()))
		Expect(dropped.Load()).To(BeZero())
	})

	It("counts each line that a broken output does not take, and starts anew on a line of its own", func() {
		out := &fullPipe{takes: 3, breaks: 1}
		var dropped atomic.Int32
		s := spool.New(spool.Options{Out: out, OnDrop: func() { dropped.Add(1) }})
		for _, line := range []string{"first\n", "second\n"} {
			_, err := s.Write([]byte(line))
			Expect(err).NotTo(HaveOccurred())
			Eventually(out.writes.Load).Should(BeNumerically(">", 0))
			out.writes.Store(0)
		}
		Expect(s.Stop(context.Background())).To(Succeed())
		Expect(dropped.Load()).To(Equal(int32(1)))
		Expect(out.String()).To(Equal("fir\nsecond\n"))
	})

	It("drops lines, calls OnDrop and does not block while the output is blocked", func() {
		reader, writer := io.Pipe()
		var dropped atomic.Int32
		s := spool.New(spool.Options{Out: writer, QueueLength: 4, OnDrop: func() { dropped.Add(1) }})
		_, err := s.Write([]byte("xy\n"))
		Expect(err).NotTo(HaveOccurred())
		// Once a part of the line has been read, the write of the rest is blocked.
		_, err = reader.Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
		for range 100 {
			_, err := s.Write([]byte("x\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(dropped.Load()).To(BeEquivalentTo(96), "all but the queue's 4 lines")
		Expect(reader.Close()).To(Succeed())
		Expect(s.Stop(context.Background())).To(Succeed())
	})
})
