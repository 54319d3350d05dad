// Package intake answers the callers of an installation: it accepts jobs once their
// record stands in the store, cancels them, and tells their state from this
// instance's view of the store.
//
// # Usage
//
//	d := intake.New(intake.Options{Store: store, Board: b, Config: holder.Now})
//	grant, refusal := d.Admit(intake.Call{Host: host, Path: path, Key: key})
//	answer := d.Submit(ctx, grant, spec)
package intake

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/site"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// Store is what an intake needs of the store.
type Store interface {
	Commit(ctx context.Context, ops []kv.Op) (uint64, error)
	List(ctx context.Context, prefix string) ([]kv.Entry, uint64, error)
	Get(ctx context.Context, key string) (kv.Entry, error)
	Grant(ctx context.Context, ttl clock.Millis) (uint64, clock.Millis, error)
}

// Verdict is how a call was answered.
type Verdict string

// The verdicts.
const (
	// OK answers what was asked.
	OK Verdict = "ok"
	// Unready means that there is no configuration yet; nothing was done.
	Unready Verdict = "unready"
	// Busy means that the store does not take the write; nothing was done.
	Busy Verdict = "busy"
	// Unsure means that a write may or may not have taken effect.
	Unsure Verdict = "unsure"
	// NoQueue means that no queue has the address.
	NoQueue Verdict = "noqueue"
	// NoKey means that the key is not one of an account.
	NoKey Verdict = "nokey"
	// NoJob means that no such job exists.
	NoJob Verdict = "nojob"
	// Clash means that the ID is taken by another job.
	Clash Verdict = "clash"
	// Invalid means that the call can't be understood.
	Invalid Verdict = "invalid"
)

// Verdicts returns every verdict.
func Verdicts() []Verdict {
	return []Verdict{OK, Unready, Busy, Unsure, NoQueue, NoKey, NoJob, Clash, Invalid}
}

// Call is a caller's request before it is matched with a queue.
type Call struct {
	Host string
	Path string
	Key  string
}

// Grant is a call that is allowed.
type Grant struct {
	Queue   site.Queue
	Account site.Account
	// ID is the job's, "" for a call about the whole queue.
	ID string
	// Body is the largest body in bytes.
	Body int
	// Version is that of the configuration that allowed the call.
	Version int64
}

// Answer is what a caller is told.
type Answer struct {
	Verdict Verdict
	State   workflow.State
	Pending int
	// After is the time in milliseconds after which a refused caller may come back.
	After  clock.Millis
	Reason string
}

const (
	// writeTimeout bounds one write to the store in milliseconds; the store answers in
	// 4 ms, and in 100 times that while it is slow.
	writeTimeout = 1100 * clock.Millisecond
	// defaultBody is the largest body in bytes while the configuration names none.
	defaultBody = 256 << 10
	// retryAfter is the time in milliseconds after which a refused caller may try again;
	// another instance may reach the store at once.
	retryAfter = clock.Second
	idDigits   = 16
	// noticeTime is how long one lease of notices is used, in milliseconds; a leader reads
	// those of the last seconds.
	noticeTime = 30 * clock.Second
	// countAge is how old a count of waiting jobs may be, by the callers' protocol.
	countAge = 2 * clock.Second
	// quietTime is the time without news after which an unfinished job's state is read
	// from the store.
	quietTime = 400 * clock.Millisecond
)

// Options configures a Desk.
type Options struct {
	// Name tells this instance from the others.
	Name  string
	Store Store
	Board *board.Board
	// Config returns the configuration in force.
	Config func() *site.Config
	// Stale reports whether a key may have been taken away too long ago for this instance
	// not to know; nil means never.
	Stale func() bool
	// Reachable reports whether the store is; nil means that it always is.
	Reachable func() bool
	// Repeated is told of each write that is made again for want of an answer; nil means
	// nobody.
	Repeated func()
	// Age returns the age in milliseconds of Board; nil means that it is never behind.
	Age func() clock.Millis
	// Quiet returns the age in milliseconds of the last news in Board; nil means that
	// Board is never behind.
	Quiet func() clock.Millis
	Clock *clock.Clock
	Log   *logrus.Entry
}

