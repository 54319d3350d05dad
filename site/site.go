// Package site defines the operator's configuration of one installation: the job queues, the
// services whose workers run the jobs, and the client accounts.
//
// # Usage
//
//	q, ok := cfg.Match("jobs.example", "/recon/5c0e7a21d94b36f8")
//	a, ok := cfg.ByKey(key)
package site

import (
	"strings"

	"github.com/chestnutsail/chestnutsail/clock"
)

// Queue accepts jobs of one kind.
type Queue struct {
	Name string
	// Host and Prefix select the queue for a request. If several prefixes match its path, the
	// longest one wins.
	Host   string
	Prefix string
	// Service is the name of the service whose workers run the tasks of the queue.
	Service string
	// Target is the constant part of a job's latency objective, in milliseconds.
	Target clock.Millis
	// ObjectiveFactor is multiplied by the estimated run time of a job's longest chain of steps
	// to give the other part of its latency objective.
	ObjectiveFactor float64
	// Priority orders queues; 0 is the most urgent.
	Priority int
	// Attempts is the number of failed runs of one task after which its job fails.
	Attempts int
	// Public queues accept requests without an API key.
	Public bool
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Guaranteed is the number of accelerators that urgent jobs of the account can
	// claim at any time.
	Guaranteed int
}

// Limits are the limits on a caller's request.
type Limits struct {
	// Body is the largest size of a request body in bytes.
	Body int
}

// Config is one version of an installation's configuration.
type Config struct {
	// Version increases with every change; 0 means that there is no configuration yet.
	Version  int64
	Queues   []Queue
	Accounts []Account
	Limits   Limits
}

// Match returns the queue of the host whose Prefix is the longest one with which the path starts.
// It returns false if there is none.
func (c *Config) Match(host, path string) (Queue, bool) {
	best := -1
	for i, q := range c.Queues {
		if q.Host != host || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best < 0 || len(q.Prefix) > len(c.Queues[best].Prefix) {
			best = i
		}
	}
	if best < 0 {
		return Queue{}, false
	}
	return c.Queues[best], true
}

// Queue returns the queue with the given name. It returns false if there is none.
func (c *Config) Queue(name string) (Queue, bool) {
	for _, q := range c.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}

// ByKey returns the account that owns an API key. It returns false if there is none.
func (c *Config) ByKey(key string) (Account, bool) {
	for _, a := range c.Accounts {
		for _, k := range a.Keys {
			if k == key && key != "" {
				return a, true
			}
		}
	}
	return Account{}, false
}

// Account returns the account with the given name. For an unknown name, it returns an account
// without a guarantee.
func (c *Config) Account(name string) Account {
	for _, a := range c.Accounts {
		if a.Name == name {
			return a
		}
	}
	return Account{Name: name}
}
