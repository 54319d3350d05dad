// Package outcome defines the values in which every answer of the system is
// given: over HTTP, between entries, on the command line, in logs and in
// counters.
//
// # Usage
//
//	o := outcome.Refuse(key, outcome.StoreUnreachable, 500*clock.Millisecond)
//	if o.Kind == outcome.NotRun {
//		// The request did not run and will not run under this submission.
//	}
package outcome

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/chestnutsail/chestnutsail/clock"
)

// Kind says what became of a request.
type Kind string

// The kinds of outcome.
const (
	// Done means the request ran; the whole answer is in Body.
	Done Kind = "done"
	// Failed means the request ran and ended in an error of its own, which is in Body.
	Failed Kind = "failed"
	// Accepted means a durable record exists; the result is read later by key.
	Accepted Kind = "accepted"
	// NotRun means the request did not run and will not run under this submission.
	NotRun Kind = "notrun"
	// Unknown means the request may have run and will not be run again.
	Unknown Kind = "unknown"
)

// Outcome is the answer to one request.
type Outcome struct {
	Kind    Kind   `json:"outcome" cbor:"1,keyasint"`
	Reason  Reason `json:"reason,omitempty" cbor:"2,keyasint,omitempty"`
	Account string `json:"account,omitempty" cbor:"3,keyasint,omitempty"`
	Key     string `json:"key,omitempty" cbor:"4,keyasint,omitempty"`
	// Attempt is the number of the attempt that answered, from 1.
	Attempt int `json:"attempt,omitempty" cbor:"5,keyasint,omitempty"`
	// Body is the whole answer; Length and Hash let the caller check it.
	Body   []byte `json:"body,omitempty" cbor:"6,keyasint,omitempty"`
	Length int    `json:"length,omitempty" cbor:"7,keyasint,omitempty"`
	// Hash is the lower-case hexadecimal SHA-256 of Body.
	Hash string `json:"hash,omitempty" cbor:"8,keyasint,omitempty"`
	// Retry is the time in milliseconds after which trying again is useful; 0 means no advice.
	Retry clock.Millis `json:"retry_ms,omitempty" cbor:"9,keyasint,omitempty"`
	// Detail explains the reason to a person.
	Detail string `json:"detail,omitempty" cbor:"10,keyasint,omitempty"`
	// Worker is the worker that ran the request, when one did.
	Worker string `json:"worker,omitempty" cbor:"11,keyasint,omitempty"`
}

// Refuse returns a NotRun outcome with the advice to try again after retry.
func Refuse(key string, reason Reason, retry clock.Millis, detail string) Outcome {
	return Outcome{Kind: NotRun, Reason: reason, Key: key, Retry: retry, Detail: detail}
}

// Seal returns a copy of o that carries body with its length and hash.
func (o Outcome) Seal(body []byte) Outcome {
	o.Body = body
	o.Length = len(body)
	o.Hash = Hash(body)
	return o
}

// Whole reports whether the body matches the length and hash it was sealed with.
func (o Outcome) Whole() bool {
	if o.Kind != Done && o.Kind != Failed {
		return true
	}
	return o.Length == len(o.Body) && o.Hash == Hash(o.Body)
}

// Final reports whether the outcome can no longer change.
func (o Outcome) Final() bool {
	return o.Kind == Done || o.Kind == Failed || o.Kind == NotRun
}

// Hash returns the lower-case hexadecimal SHA-256 of body.
func Hash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
