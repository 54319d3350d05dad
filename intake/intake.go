// Package intake handles the requests of callers. It accepts a job once the job's record is
// written to the store, cancels jobs, and reports their state from this instance's local view of
// the store.
//
// # Usage
//
//	h := intake.New(intake.Options{Store: store, Board: b, Config: holder.Now})
//	grant, refusal := h.Admit(intake.Call{Host: host, Path: path, Key: key})
//	answer := h.Submit(ctx, grant, spec)
package intake

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/site"
	"github.com/chestnutsail/chestnutsail/stored"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// Store is the part of a store client that a Handler uses.
type Store interface {
	Commit(ctx context.Context, ops []kv.Op) (uint64, error)
	List(ctx context.Context, prefix string) ([]kv.Entry, uint64, error)
	Get(ctx context.Context, key string) (kv.Entry, error)
	Grant(ctx context.Context, ttl clock.Millis) (uint64, clock.Millis, error)
}

// Verdict is the result of a call.
type Verdict string

// The possible results of a call.
const (
	// OK means that the call succeeded.
	OK Verdict = "ok"
	// NotReady means that this instance can't answer yet, or no longer, because its
	// configuration or its view of the jobs is missing or too old; nothing was done.
	NotReady Verdict = "unready"
	// Busy means that the store could not be read or refused the write; nothing was done.
	Busy Verdict = "busy"
	// Unsure means that it is unknown whether a write has taken effect.
	Unsure Verdict = "unsure"
	// NoQueue means that no queue has the requested host and path.
	NoQueue Verdict = "noqueue"
	// NoKey means that no account has the API key.
	NoKey Verdict = "nokey"
	// NoJob means that the job does not exist or belongs to another account or queue.
	NoJob Verdict = "nojob"
	// IDTaken means that another job already has the ID.
	IDTaken Verdict = "clash"
	// Invalid means that the request is malformed.
	Invalid Verdict = "invalid"
	// Full means that the account has stored too many jobs, or too large ones; nothing was done.
	Full Verdict = "full"
)

// Verdicts returns all verdicts.
func Verdicts() []Verdict {
	return []Verdict{OK, NotReady, Busy, Unsure, NoQueue, NoKey, NoJob, IDTaken, Invalid, Full}
}

// Answer is the answer to a caller. Only Handler.State sets State, and only Handler.Pending sets
// Pending, which is the number of the queue's jobs of which no task has started yet.
type Answer struct {
	Verdict Verdict
	State   workflow.State
	Pending int
	// RetryAfter is the time in milliseconds after which a caller should retry a refused call; 0
	// means that no retry is suggested.
	RetryAfter clock.Millis
	Reason     string
	// Outdated is set if another instance may know a newer state, because this one can't reach the
	// store.
	Outdated bool
}

const (
	// callTimeout is the timeout of one call of the store. The store normally answers in
	// 4 ms, and in 100 times that while it is slow.
	callTimeout = 1100 * clock.Millisecond
	// defaultMaxBody is the largest request body in bytes if the configuration sets no limit.
	defaultMaxBody = 256 << 10
	// retryAfter is the time after which a caller should retry a refused call. Another instance
	// may be able to reach the store immediately.
	retryAfter = clock.Second
	idDigits   = 16
	// noticeLeasePeriod is the time for which notices are written under the same lease. A leader
	// reads only the notices of the last seconds.
	noticeLeasePeriod = 30 * clock.Second
)

// Options configures a Handler.
type Options struct {
	// Name is the unique name of this instance.
	Name  string
	Store Store
	Board *board.Board
	// Config returns the current configuration.
	Config func() *site.Config
	// ConfigOutdated reports whether a newer configuration may be in force, unnoticed by this
	// instance, for longer than allowed; nil means while the store is not reachable.
	ConfigOutdated func() bool
	// KeysOutdated reports whether the configuration is so old that this instance may accept an API
	// key that was revoked longer ago than allowed; nil means never.
	KeysOutdated func() bool
	// MaxValue is the largest size in bytes of a value in the store; 0 means kv.MaxValue.
	MaxValue int
	// Stored returns the limit on the memory of the accounts' stored jobs; nil means that there is none.
	Stored func() stored.Limit
	// Reachable reports whether the store is reachable; nil means always.
	Reachable func() bool
	// OnRetry is called for each write that is retried because the first attempt got no
	// answer; nil means that nothing is called.
	OnRetry func()
	// Age returns the time in milliseconds since Board was last known to be up to date; nil
	// means that Board is always up to date.
	Age func() clock.Millis
	// SinceChange returns the time in milliseconds since the last change in Board; nil means that
	// Board is always up to date.
	SinceChange func() clock.Millis
	Clock       *clock.Clock
	Log         *logrus.Entry
}

