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

// Wait polls at intervals that double from initialPollInterval up to maxPollInterval, both
// in milliseconds. If an outcome has a longer Retry, Wait polls again after that time.
const (
	initialPollInterval = 100 * clock.Millisecond
	maxPollInterval     = 2 * clock.Second
)

// Request is a submission. Fields left out get the values of the service in the cluster
// text.
type Request struct {
	Service  string       `json:"service"`
	Key      string       `json:"key"`
	Class    job.Class    `json:"class,omitempty"`
	Declared clock.Millis `json:"declared_ms,omitempty"`
	Deadline clock.Millis `json:"deadline_ms,omitempty"`
	Shape    *job.Shape   `json:"shape,omitempty"`
	Payload  []byte       `json:"payload,omitempty"`
	// Resubmitted says that the key may have been submitted before, for example by a call
	// whose response was lost.
	Resubmitted bool `json:"again,omitempty"`
}

// Submit sends a request and returns its outcome. The error is ErrIncomplete if the response
// was cut off or damaged; the request may then have been accepted.
func (c *Client) Submit(ctx context.Context, r Request) (outcome.Outcome, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return outcome.Outcome{}, err
	}
	return c.outcome(ctx, http.MethodPost, "/v1/requests", body)
}

// Query returns the outcome of an earlier request by its key. The error is ErrIncomplete if
// the response was cut off or damaged.
func (c *Client) Query(ctx context.Context, key string) (outcome.Outcome, error) {
	return c.outcome(ctx, http.MethodGet, "/v1/requests/"+url.PathEscape(key), nil)
}

// Cancel requests the cancellation of a job and returns the job's outcome.
func (c *Client) Cancel(ctx context.Context, key string) (outcome.Outcome, error) {
	return c.outcome(ctx, http.MethodDelete, "/v1/requests/"+url.PathEscape(key), nil)
}

// Wait polls the outcome of a request until further polls can't change it or ctx ends. It
// passes every earlier outcome or error to progress, which may be nil. A failed call is
// retried. When ctx ends, Wait returns the last outcome or error.
func (c *Client) Wait(ctx context.Context, key string, progress func(o outcome.Outcome, err error)) (outcome.Outcome, error) {
	delay := initialPollInterval
	for {
		o, err := c.Query(ctx, key)
		if err == nil && !mayChange(o) {
			return o, nil
		}
		if progress != nil && ctx.Err() == nil {
			progress(o, err)
		}
		if !clock.Sleep(ctx, max(delay, o.Retry)) {
			return o, err
		}
		delay = min(2*delay, maxPollInterval)
	}
}

// mayChange reports whether a later query may return another outcome.
func mayChange(o outcome.Outcome) bool {
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
	if o.Kind == "" || !o.Intact() {
		return o, ErrIncomplete
	}
	return o, nil
}
