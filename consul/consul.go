// Package consul is a client of the platform's key-value store and list of instances. The
// store offers compare-and-swap on versions and long-poll watches through the Consul HTTP
// API (/v1/txn, /v1/kv, /v1/health, /v1/agent).
//
// # Usage
//
//	c := consul.New(consul.Config{Address: "http://127.0.0.1:8500"})
//	v, err := c.Put(ctx, "claim/kulhar/refund-1", 0, []byte("mine")) // version 0 creates the key
//	switch kv.KindOf(err) {
//	case kv.Conflict:  // the key has another version
//	case kv.Refused:   // the key was certainly not written
//	case kv.Ambiguous: // the key may have been written; read it to find out
//	}
package consul

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/kv"
)

// Config configures a Client.
type Config struct {
	// Address is the base URL of the store's HTTP API.
	Address string
	// Timeout is the timeout of a call in milliseconds; 0 means 2 s. A watch may take this
	// much longer than its waiting time.
	Timeout clock.Millis
	// Transport is the HTTP transport; nil means a new one.
	Transport http.RoundTripper
	// Writes and Reads are the rates in calls per second to which this instance is limited,
	// as its share of what the store can take. A watch counts as one read. 0 means no limit.
	Writes float64
	Reads  float64
	// Clock defaults to the system clock.
	Clock *clock.Clock
}

// Client is a client of the store. It is safe for concurrent use.
type Client struct {
	cfg    Config
	http   *http.Client
	writes *rateLimiter
	reads  *rateLimiter
}

// New returns a client of the store at cfg.Address.
func New(cfg Config) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = 2 * clock.Second
	}
	if cfg.Transport == nil {
		cfg.Transport = &http.Transport{MaxIdleConnsPerHost: 32}
	}
	if cfg.Clock == nil {
		cfg.Clock = clock.New()
	}
	return &Client{
		cfg: cfg, http: &http.Client{Transport: cfg.Transport},
		writes: newRateLimiter(cfg.Writes, cfg.Clock), reads: newRateLimiter(cfg.Reads, cfg.Clock),
	}
}

// pair is a key with its value and version, as encoded in the Consul HTTP API.
type pair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
}

type kvOp struct {
	Verb  string
	Key   string
	Value []byte `json:",omitempty"`
	Index uint64
}

type txnOp struct{ KV kvOp }

type txnResponse struct {
	Results []struct{ KV pair }
}

// Put writes a key if it has the given version and returns its new version. Version 0 means
// that the key must not exist yet. Errors are of type *kv.Error.
func (c *Client) Put(ctx context.Context, key string, version uint64, value []byte) (uint64, error) {
	versions, err := c.Commit(ctx, []kv.Op{{Key: key, Version: version, Value: value}})
	if err != nil {
		return 0, err
	}
	return versions[0], nil
}

// Delete deletes a key if it has the given version. Errors are of type *kv.Error.
func (c *Client) Delete(ctx context.Context, key string, version uint64) error {
	_, err := c.Commit(ctx, []kv.Op{{Key: key, Version: version, Delete: true}})
	return err
}

// Commit applies all ops in one transaction, or none of them. It returns the new version of
// the key of each op, which is 0 for an op that does not write. Errors are of type *kv.Error.
func (c *Client) Commit(ctx context.Context, ops []kv.Op) ([]uint64, error) {
	key := ops[0].Key
	body, err := json.Marshal(txnOps(ops))
	if err != nil {
		return nil, &kv.Error{Op: "commit", Key: key, Kind: kv.Refused, Err: err}
	}
	if err := c.writes.wait(ctx, priorityOf(key)); err != nil {
		return nil, &kv.Error{Op: "commit", Key: key, Kind: kv.Refused, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.cfg.Address+"/v1/txn", bytes.NewReader(body))
	if err != nil {
		return nil, &kv.Error{Op: "commit", Key: key, Kind: kv.Refused, Err: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &kv.Error{Op: "commit", Key: key, Kind: writeKind(err), Err: err}
	}
	defer drainBody(resp)
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return nil, &kv.Error{Op: "commit", Key: key, Kind: kv.Conflict, Ops: conflictingOps(resp.Body), Err: kv.ErrConflict}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return nil, &kv.Error{Op: "commit", Key: key, Kind: kv.Refused, Err: errors.New(resp.Status)}
	default:
		return nil, &kv.Error{Op: "commit", Key: key, Kind: kv.Ambiguous, Err: errors.New(resp.Status)}
	}
	var answer txnResponse
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return nil, &kv.Error{Op: "commit", Key: key, Kind: kv.Ambiguous, Err: err}
	}
	versions, ok := answer.versions(ops)
	if !ok {
		return nil, &kv.Error{Op: "commit", Key: key, Kind: kv.Ambiguous, Err: errors.New("answer is cut short")}
	}
	return versions, nil
}

// versions returns the version that each op has written, or 0 for an op that does not write.
// It returns false if the version of a write is missing. The store's response contains only
// the keys that were written.
func (a txnResponse) versions(ops []kv.Op) ([]uint64, bool) {
	written := make(map[string]uint64, len(a.Results))
	for _, r := range a.Results {
		written[r.KV.Key] = r.KV.ModifyIndex
	}
	versions := make([]uint64, len(ops))
	for i, op := range ops {
		versions[i] = written[op.Key]
		if versions[i] == 0 && !op.Delete && !op.RequireAbsent {
			return nil, false
		}
	}
	return versions, true
}

