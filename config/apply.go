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
	// resolveTimeout bounds how long the fate of a write is looked for, in milliseconds.
	resolveTimeout = 5 * clock.Second
	retryDelay     = 100 * clock.Millisecond
)

// ConflictError tells that the text was changed by somebody else first.
type ConflictError struct {
	Base    uint64
	Current Snapshot
}

// Error formats both revisions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("text has moved on from revision %d to %d", e.Base, e.Current.Revision)
}

// RefusedError tells that the text was certainly not accepted, for a reason of the store.
type RefusedError struct{ Err error }

// Error formats the cause.
func (e *RefusedError) Error() string { return fmt.Sprintf("text was not accepted: %v", e.Err) }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Err }

// UnclearError tells that the text may have been accepted under Revision.
type UnclearError struct {
	Revision uint64
	Err      error
}

// Error formats the cause.
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

// Apply accepts a text that was made from revision base and returns its revision.
// It fails with *ConflictError, *RefusedError, *UnclearError, or the error of Check.
func (h *Holder) Apply(ctx context.Context, base uint64, raw []byte) (uint64, error) {
	t, err := h.opts.Check(raw)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout.Duration())
	defer cancel()
	for {
		revision, err := h.applyOnce(ctx, base, raw)
		if errors.Is(err, errStaleRead) && waitRetry(ctx) {
			continue
		}
		if err != nil {
			return 0, err
		}
		h.SetIfNewer(Snapshot{Revision: revision, Raw: raw, Text: t})
		return revision, nil
	}
}

// applyOnce writes a text once. Its error is a *RefusedError of errStale when the version
// that was written over came from a stale read.
func (h *Holder) applyOnce(ctx context.Context, base uint64, raw []byte) (uint64, error) {
	current, err := h.readStored(ctx)
	if err != nil {
		return 0, &RefusedError{err}
	}
	known, err := h.newest(current)
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

// nextRevision returns the number of the text after base. It follows the clock in
// seconds, so that numbers grow even after the store has lost the last of them.
func (h *Holder) nextRevision(base uint64) uint64 {
	return max(base+1, uint64(h.opts.Clock.Now()/clock.Second))
}

// readStored reads the value in the store; a missing one has version and revision 0.
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

// newest returns the newer of the stored text and the one in force.
func (h *Holder) newest(s storedText) (Snapshot, error) {
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

// writeStored writes next over current. A write whose fate is unclear is repeated as it is:
// of two equal writes on one version at most one takes effect, so a second that wins
// settles the first, and a second that loses tells that something took effect.
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
		if !waitRetry(ctx) {
			return &UnclearError{next.Revision, err}
		}
	}
}

// resolveConflict reads back after a write that met another version.
func (h *Holder) resolveConflict(ctx context.Context, base uint64, before, attempted storedText, unclear bool) error {
	for {
		latest, err := h.readStored(ctx)
		if err == nil && latest.version <= before.version {
			err = errStaleRead
		}
		if err == nil {
			return h.resolveOutcome(base, before, attempted, latest, unclear)
		}
		if waitRetry(ctx) {
			continue
		}
		if unclear {
			return &UnclearError{attempted.Revision, err}
		}
		return &RefusedError{err}
	}
}

// resolveOutcome tells from the value that stands now, which is of another version than the
// one written over, whether the own write took effect.
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
	known, err := h.newest(latest)
	if err != nil {
		return &RefusedError{err}
	}
	return &ConflictError{Base: base, Current: known}
}

// waitRetry waits a moment between two calls about the same write.
func waitRetry(ctx context.Context) bool {
	return clock.Sleep(ctx, retryDelay/2+mathrand.N(retryDelay))
}
