// Package home picks the failure domain in which a job runs. It prefers a domain in which
// the job fits within its account's guarantee and whose scheduler can be reached, and after
// that any domain in which the job can run. In both cases the instance's own domain comes
// first. So a job that can run in the instance's own domain does not wait for another domain
// that is cut off.
//
// # Usage
//
//	p := home.New(home.Options{Domain: "a", Texts: holder})
//	domain, reason := p.Pick(spec)
//	if reason != "" { ... } // the job cannot run in any failure domain
package home

import (
	"sync"

	"github.com/chestnutsail/chestnutsail/config"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/scheduler"
	"github.com/chestnutsail/chestnutsail/text"
)

// Texts returns the cluster text in force.
type Texts interface {
	Now() config.Snapshot
}

// Options configures a Picker.
type Options struct {
	// Domain is the failure domain of this instance.
	Domain string
	Texts  Texts
	// Reachable reports whether the scheduler of another failure domain can be reached. nil
	// means that all of them can.
	Reachable func(domain string) bool
}

// Picker picks failure domains according to the cluster text in force. It is safe for
// concurrent use.
type Picker struct {
	opts Options

	mu       sync.Mutex
	revision uint64
	// candidates holds the failure domains of the cluster text, the instance's own first.
	candidates []domainCore
}

// domainCore is a failure domain with a scheduler core that knows the cluster text but no
// workers.
type domainCore struct {
	domain string
	core   *scheduler.Core
}

// New returns a picker.
func New(opts Options) *Picker { return &Picker{opts: opts} }

// Pick returns the failure domain for a job, or the reason why the job cannot run in any
// domain. It returns the instance's own domain while no cluster text is in force and when the
// text lists no fleet.
func (p *Picker) Pick(s job.Spec) (domain string, reason outcome.Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh()
	fallback := ""
	for _, d := range p.candidates {
		guaranteed, refusal := d.core.Admits(s)
		switch {
		case guaranteed && p.isReachable(d.domain):
			return d.domain, ""
		case refusal == "" && fallback == "":
			fallback = d.domain
		case refusal != "" && reason == "":
			reason = refusal
		}
	}
	if fallback != "" {
		return fallback, ""
	}
	return p.opts.Domain, reason
}

func (p *Picker) isReachable(domain string) bool {
	return domain == p.opts.Domain || p.opts.Reachable == nil || p.opts.Reachable(domain)
}

// refresh rebuilds the candidates when the cluster text has changed. The caller holds mu.
func (p *Picker) refresh() {
	snapshot := p.opts.Texts.Now()
	if snapshot.Revision == p.revision {
		return
	}
	p.revision, p.candidates = snapshot.Revision, nil
	for _, domain := range domains(snapshot.Text, p.opts.Domain) {
		core := scheduler.New(scheduler.Options{Domain: domain})
		core.Step(0, scheduler.Event{Kind: scheduler.Text, Text: snapshot.Text})
		p.candidates = append(p.candidates, domainCore{domain, core})
	}
}

// domains returns the failure domains of the fleet. The domain own comes first if it is
// among them.
func domains(t *text.Text, own string) []string {
	var ordered []string
	seen := make(map[string]bool)
	for _, pool := range t.Fleet {
		switch {
		case seen[pool.Domain]:
		case pool.Domain == own:
			ordered = append([]string{own}, ordered...)
		default:
			ordered = append(ordered, pool.Domain)
		}
		seen[pool.Domain] = true
	}
	return ordered
}
