package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/scheduler"
)

// Instances is what one entry knows of the live entries of all failure domains and of the
// workers of its own failure domain.
type Instances struct {
	Domain  string   `json:"domain"`
	Entries []Entry  `json:"entries"`
	Workers []Worker `json:"workers"`
	// ListAge is the time in milliseconds since the entry last read the platform's list of
	// workers; -1 means that it has not read the list yet.
	ListAge clock.Millis `json:"list_age_ms"`
}

// Entry is what one entry knows of itself or of another entry. Age is the time in
// milliseconds since the other entry last reported its state.
type Entry struct {
	Name     string       `json:"name"`
	Address  string       `json:"address"`
	Domain   string       `json:"domain"`
	State    string       `json:"state"`
	Revision uint64       `json:"revision"`
	Leads    bool         `json:"leads"`
	Term     int64        `json:"term"`
	Age      clock.Millis `json:"age_ms"`
}

// Worker is what an entry knows of a worker of its failure domain.
type Worker struct {
	Name     string        `json:"name"`
	Address  string        `json:"address"`
	Rack     string        `json:"rack"`
	State    string        `json:"state"`
	Capacity job.Resources `json:"capacity"`
}

// Spread shows which revision of the cluster text is in force at each live entry. Revision
// is the one in force at the entry that was called.
type Spread struct {
	Revision uint64 `json:"revision"`
	// Everywhere reports whether Revision or a higher one is in force at every live entry.
	Everywhere bool    `json:"everywhere"`
	Entries    []Entry `json:"entries"`
}

// Status returns the status of the scheduler of the entry's failure domain.
func (c *Client) Status(ctx context.Context) (scheduler.Status, error) {
	return callJSON[scheduler.Status](ctx, c, http.MethodGet, "/v1/status")
}

// Instances returns the live entries and the workers of the called entry's failure domain.
func (c *Client) Instances(ctx context.Context) (Instances, error) {
	return callJSON[Instances](ctx, c, http.MethodGet, "/v1/instances")
}

// Spread returns which revision of the cluster text is in force at each live entry.
func (c *Client) Spread(ctx context.Context) (Spread, error) {
	return callJSON[Spread](ctx, c, http.MethodGet, "/v1/text/spread")
}

// DrainResult names the entry or worker that was taken out of service.
type DrainResult struct {
	Entry  string `json:"entry,omitempty"`
	Worker string `json:"worker,omitempty"`
	// Durable reports whether the platform's list of instances marks the worker as leaving.
	Durable bool `json:"durable,omitempty"`
}

// DrainEntry starts to take the named entry out of service.
func (c *Client) DrainEntry(ctx context.Context, name string) (DrainResult, error) {
	return callJSON[DrainResult](ctx, c, http.MethodPost, "/v1/drain?entry="+url.QueryEscape(name))
}

// DrainWorker starts to take the named worker out of service.
func (c *Client) DrainWorker(ctx context.Context, name string) (DrainResult, error) {
	return callJSON[DrainResult](ctx, c, http.MethodPost, "/v1/drain?worker="+url.QueryEscape(name))
}

// Trace copies the trace of the scheduler of the entry's failure domain to w: the latest
// steps, one JSON value per line.
func (c *Client) Trace(ctx context.Context, w io.Writer) error {
	resp, err := c.do(ctx, http.MethodGet, "/v1/trace", nil, nil)
	if err != nil {
		return err
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK {
		return responseError(resp)
	}
	_, err = io.Copy(w, resp.Body)
	return err
}

// callJSON makes a call without a body and decodes its JSON response. A response with an
// error status is returned as *Error.
func callJSON[T any](ctx context.Context, c *Client, method, path string) (out T, err error) {
	resp, err := c.do(ctx, method, path, nil, nil)
	if err != nil {
		return out, err
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusAccepted {
		return out, responseError(resp)
	}
	return out, json.NewDecoder(resp.Body).Decode(&out)
}
