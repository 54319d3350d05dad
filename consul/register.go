package consul

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strconv"

	"github.com/chestnutsail/chestnutsail/kv"
)

// Register adds an instance to the platform's list of instances, or replaces it there. Errors
// are of type *kv.Error.
func (c *Client) Register(ctx context.Context, role string, i Instance) error {
	host, port, err := net.SplitHostPort(i.Address)
	if err != nil {
		return &kv.Error{Op: "register", Key: i.Name, Kind: kv.Refused, Err: err}
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return &kv.Error{Op: "register", Key: i.Name, Kind: kv.Refused, Err: err}
	}
	row := service{ID: i.Name, Name: role, Address: host, Port: number, Meta: i.Meta()}
	if i.Leaving {
		row.Tags = []string{"leaving"}
	}
	body, err := json.Marshal(row)
	if err != nil {
		return &kv.Error{Op: "register", Key: i.Name, Kind: kv.Refused, Err: err}
	}
	return c.putAgentService(ctx, "register", i.Name, "register", body)
}

// Deregister removes an instance from the platform's list of instances.
func (c *Client) Deregister(ctx context.Context, name string) error {
	return c.putAgentService(ctx, "deregister", name, "deregister/"+url.PathEscape(name), nil)
}

// MarkLeaving marks an instance in the platform's list of instances as leaving, or removes
// the mark.
func (c *Client) MarkLeaving(ctx context.Context, name string, leaving bool) error {
	path := "maintenance/" + url.PathEscape(name) + "?enable=" + strconv.FormatBool(leaving)
	return c.putAgentService(ctx, "mark", name, path, nil)
}

func (c *Client) putAgentService(ctx context.Context, op, name, path string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.cfg.Address+"/v1/agent/service/"+path, bytes.NewReader(body))
	if err != nil {
		return &kv.Error{Op: op, Key: name, Kind: kv.Refused, Err: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return &kv.Error{Op: op, Key: name, Kind: writeKind(err), Err: err}
	}
	defer drainBody(resp)
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return &kv.Error{Op: op, Key: name, Kind: kv.Missing, Err: errors.New("no such instance")}
	default:
		return &kv.Error{Op: op, Key: name, Kind: kv.Ambiguous, Err: errors.New(resp.Status)}
	}
}
