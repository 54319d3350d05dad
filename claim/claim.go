// Package claim ensures that a request that is not idempotent runs at most once. Such a
// request is claimed in the platform's store, by creating a key, before it is sent to a
// worker.
//
// A claim goes through these states. Each change is a compare-and-swap on the version of
// the claim in the store:
//
//	taken ----> taken, another worker (Attempt+1; the first certainly did not run it)
//	taken ----> ended (Outcome done or failed)
//	taken ----> unknown (Outcome unknown) ----> ended
//	taken ----> tombstone (Outcome notrun) ----> taken again (Attempt+1)
//	tombstone ----> tombstone (confirmed to be current)
//
// A tombstone overwrites the claim instead of deleting it, so a delayed write that is
// based on an older version of the claim fails.
//
// # Usage
//
//	r := claim.New(claim.Options{Store: store})
//	c, err := r.Take(ctx, claim.Claim{Account: "kulhar", Key: "refund-1", Hash: h, Worker: "a-1", Attempt: 1})
//	if err != nil { ... } // the request must not be sent
//	if !c.Own { ... }     // the request was claimed before: c is the existing claim
package claim

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"

	"github.com/chestnutsail/chestnutsail/breaker"
	"github.com/chestnutsail/chestnutsail/budget"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/counters"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/outcome"
)

// ErrStoreUnavailable is the cause of a refusal while the circuit breaker is open: the
// store has failed several times in a row and is not called.
var ErrStoreUnavailable = errors.New("claim: the store is not called because its last calls failed")

// slowCallTime is the shortest duration for which a call that the caller canceled, or whose
// deadline passed, counts as a failure of the store. A shorter call shows nothing about
// the store.
const slowCallTime = 300 * clock.Millisecond

// ErrOtherKind is the cause of a conflict with a request of another kind (a job), which
// used the same key but is not stored as a claim.
var ErrOtherKind = errors.New("claim: the key belongs to a request of another kind")

// Store is the part of the platform's store that claims use.
type Store interface {
	Get(ctx context.Context, key string) (kv.Entry, error)
	List(ctx context.Context, prefix string) ([]kv.Entry, uint64, error)
	Commit(ctx context.Context, ops []kv.Op) ([]uint64, error)
}

// Claim is the durable record of a request that is to be run at most once.
type Claim struct {
	Account string `json:"account"`
	Key     string `json:"key"`
	// Hash is the hash of the request. It detects another request under the same key.
	Hash string `json:"hash"`
	// Token is a random value that is drawn anew for each change of the claim. It shows
	// whether a write whose answer was lost took effect.
	Token string `json:"token"`
	// Worker, Address and Incarnation identify the process that the request is sent to.
	// Attempt is the number of the only attempt that may be sent to it.
	Worker      string       `json:"worker"`
	Address     string       `json:"address"`
	Incarnation string       `json:"incarnation"`
	Attempt     int          `json:"attempt"`
	TakenAt     clock.Millis `json:"taken"`
	// Outcome is set once the request has ended.
	Outcome *outcome.Outcome `json:"outcome,omitempty"`

	// Version is the claim's version in the store.
	Version uint64 `json:"-"`
	// Own reports whether the call that returned the claim also wrote it. It is false for
	// a claim that another call or entry wrote.
	Own bool `json:"-"`
}

// Tombstone reports whether the claim records that the request did not run.
func (c Claim) Tombstone() bool { return c.Outcome != nil && c.Outcome.Kind == outcome.NotRun }

// Options configures a Registry. Store is required.
type Options struct {
	Store Store
	// ConflictingKey returns a key of the store that must not exist when a request is
	// claimed, such as that of a job; nil means none.
	ConflictingKey func(account, key string) string
	// Breaker is the circuit breaker for calls to the store; nil means a new one.
	Breaker *breaker.Breaker
	// Budget bounds the retries of writes; nil means a new default budget.
	Budget *budget.Budget
	// Counters counts the retries; nil means a new set.
	Counters *counters.Counters
	// Clock defaults to the system clock.
	Clock *clock.Clock
}

// Registry creates, reads and updates claims. It is safe for concurrent use.
type Registry struct{ opts Options }

// New returns a registry of the claims in opts.Store.
func New(opts Options) *Registry {
	if opts.Clock == nil {
		opts.Clock = clock.New()
	}
	if opts.Breaker == nil {
		opts.Breaker = breaker.New(breaker.Options{Name: "store"})
	}
	if opts.Budget == nil {
		opts.Budget = budget.New(budget.Options{})
	}
	if opts.Counters == nil {
		opts.Counters = counters.New()
	}
	return &Registry{opts: opts}
}

