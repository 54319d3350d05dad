package ledger

import (
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/chestnutsail/chestnutsail/kv"
)

const (
	defaultMaxCalls = 4
	maxQueuedWrites = 4096
	maxBatchBytes   = 512 << 10 // bytes
)

// errStopped is the cause of a write that fails because the ledger was stopped.
var errStopped = errors.New("ledger has stopped")

// queuedWrite is a set of operations that take effect together, and the channel for its
// result.
type queuedWrite struct {
	ops    []kv.Op
	result chan writeResult
}

type writeResult struct {
	versions []uint64
	err      error
}

func (w *queuedWrite) size() int {
	n := 0
	for _, op := range w.ops {
		n += len(op.Key) + len(op.Value)
	}
	return n
}

// committer combines the writes that are in its queue at the same time into shared calls to
// the store. A conflict of one write does not fail the other writes of its call.
type committer struct {
	opts       Options
	queue      chan *queuedWrite
	quit       chan struct{}
	goroutines sync.WaitGroup
	stopOnce   sync.Once
}

func newCommitter(opts Options) *committer {
	if opts.MaxOpsPerCall == 0 {
		opts.MaxOpsPerCall = kv.MaxOps
	}
	if opts.MaxCalls == 0 {
		opts.MaxCalls = defaultMaxCalls
	}
	c := &committer{opts: opts, queue: make(chan *queuedWrite, maxQueuedWrites), quit: make(chan struct{})}
	for range opts.MaxCalls {
		c.goroutines.Go(func() {
			var next *queuedWrite
			for {
				batch, rest, ok := c.nextBatch(next)
				if !ok {
					return
				}
				next = rest
				c.commitBatch(batch)
			}
		})
	}
	return c
}

func (c *committer) stop() {
	c.stopOnce.Do(func() { close(c.quit) })
	c.goroutines.Wait()
}

// apply writes all operations or none, and returns the new versions in their order. An error
// of kind kv.Refused means that none of them will ever take effect. An error of kind
// kv.Ambiguous means that they may have taken effect or may still do so.
func (c *committer) apply(ctx context.Context, ops []kv.Op) ([]uint64, error) {
	w := &queuedWrite{ops: ops, result: make(chan writeResult, 1)}
	refuse := func(err error) ([]uint64, error) {
		return nil, &kv.Error{Op: "commit", Key: ops[0].Key, Kind: kv.Refused, Err: err}
	}
	select {
	case <-c.quit:
		return refuse(errStopped)
	default:
	}
	select {
	case c.queue <- w:
	case <-ctx.Done():
		return refuse(ctx.Err())
	case <-c.quit:
		return refuse(errStopped)
	}
	select {
	case out := <-w.result:
		return out.versions, out.err
	case <-ctx.Done():
		return nil, &kv.Error{Op: "commit", Key: ops[0].Key, Kind: kv.Ambiguous, Err: ctx.Err()}
	case <-c.quit:
		return nil, &kv.Error{Op: "commit", Key: ops[0].Key, Kind: kv.Ambiguous, Err: errStopped}
	}
}

// nextBatch waits for a write, unless first is given, and returns it together with the other
// queued writes. A write that would exceed the limits of a batch, or that shares a key with
// the batch, is returned as rest and starts the next batch. ok is false after a stop.
func (c *committer) nextBatch(first *queuedWrite) (batch []*queuedWrite, rest *queuedWrite, ok bool) {
	if first == nil {
		select {
		case first = <-c.queue:
		case <-c.quit:
			return nil, nil, false
		}
	}
	batch = []*queuedWrite{first}
	keys := map[string]bool{}
	for _, op := range first.ops {
		keys[op.Key] = true
	}
	ops, size := len(first.ops), first.size()
	for {
		select {
		case w := <-c.queue:
			shares := slices.ContainsFunc(w.ops, func(op kv.Op) bool { return keys[op.Key] })
			ops, size = ops+len(w.ops), size+w.size()
			if ops > c.opts.MaxOpsPerCall || size > maxBatchBytes || shares {
				return batch, w, true
			}
			for _, op := range w.ops {
				keys[op.Key] = true
			}
			batch = append(batch, w)
		default:
			return batch, nil, true
		}
	}
}

// commitBatch writes a batch with one call. After a conflict it repeats the call without the
// writes that caused the conflict.
func (c *committer) commitBatch(batch []*queuedWrite) {
	for len(batch) > 0 {
		var ops []kv.Op
		var owner []int
		for i, w := range batch {
			for _, op := range w.ops {
				ops, owner = append(ops, op), append(owner, i)
			}
		}
		versions, err := c.opts.Store.Commit(context.Background(), ops)
		if kv.KindOf(err) != kv.Conflict || len(batch) == 1 {
			sendResults(batch, versions, err)
			return
		}
		batch = c.removeConflicting(batch, owner, err)
	}
}

// removeConflicting sends the conflict to the writes that caused it and returns the other
// writes. When the store does not report which writes caused the conflict, each write is
// committed by itself.
func (c *committer) removeConflicting(batch []*queuedWrite, owner []int, err error) []*queuedWrite {
	var e *kv.Error
	if !errors.As(err, &e) || len(e.Ops) == 0 {
		for _, w := range batch {
			c.commitBatch([]*queuedWrite{w})
		}
		return nil
	}
	conflicting := make(map[int]bool)
	for _, i := range e.Ops {
		conflicting[owner[i]] = true
	}
	var rest []*queuedWrite
	for i, w := range batch {
		if conflicting[i] {
			w.result <- writeResult{err: &kv.Error{Op: "commit", Key: w.ops[0].Key, Kind: kv.Conflict, Err: kv.ErrConflict}}
			continue
		}
		rest = append(rest, w)
	}
	return rest
}

func sendResults(batch []*queuedWrite, versions []uint64, err error) {
	offset := 0
	for _, w := range batch {
		out := writeResult{err: err}
		if err == nil {
			out.versions = versions[offset : offset+len(w.ops)]
		}
		offset += len(w.ops)
		w.result <- out
	}
}
