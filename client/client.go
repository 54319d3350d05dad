// Package client calls the HTTP APIs of an entry, for the command line and other programs.
//
// # Usage
//
//	c := client.New(client.Options{Address: "http://127.0.0.1:7000", Token: t})
//	o, err := c.Submit(ctx, client.Request{Service: "refund", Key: "r-1"})
//	if o.Kind == outcome.Accepted {
//		o, err = c.Wait(ctx, "r-1", nil)
//	}
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// ErrIncomplete means that a response was cut off, or that its body does not match the
// length or hash that the response itself carries.
var ErrIncomplete = errors.New("client: the response is incomplete; query the outcome by its key")

// Options configures a Client.
type Options struct {
	// Address is the base URL of an entry or of the load balancer in front of the entries.
	Address string
	// Token is the bearer token of every call: a caller's for requests and jobs, an
	// operator's for all other calls.
	Token string
	// Transport sends the HTTP requests; nil means http.DefaultTransport.
	Transport http.RoundTripper
}

// Error is a response with an error status that does not contain an outcome.
type Error struct {
	Status  int
	Message string
	// Revision and Current are set after a conflict: the revision of the cluster text in
	// force and that text.
	Revision uint64
	Current  string
}

// Error returns the HTTP status code and the entry's message.
func (e *Error) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Message) }

// Client calls the APIs at one address. It is safe for concurrent use.
type Client struct {
	opts Options
	http *http.Client
}

// New returns a client of the APIs at opts.Address.
func New(opts Options) *Client {
	opts.Address = strings.TrimSuffix(opts.Address, "/")
	return &Client{opts: opts, http: &http.Client{Transport: opts.Transport}}
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

func responseError(resp *http.Response) error {
	e := &Error{Status: resp.StatusCode, Message: resp.Status}
	var in struct {
		Error    string `json:"error"`
		Revision uint64 `json:"revision"`
		Current  string `json:"current"`
	}
	if json.NewDecoder(resp.Body).Decode(&in) == nil && in.Error != "" {
		e.Message, e.Revision, e.Current = in.Error, in.Revision, in.Current
	}
	return e
}

func closeBody(resp *http.Response) { _ = resp.Body.Close() }
