// Package spool provides an asynchronous writer for log lines, which never blocks the code that logs. Lines
// are queued for a goroutine that writes them. While the queue is full, new lines are dropped, and a
// callback can count them.
//
// # Usage
//
//	log.SetOutput(spool.New(spool.Options{Out: os.Stdout, OnDrop: count.Inc}))
package spool

import (
	"bytes"
	"context"
	"io"
	"sync"
)

// DefaultQueueLength is the default number of lines that the queue holds.
const DefaultQueueLength = 2048

// Options configures a Spool.
type Options struct {
	Out io.Writer
	// QueueLength is the number of lines that the queue holds; 0 means DefaultQueueLength.
	QueueLength int
	// OnDrop is called for each line that is dropped; it may be nil.
	OnDrop func()
}

// Spool is an io.Writer that queues lines and does not block. It is safe for concurrent use.
type Spool struct {
	opts   Options
	lines  chan []byte
	stop   chan struct{}
	writer sync.WaitGroup
	once   sync.Once
}

// New returns a spool whose goroutine writes to opts.Out until Stop is called.
func New(opts Options) *Spool {
	if opts.QueueLength == 0 {
		opts.QueueLength = DefaultQueueLength
	}
	if opts.OnDrop == nil {
		opts.OnDrop = func() {}
	}
	s := &Spool{opts: opts, lines: make(chan []byte, opts.QueueLength), stop: make(chan struct{})}
	s.writer.Go(s.writeLoop)
	return s
}

// Write queues a copy of one line, or drops the line if the queue is full. It never returns an error.
func (s *Spool) Write(line []byte) (int, error) {
	select {
	case s.lines <- bytes.Clone(line):
	default:
		s.opts.OnDrop()
	}
	return len(line), nil
}

// Stop writes the queued lines and ends the writing goroutine. It waits until that is done, whatever the
// context, and returns nil.
func (s *Spool) Stop(context.Context) error {
	s.once.Do(func() { close(s.stop) })
	s.writer.Wait()
	return nil
}

func (s *Spool) writeLoop() {
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		case <-s.stop:
			s.writeRemaining()
			return
		}
	}
}

// write writes a line together with the lines queued behind it. It ignores errors, because there is no
// other log to report them to.
func (s *Spool) write(line []byte) {
	for range len(s.lines) {
		line = append(line, <-s.lines...)
	}
	_, _ = s.opts.Out.Write(line)
}

func (s *Spool) writeRemaining() {
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		default:
			return
		}
	}
}
