package consul

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/kv"
)

// Roles of instances. They are the names of services in the platform's list.
const (
	RoleEntry  = "entry"
	RoleWorker = "worker"
)

// Instance is one instance in the platform's list of instances. The list may lag behind the
// real state of the instance.
type Instance struct {
	Name    string
	Address string
	Domain  string
	Rack    string
	// Capacity is the capacity of a worker. It is zero for an entry.
	Capacity job.Resources
	// Conns is the number of connections that a worker accepts.
	Conns   int
	Leaving bool
}

// service is an instance as encoded in the Consul HTTP API.
type service struct {
	ID      string
	Name    string `json:",omitempty"`
	Address string
	Port    int
	Tags    []string
	Meta    map[string]string
}

// Instances returns the instances of a role in the platform's list.
func (c *Client) Instances(ctx context.Context, role string) ([]Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout.Duration())
	defer cancel()
	list, _, err := c.instances(ctx, role, url.Values{})
	return list, err
}

// WatchInstances waits until the list of the instances of a role in a failure domain has
// changed after index, or until wait milliseconds have passed. It returns the list and the
// index for the next call. It returns at once if index is 0.
func (c *Client) WatchInstances(ctx context.Context, role, domain string, index uint64, wait clock.Millis) ([]Instance, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, (wait + c.cfg.Timeout).Duration())
	defer cancel()
	return c.instances(ctx, role, url.Values{
		"filter": {fmt.Sprintf("Service.Meta.domain == %q", domain)},
		"index":  {strconv.FormatUint(index, 10)},
		"wait":   {wait.String()},
	})
}

func (c *Client) instances(ctx context.Context, role string, q url.Values) ([]Instance, uint64, error) {
	fail := func(err error) ([]Instance, uint64, error) {
		return nil, 0, &kv.Error{Op: "instances", Key: role, Kind: kv.Refused, Err: err}
	}
	u := c.cfg.Address + "/v1/health/service/" + role + "?" + q.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return fail(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fail(err)
	}
	defer drainBody(resp)
	if resp.StatusCode != http.StatusOK {
		return fail(errors.New(resp.Status))
	}
	var rows []struct{ Service service }
	if err := json.NewDecoder(resp.Body).Decode(&rows); err != nil {
		return fail(err)
	}
	list := make([]Instance, len(rows))
	for i, row := range rows {
		list[i] = row.Service.instance()
	}
	index, _ := strconv.ParseUint(resp.Header.Get("X-Consul-Index"), 10, 64)
	return list, index, nil
}

func (s service) instance() Instance {
	number := func(key string) int {
		n, _ := strconv.Atoi(s.Meta[key])
		return n
	}
	i := Instance{
		Name: s.ID, Address: net.JoinHostPort(s.Address, strconv.Itoa(s.Port)),
		Domain: s.Meta["domain"], Rack: s.Meta["rack"], Conns: number("conns"),
		Capacity: job.Resources{
			Cores: number("cores"), Memory: number("memory"),
			Accelerators: number("accels"), Slots: number("slots"),
		},
	}
	for _, t := range s.Tags {
		if t == "leaving" {
			i.Leaving = true
		}
	}
	return i
}

// Meta returns the metadata of the instance in the platform's list.
func (i Instance) Meta() map[string]string {
	return map[string]string{
		"domain": i.Domain, "rack": i.Rack, "conns": strconv.Itoa(i.Conns),
		"cores": strconv.Itoa(i.Capacity.Cores), "memory": strconv.Itoa(i.Capacity.Memory),
		"accels": strconv.Itoa(i.Capacity.Accelerators), "slots": strconv.Itoa(i.Capacity.Slots),
	}
}
