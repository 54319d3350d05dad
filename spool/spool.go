// Package spool provides an asynchronous writer for log lines, which never blocks the code that logs. Lines
// are queued for a goroutine that writes them. While the queue is full, new lines are dropped, and a
// callback can count them. Lines are written whole, also to a pipe that takes only a part of a write.
//
// # Usage
//
//	log.SetOutput(spool.New(spool.Options{Out: os.Stdout, OnDrop: count.Inc}))
package spool

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"syscall"

	"github.com/chestnutsail/chestnutsail/clock"
)

// DefaultQueueLength is the default number of lines that the queue holds.
const DefaultQueueLength = 2048

const (
	// maxBatch is the number of bytes from which on no more lines are added to a write. A pipe takes
	// a few pages at a time and refuses the rest while its reader is behind.
	maxBatch = 4 << 10
	// maxTries is the number of writes of one batch to a pipe that takes no more for now, retryDelay
	// the time between two of them.
	maxTries   = 100
	retryDelay = 10 * clock.Millisecond
)

// Options configures a Spool.
type Options struct {
	Out io.Writer
	// QueueLength is the number of lines that the queue holds; 0 means DefaultQueueLength.
	QueueLength int
	// OnDrop is called for each line that is dropped, because the queue is full or Out fails; it may
	// be nil.
	OnDrop func()
}

// Spool is an io.Writer that queues lines and does not block. It is safe for concurrent use.
type Spool struct {
	opts   Options
	lines  chan []byte
	stop   chan struct{}
	writer sync.WaitGroup
	once   sync.Once
	// torn is set while the last line that was written is not whole. Only the writing goroutine uses
	// it.
	torn bool
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

// write writes a line together with those queued behind it, up to maxBatch bytes, and reports whether
// it could.
func (s *Spool) write(batch []byte) bool {
	for len(s.lines) > 0 && len(batch) < maxBatch {
		batch = append(batch, <-s.lines...)
	}
	if s.torn {
		// The line that was cut off must not swallow the next one.
		batch = append([]byte{'\n'}, batch...)
	}
	rest := s.writeAll(batch)
	if written := len(batch) - len(rest); written > 0 {
		s.torn = batch[written-1] != '\n'
	}
	for range bytes.Count(rest, []byte{'\n'}) {
		s.opts.OnDrop()
	}
	return len(rest) == 0
}

// writeAll writes a batch and returns what could not be written. A pipe that takes no more for now is
// tried again.
func (s *Spool) writeAll(batch []byte) []byte {
	for range maxTries {
		n, err := s.opts.Out.Write(batch)
		batch = batch[n:]
		if len(batch) == 0 || !errors.Is(err, syscall.EAGAIN) {
			break
		}
		clock.Sleep(context.Background(), retryDelay)
	}
	return batch
}

// writeRemaining writes the queued lines. It gives up at the first that can't be written, so that the
// process can end.
func (s *Spool) writeRemaining() {
	for {
		select {
		case line := <-s.lines:
			if !s.write(line) {
				s.dropRemaining()
				return
			}
		default:
			return
		}
	}
}

func (s *Spool) dropRemaining() {
	for {
		select {
		case <-s.lines:
			s.opts.OnDrop()
		default:
			return
		}
	}
}
