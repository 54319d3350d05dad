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

// Instances is what one entry knows of the entries and of its domain's workers.
type Instances struct {
	Domain  string   `json:"domain"`
	Entries []Entry  `json:"entries"`
	Workers []Worker `json:"workers"`
	// Age is the time in milliseconds since the platform's list was read; -1 means never.
	Age clock.Millis `json:"list_age_ms"`
}

// Entry is an entry as another one knows it.
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

// Worker is a worker as an entry of its failure domain knows it.
type Worker struct {
	Name     string        `json:"name"`
	Address  string        `json:"address"`
	Rack     string        `json:"rack"`
	State    string        `json:"state"`
	Capacity job.Resources `json:"capacity"`
}

// Spread tells which revision of the text each live entry runs.
type Spread struct {
	Revision uint64 `json:"revision"`
	// Everywhere tells that every live entry runs this revision or a higher one.
	Everywhere bool    `json:"everywhere"`
	Entries    []Entry `json:"entries"`
}

// Status returns how the scheduler of the entry's failure domain stands.
func (c *Client) Status(ctx context.Context) (scheduler.Status, error) {
	return read[scheduler.Status](ctx, c, http.MethodGet, "/v1/status")
}

// Instances returns the entries, and the workers of the entry's failure domain.
func (c *Client) Instances(ctx context.Context) (Instances, error) {
	return read[Instances](ctx, c, http.MethodGet, "/v1/instances")
}

// Spread returns how far the text in force at the entry has come.
func (c *Client) Spread(ctx context.Context) (Spread, error) {
	return read[Spread](ctx, c, http.MethodGet, "/v1/text/spread")
}

// Drained tells what was taken out of service.
type Drained struct {
	Entry  string `json:"entry,omitempty"`
	Worker string `json:"worker,omitempty"`
	// Durable tells that the platform's list has the mark of the worker.
	Durable bool `json:"durable,omitempty"`
}

// DrainEntry takes an entry out of service.
func (c *Client) DrainEntry(ctx context.Context, name string) (Drained, error) {
	return read[Drained](ctx, c, http.MethodPost, "/v1/drain?entry="+url.QueryEscape(name))
}

// DrainWorker takes a worker out of service.
func (c *Client) DrainWorker(ctx context.Context, name string) (Drained, error) {
	return read[Drained](ctx, c, http.MethodPost, "/v1/drain?worker="+url.QueryEscape(name))
}

// Trace copies the scheduler's trace of a failure domain to w, one JSON step a line.
func (c *Client) Trace(ctx context.Context, w io.Writer) error {
	resp, err := c.do(ctx, http.MethodGet, "/v1/trace", nil, nil)
	if err != nil {
		return err
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK {
		return problem(resp)
	}
	_, err = io.Copy(w, resp.Body)
	return err
}

// read decodes the JSON answer of a call, or returns the entry's *Error.
func read[T any](ctx context.Context, c *Client, method, path string) (out T, err error) {
	resp, err := c.do(ctx, method, path, nil, nil)
	if err != nil {
		return out, err
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusAccepted {
		return out, problem(resp)
	}
	return out, json.NewDecoder(resp.Body).Decode(&out)
}
