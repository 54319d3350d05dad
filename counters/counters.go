// Package counters holds the metrics of one process, with one counter for each
// reason of a refusal and of a retry. All of them exist, at zero, from the start.
//
// # Usage
//
//	c := counters.New()
//	c.Refused(outcome.QueueFull)
//	http.Handle("/metrics", c)
package counters

import (
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"github.com/chestnutsail/chestnutsail/outcome"
)

// Counters is the set of metrics of one process. It is safe for concurrent use.
type Counters struct {
	set     *metrics.Set
	refused map[outcome.Reason]*metrics.Counter
	retried map[outcome.Retry]*metrics.Counter
}

// New returns a set with every refusal and retry reason at zero.
func New() *Counters {
	c := &Counters{
		set:     metrics.NewSet(),
		refused: make(map[outcome.Reason]*metrics.Counter),
		retried: make(map[outcome.Retry]*metrics.Counter),
	}
	for _, r := range outcome.Reasons() {
		c.refused[r] = c.set.NewCounter(fmt.Sprintf(`chestnutsail_refused_total{reason=%q}`, r))
	}
	for _, r := range outcome.Retries() {
		c.retried[r] = c.set.NewCounter(fmt.Sprintf(`chestnutsail_retried_total{reason=%q}`, r))
	}
	return c
}

// Refused counts one refusal. It panics when the reason is not in outcome.Reasons.
func (c *Counters) Refused(r outcome.Reason) {
	n, ok := c.refused[r]
	if !ok {
		panic(fmt.Sprintf("counters: unknown refusal reason %q", r))
	}
	n.Inc()
}

// Retried counts one retry. It panics when the reason is not in outcome.Retries.
func (c *Counters) Retried(r outcome.Retry) {
	n, ok := c.retried[r]
	if !ok {
		panic(fmt.Sprintf("counters: unknown retry reason %q", r))
	}
	n.Inc()
}

// Counter returns the counter of the given name, which may carry labels, and
// makes it on first use.
func (c *Counters) Counter(name string) *metrics.Counter { return c.set.GetOrCreateCounter(name) }

// Histogram returns the histogram of the given name and makes it on first use.
func (c *Counters) Histogram(name string) *metrics.Histogram {
	return c.set.GetOrCreateHistogram(name)
}

// Gauge registers a gauge whose value is read through f when metrics are written.
func (c *Counters) Gauge(name string, f func() float64) { c.set.GetOrCreateGauge(name, f) }

// ServeHTTP writes all metrics of the set and of the process in Prometheus
// text format.
func (c *Counters) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	c.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