// Take claims a request. If it was claimed before, Take returns the existing claim with
// Own false. An error of kind kv.Refused means that the claim was certainly not made.
// After any other error the claim may exist or may still appear.
func (r *Registry) Take(ctx context.Context, c Claim) (Claim, error) {
	c.Version = 0
	c.TakenAt = r.opts.Clock.Now()
	current, err := r.write(ctx, c)
	if kv.KindOf(err) == kv.Conflict && current.Version != 0 {
		return current, nil
	}
	if kv.KindOf(err) == kv.Conflict && r.usedByOtherKind(ctx, c) {
		err = &kv.Error{Op: "claim", Key: Key(c.Account, c.Key), Kind: kv.Conflict, Err: ErrOtherKind}
	}
	return current, err
}

// usedByOtherKind reports whether a request of another kind uses the key of the claim.
func (r *Registry) usedByOtherKind(ctx context.Context, c Claim) bool {
	if r.opts.ConflictingKey == nil {
		return false
	}
	storeKey := r.opts.ConflictingKey(c.Account, c.Key)
	err := r.callStore(ctx, "find", storeKey, func() error {
		_, err := r.opts.Store.Get(ctx, storeKey)
		return err
	})
	return err == nil
}

// Find returns the current claim of a key. The error is of kind kv.Missing if there is
// none.
func (r *Registry) Find(ctx context.Context, account, key string) (Claim, error) {
	storeKey := Key(account, key)
	var entry kv.Entry
	err := r.callStore(ctx, "find", storeKey, func() (err error) {
		entry, err = r.opts.Store.Get(ctx, storeKey)
		return err
	})
	if err != nil {
		return Claim{}, err
	}
	return decode(entry)
}

// write replaces version c.Version of the claim by c, or creates the claim if that is 0.
// A write whose answer was lost is retried with the same token until one write succeeds,
// a conflict shows a newer claim, ctx ends or the retry budget is spent. After a success
// or a conflict, a delayed earlier try of the same write can no longer take effect.
func (r *Registry) write(ctx context.Context, c Claim) (Claim, error) {
	c.Token = rand.Text()
	value, err := json.Marshal(c)
	if err != nil {
		return Claim{}, err
	}
	ambiguous := false
	for try := 1; ; try++ {
		version, err := r.commit(ctx, c, value)
		switch kv.KindOf(err) {
		case kv.OK:
			c.Version, c.Own = version, true
			return c, nil
		case kv.Refused:
			if !ambiguous {
				return Claim{}, err
			}
		case kv.Conflict:
			current, newer := r.current(ctx, c)
			if newer || !ambiguous {
				return current, conflictUnlessOwn(current, err)
			}
		default:
			ambiguous = true
		}
		if !r.opts.Budget.Retry(ctx, try) {
			return Claim{}, &kv.Error{Op: "claim", Key: Key(c.Account, c.Key), Kind: kv.Ambiguous, Err: err}
		}
		r.opts.Counters.Retried(outcome.RetryStoreUnclear)
	}
}

// current reads the claim after a conflict and reports whether it is newer than the
// version that c was to replace.
func (r *Registry) current(ctx context.Context, c Claim) (Claim, bool) {
	current, err := r.Find(ctx, c.Account, c.Key)
	if err != nil || current.Version <= c.Version {
		return Claim{}, false
	}
	current.Own = current.Token == c.Token
	return current, true
}

func conflictUnlessOwn(current Claim, conflict error) error {
	if current.Own {
		return nil
	}
	return conflict
}

func (r *Registry) commit(ctx context.Context, c Claim, value []byte) (version uint64, err error) {
	storeKey := Key(c.Account, c.Key)
	ops := []kv.Op{{Key: storeKey, Version: c.Version, Value: value}}
	if c.Version == 0 && r.opts.ConflictingKey != nil {
		ops = append(ops, kv.Op{Key: r.opts.ConflictingKey(c.Account, c.Key), RequireAbsent: true})
	}
	err = r.callStore(ctx, "claim", storeKey, func() error {
		versions, err := r.opts.Store.Commit(ctx, ops)
		if err == nil {
			version = versions[0]
		}
		return err
	})
	return version, err
}

// callStore makes one call to the store and reports the result to the circuit breaker.
// While the breaker is open it returns ErrStoreUnavailable without a call.
func (r *Registry) callStore(ctx context.Context, op, storeKey string, call func() error) error {
	done, ok := r.opts.Breaker.Allow()
	if !ok {
		return &kv.Error{Op: op, Key: storeKey, Kind: kv.Refused, Err: ErrStoreUnavailable}
	}
	started := r.opts.Clock.Now()
	err := call()
	switch kv.KindOf(err) {
	case kv.OK, kv.Conflict, kv.Missing:
		r.opts.Budget.Succeed()
		done(breaker.Success)
	default:
		if ctx.Err() != nil && r.opts.Clock.Now()-started < slowCallTime {
			done(breaker.Inconclusive)
			break
		}
		done(breaker.Failure)
	}
	return err
}

func decode(entry kv.Entry) (Claim, error) {
	var c Claim
	if err := json.Unmarshal(entry.Value, &c); err != nil {
		return Claim{}, err
	}
	c.Version = entry.Version
	return c, nil
}
