// Package home picks the failure domain in which a job is to run: the entry's own
// unless the job can only run, or only run within its account's guarantee, in
// another. A job that can run here does not wait for a failure domain that is cut off.
//
// # Usage
//
//	p := home.New(home.Options{Domain: "a", Texts: holder})
//	domain, reason := p.Pick(spec)
//	if reason != "" { ... } // the job can't run in any failure domain
package home

import (
	"sync"

	"github.com/chestnutsail/chestnutsail/config"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/scheduler"
	"github.com/chestnutsail/chestnutsail/text"
)

// Texts tells which text is in force.
type Texts interface {
	Now() config.Snapshot
}

// Options configures a Picker.
type Options struct {
	// Domain is the failure domain of the entry.
	Domain string
	Texts  Texts
	// Live reports whether the scheduler of another failure domain can be reached; nil
	// means always.
	Live func(domain string) bool
}

// Picker picks failure domains by the text in force. It is safe for concurrent use.
type Picker struct {
	opts Options

	mu       sync.Mutex
	revision uint64
	// cores are the failure domains of the text, the entry's own first.
	cores []domainCore
}

// domainCore is a failure domain with a core that has seen the text and no workers.
type domainCore struct {
	domain string
	core   *scheduler.Core
}

// New returns a picker.
func New(opts Options) *Picker { return &Picker{opts: opts} }

// Pick returns the failure domain for a job, or why it can run in none. Without a
// text in force, and with one that lists no fleet, it is the entry's own.
func (p *Picker) Pick(s job.Spec) (domain string, reason outcome.Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.learn()
	possible := ""
	for _, d := range p.cores {
		owns, why := d.core.Admits(s)
		switch {
		case owns && p.live(d.domain):
			return d.domain, ""
		case why == "" && possible == "":
			possible = d.domain
		case why != "" && reason == "":
			reason = why
		}
	}
	if possible != "" {
		return possible, ""
	}
	return p.opts.Domain, reason
}

func (p *Picker) live(domain string) bool {
	return domain == p.opts.Domain || p.opts.Live == nil || p.opts.Live(domain)
}

// learn takes in the text in force. The caller holds mu.
func (p *Picker) learn() {
	now := p.opts.Texts.Now()
	if now.Revision == p.revision {
		return
	}
	p.revision, p.cores = now.Revision, nil
	for _, domain := range domains(now.Text, p.opts.Domain) {
		core := scheduler.New(scheduler.Options{Domain: domain})
		core.Step(0, scheduler.Event{Kind: scheduler.Text, Text: now.Text})
		p.cores = append(p.cores, domainCore{domain, core})
	}
}

// domains returns the failure domains of the fleet, own first if it is among them.
func domains(t *text.Text, own string) []string {
	var list []string
	seen := make(map[string]bool)
	for _, pool := range t.Fleet {
		switch {
		case seen[pool.Domain]:
		case pool.Domain == own:
			list = append([]string{own}, list...)
		default:
			list = append(list, pool.Domain)
		}
		seen[pool.Domain] = true
	}
	return list
}
