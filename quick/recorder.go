package quick

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/chestnutsail/chestnutsail/claim"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/worker"
)

const (
	recorderGoroutines = 4
	recordQueueSize    = 4096
	recordTimeout      = 10 * clock.Minute
	// maxClaimSize is the size in bytes of the largest claim, including its outcome, that
	// the store accepts.
	maxClaimSize      = kv.MaxValue
	minRetryPause     = 100 * clock.Millisecond
	maxRetryPause     = 10 * clock.Second
	maxPauseDoublings = 8
)

// recorder retries in the background to record outcomes that could not be recorded at
// once. Workers keep a result until it is recorded; the recorder then tells them to
// release it.
type recorder struct {
	opts         Options
	workerClient func(claim.Claim) *worker.Client
	queue        chan pendingRecord
	cancel       context.CancelFunc
	wg           sync.WaitGroup
}

// pendingRecord is a claim and the outcome to record in it. The outcome is nil if it is
// already recorded and only the worker's copy of the result has to be released.
type pendingRecord struct {
	claim   claim.Claim
	outcome *outcome.Outcome
}

func newRecorder(opts Options, workerClient func(claim.Claim) *worker.Client) *recorder {
	ctx, cancel := context.WithCancel(context.Background())
	r := &recorder{opts: opts, workerClient: workerClient, queue: make(chan pendingRecord, recordQueueSize), cancel: cancel}
	for range recorderGoroutines {
		r.wg.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case rec := <-r.queue:
					r.process(ctx, rec)
				}
			}
		})
	}
	return r
}

// enqueue queues a record, or drops it when the queue is full. The result of a dropped
// record stays on the worker, where a later query by key finds it.
func (r *recorder) enqueue(rec pendingRecord) {
	select {
	case r.queue <- rec:
	default:
		r.opts.Counters.Counter(droppedRecords).Inc()
	}
}

func (r *recorder) stop(ctx context.Context) error {
	r.cancel()
	r.wg.Wait()
	for ctx.Err() == nil {
		select {
		case rec := <-r.queue:
			if rec.outcome != nil {
				_, _ = writeOutcome(ctx, r.opts, rec.claim, *rec.outcome)
			}
		default:
			return nil
		}
	}
	return ctx.Err()
}

// process records one outcome and then has the worker release its result. While the
// store fails it retries, for at most recordTimeout.
func (r *recorder) process(ctx context.Context, rec pendingRecord) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout.Duration())
	defer cancel()
	for try := 0; rec.outcome != nil; try++ {
		current, err := writeOutcome(ctx, r.opts, rec.claim, *rec.outcome)
		if err == nil {
			rec = pendingRecord{claim: current}
			break
		}
		pause := min(minRetryPause<<min(try, maxPauseDoublings), maxRetryPause)
		if !clock.Sleep(ctx, pause/2+r.opts.Budget.Wait(try+1)) {
			r.opts.Counters.Counter(droppedRecords).Inc()
			return
		}
		r.opts.Counters.Retried(outcome.RetryStoreDown)
	}
	c := rec.claim
	if c.Outcome != nil && (c.Outcome.Kind == outcome.Done || c.Outcome.Kind == outcome.Failed) {
		_ = r.workerClient(c).Release(ctx, taskID(c.Account, c.Key), c.Attempt)
	}
}

// recordOutcome records the outcome of a request that ran in its claim and returns the
// claim with that outcome. If the first write fails, the recorder retries it in the
// background. An outcome that is too large for the store is not recorded.
func (r *Router) recordOutcome(ctx context.Context, c claim.Claim, o outcome.Outcome) claim.Claim {
	if tooLarge(c, o) {
		r.opts.Log.WithField("bytes", o.Length).Warn("quick: outcome is too large for the store; only the worker keeps it")
		c.Outcome = &o
		return c
	}
	ctx, cancel := cleanupContext(ctx)
	defer cancel()
	current, err := writeOutcome(ctx, r.opts, c, o)
	if err == nil {
		r.recorder.enqueue(pendingRecord{claim: current})
	} else {
		r.opts.Log.WithError(err).Debug("quick: cannot record the outcome; retrying in the background")
		r.recorder.enqueue(pendingRecord{c, &o})
	}
	c.Outcome = &o
	return c
}

// writeOutcome ends a claim with the outcome of a request that ran and returns the
// current claim. If another entry has meanwhile ended the claim with an unknown outcome,
// it is replaced by o.
func writeOutcome(ctx context.Context, opts Options, c claim.Claim, o outcome.Outcome) (claim.Claim, error) {
	current, err := opts.Claims.End(ctx, c, o)
	if kv.KindOf(err) != kv.Conflict || current.Version == 0 {
		return current, err
	}
	switch {
	case current.Outcome == nil:
		return current, err
	case current.Outcome.Kind == outcome.Unknown:
		return opts.Claims.End(ctx, current, o)
	case current.Outcome.Kind == outcome.NotRun:
		opts.Counters.Counter(violatedClaims).Inc()
		opts.Log.WithField("key", c.Key).Error("quick: a request ran although its claim records that it did not run")
	}
	return current, nil
}

// tooLarge reports whether a claim with this outcome would exceed the store's limit on
// values. The body is base64-encoded in JSON, which makes it a third larger.
func tooLarge(c claim.Claim, o outcome.Outcome) bool {
	if len(o.Body) < maxClaimSize/2 {
		return false
	}
	c.Outcome = &o
	value, err := json.Marshal(c)
	return err == nil && len(value) > maxClaimSize
}
