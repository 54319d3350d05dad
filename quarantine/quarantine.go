// Package quarantine decides which workers get no jobs because too many jobs fail on
// them. A worker on which several different jobs have failed is put into quarantine;
// only a probe, a single job, is tried there from time to time. A service whose jobs
// fail on many workers is itself considered faulty, and its failures do not count
// against the workers.
//
// # Usage
//
//	t := quarantine.New(quarantine.Options{})
//	if t.RecordFailure(now, worker, service, id) { ... } // the worker is now in quarantine
//	if t.MayProbe(now, worker) { ... }                   // one job may be tried there
//	if t.RecordSuccess(worker, service) { ... }          // the quarantine has ended
package quarantine

import (
	"fmt"
	"slices"

	"github.com/chestnutsail/chestnutsail/clock"
)

// Options configures a Tracker. The zero value is ready to use.
type Options struct {
	// MaxFailedJobs is the number of different jobs that have to fail on a worker
	// before it is put into quarantine; 0 means 3. A service that has failed on more
	// than this number of workers since it last succeeded is considered faulty itself.
	MaxFailedJobs int `json:"jobs,omitempty"`
	// FirstProbeDelay is the time in milliseconds until the first probe; 0 means 30 s.
	// The delay is doubled after each failed probe, up to MaxProbeDelay.
	FirstProbeDelay clock.Millis `json:"probe,omitempty"`
	// MaxProbeDelay is the longest delay between probes in milliseconds; 0 means 10
	// min.
	MaxProbeDelay clock.Millis `json:"max_probe,omitempty"`
}

const (
	defaultMaxFailedJobs   = 3
	defaultFirstProbeDelay = 30 * clock.Second
	defaultMaxProbeDelay   = 10 * clock.Minute
)

// Record is what is known about the failures on one worker.
type Record struct {
	// Failed lists the IDs of the different jobs whose failures count against the worker
	// since a job last succeeded there. It is empty while the worker is in quarantine.
	Failed []string `json:"failed,omitempty"`
	// Out tells that the worker is in quarantine.
	Out bool `json:"out,omitempty"`
	// NextProbe is the time at which the next probe is allowed, ProbeDelay the current
	// delay between probes, and Probing the ID of the job that is being tried, or "".
	NextProbe  clock.Millis `json:"next,omitempty"`
	ProbeDelay clock.Millis `json:"wait,omitempty"`
	Probing    string       `json:"probing,omitempty"`
}

// Tracker keeps the records of all workers. It is not safe for concurrent use.
type Tracker struct {
	opts    Options
	workers map[string]*Record
	// services maps each service to the workers on which it has failed since it last
	// succeeded.
	services map[string][]string
}

// New returns a tracker without any failures.
func New(opts Options) *Tracker {
	if opts.MaxFailedJobs == 0 {
		opts.MaxFailedJobs = defaultMaxFailedJobs
	}
	if opts.FirstProbeDelay == 0 {
		opts.FirstProbeDelay = defaultFirstProbeDelay
	}
	if opts.MaxProbeDelay == 0 {
		opts.MaxProbeDelay = defaultMaxProbeDelay
	}
	return &Tracker{opts: opts, workers: make(map[string]*Record), services: make(map[string][]string)}
}

// RecordFailure records that a job of the service has failed on the worker. It reports
// whether this puts the worker into quarantine.
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

// recordServiceFailure records that the service has failed on the worker. It reports
// whether the service has now failed on so many workers that it is considered faulty
// itself.
func (t *Tracker) recordServiceFailure(service, worker string) bool {
	failed := t.services[service]
	if !slices.Contains(failed, worker) {
		failed = append(failed, worker)
		t.services[service] = failed
	}
	return len(failed) > t.opts.MaxFailedJobs
}

// RecordSuccess records that a job of the service has succeeded on the worker. It
// reports whether this ends the worker's quarantine.
func (t *Tracker) RecordSuccess(worker, service string) bool {
	delete(t.services, service)
	r := t.workers[worker]
	if r == nil {
		return false
	}
	delete(t.workers, worker)
	return r.Out
}

// InQuarantine reports whether the worker is in quarantine.
func (t *Tracker) InQuarantine(worker string) bool {
	r := t.workers[worker]
	return r != nil && r.Out
}

// MayProbe reports whether the worker is in quarantine and a job may be tried there
// now.
func (t *Tracker) MayProbe(now clock.Millis, worker string) bool {
	r := t.workers[worker]
	return r != nil && r.Out && r.Probing == "" && now >= r.NextProbe
}

// StartAttempt records that the job is placed on the worker. If the worker is in
// quarantine, the job is its probe.
func (t *Tracker) StartAttempt(worker, id string) {
	if r := t.workers[worker]; r != nil && r.Out {
		r.Probing = id
	}
}

// AbandonProbe records that the job no longer runs on the worker. If the job is the
// worker's probe and has neither succeeded nor failed, another probe is allowed.
func (t *Tracker) AbandonProbe(worker, id string) {
	if r := t.workers[worker]; r != nil && r.Probing == id {
		r.Probing = ""
	}
}

// ForgetJob removes a job from the failures of all workers. It is meant for a job that
// has failed so often that the job itself is considered faulty.
func (t *Tracker) ForgetJob(id string) {
	for _, r := range t.workers {
		r.Failed = slices.DeleteFunc(r.Failed, func(x string) bool { return x == id })
	}
}

// EndOverdue ends the quarantine of each worker for which a probe has been allowed for
// MaxProbeDelay without a job being tried, and returns the names of these workers,
// sorted. Each of their records then lists MaxFailedJobs - 1 placeholders as failed
// jobs, so that one more failure puts the worker back into quarantine.
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

// NextCheck returns the earliest time after now at which a probe becomes allowed or
// EndOverdue may end a quarantine, or 0 if there is none.
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

// State is a snapshot of the records of a Tracker.
type State struct {
	Workers  map[string]Record   `json:"workers,omitempty"`
	Services map[string][]string `json:"services,omitempty"`
}

// Snapshot returns a copy of the tracker's state.
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

// Load replaces the tracker's state by s.
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
