// Package outcome defines the outcome of a request as every part of the system reports
// it: over HTTP, between entries, on the command line, in logs and in counters.
//
// # Usage
//
//	o := outcome.Refuse(key, outcome.StoreUnreachable, 500*clock.Millisecond, "the store does not answer")
//	if o.Kind == outcome.NotRun {
//		// The request did not run and will not run under this submission.
//	}
package outcome

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/chestnutsail/chestnutsail/clock"
)

// Kind says how a request ended, as far as that is known.
type Kind string

// The kinds of outcome.
const (
	// Done means that the request ran; Body is its result.
	Done Kind = "done"
	// Failed means that the request ran and ended with an error of its own; Body is that error.
	Failed Kind = "failed"
	// Accepted means that the request is durably recorded; the caller reads its result later
	// by key.
	Accepted Kind = "accepted"
	// NotRun means that the request did not run and will not run under this submission.
	NotRun Kind = "notrun"
	// Unknown means that the request may have run and will not be run again.
	Unknown Kind = "unknown"
)

// Outcome is the answer to one request.
type Outcome struct {
	Kind    Kind   `json:"outcome" cbor:"1,keyasint"`
	Reason  Reason `json:"reason,omitempty" cbor:"2,keyasint,omitempty"`
	Account string `json:"account,omitempty" cbor:"3,keyasint,omitempty"`
	Key     string `json:"key,omitempty" cbor:"4,keyasint,omitempty"`
	// Attempt is the number of the attempt that ended the request, counted from 1.
	Attempt int `json:"attempt,omitempty" cbor:"5,keyasint,omitempty"`
	// Body is the complete result. Length, its length in bytes, and Hash let the caller
	// check that it was not truncated or altered.
	Body   []byte `json:"body,omitempty" cbor:"6,keyasint,omitempty"`
	Length int    `json:"length,omitempty" cbor:"7,keyasint,omitempty"`
	// Hash is the lower-case hexadecimal SHA-256 of Body.
	Hash string `json:"hash,omitempty" cbor:"8,keyasint,omitempty"`
	// Retry is the time in milliseconds after which to submit the request again; 0 means
	// that no time is known.
	Retry clock.Millis `json:"retry_ms,omitempty" cbor:"9,keyasint,omitempty"`
	// Detail explains the reason in words.
	Detail string `json:"detail,omitempty" cbor:"10,keyasint,omitempty"`
	// Worker is the name of the worker that ran, or may have run, the request; "" if none
	// is known.
	Worker string `json:"worker,omitempty" cbor:"11,keyasint,omitempty"`
}

// Refuse returns an outcome of kind NotRun. The caller may submit the request again after
// retry, in milliseconds.
func Refuse(key string, reason Reason, retry clock.Millis, detail string) Outcome {
	return Outcome{Kind: NotRun, Reason: reason, Key: key, Retry: retry, Detail: detail}
}

// WithBody returns a copy of o that carries body with its length and hash.
func (o Outcome) WithBody(body []byte) Outcome {
	o.Body = body
	o.Length = len(body)
	o.Hash = Hash(body)
	return o
}

// Intact reports whether the body of a Done or Failed outcome matches its length and hash.
// It is true for outcomes of other kinds, which have no body.
func (o Outcome) Intact() bool {
	if o.Kind != Done && o.Kind != Failed {
		return true
	}
	return o.Length == len(o.Body) && o.Hash == Hash(o.Body)
}

// Final reports whether the outcome can no longer change: it is Done, Failed or NotRun.
func (o Outcome) Final() bool {
	return o.Kind == Done || o.Kind == Failed || o.Kind == NotRun
}

// Hash returns the lower-case hexadecimal SHA-256 of body.
func Hash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