// Desk answers callers. It is safe for concurrent use.
type Desk struct {
	opts Options
	// boot makes the tokens of this process unlike those of others.
	boot uint64
	next atomic.Uint64
	// lease is the store's lease under which notices are written; 0 while there is none.
	lease  atomic.Uint64
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// New returns a desk.
func New(opts Options) *Desk {
	if opts.Reachable == nil {
		opts.Reachable = func() bool { return true }
	}
	if opts.Stale == nil {
		opts.Stale = func() bool { return false }
	}
	if opts.Repeated == nil {
		opts.Repeated = func() {}
	}
	if opts.Age == nil {
		opts.Age = func() clock.Millis { return 0 }
	}
	if opts.Quiet == nil {
		opts.Quiet = func() clock.Millis { return 0 }
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Desk{opts: opts, boot: rand.Uint64(), cancel: cancel}
	d.done.Go(func() { d.grant(ctx) })
	return d
}

// Stop ends what the desk does by itself.
func (d *Desk) Stop(context.Context) error {
	d.cancel()
	d.done.Wait()
	return nil
}

// grant keeps a lease for notices. Each is left to end, and takes its notices along.
func (d *Desk) grant(ctx context.Context) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, writeTimeout.Duration())
		lease, _, err := d.opts.Store.Grant(call, 2*noticeTime)
		cancel()
		pause := noticeTime
		if err != nil {
			lease, pause = 0, retryAfter
		}
		d.lease.Store(lease)
		clock.Sleep(ctx, pause)
	}
}

// Admit matches a call with a queue and checks its key.
func (d *Desk) Admit(c Call) (Grant, *Answer) {
	cfg := d.opts.Config()
	if cfg == nil || cfg.Version == 0 {
		return Grant{}, &Answer{Verdict: Unready, After: retryAfter, Reason: "no configuration yet"}
	}
	queue, ok := cfg.Match(c.Host, c.Path)
	if !ok {
		return Grant{}, &Answer{Verdict: NoQueue, Reason: "no queue at this address"}
	}
	if !queue.Public && d.opts.Stale() {
		return Grant{}, &Answer{Verdict: Unready, After: retryAfter, Reason: "the configuration is too old to accept keys by"}
	}
	account, ok := cfg.ByKey(c.Key)
	if !ok && !queue.Public {
		return Grant{}, &Answer{Verdict: NoKey, Reason: "unknown key"}
	}
	g := Grant{Queue: queue, Account: account, ID: c.Path[len(queue.Prefix):], Body: cfg.Limits.Body, Version: cfg.Version}
	if g.Body <= 0 {
		g.Body = defaultBody
	}
	if g.ID != "" && !isID(g.ID) {
		return Grant{}, &Answer{Verdict: Invalid, Reason: "the ID is not 16 hexadecimal digits"}
	}
	return g, nil
}

func isID(s string) bool {
	if len(s) != idDigits {
		return false
	}
	return strings.Trim(s, "0123456789abcdefABCDEF") == ""
}

// Submit accepts a job once its record stands. The same ID again is the same job.
func (d *Desk) Submit(ctx context.Context, g Grant, spec workflow.Spec) Answer {
	if err := spec.Check(); err != nil {
		return Answer{Verdict: Invalid, Reason: err.Error()}
	}
	if view, known := d.opts.Board.Find(g.ID); known {
		return d.again(g, view.Record, spec, "accepted before")
	}
	record := workflow.Record{
		Queue: g.Queue.Name, Service: g.Queue.Service, Account: g.Account.Name,
		Priority: g.Queue.Priority, Attempts: max(g.Queue.Attempts, 1), StretchFactor: g.Queue.Stretch, Target: g.Queue.Target,
		Accepted: d.opts.Clock.Now(), Token: d.token(), Spec: spec,
	}
	entry := kv.Entry{Key: board.RecordKey(g.ID), Value: workflow.Encode(record)}
	version, kind, err := d.create(ctx, entry)
	switch kind {
	case kv.OK:
		entry.Version = version
		d.opts.Board.Add(entry)
		return Answer{Verdict: OK, Reason: "recorded"}
	case kv.Conflict:
		return d.standing(ctx, g, spec)
	case kv.Refused:
		return Answer{Verdict: Busy, After: retryAfter, Reason: err.Error()}
	default:
		return Answer{Verdict: Unsure, After: retryAfter, Reason: err.Error()}
	}
}