// Handler handles the calls of callers. It is safe for concurrent use.
type Handler struct {
	opts Options
	// processNonce is a random number that makes the values of token unique to this process.
	processNonce uint64
	tokenCount   atomic.Uint64
	// reserved is the memory of the jobs that are being stored, by account. reservedLock guards it.
	reservedLock sync.Mutex
	reserved     *stored.Usage
	// noticeLease is the ID of the store's lease under which notices are written; 0 while there
	// is none.
	noticeLease atomic.Uint64
	// lease is the ID of the store's lease under which withdrawals are written, or 0; leaseRenewAt is
	// when it is replaced.
	leaseLock    sync.Mutex
	lease        uint64
	leaseRenewAt clock.Millis
	cancel       context.CancelFunc
	running      sync.WaitGroup
}

// New returns a handler and starts its background work, which Stop ends.
func New(opts Options) *Handler {
	opts.MaxValue = cmp.Or(opts.MaxValue, kv.MaxValue)
	if opts.Stored == nil {
		opts.Stored = func() stored.Limit { return stored.Limit{} }
	}
	if opts.Reachable == nil {
		opts.Reachable = func() bool { return true }
	}
	if opts.ConfigOutdated == nil {
		opts.ConfigOutdated = func() bool { return !opts.Reachable() }
	}
	if opts.KeysOutdated == nil {
		opts.KeysOutdated = func() bool { return false }
	}
	if opts.OnRetry == nil {
		opts.OnRetry = func() {}
	}
	if opts.Age == nil {
		opts.Age = func() clock.Millis { return 0 }
	}
	if opts.SinceChange == nil {
		opts.SinceChange = func() clock.Millis { return 0 }
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &Handler{opts: opts, processNonce: rand.Uint64(), cancel: cancel, reserved: stored.NewUsage()}
	h.running.Go(func() { h.keepNoticeLease(ctx) })
	return h
}

// Stop ends the background work and waits for its end.
func (h *Handler) Stop(context.Context) error {
	h.cancel()
	h.running.Wait()
	return nil
}

// keepNoticeLease replaces the lease for notices periodically until ctx ends. An old lease is not
// renewed; when it expires, the store deletes its notices.
func (h *Handler) keepNoticeLease(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
		lease, _, err := h.opts.Store.Grant(callCtx, 2*noticeLeasePeriod)
		cancel()
		pause := noticeLeasePeriod
		if err != nil {
			lease, pause = 0, retryAfter
		}
		h.noticeLease.Store(lease)
		clock.Sleep(ctx, pause)
	}
}

// Submit accepts a job once its record is written to the store. Submitting the same job again
// with the same ID succeeds and does not create another job.
func (h *Handler) Submit(ctx context.Context, g Grant, spec workflow.Spec) Answer {
	if err := spec.Check(); err != nil {
		return Answer{Verdict: Invalid, Reason: err.Error()}
	}
	spec = spec.Bounded()
	if view, known := h.opts.Board.Find(g.ID); known {
		return h.answerDuplicate(g, view.Record, spec, "accepted before")
	}
	record := workflow.Record{
		Queue: g.Queue.Name, Account: g.Account.Name, Policy: workflow.PolicyOf(g.Queue, g.Version),
		AcceptedAt: h.opts.Clock.Now(), Token: h.token(), Spec: spec,
	}
	entry := kv.Entry{Key: board.RecordKey(g.ID), Value: workflow.Encode(record)}
	if len(entry.Value) > h.opts.MaxValue {
		return Answer{Verdict: Invalid, Reason: fmt.Sprintf("the job takes %d bytes, more than the %d that can be stored", len(entry.Value), h.opts.MaxValue)}
	}
	release, ok := h.reserve(&record, len(entry.Value))
	if !ok {
		return h.refuseFull(ctx, g, spec)
	}
	defer release()
	version, kind, err := h.create(ctx, entry, 0)
	switch kind {
	case kv.OK:
		entry.Version = version
		h.opts.Board.Add(entry)
		return Answer{Verdict: OK, Reason: "recorded"}
	case kv.Conflict:
		return h.answerConflict(ctx, g, spec)
	case kv.Refused, kv.Rejected:
		return Answer{Verdict: Busy, RetryAfter: retryAfter, Reason: err.Error()}
	default:
		return Answer{Verdict: Unsure, RetryAfter: retryAfter, Reason: err.Error()}
	}
}

