// Package quarantine tells workers that fail everything apart from jobs that fail
// everywhere. A worker on which several different jobs have failed is kept out,
// but for a probe now and then. A service that fails on several workers in a row
// is to blame itself: its failures are not held against the workers.
//
// # Usage
//
//	t := quarantine.New(quarantine.Options{})
//	if t.Broke(now, worker, service, id) { ... } // the worker is now kept out
//	if t.Probe(now, worker) { ... }              // one job may be tried there
//	if t.Worked(worker, service) { ... }         // the worker is let in again
package quarantine

import (
	"fmt"
	"slices"

	"github.com/chestnutsail/chestnutsail/clock"
)

// Options configures a Tracker. The zero value is ready to use.
type Options struct {
	// MaxFailedJobs is the number of different jobs that have to fail on a worker; 0 means 3.
	// It is also the number of workers on which a service has to fail in a row.
	MaxFailedJobs int `json:"jobs,omitempty"`
	// FirstProbeDelay is the time in milliseconds until the first probe, doubled after each
	// failure up to MaxProbe; 0 means 30 s.
	FirstProbeDelay clock.Millis `json:"probe,omitempty"`
	// MaxProbeDelay is the longest time between probes; 0 means 10 min.
	MaxProbeDelay clock.Millis `json:"max_probe,omitempty"`
}

const (
	defaultJobs     = 3
	defaultProbe    = 30 * clock.Second
	defaultMaxProbe = 10 * clock.Minute
)

// Record is what is known of one worker.
type Record struct {
	// Failed lists the different jobs that have failed since one last succeeded.
	Failed []string `json:"failed,omitempty"`
	// Out tells that the worker is kept out.
	Out bool `json:"out,omitempty"`
	// NextProbe is when a probe is allowed, Wait the time until it, Probing the job tried.
	NextProbe  clock.Millis `json:"next,omitempty"`
	ProbeDelay clock.Millis `json:"wait,omitempty"`
	Probing    string       `json:"probing,omitempty"`
}

// Tracker keeps the records of all workers. It is not safe for concurrent use.
type Tracker struct {
	opts    Options
	workers map[string]*Record
	// services lists the workers on which a service has failed since it last succeeded.
	services map[string][]string
}

// New returns a tracker that knows of no failure.
func New(opts Options) *Tracker {
	if opts.MaxFailedJobs == 0 {
		opts.MaxFailedJobs = defaultJobs
	}
	if opts.FirstProbeDelay == 0 {
		opts.FirstProbeDelay = defaultProbe
	}
	if opts.MaxProbeDelay == 0 {
		opts.MaxProbeDelay = defaultMaxProbe
	}
	return &Tracker{opts: opts, workers: make(map[string]*Record), services: make(map[string][]string)}
}

// RecordFailure takes in that a job of the service failed on the worker and reports
// whether the worker is newly kept out.
func (t *Tracker) RecordFailure(now clock.Millis, worker, service, id string) bool {
	record := t.workers[worker]
	if record == nil {
		record = &Record{ProbeDelay: t.opts.FirstProbeDelay}
		t.workers[worker] = record
	}
	if record.Out {
		if record.Probing == id {
			record.ProbeDelay = min(2*record.ProbeDelay, t.opts.MaxProbeDelay)
			record.NextProbe, record.Probing = now+record.ProbeDelay, ""
		}
		return false
	}
	if t.recordServiceFailure(service, worker) {
		return false
	}
	if !slices.Contains(record.Failed, id) {
		record.Failed = append(record.Failed, id)
	}
	if len(record.Failed) < t.opts.MaxFailedJobs {
		return false
	}
	record.Out, record.NextProbe, record.Failed = true, now+record.ProbeDelay, nil
	return true
}

// recordServiceFailure takes in a failure of the service and reports whether it fails everywhere.
func (t *Tracker) recordServiceFailure(service, worker string) bool {
	failed := t.services[service]
	if !slices.Contains(failed, worker) {
		failed = append(failed, worker)
		t.services[service] = failed
	}
	return len(failed) > t.opts.MaxFailedJobs
}

// RecordSuccess takes in that a job of the service succeeded on the worker and reports
// whether the worker is newly let in.
func (t *Tracker) RecordSuccess(worker, service string) bool {
	delete(t.services, service)
	r := t.workers[worker]
	if r == nil {
		return false
	}
	delete(t.workers, worker)
	return r.Out
}

// InQuarantine reports whether the worker is kept out.
func (t *Tracker) InQuarantine(worker string) bool {
	r := t.workers[worker]
	return r != nil && r.Out
}

// MayProbe reports whether a job may be tried on a worker that is kept out.
func (t *Tracker) MayProbe(now clock.Millis, worker string) bool {
	r := t.workers[worker]
	return r != nil && r.Out && r.Probing == "" && now >= r.NextProbe
}

// StartAttempt takes in that the job is tried on the worker.
func (t *Tracker) StartAttempt(worker, id string) {
	if r := t.workers[worker]; r != nil && r.Out {
		r.Probing = id
	}
}

// AbandonProbe takes in that a try has ended without telling anything of the worker.
func (t *Tracker) AbandonProbe(worker, id string) {
	if r := t.workers[worker]; r != nil && r.Probing == id {
		r.Probing = ""
	}
}

// ForgetJob drops what a job that fails everywhere has left on the workers.
func (t *Tracker) ForgetJob(id string) {
	for _, r := range t.workers {
		r.Failed = slices.DeleteFunc(r.Failed, func(x string) bool { return x == id })
	}
}

// EndOverdue lets those workers in again for which a probe has been allowed for
// MaxProbe without being tried, and returns their names. One more failure puts
// such a worker out again.
func (t *Tracker) EndOverdue(now clock.Millis) []string {
	var released []string
	for name, r := range t.workers {
		if r.Out && r.Probing == "" && now >= r.NextProbe+t.opts.MaxProbeDelay {
			r.Out = false
			for i := range t.opts.MaxFailedJobs - 1 {
				r.Failed = append(r.Failed, fmt.Sprintf("before/%d", i))
			}
			released = append(released, name)
		}
	}
	slices.Sort(released)
	return released
}

// NextCheck returns the earliest time after now at which a probe becomes allowed or a
// worker is let in, or 0.
func (t *Tracker) NextCheck(now clock.Millis) clock.Millis {
	var next clock.Millis
	for _, r := range t.workers {
		if !r.Out || r.Probing != "" {
			continue
		}
		for _, at := range []clock.Millis{r.NextProbe, r.NextProbe + t.opts.MaxProbeDelay} {
			if at > now && (next == 0 || at < next) {
				next = at
			}
		}
	}
	return next
}

// State is all that a Tracker knows.
type State struct {
	Workers  map[string]Record   `json:"workers,omitempty"`
	Services map[string][]string `json:"services,omitempty"`
}

// Snapshot returns a copy of what is known.
func (t *Tracker) Snapshot() State {
	s := State{Workers: make(map[string]Record, len(t.workers)), Services: make(map[string][]string, len(t.services))}
	for name, r := range t.workers {
		c := *r
		c.Failed = slices.Clone(r.Failed)
		s.Workers[name] = c
	}
	for name, workers := range t.services {
		s.Services[name] = slices.Clone(workers)
	}
	return s
}

// Load replaces what is known by s.
func (t *Tracker) Load(s State) {
	clear(t.workers)
	clear(t.services)
	for name, r := range s.Workers {
		r.Failed = slices.Clone(r.Failed)
		t.workers[name] = &r
	}
	for name, workers := range s.Services {
		t.services[name] = slices.Clone(workers)
	}
}
