// Package client calls an entry's HTTP APIs for the command line and for programs.
//
// # Usage
//
//	c := client.New(client.Options{Address: "http://127.0.0.1:7000", Token: t})
//	o, err := c.Submit(ctx, client.Request{Service: "refund", Key: "r-1"})
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/outcome"
)

// ErrIncomplete means that an answer did not match its own length or hash.
var ErrIncomplete = errors.New("client: the answer is incomplete; ask again by key")

// Options configures a Client.
type Options struct {
	// Address is the base URL of an entry or of the balancer before the entries.
	Address string
	// Token is the bearer token for the calls to be made.
	Token string
}

// Request is a submission. Fields left out come from the service in the text.
type Request struct {
	Service  string       `json:"service"`
	Key      string       `json:"key"`
	Class    job.Class    `json:"class,omitempty"`
	Declared clock.Millis `json:"declared_ms,omitempty"`
	Deadline clock.Millis `json:"deadline_ms,omitempty"`
	Shape    *job.Shape   `json:"shape,omitempty"`
	Payload  []byte       `json:"payload,omitempty"`
}

// Error is an answer of an entry that is not an outcome.
type Error struct {
	Status  int
	Message string
	// Revision and Current show the text that stands after a conflict.
	Revision uint64
	Current  string
}

// Error formats the status and the entry's message.
func (e *Error) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Message) }

// Client calls one address. It is safe for concurrent use.
type Client struct {
	opts Options
	http *http.Client
}

// New returns a client.
func New(opts Options) *Client {
	opts.Address = strings.TrimSuffix(opts.Address, "/")
	return &Client{opts: opts, http: &http.Client{}}
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

// Text returns the text in force and its revision.
func (c *Client) Text(ctx context.Context) (raw []byte, revision uint64, err error) {
	resp, err := c.do(ctx, http.MethodGet, "/v1/text", nil, nil)
	if err != nil {
		return nil, 0, err
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK {
		return nil, 0, problem(resp)
	}
	revision, err = strconv.ParseUint(strings.Trim(resp.Header.Get("ETag"), `"`), 10, 64)
	if err != nil {
		return nil, 0, err
	}
	raw, err = io.ReadAll(resp.Body)
	return raw, revision, err
}

// Apply replaces revision base of the text and returns the new revision.
func (c *Client) Apply(ctx context.Context, base uint64, raw []byte) (uint64, error) {
	header := http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(base, 10))}}
	resp, err := c.do(ctx, http.MethodPut, "/v1/text", raw, header)
	if err != nil {
		return 0, err
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK {
		return 0, problem(resp)
	}
	var out struct {
		Revision uint64 `json:"revision"`
	}
	err = json.NewDecoder(resp.Body).Decode(&out)
	return out.Revision, err
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
	if !o.Whole() {
		return o, ErrIncomplete
	}
	return o, nil
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.opts.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for k, v := range header {
		req.Header[k] = v
	}
	req.Header.Set("Authorization", "Bearer "+c.opts.Token)
	return c.http.Do(req)
}

func problem(resp *http.Response) error {
	e := &Error{Status: resp.StatusCode, Message: resp.Status}
	var in struct {
		Error    string `json:"error"`
		Revision uint64 `json:"revision"`
		Current  string `json:"current"`
	}
	if json.NewDecoder(resp.Body).Decode(&in) == nil {
		e.Message, e.Revision, e.Current = in.Error, in.Revision, in.Current
	}
	return e
}

func closeBody(resp *http.Response) { _ = resp.Body.Close() }
