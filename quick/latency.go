package quick

import (
	"sync"

	"github.com/chestnutsail/chestnutsail/clock"
)

const (
	minHedgeDelay      = 50 * clock.Millisecond
	maxTrackedServices = 4096
	meanWeight         = 8
	devWeight          = 4
	hedgeDeviations    = 4
)

// latencyTracker estimates the answer time of each service, to decide when a request
// is sent to a second worker (hedged).
type latencyTracker struct {
	fixedHedgeDelay clock.Millis

	mu        sync.Mutex
	byService map[string]latency
}

// latency is the smoothed mean and mean deviation of the answer times of a service, in
// milliseconds. They are updated like the round-trip time of TCP (RFC 6298).
type latency struct{ mean, dev float64 }

func newLatencyTracker(fixedHedgeDelay clock.Millis) *latencyTracker {
	return &latencyTracker{fixedHedgeDelay: fixedHedgeDelay, byService: make(map[string]latency)}
}

func (t *latencyTracker) observe(service string, elapsed clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked, ok := t.byService[service]
	if !ok {
		if len(t.byService) < maxTrackedServices {
			t.byService[service] = latency{float64(elapsed), float64(elapsed) / 2}
		}
		return
	}
	diff := float64(elapsed) - tracked.mean
	tracked.mean += diff / meanWeight
	tracked.dev += (max(diff, -diff) - tracked.dev) / devWeight
	t.byService[service] = tracked
}

// hedgeAfter returns the time in milliseconds after which a request of the service is
// sent to a second worker. A negative value means never.
func (t *latencyTracker) hedgeAfter(service string) clock.Millis {
	if t.fixedHedgeDelay != 0 {
		return t.fixedHedgeDelay
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked, ok := t.byService[service]
	if !ok {
		return -1
	}
	return max(minHedgeDelay, clock.Millis(tracked.mean+hedgeDeviations*tracked.dev))
}
