// Package text parses the cluster text: the YAML document in which operators declare the
// fleet of workers, the client accounts with their guarantees, and the services with their
// dependencies.
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
	// Prefer, from 0 to 100, weighs completion time against fragmentation when work is
	// placed: 0 favours early completion, 100 favours low fragmentation.
	Prefer   int       `yaml:"prefer"`
	Fleet    []Pool    `yaml:"fleet"`
	Accounts []Account `yaml:"accounts"`
	Services []Service `yaml:"services"`
}

// Pool is a number of identical racks of workers in one failure domain.
type Pool struct {
	Domain string `yaml:"domain"`
	Racks  int    `yaml:"racks"`
	// Workers is the number of workers in each rack.
	Workers int `yaml:"workers"`
	// Cores, Memory (in MB), Accels, Slots and Conns are the capacity of each worker.
	Cores  int `yaml:"cores"`
	Memory int `yaml:"memory"`
	Accels int `yaml:"accels"`
	Slots  int `yaml:"slots"`
	Conns  int `yaml:"conns"`
}

// Account is a client account with its guarantees and its quota.
type Account struct {
	Name string `yaml:"name"`
	// Weight determines the account's share of borrowed capacity relative to other accounts;
	// 0 means 1.
	Weight int `yaml:"weight"`
	// Quota limits the resources that the account's work may occupy at a time; 0 means no
	// limit.
	Quota     job.Resources `yaml:"quota"`
	Guarantee []Guarantee   `yaml:"guarantee"`
}

// Guarantee is a number of cells of the same size that the account can always reclaim.
type Guarantee struct {
	// Accels is the size of one cell in accelerators.
	Accels int `yaml:"accels"`
	Count  int `yaml:"count"`
	// Domain is the failure domain of the cells; empty means any.
	Domain string `yaml:"domain"`
}

// Service is a kind of work that an account can submit. If Replicas is not 0, that number of
// replicas is also kept running.
type Service struct {
	Name        string    `yaml:"name"`
	Account     string    `yaml:"account"`
	Class       job.Class `yaml:"class"`
	Idempotent  bool      `yaml:"idempotent"`
	Checkpoints bool      `yaml:"checkpoints"`
	// After lists the names of the services that have to be ready before this one starts.
	After    []string  `yaml:"after"`
	Replicas int       `yaml:"replicas"`
	Shape    job.Shape `yaml:"shape"`
	Payload  string    `yaml:"payload"`
}

// Parse parses a text. Unknown keys are errors. It does not check the values.
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

// Spec returns the specification of a job for one request to the service. The class defaults
// to batch, and a nil payload to that of the service.
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
