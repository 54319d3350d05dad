// Package text reads the cluster text: the one YAML document in which operators
// list the fleet, the accounts with their guarantees, and the services with what
// each depends on.
//
// # Usage
//
//	t, err := text.Parse(raw)
//	account, ok := t.Account("kulhar-lahore")
package text

import (
	"bytes"

	"github.com/goccy/go-yaml"

	"github.com/chestnutsail/chestnutsail/job"
)

// Text is the parsed cluster text.
type Text struct {
	Firm string `yaml:"firm"`
	// Prefer weighs completion time (0) against fragmentation (100).
	Prefer   int       `yaml:"prefer"`
	Fleet    []Pool    `yaml:"fleet"`
	Accounts []Account `yaml:"accounts"`
	Services []Service `yaml:"services"`
}

// Pool is a number of equal racks of workers in one failure domain.
type Pool struct {
	Domain string `yaml:"domain"`
	Racks  int    `yaml:"racks"`
	// Workers is the number of workers in each rack.
	Workers int `yaml:"workers"`
	// Cores, Memory (in MB), Accels, Slots and Conns are for each worker.
	Cores  int `yaml:"cores"`
	Memory int `yaml:"memory"`
	Accels int `yaml:"accels"`
	Slots  int `yaml:"slots"`
	Conns  int `yaml:"conns"`
}

// Account is a client account with its guarantee and its limits.
type Account struct {
	Name string `yaml:"name"`
	// Weight is the account's share of borrowed capacity; 0 means 1.
	Weight int `yaml:"weight"`
	// Quota bounds what the account's work occupies; 0 means no bound.
	Quota     job.Resources `yaml:"quota"`
	Guarantee []Guarantee   `yaml:"guarantee"`
}

// Guarantee is a number of equal cells that the account can always reclaim.
type Guarantee struct {
	// Accels is the size of one cell in accelerators.
	Accels int `yaml:"accels"`
	Count  int `yaml:"count"`
	// Domain is a failure domain, or "" for any.
	Domain string `yaml:"domain"`
}

// Service is a kind of work. With Replicas it is also kept running.
type Service struct {
	Name        string    `yaml:"name"`
	Account     string    `yaml:"account"`
	Class       job.Class `yaml:"class"`
	Idempotent  bool      `yaml:"idempotent"`
	Checkpoints bool      `yaml:"checkpoints"`
	// After names the services that have to be ready first.
	After    []string  `yaml:"after"`
	Replicas int       `yaml:"replicas"`
	Shape    job.Shape `yaml:"shape"`
	Payload  string    `yaml:"payload"`
}

// Parse reads a text strictly: unknown keys are errors.
func Parse(raw []byte) (*Text, error) {
	var t Text
	if err := yaml.NewDecoder(bytes.NewReader(raw), yaml.Strict()).Decode(&t); err != nil {
		return nil, err
	}
	return &t, nil
}

// Account returns the account of the given name.
func (t *Text) Account(name string) (Account, bool) {
	for _, a := range t.Accounts {
		if a.Name == name {
			return a, true
		}
	}
	return Account{}, false
}

// Service returns the service of the given name.
func (t *Text) Service(name string) (Service, bool) {
	for _, s := range t.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Spec returns the specification of one request to the service.
func (s Service) Spec(key string, payload []byte) job.Spec {
	class := s.Class
	if class == "" {
		class = job.Batch
	}
	if payload == nil {
		payload = []byte(s.Payload)
	}
	return job.Spec{
		Account: s.Account, Service: s.Name, Key: key, Class: class,
		Idempotent: s.Idempotent, Checkpoints: s.Checkpoints, Shape: s.Shape, Payload: payload,
	}
}
