package spool_test

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/spool"
	"github.com/chestnutsail/chestnutsail/suite"
)

func TestSpool(t *testing.T) { suite.Run(t, "spool") }

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

	It("drops lines, calls OnDrop and does not block while the output is blocked", func() {
		reader, writer := io.Pipe()
		var dropped atomic.Int32
		s := spool.New(spool.Options{Out: writer, QueueLength: 4, OnDrop: func() { dropped.Add(1) }})
		for range 100 {
			_, err := s.Write([]byte("x\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(dropped.Load()).To(BeNumerically(">=", 90))
		Expect(reader.Close()).To(Succeed())
		Expect(s.Stop(context.Background())).To(Succeed())
	})
})
