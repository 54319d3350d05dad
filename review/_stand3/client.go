package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// host is the host name of all routes.
const host = "jobs.example"

// step is one step of a job, as callers send it.
type step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu,omitempty"`
	MemMB         int    `json:"memMb,omitempty"`
	GPU           int    `json:"gpu,omitempty"`
	EstimatedMs   int    `json:"estimatedMs,omitempty"`
	After         []int  `json:"after,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	LongRunning   bool   `json:"longRunning,omitempty"`
	Requirements  string `json:"requirements,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
}

// jobBody is the body of a submission.
type jobBody struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

// route is a route of a configuration, tenant a tenant.
type route struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	Prefix          string  `json:"prefix"`
	Service         string  `json:"service"`
	Public          bool    `json:"public,omitempty"`
	TargetRuntimeMs int     `json:"targetRuntimeMs"`
	StretchFactor   float64 `json:"stretchFactor"`
	Priority        int     `json:"priority"`
	MaxAttempts     int     `json:"maxAttempts"`
}

type tenant struct {
	Name       string         `json:"name"`
	APIKeys    []string       `json:"apiKeys"`
	Guaranteed map[string]int `json:"guaranteed"`
}

// configuration returns a configuration of the operator.
func configuration(version int, routes []route, tenants []tenant) []byte {
	raw, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "tenants": tenants,
		"services": []map[string]any{{"name": "svc", "enforceCapacity": false}}, "limits": map[string]int{"maxBodyBytes": 262144},
	})
	if err != nil {
		cannotRun("configuration: %v", err)
	}
	return raw
}

// client is a caller with an API key.
type client struct {
	key  string
	http http.Client
}

func newClient(key string) *client {
	return &client{key: key, http: http.Client{Timeout: 3 * time.Second}}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call sends a request and returns the status, or 0 if there was no answer, and the body of the answer.
func (c *client) call(method, address, path string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		cannotRun("request: %v", err)
	}
	req.Host = host
	req.Header.Set("X-Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	if c.key != "" {
		req.Header.Set("Api-Key", c.key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, raw
}

// submit hands a job in and returns the status.
func (c *client) submit(address, prefix, id string, j jobBody) int {
	raw, err := json.Marshal(j)
	if err != nil {
		cannotRun("body: %v", err)
	}
	status, _ := c.call(http.MethodPost, address, prefix+id, raw)
	return status
}

// state returns the state of a job and the status.
func (c *client) state(address, prefix, id string) (string, int) {
	status, raw := c.call(http.MethodGet, address, prefix+id, nil)
	var answer struct{ State string }
	_ = json.Unmarshal(raw, &answer)
	return answer.State, status
}
