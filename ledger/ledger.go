// Package ledger stores the durable records of jobs in the platform's store. A job is
// accepted once its record is written. Each job has two keys in the store. The first is
// unique per account and request key in the whole firm, and contains the result of an ended
// job. The second contains the record of a live job under its failure domain.
//
// # Usage
//
//	l := ledger.New(ledger.Options{Store: store, Domain: "a", Hint: notifyScheduler})
//	o := l.Submit(ctx, spec)        // accepted, or the reason of the refusal
//	o = l.Query(ctx, account, key)  // works on every instance
//	o = l.Cancel(ctx, account, key) // works on every instance
//
// Concurrent writes share calls to the store.
package ledger

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/consul"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/outcome"
)

const (
	retryAfter     = 500 * clock.Millisecond
	resolveTimeout = 5 * clock.Second
	retryInterval  = 100 * clock.Millisecond
)

// Store is the part of the platform's store that the ledger uses.
type Store interface {
	Commit(ctx context.Context, ops []kv.Op) ([]uint64, error)
	Get(ctx context.Context, key string) (kv.Entry, error)
	List(ctx context.Context, prefix string) ([]kv.Entry, uint64, error)
	Keys(ctx context.Context, prefix string) ([]string, error)
	Watch(ctx context.Context, prefix string, index uint64, wait clock.Millis) ([]kv.Entry, uint64, error)
}

// Entry is a live record with its version in the store.
type Entry struct {
	Record  job.Record `json:"record"`
	Version uint64     `json:"version"`
}

// Options configures a Ledger.
type Options struct {
	Store Store
	// Domain is the failure domain of this instance.
	Domain string
	// PickDomain returns the failure domain for a new job, or the reason why the job cannot
	// run in any domain. nil means that all jobs run in Domain.
	PickDomain func(s job.Spec) (domain string, reason outcome.Reason)
	// Hint notifies the scheduler of a domain of a new or changed record. It must not block,
	// and a notification may be lost. nil means no notifications.
	Hint func(domain string, e Entry)
	// ConflictingKey returns a key of the store that must not exist when the record of a job is
	// written; nil means none.
	ConflictingKey func(account, key string) string
	// MaxOpsPerCall limits the number of store operations that share a call; 0 means
	// kv.MaxOps.
	MaxOpsPerCall int
	// MaxCalls limits the number of concurrent write calls to the store; 0 means 4.
	MaxCalls int
	// Retention is the time in milliseconds for which the results of ended jobs are kept; 0
	// means 7 days.
	Retention clock.Millis
	// Clock defaults to the system clock.
	Clock *clock.Clock
	Log   *logrus.Entry
}

// Ledger reads and writes the records of jobs. It is safe for concurrent use.
type Ledger struct {
	opts   Options
	writes *committer
}

// keyRecord is the value of a job's unique key.
type keyRecord struct {
	// Token is a random value by which a writer recognizes its own write.
	Token  string `json:"token"`
	Hash   string `json:"hash"`
	Domain string `json:"domain"`
	// Ended is the final record of a job that has ended, and nil for a live job.
	Ended *job.Record `json:"ended,omitempty"`
}

// New returns a ledger whose writer goroutines run until Stop.
func New(opts Options) *Ledger {
	if opts.Clock == nil {
		opts.Clock = clock.New()
	}
	if opts.Retention == 0 {
		opts.Retention = 7 * 24 * clock.Hour
	}
	if opts.PickDomain == nil {
		opts.PickDomain = func(job.Spec) (string, outcome.Reason) { return opts.Domain, "" }
	}
	if opts.Hint == nil {
		opts.Hint = func(string, Entry) {}
	}
	if opts.Log == nil {
		opts.Log = logrus.NewEntry(logrus.StandardLogger())
	}
	return &Ledger{opts: opts, writes: newCommitter(opts)}
}

// Stop ends the writer goroutines after the store calls in progress have returned. The
// returned error is always nil.
func (l *Ledger) Stop(context.Context) error {
	l.writes.stop()
	return nil
}

