// Package kv defines the types that clients of a key-value store share: versioned keys,
// conditional transactions, and errors that say whether a write may have taken effect. Package
// consul and package platform are such clients.
//
// # Usage
//
//	_, err := store.Commit(ctx, []kv.Op{{Key: "claim/kulhar/refund-1", Value: mine}})
//	switch kv.KindOf(err) {
//	case kv.Conflict:  // another writer was first
//	case kv.Refused:   // certainly not written
//	case kv.Ambiguous: // read the key to find out whether it was written
//	}
package kv

import (
	"errors"
	"fmt"
)

// MaxValue is the largest size of a value in bytes, unless the store has a limit of its own.
const MaxValue = 1 << 20

// Kind classifies errors by what they mean for the caller.
type Kind int

// The kinds of errors.
const (
	// OK means that there was no error.
	OK Kind = iota
	// Conflict means that a condition of the transaction did not hold; nothing was written.
	Conflict
	// Missing means that the key or the lease does not exist.
	Missing
	// Refused means that the call certainly had no effect.
	Refused
	// Rejected means that the call had no effect, and that the store will not accept it later either, such as a
	// value that is too large.
	Rejected
	// Ambiguous means that a write may or may not have taken effect.
	Ambiguous
	// Compacted means that the store no longer has the history from which to watch.
	Compacted
)

// Error describes a failed call of the store.
type Error struct {
	Op   string
	Key  string
	Kind Kind
	// Ops are the indices of the operations that caused a Conflict, as far as the store
	// reports them.
	Ops []int
	Err error
}

// Error formats the call, the key and the cause.
func (e *Error) Error() string { return fmt.Sprintf("store: %s %s: %v", e.Op, e.Key, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Causes of errors that have no other underlying error.
var (
	ErrConflict  = errors.New("version conflict")
	ErrMissing   = errors.New("no such key")
	ErrCompacted = errors.New("history is gone")
)

// KindOf returns the kind of err: OK for nil, and Ambiguous for errors of other types.
func KindOf(err error) Kind {
	if err == nil {
		return OK
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Ambiguous
}

// Entry is one key of the store with the version of its last write.
type Entry struct {
	Key     string
	Value   []byte
	Version uint64
	// Created is the version of the write that created the key; 0 if the store does not report
	// it.
	Created uint64
}

// MaxOps is the largest number of operations in one transaction.
const MaxOps = 64

// Op is one operation of a transaction: a write of a key that requires that the key still has the
// given version. Version 0 means that the key must not exist.
type Op struct {
	Key     string
	Version uint64
	Value   []byte
	// Delete removes the key instead of writing Value.
	Delete bool
	// RequireAbsent makes the operation only a check that the key does not exist.
	RequireAbsent bool
	// RequireVersion makes the operation only a check that the key has Version.
	RequireVersion bool
	// Lease is the ID of a lease; the store deletes the key when the lease ends. 0 means that the
	// key does not expire.
	Lease uint64
}

// Change is a change of one key that a watch reports.
type Change struct {
	Entry
	// Deleted means that the key was deleted. Value is empty in that case.
	Deleted bool
}
