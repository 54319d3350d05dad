package main

import (
	"fmt"
	"math"
	"sync"
	"time"
)

func init() { cases["estimate"] = largeEstimate }

// underestimated are the jobs that the queue has seen before: their tasks run five times as long as estimatedMs
// says.
var underestimated = []struct{ runs, estimated int }{{200, 40}, {2000, 400}, {200, 40}, {2000, 400}}

// largeEstimate plays a client that nobody controls. Its first jobs take longer than they declare. One more job
// can never be done, and its first step has the largest estimatedMs that a whole number of 64 bits holds.
func largeEstimate(s *scene) {
	x := s.newSite(3, 6, 6*time.Second)
	ordinary := &ordinaryCaller{site: x}
	var callers sync.WaitGroup
	end := time.Now().Add(60 * time.Second)
	callers.Go(func() { ordinary.run(end) })
	wild := newClient(wildKey)
	for _, u := range underestimated {
		id := newID()
		status := wild.submit(x.instances[0].callers, "/batch/", id, jobBody{Spec: fmt.Sprintf("ms=%d", u.runs), Steps: []step{{Count: 1, CPU: 1000, MemMB: 100, GPU: 1, EstimatedMs: u.estimated}}})
		s.record.printf("client %s: POST %s, with an estimatedMs of %d: %d", wildKey, id, u.estimated, status)
	}
	time.Sleep(4 * time.Second)
	if s.trouble {
		id := newID()
		// The workers have 8 accelerators each. The second step decides how long the job may still be in time.
		status := wild.submit(x.instances[0].callers, "/batch/", id, jobBody{Spec: "ms=500", Steps: []step{
			{Count: 8, CPU: 1000, MemMB: 100, GPU: 64, EstimatedMs: math.MaxInt64},
			{Count: 1, CPU: 1000, MemMB: 100, GPU: 64, EstimatedMs: 1500},
		}})
		s.record.printf("client %s: POST %s, with an estimatedMs of %d: %d", wildKey, id, int64(math.MaxInt64), status)
	}
	callers.Wait()
	x.judgeMemory(ordinary)
}
