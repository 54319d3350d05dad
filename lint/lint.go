// Package lint checks a configuration before it is put in force and tells what it changes.
// Findings and differences never contain an API key. They name a key by its fingerprint, the
// first 8 hexadecimal digits of its SHA-256 sum.
//
// # Usage
//
//	findings := lint.Check(cfg, lint.Options{InForce: &current, Accels: 1100})
//	differences := lint.Compare(current, cfg)
package lint

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/chestnutsail/chestnutsail/site"
)

// Severity tells how bad a finding is.
type Severity string

// The severities.
const (
	// Error means that the configuration cannot do what it says.
	Error Severity = "error"
	// Warning means that the configuration probably does something that is not meant.
	Warning Severity = "warning"
)

const (
	// smallestJob is the smallest body in bytes of a job that is accepted: one step with a
	// one-digit number of tasks.
	smallestJob = len(`{"steps":[{"count":1}]}`)
	// urgentPriority is the priority of the jobs for which guarantees count.
	urgentPriority = 0
	// fingerprintBytes is the part of a key's SHA-256 sum that names the key.
	fingerprintBytes = 4
)

// Finding is one fault of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// Place is the queue, the account or the part of the configuration that the finding is about.
	Place   string `json:"place"`
	Message string `json:"message"`
}

// Options are what a configuration is checked against.
type Options struct {
	// InForce is the configuration in force; nil if it is not known.
	InForce *site.Config
	// Accels is the number of accelerators of the installation; 0 if it is not known.
	Accels int
}

// checker collects the findings about one configuration.
type checker struct {
	cfg      site.Config
	opts     Options
	findings []Finding
}

// Check returns the faults of a configuration: first the errors, then the warnings.
func Check(cfg site.Config, opts Options) []Finding {
	c := &checker{cfg: cfg, opts: opts}
	c.checkVersion()
	c.checkLimits()
	c.checkQueues()
	c.checkAccounts()
	c.checkGuarantees()
	slices.SortStableFunc(c.findings, func(a, b Finding) int { return rank(a) - rank(b) })
	return c.findings
}

func rank(f Finding) int {
	if f.Severity == Error {
		return 0
	}
	return 1
}

func (c *checker) failf(place, format string, args ...any) {
	c.findings = append(c.findings, Finding{Error, place, fmt.Sprintf(format, args...)})
}

func (c *checker) warnf(place, format string, args ...any) {
	c.findings = append(c.findings, Finding{Warning, place, fmt.Sprintf(format, args...)})
}

func (c *checker) checkVersion() {
	if c.cfg.Version <= 0 {
		c.failf("version", "the version is %d, which counts as no configuration; want 1 or more", c.cfg.Version)
	}
	if c.opts.InForce != nil && c.cfg.Version <= c.opts.InForce.Version {
		c.failf("version", "the version is %d, not above %d, which is in force", c.cfg.Version, c.opts.InForce.Version)
	}
}

// checkLimits accepts 0, for which the default limit applies.
func (c *checker) checkLimits() {
	switch body := c.cfg.Limits.Body; {
	case body < 0:
		c.failf("limits", "the largest body is %d bytes, a negative number", body)
	case body > 0 && body < smallestJob:
		c.failf("limits", "the largest body is %d bytes, but the smallest job has %d, so no job can be submitted", body, smallestJob)
	}
}

// place names an entry of a list, by its position from 1 if it has no name.
func place(kind, name string, i int) string {
	if name == "" {
		return fmt.Sprintf("%s at position %d", kind, i+1)
	}
	return kind + " " + name
}

func fingerprint(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:fingerprintBytes])
}