// errUnreachable refuses a write that was not sent.
var errUnreachable = errors.New("the store is not reachable from here")

// create writes a key that must not exist yet. A write without an answer is repeated
// once: the condition lets it take effect no more than once.
func (d *Desk) create(ctx context.Context, entry kv.Entry) (uint64, kv.Kind, error) {
	if !d.opts.Reachable() {
		return 0, kv.Refused, errUnreachable
	}
	unsure := false
	for {
		version, err := d.commit(ctx, d.withNotice(entry))
		kind := kv.KindOf(err)
		switch {
		case kind == kv.Missing:
			// The lease of notices has ended: nothing was written. The leader's watch brings
			// the job all the same.
			d.lease.Store(0)
		case kind == kv.OK || kind == kv.Conflict:
			return version, kind, nil
		case kind == kv.Ambiguous && !unsure && ctx.Err() == nil && d.opts.Reachable():
			unsure = true
			d.opts.Repeated()
		case unsure || kind == kv.Ambiguous:
			return 0, kv.Ambiguous, err
		default:
			return 0, kind, err
		}
	}
}

// withNotice returns the write of a key that must not exist, with a notice of it.
func (d *Desk) withNotice(entry kv.Entry) []kv.Op {
	ops := []kv.Op{{Key: entry.Key, Value: entry.Value}}
	if lease := d.lease.Load(); lease != 0 {
		ops = append(ops, kv.Op{Key: board.NoticeKey(d.opts.Clock.Now(), entry.Key), Value: []byte{}, Lease: lease})
	}
	return ops
}

func (d *Desk) commit(ctx context.Context, ops []kv.Op) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout.Duration())
	defer cancel()
	return d.opts.Store.Commit(ctx, ops)
}

func (d *Desk) token() string {
	return fmt.Sprintf("%s/%x/%x", d.opts.Name, d.boot, d.next.Add(1))
}

// State tells how far a job has come.
func (d *Desk) State(ctx context.Context, g Grant) Answer {
	view, answer := d.find(ctx, g)
	if answer != nil {
		return *answer
	}
	if !view.State().Over() && d.opts.Quiet() > quietTime && d.opts.Reachable() {
		view = d.refresh(ctx, view)
	}
	return Answer{Verdict: OK, State: view.State()}
}

// refresh reads the progress of a job that this instance's view may be behind on.
func (d *Desk) refresh(ctx context.Context, view board.View) board.View {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout.Duration())
	defer cancel()
	e, err := d.opts.Store.Get(ctx, board.ProgressKey(view.ID))
	if err != nil {
		d.opts.Log.WithError(err).WithField("job", view.ID).Debug("intake: state not read anew, the known one is told")
		return view
	}
	d.opts.Board.Add(e)
	if fresh, ok := d.opts.Board.Find(view.ID); ok {
		return fresh
	}
	return view
}

// Cancel records that a job is cancelled. A job that is over stays as it is.
func (d *Desk) Cancel(ctx context.Context, g Grant) Answer {
	view, answer := d.find(ctx, g)
	if answer != nil {
		return *answer
	}
	if view.Cancelled || view.Progress.State.Over() {
		return Answer{Verdict: OK, Reason: "over before"}
	}
	entry := kv.Entry{Key: board.CancelKey(g.ID), Value: []byte(d.token())}
	version, kind, err := d.create(ctx, entry)
	switch kind {
	case kv.OK, kv.Conflict:
		entry.Version = version
		d.opts.Board.Add(entry)
		return Answer{Verdict: OK, Reason: "recorded"}
	case kv.Refused:
		return Answer{Verdict: Busy, After: retryAfter, Reason: err.Error()}
	default:
		return Answer{Verdict: Unsure, After: retryAfter, Reason: err.Error()}
	}
}

// Pending tells how many of a queue's jobs wait for their first task. An instance that
// does not know the jobs, or not those of late, tells no number.
func (d *Desk) Pending(g Grant) Answer {
	if age := d.opts.Age(); age > countAge {
		return Answer{Verdict: Unready, After: retryAfter, Reason: "the jobs of late are not known here"}
	}
	return Answer{Verdict: OK, Pending: d.opts.Board.Pending(g.Queue.Name)}
}
