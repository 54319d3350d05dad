// Package counters holds the metrics of one process. It has one counter for each reason of
// a refusal and of a retry; these are exported as zero before the first event.
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

// New returns a set with a counter at zero for every reason of a refusal and of a retry.
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

// Counter returns the counter of the given name and creates it on first use. The name may
// include labels, as in name{label="value"}.
func (c *Counters) Counter(name string) *metrics.Counter { return c.set.GetOrCreateCounter(name) }

// Histogram returns the histogram of the given name and creates it on first use.
func (c *Counters) Histogram(name string) *metrics.Histogram {
	return c.set.GetOrCreateHistogram(name)
}

// Gauge registers a gauge. Its value is that of f at the time the metrics are written.
func (c *Counters) Gauge(name string, f func() float64) { c.set.GetOrCreateGauge(name, f) }

// ServeHTTP writes the metrics of the set and the standard metrics of the process, such as
// memory and CPU time, in Prometheus text format.
func (c *Counters) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	c.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
