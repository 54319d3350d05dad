package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/outcome"
)

// Times between two questions after the same request, in milliseconds.
const (
	firstPoll = 100 * clock.Millisecond
	lastPoll  = 2 * clock.Second
)

// Request is a submission. Fields left out come from the service in the text.
type Request struct {
	Service  string       `json:"service"`
	Key      string       `json:"key"`
	Class    job.Class    `json:"class,omitempty"`
	Declared clock.Millis `json:"declared_ms,omitempty"`
	Deadline clock.Millis `json:"deadline_ms,omitempty"`
	Shape    *job.Shape   `json:"shape,omitempty"`
	Payload  []byte       `json:"payload,omitempty"`
	// Again says that the key may have been submitted before, for example by a call
	// that got no answer.
	Again bool `json:"again,omitempty"`
}

// Submit sends a request and returns its outcome. It returns ErrIncomplete when
// the answer was cut on its way.
func (c *Client) Submit(ctx context.Context, r Request) (outcome.Outcome, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return outcome.Outcome{}, err
	}
	return c.outcome(ctx, http.MethodPost, "/v1/requests", body)
}

// Ask returns the outcome of an earlier request by its key.
func (c *Client) Ask(ctx context.Context, key string) (outcome.Outcome, error) {
	return c.outcome(ctx, http.MethodGet, "/v1/requests/"+url.PathEscape(key), nil)
}

// Cancel asks for the end of a job and returns its outcome.
func (c *Client) Cancel(ctx context.Context, key string) (outcome.Outcome, error) {
	return c.outcome(ctx, http.MethodDelete, "/v1/requests/"+url.PathEscape(key), nil)
}

// Wait asks after a request until its outcome can no longer change by waiting, or
// ctx ends. Each outcome on the way is passed to progress, which may be nil. A
// call that fails is made again; when ctx ends, the last outcome or error is
// returned.
func (c *Client) Wait(ctx context.Context, key string, progress func(o outcome.Outcome, err error)) (outcome.Outcome, error) {
	pause := firstPoll
	for {
		o, err := c.Ask(ctx, key)
		if err == nil && !waits(o) {
			return o, nil
		}
		if progress != nil && ctx.Err() == nil {
			progress(o, err)
		}
		if !clock.Sleep(ctx, max(pause, o.Retry)) {
			return o, err
		}
		pause = min(2*pause, lastPoll)
	}
}

// waits reports whether a later question may be answered otherwise.
func waits(o outcome.Outcome) bool {
	switch o.Kind {
	case outcome.Accepted:
		return true
	case outcome.Unknown:
		return o.Reason == outcome.InProgress || o.Reason == outcome.StoreUnreachable || o.Reason == outcome.ClaimUnclear
	default:
		return false
	}
}

func (c *Client) outcome(ctx context.Context, method, path string, body []byte) (o outcome.Outcome, err error) {
	resp, err := c.do(ctx, method, path, body, nil)
	if err != nil {
		return o, err
	}
	defer closeBody(resp)
	if err := json.NewDecoder(resp.Body).Decode(&o); err != nil {
		return o, fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
	if o.Kind == "" || !o.Whole() {
		return o, ErrIncomplete
	}
	return o, nil
}
