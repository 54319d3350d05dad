package config

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	mathrand "math/rand/v2"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/kv"
)

const (
	// resolveTimeout is the longest time in milliseconds that Apply takes, including the time
	// to find out whether a write without an answer took effect.
	resolveTimeout = 5 * clock.Second
	retryDelay     = 100 * clock.Millisecond
)

// ConflictError means that the text was not accepted, since the cluster text is no longer at
// revision Base. Current is the text that replaced it.
type ConflictError struct {
	Base    uint64
	Current Snapshot
}

// Error returns a message with both revisions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("text has moved on from revision %d to %d", e.Base, e.Current.Revision)
}

// RefusedError means that the text was certainly not accepted, since the store failed, its
// reads were stale or the revision to replace has not reached this entry yet.
type RefusedError struct{ Err error }

// Error returns a message with the cause.
func (e *RefusedError) Error() string { return fmt.Sprintf("text was not accepted: %v", e.Err) }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Err }

// UnclearError means that the text may or may not have been accepted as revision Revision.
type UnclearError struct {
	Revision uint64
	Err      error
}

// Error returns a message with the revision and the cause.
func (e *UnclearError) Error() string {
	return fmt.Sprintf("text may have been accepted as revision %d: %v", e.Revision, e.Err)
}

// Unwrap returns the cause.
func (e *UnclearError) Unwrap() error { return e.Err }

var (
	errStaleRead   = errors.New("the store shows an older text than its versions tell")
	errUnknownBase = errors.New("the revision to replace has not reached this entry")
	errHistoryLost = errors.New("the store has lost the history of the text")
)

// Apply replaces the cluster text of revision base with raw, puts raw in force at this entry
// and returns its revision. It takes at most 5 s. Errors are of type *ConflictError,
// *RefusedError or *UnclearError, or come from Options.Check.
func (h *Holder) Apply(ctx context.Context, base uint64, raw []byte) (uint64, error) {
	t, err := h.opts.Check(raw)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout.Duration())
	defer cancel()
	for {
		revision, err := h.applyOnce(ctx, base, raw)
		if errors.Is(err, errStaleRead) && sleepBeforeRetry(ctx) {
			continue
		}
		if err != nil {
			return 0, err
		}
		h.SetIfNewer(Snapshot{Revision: revision, Raw: raw, Text: t})
		return revision, nil
	}
}

// applyOnce makes one attempt to replace the text of revision base. It returns a
// *RefusedError with errStaleRead if the read before the write was stale; the attempt can then
// be repeated.
func (h *Holder) applyOnce(ctx context.Context, base uint64, raw []byte) (uint64, error) {
	current, err := h.readStored(ctx)
	if err != nil {
		return 0, &RefusedError{err}
	}
	known, err := h.newerSnapshot(current)
	if err != nil {
		return 0, &RefusedError{err}
	}
	if known.Revision < base {
		return 0, &RefusedError{errUnknownBase}
	}
	if known.Revision > base {
		return 0, &ConflictError{Base: base, Current: known}
	}
	w := writeID{Revision: h.nextRevision(base), Token: rand.Text()}
	return w.Revision, h.writeStored(ctx, base, current, current.successor(w, raw))
}

// nextRevision returns the revision of the text that replaces base: the Unix time in seconds,
// or base+1 if that is higher. Revisions thus increase even after the store has lost the
// latest ones.
func (h *Holder) nextRevision(base uint64) uint64 {
	return max(base+1, uint64(h.opts.Clock.Now()/clock.Second))
}

// readStored reads the stored text. If there is none, the version and the revision of the
// result are 0.
func (h *Holder) readStored(ctx context.Context) (storedText, error) {
	e, err := h.opts.Store.Get(ctx, Key)
	if kv.KindOf(err) == kv.Missing {
		return storedText{}, nil
	}
	if err != nil {
		return storedText{}, err
	}
	return decode(e)
}

// newerSnapshot returns the stored text or the one in force, whichever has the higher
// revision. It puts a newer stored text in force.
func (h *Holder) newerSnapshot(s storedText) (Snapshot, error) {
	if s.Revision <= h.Now().Revision {
		return h.Now(), nil
	}
	snapshot, err := s.snapshot()
	if err != nil {
		return Snapshot{}, err
	}
	h.SetIfNewer(snapshot)
	return snapshot, nil
}

// writeStored replaces current with next in the store. If the result of a write is ambiguous,
// it repeats the same write. Both expect the same version, so at most one of them takes
// effect. If the repetition succeeds, the first can no longer take effect. If it conflicts,
// either the first or the write of another caller has taken effect.
func (h *Holder) writeStored(ctx context.Context, base uint64, current, next storedText) error {
	value, err := json.Marshal(next)
	if err != nil {
		return &RefusedError{err}
	}
	unclear := false
	for {
		_, err := h.opts.Store.Put(ctx, Key, current.version, value)
		switch kv.KindOf(err) {
		case kv.OK:
			return nil
		case kv.Conflict:
			return h.resolveConflict(ctx, base, current, next, unclear)
		case kv.Refused:
			if !unclear {
				return &RefusedError{err}
			}
		default:
			unclear = true
		}
		if !sleepBeforeRetry(ctx) {
			return &UnclearError{next.Revision, err}
		}
	}
}

// resolveConflict reads the stored text after a write that failed with a conflict, until the
// read is not stale, and returns the result of the write. unclear is true if an earlier write
// of the same text may have taken effect.
func (h *Holder) resolveConflict(ctx context.Context, base uint64, before, attempted storedText, unclear bool) error {
	for {
		latest, err := h.readStored(ctx)
		if err == nil && latest.version <= before.version {
			err = errStaleRead
		}
		if err == nil {
			return h.resolveOutcome(base, before, attempted, latest, unclear)
		}
		if sleepBeforeRetry(ctx) {
			continue
		}
		if unclear {
			return &UnclearError{attempted.Revision, err}
		}
		return &RefusedError{err}
	}
}

// resolveOutcome determines whether the attempted write took effect. latest is the stored
// text, whose version is higher than that of before, the text that the write was to replace.
// It returns nil if the write took effect.
func (h *Holder) resolveOutcome(base uint64, before, attempted, latest storedText, unclear bool) error {
	if latest.includes(attempted.Token) || latest.Revision == attempted.Revision && bytes.Equal(latest.Raw, attempted.Raw) {
		return nil
	}
	if latest.Revision <= base {
		return &RefusedError{errStaleRead}
	}
	if unclear && !latest.follows(before) {
		return &UnclearError{attempted.Revision, errHistoryLost}
	}
	known, err := h.newerSnapshot(latest)
	if err != nil {
		return &RefusedError{err}
	}
	return &ConflictError{Base: base, Current: known}
}

// sleepBeforeRetry waits for a random time around retryDelay before a call is repeated. It
// returns false if ctx ends first.
func sleepBeforeRetry(ctx context.Context) bool {
	return clock.Sleep(ctx, retryDelay/2+mathrand.N(retryDelay))
}