// Submit writes the record of a job. The outcome is Accepted once the record is written. If
// the same request was submitted before, it is the outcome of that job. It is NotRun when no
// record was written, also because another request has used the key, and Unknown when the
// result could not be determined before ctx ended or five seconds had passed.
func (l *Ledger) Submit(ctx context.Context, s job.Spec) outcome.Outcome {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout.Duration())
	defer cancel()
	domain, reason := l.opts.PickDomain(s)
	submitted := keyRecord{Token: rand.Text(), Hash: requestHash(s), Domain: domain}
	if reason != "" {
		return l.refuseUnplaceable(ctx, s, submitted, reason)
	}
	r := job.Record{Spec: s, State: job.Waiting, Domain: domain, Submitted: l.opts.Clock.Now()}
	ops := []kv.Op{
		{Key: Key(s.Account, s.Key), Value: encode(submitted)},
		{Key: liveKey(r), Value: encode(r)},
	}
	if l.opts.ConflictingKey != nil {
		ops = append(ops, kv.Op{Key: l.opts.ConflictingKey(s.Account, s.Key), RequireAbsent: true})
	}
	for mayBeWritten := false; ; {
		versions, err := l.writes.apply(ctx, ops)
		switch kv.KindOf(err) {
		case kv.OK:
			l.opts.Hint(r.Domain, Entry{Record: r, Version: versions[1]})
			return accepted(s.Account, s.Key)
		case kv.Conflict:
			existing, _, err := l.keyRecord(ctx, s.Account, s.Key)
			if err == nil {
				return l.answerDuplicate(s, submitted, existing)
			}
			if l.usedByOtherKind(ctx, s) {
				return outcome.Refuse(s.Key, outcome.KeyReused, 0, "the key was used for a quick request")
			}
			mayBeWritten = true
		case kv.Refused:
			if !mayBeWritten {
				return outcome.Refuse(s.Key, refusalReason(err), retryAfter, "the job could not be recorded")
			}
		default:
			mayBeWritten = true
		}
		if !clock.Sleep(ctx, retryInterval) {
			return outcome.Outcome{Kind: outcome.Unknown, Reason: outcome.ClaimUnclear, Account: s.Account, Key: s.Key, Retry: retryAfter}
		}
	}
}

// refuseUnplaceable refuses a job that cannot run in any failure domain. If the key was used
// before, it returns the outcome of the earlier submission.
func (l *Ledger) refuseUnplaceable(ctx context.Context, s job.Spec, submitted keyRecord, reason outcome.Reason) outcome.Outcome {
	existing, _, err := l.keyRecord(ctx, s.Account, s.Key)
	switch kv.KindOf(err) {
	case kv.OK:
		return l.answerDuplicate(s, submitted, existing)
	case kv.Missing:
		return outcome.Refuse(s.Key, reason, 0, "the job can run in no failure domain")
	default:
		return outcome.Outcome{Kind: outcome.Unknown, Reason: outcome.StoreUnreachable, Account: s.Account, Key: s.Key, Retry: retryAfter}
	}
}

// usedByOtherKind reports whether a request of another kind uses the job's key.
func (l *Ledger) usedByOtherKind(ctx context.Context, s job.Spec) bool {
	if l.opts.ConflictingKey == nil {
		return false
	}
	_, err := l.opts.Store.Get(ctx, l.opts.ConflictingKey(s.Account, s.Key))
	return err == nil
}

// answerDuplicate returns the outcome of a submission whose key exists already. If this
// submission wrote the key itself and the response of the store was lost, it also sends the
// hint that is still due.
func (l *Ledger) answerDuplicate(s job.Spec, submitted, existing keyRecord) outcome.Outcome {
	if existing.Hash != submitted.Hash {
		return outcome.Refuse(s.Key, outcome.KeyReused, 0, "the key was used for another request")
	}
	if existing.Token == submitted.Token && existing.Ended == nil {
		r := job.Record{Spec: s, State: job.Waiting, Domain: existing.Domain}
		l.opts.Hint(existing.Domain, Entry{Record: r})
	}
	return outcomeOf(s.Account, s.Key, existing)
}