// Get reads one key. If the key does not exist, it returns a *kv.Error of kind kv.Missing.
func (c *Client) Get(ctx context.Context, key string) (kv.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout.Duration())
	defer cancel()
	entries, _, err := c.read(ctx, key, url.Values{})
	if err != nil {
		return kv.Entry{}, err
	}
	return entries[0], nil
}

// List reads all keys with a prefix. It also returns the index after which Watch reports
// changes.
func (c *Client) List(ctx context.Context, prefix string) ([]kv.Entry, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout.Duration())
	defer cancel()
	entries, index, err := c.read(ctx, prefix, url.Values{"recurse": {"true"}})
	if kv.KindOf(err) == kv.Missing {
		return nil, index, nil
	}
	return entries, index, err
}

// Keys reads the names of all keys with a prefix.
func (c *Client) Keys(ctx context.Context, prefix string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout.Duration())
	defer cancel()
	var keys []string
	_, err := c.get(ctx, prefix, url.Values{"keys": {"true"}}, &keys)
	if kv.KindOf(err) == kv.Missing {
		return nil, nil
	}
	return keys, err
}

// Watch waits until a key with the prefix has changed after index, or until wait
// milliseconds have passed. It returns all keys with the prefix and the index for the next
// call.
func (c *Client) Watch(ctx context.Context, prefix string, index uint64, wait clock.Millis) ([]kv.Entry, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, (wait + c.cfg.Timeout).Duration())
	defer cancel()
	q := url.Values{"recurse": {"true"}, "index": {strconv.FormatUint(index, 10)}, "wait": {wait.String()}}
	entries, newIndex, err := c.read(ctx, prefix, q)
	if kv.KindOf(err) == kv.Missing {
		return nil, newIndex, nil
	}
	return entries, newIndex, err
}

func (c *Client) read(ctx context.Context, key string, q url.Values) ([]kv.Entry, uint64, error) {
	var pairs []pair
	index, err := c.get(ctx, key, q, &pairs)
	if err != nil {
		return nil, index, err
	}
	if len(pairs) == 0 {
		return nil, index, &kv.Error{Op: "read", Key: key, Kind: kv.Missing, Err: kv.ErrMissing}
	}
	entries := make([]kv.Entry, len(pairs))
	for i, p := range pairs {
		entries[i] = kv.Entry{Key: p.Key, Value: p.Value, Version: p.ModifyIndex}
	}
	return entries, index, nil
}

// get decodes the response to a read into out and returns the index to watch from.
func (c *Client) get(ctx context.Context, key string, q url.Values, out any) (uint64, error) {
	p := priorityOf(key)
	if q.Has("index") {
		p = watchPriority
	}
	if err := c.reads.wait(ctx, p); err != nil {
		return 0, &kv.Error{Op: "read", Key: key, Kind: kv.Refused, Err: err}
	}
	u := c.cfg.Address + "/v1/kv/" + escapePath(key)
	if len(q) > 0 {
		u += "?" + q.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return 0, &kv.Error{Op: "read", Key: key, Kind: kv.Refused, Err: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, &kv.Error{Op: "read", Key: key, Kind: kv.Refused, Err: err}
	}
	defer drainBody(resp)
	index, _ := strconv.ParseUint(resp.Header.Get("X-Consul-Index"), 10, 64)
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return index, &kv.Error{Op: "read", Key: key, Kind: kv.Missing, Err: kv.ErrMissing}
	default:
		return 0, &kv.Error{Op: "read", Key: key, Kind: kv.Refused, Err: errors.New(resp.Status)}
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return 0, &kv.Error{Op: "read", Key: key, Kind: kv.Refused, Err: err}
	}
	return index, nil
}

// conflictingOps returns the indices of the ops that are listed in the response to a transaction
// with a conflict.
func conflictingOps(body io.Reader) []int {
	var answer struct {
		Errors []struct{ OpIndex int }
	}
	if json.NewDecoder(body).Decode(&answer) != nil {
		return nil
	}
	var ops []int
	for _, e := range answer.Errors {
		ops = append(ops, e.OpIndex)
	}
	return ops
}

func txnOps(ops []kv.Op) []txnOp {
	out := make([]txnOp, len(ops))
	for i, op := range ops {
		verb := "cas"
		switch {
		case op.Delete:
			verb = "delete-cas"
		case op.RequireAbsent:
			verb = "check-not-exists"
		}
		out[i] = txnOp{kvOp{Verb: verb, Key: op.Key, Value: op.Value, Index: op.Version}}
	}
	return out
}

// writeKind returns the kind of a failed write: kv.Refused if no connection could be opened,
// otherwise kv.Ambiguous, since the write may have taken effect.
func writeKind(err error) kv.Kind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return kv.Refused
	}
	return kv.Ambiguous
}

func escapePath(key string) string {
	u := url.URL{Path: key}
	return u.EscapedPath()
}

func drainBody(resp *http.Response) {
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}
