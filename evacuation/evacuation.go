// Package evacuation keeps the operators' requests that nothing more be started in a failure domain. The
// requests stand in the store; whoever follows them there reports them here, and whoever starts work asks.
// What is known may be out of date, since a watch may hang, so it may be relied on for a limited time only.
//
// # Usage
//
//	requests := evacuation.New(evacuation.Options{Age: m.Age, MaxAge: limit, Clock: clk, Log: log})
//	requests.Replace([]string{"a"}) // after a list
//	requests.Set("a", false)        // after a change
//	if requests.Outdated() || requests.Includes(worker.Domain) { ... } // start nothing there
package evacuation

import (
	"slices"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
)

// Options configures Requests.
type Options struct {
	// Age returns how long ago in milliseconds the store last confirmed what is known of the requests, and
	// MaxAge the greatest age at which that may be relied on.
	Age    func() clock.Millis
	MaxAge func() clock.Millis
	Clock  *clock.Clock
	Log    *logrus.Entry
}

// Requests holds the failure domains that are to be evacuated. Nil stands for an installation without such
// requests. It is safe for concurrent use.
type Requests struct {
	opts Options
	mu   sync.Mutex
	// since holds, by failure domain, when its request became known, in milliseconds.
	since map[string]clock.Millis
}

// New returns an empty set of requests.
func New(opts Options) *Requests { return &Requests{opts: opts, since: make(map[string]clock.Millis)} }

// Replace sets the requests to those for the given failure domains.
func (r *Requests) Replace(domains []string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for domain := range r.since {
		if !slices.Contains(domains, domain) {
			r.set(domain, false)
		}
	}
	for _, domain := range domains {
		r.set(domain, true)
	}
}

// Set records that the evacuation of a failure domain is requested, or that its request was taken back.
func (r *Requests) Set(domain string, requested bool) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set(domain, requested)
}

// set does the same as Set. The caller holds the lock.
func (r *Requests) set(domain string, requested bool) {
	since, known := r.since[domain]
	now := r.opts.Clock.Now()
	switch {
	case requested && !known:
		r.since[domain] = now
		r.opts.Log.WithField("domain", domain).Info("evacuation: requested")
	case !requested && known:
		delete(r.since, domain)
		r.opts.Log.WithFields(logrus.Fields{"domain": domain, "for_ms": int64(now - since)}).Info("evacuation: taken back")
	}
}

// Includes reports whether the evacuation of a failure domain is requested.
func (r *Requests) Includes(domain string) bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, requested := r.since[domain]
	return requested
}

// Domains returns, by failure domain, for how long in milliseconds its request has been known.
func (r *Requests) Domains() map[string]clock.Millis {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	domains := make(map[string]clock.Millis, len(r.since))
	for domain, since := range r.since {
		domains[domain] = r.opts.Clock.Now() - since
	}
	return domains
}

// Outdated reports whether the store last confirmed the requests so long ago that a further one may stand
// unnoticed.
func (r *Requests) Outdated() bool { return r != nil && r.opts.Age() > r.opts.MaxAge() }

// answerMargin is the time in milliseconds between the check of the requests and the start of a task on a
// worker, and the time by which an answer of the store may be older than its arrival.
const answerMargin = 1500 * clock.Millisecond

// MaxAge returns the greatest age in milliseconds at which the requests may be relied on, if nothing may start
// later than limit after a request.
func MaxAge(limit clock.Millis) clock.Millis { return max(limit-answerMargin, limit/2) }