// Query returns the outcome of the job with the given key: Accepted while the job is live,
// Unknown with the reason UnknownKey when no job has the key, and Unknown with the reason
// StoreUnreachable when the key cannot be read.
func (l *Ledger) Query(ctx context.Context, account, key string) outcome.Outcome {
	existing, _, err := l.keyRecord(ctx, account, key)
	switch kv.KindOf(err) {
	case kv.OK:
		return outcomeOf(account, key, existing)
	case kv.Missing:
		return outcome.Outcome{Kind: outcome.Unknown, Reason: outcome.UnknownKey, Account: account, Key: key, Detail: "no request is known under this key"}
	default:
		return outcome.Outcome{Kind: outcome.Unknown, Reason: outcome.StoreUnreachable, Account: account, Key: key, Retry: retryAfter}
	}
}

// Cancel cancels a job and returns its outcome. The outcome is final when the job had ended
// or was waiting, and Accepted while the gang of the job is being stopped.
func (l *Ledger) Cancel(ctx context.Context, account, key string) outcome.Outcome {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout.Duration())
	defer cancel()
	for {
		existing, _, err := l.keyRecord(ctx, account, key)
		if kv.KindOf(err) == kv.Missing {
			return outcome.Outcome{Kind: outcome.Unknown, Reason: outcome.UnknownKey, Account: account, Key: key, Detail: "no request is known under this key"}
		}
		if err == nil && existing.Ended != nil {
			return outcomeOf(account, key, existing)
		}
		if err == nil {
			if o, done := l.cancelLive(ctx, account, key, existing); done {
				return o
			}
		}
		if !clock.Sleep(ctx, retryInterval) {
			return outcome.Outcome{Kind: outcome.Unknown, Reason: outcome.StoreUnreachable, Account: account, Key: key, Retry: retryAfter}
		}
	}
}

// cancelLive ends a waiting job and marks any other live job as canceled. It returns false
// when the record could not be read or written, for example because it has changed; the
// caller then retries.
func (l *Ledger) cancelLive(ctx context.Context, account, key string, existing keyRecord) (outcome.Outcome, bool) {
	e, err := l.Find(ctx, existing.Domain, account+"/"+key)
	if err != nil {
		return outcome.Outcome{}, false
	}
	if e.Record.State == job.Waiting {
		e.Record.State, e.Record.Cancel = job.Canceled, true
		ended, err := l.End(ctx, e)
		if err != nil {
			return outcome.Outcome{}, false
		}
		l.opts.Hint(existing.Domain, ended)
		return ended.Record.Outcome, true
	}
	if !e.Record.Cancel {
		e.Record.Cancel = true
		if e, err = l.Write(ctx, e); err != nil {
			return outcome.Outcome{}, false
		}
	}
	l.opts.Hint(existing.Domain, e)
	return accepted(account, key), true
}

func (l *Ledger) keyRecord(ctx context.Context, account, key string) (keyRecord, uint64, error) {
	var existing keyRecord
	version, err := l.readValue(ctx, Key(account, key), &existing)
	return existing, version, err
}

func (l *Ledger) readValue(ctx context.Context, key string, out any) (uint64, error) {
	entry, err := l.opts.Store.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	return entry.Version, json.Unmarshal(entry.Value, out)
}

func outcomeOf(account, key string, existing keyRecord) outcome.Outcome {
	if existing.Ended == nil {
		return accepted(account, key)
	}
	return existing.Ended.Outcome
}

func accepted(account, key string) outcome.Outcome {
	return outcome.Outcome{Kind: outcome.Accepted, Reason: outcome.InProgress, Account: account, Key: key, Retry: retryAfter}
}

// refusalReason returns the reason of a refused write: the budget of store calls was used up,
// or the store could not be reached.
func refusalReason(err error) outcome.Reason {
	if errors.Is(err, consul.ErrRateLimited) {
		return outcome.StoreOverBudget
	}
	return outcome.StoreUnreachable
}

// requestHash returns a hash of a spec without its deadline. It distinguishes the retry of a
// request from another request with the same key.
func requestHash(s job.Spec) string {
	s.Deadline = 0
	return outcome.Hash(encode(s))
}

func encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic("ledger: a record can't be encoded: " + err.Error())
	}
	return raw
}
