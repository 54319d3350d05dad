package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chestnutsail/chestnutsail/platform"
)

const (
	// domainCount is the number of failure domains of the workers.
	domainCount = 2
	// evacuationTime is the promise to the operators: from then on after a request, nothing starts in the
	// failure domain.
	evacuationTime = 3 * time.Second
	// resumeTime is the time after a suspension in which an instance may still send what it was about to send.
	resumeTime = time.Second
)

// evacuation is a request to start nothing in a failure domain, from its acknowledgement until it is taken back.
type evacuation struct {
	domain   string
	from, to time.Time
	// unseen is set if the watches reported no changes at the time of the request.
	unseen bool
}

// domainName returns the failure domain of the worker with an index.
func domainName(worker int) string { return fmt.Sprintf("d%d", worker%domainCount) }

// evacuateDomains requests the evacuation of one failure domain after another until ctx ends.
func (r *run) evacuateDomains(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		sleepUpTo(ctx, random, time.Second)
		e := evacuation{domain: domainName(random.IntN(domainCount)), unseen: r.watchesMute.Load()}
		r.store.Put(platform.EvacuationPrefix+e.domain, []byte("{}"))
		e.from = time.Now()
		hold, cancel := context.WithTimeout(ctx, evacuationTime)
		<-hold.Done()
		cancel()
		sleepUpTo(ctx, random, evacuationTime)
		e.to = time.Now()
		r.store.Delete(platform.EvacuationPrefix + e.domain)
		r.evacuations = append(r.evacuations, e)
	}
}

// endEvacuations makes the end of all evacuations known to instances whose watches did not report it.
func (r *run) endEvacuations() {
	for i := range domainCount {
		r.store.Put(platform.EvacuationPrefix+domainName(i), []byte("{}"))
		r.store.Delete(platform.EvacuationPrefix + domainName(i))
	}
}

// checkEvacuations reports each run that started in a failure domain later than evacuationTime after the request
// to evacuate it, unless its worker carried the order out late or an instance was suspended just before.
func (r *run) checkEvacuations() {
	for _, e := range r.evacuations {
		for _, w := range r.allWorkers() {
			if w.Domain() != e.domain || e.unseen {
				continue
			}
			for _, interval := range w.History() {
				started := interval.Started
				if !interval.Late && started.After(e.from.Add(evacuationTime)) && started.Before(e.to) && !r.suspendedNear(started) {
					r.violationf("task %s was started as %s, %d ms after the request to evacuate %s", interval.Task, describe(interval), started.Sub(e.from).Milliseconds(), e.domain)
				}
			}
		}
	}
}

// suspendedNear reports whether an instance was resumed within resumeTime before a time.
func (r *run) suspendedNear(t time.Time) bool {
	for _, resumed := range r.resumedAt {
		if t.After(resumed) && t.Sub(resumed) < resumeTime {
			return true
		}
	}
	return false
}