// NotRead returns the answer to a submission whose body was not read; nothing was done.
func NotRead(reason error) Answer {
	return Answer{Verdict: Busy, RetryAfter: retryAfter, Reason: reason.Error()}
}

// errUnreachable is the error of a call that was not sent because the store is unreachable.
var errUnreachable = errors.New("the store is not reachable from here")

// create writes a key that must not exist yet, under a lease unless that is 0, and returns its version.
// It retries a write that gets no answer once, which is safe: the condition ensures that the write takes
// effect at most once. The kind is kv.Missing if the lease does not exist.
func (h *Handler) create(ctx context.Context, entry kv.Entry, lease uint64) (uint64, kv.Kind, error) {
	if !h.opts.Reachable() {
		return 0, kv.Refused, errUnreachable
	}
	retried := false
	for {
		version, err := h.commit(ctx, h.withNotice(entry, lease))
		kind := kv.KindOf(err)
		switch {
		case kind == kv.Missing && h.noticeLease.Swap(0) != 0:
			// A lease has expired, perhaps that of the notice, and nothing was written. The next
			// attempt writes no notice; the leader still learns of the key from its watch.
		case kind == kv.OK || kind == kv.Conflict:
			return version, kind, nil
		case kind == kv.Ambiguous && !retried && ctx.Err() == nil && h.opts.Reachable():
			retried = true
			h.opts.OnRetry()
		case retried || kind == kv.Ambiguous:
			return 0, kv.Ambiguous, err
		default:
			return 0, kind, err
		}
	}
}

// withNotice returns the operations that create an entry and, if there is a lease for notices, a
// notice, from which the leader learns that the entry was created.
func (h *Handler) withNotice(entry kv.Entry, entryLease uint64) []kv.Op {
	ops := []kv.Op{{Key: entry.Key, Value: entry.Value, Lease: entryLease}}
	if lease := h.noticeLease.Load(); lease != 0 {
		ops = append(ops, kv.Op{Key: board.NoticeKey(h.opts.Clock.Now(), entry.Key), Value: []byte{}, Lease: lease})
	}
	return ops
}

func (h *Handler) commit(ctx context.Context, ops []kv.Op) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	return h.opts.Store.Commit(ctx, ops)
}

func (h *Handler) token() string {
	return fmt.Sprintf("%s/%x/%x", h.opts.Name, h.processNonce, h.tokenCount.Add(1))
}

// Cancel records the cancellation of a job, also of one that does not exist yet, for which the answer is
// NoJob. It does not change a job that has already ended.
func (h *Handler) Cancel(ctx context.Context, g Grant) Answer {
	view, answer := h.lookUp(ctx, g)
	switch {
	case answer != nil && answer.Verdict == NoJob:
		return h.withdraw(ctx, g)
	case answer != nil:
		return *answer
	case !g.owner().Owns(view.Record):
		h.logForeign(g, view.Record)
		return *noJob()
	}
	if view.Cancelled || view.Progress.State.Final() {
		return Answer{Verdict: OK, Reason: "over before"}
	}
	entry := kv.Entry{Key: board.CancelKey(g.ID), Value: []byte(h.token())}
	version, kind, err := h.create(ctx, entry, 0)
	switch kind {
	case kv.OK, kv.Conflict:
		entry.Version = version
		h.addCancelled(ctx, g.ID, entry)
		return Answer{Verdict: OK, Reason: "recorded"}
	case kv.Refused, kv.Rejected:
		return Answer{Verdict: Busy, RetryAfter: retryAfter, Reason: err.Error()}
	default:
		return Answer{Verdict: Unsure, RetryAfter: retryAfter, Reason: err.Error()}
	}
}

// addCancelled adds a recorded cancellation to the local view together with the job's progress. That view is
// behind the store, and a job that ended before its cancellation must not be shown as cancelled.
func (h *Handler) addCancelled(ctx context.Context, id string, cancelled kv.Entry) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	progress, err := h.opts.Store.Get(ctx, board.ProgressKey(id))
	switch kv.KindOf(err) {
	case kv.OK:
		h.opts.Board.Add(progress, cancelled)
	case kv.Missing:
		h.opts.Board.Add(cancelled)
	default:
		h.opts.Log.WithError(err).WithField("job", id).Debug("intake: progress of a cancelled job not read; the view follows the store later")
	}
}
