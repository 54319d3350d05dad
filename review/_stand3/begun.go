package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

func init() { cases["begun"] = manyBegun }

const (
	// begunWorkers is the number of workers. The tasks of all jobs of the client need under half of their cores.
	begunWorkers = 24
	// begunJobs is the number of jobs that the client hands in.
	begunJobs = 160
)

// manyBegun plays a client that nobody controls: it hands in a few jobs with many tasks that last and need next to
// nothing, and nothing after that.
func manyBegun(s *scene) {
	x := s.newSite(3, begunWorkers, 6*time.Second)
	ordinary := &ordinaryCaller{site: x}
	var callers sync.WaitGroup
	end := time.Now().Add(80 * time.Second)
	callers.Go(func() { ordinary.run(end) })
	if s.trouble {
		callers.Go(func() { x.sendManyLasting(wildKey) })
	}
	callers.Wait()
	x.judgeMemory(ordinary)
	x.judgeIdle(ordinary)
}

// sendManyLasting hands the jobs in. One that gets no answer is sent again with the same ID at the next instance.
func (x *site) sendManyLasting(key string) {
	raw, err := json.Marshal(jobBody{Spec: "ms=600000", Steps: []step{{Count: 4096, CPU: wildCPU, EstimatedMs: 600000, LongRunning: true}}})
	if err != nil {
		cannotRun("body: %v", err)
	}
	x.record.printf("client %s: jobs of %d bytes, one step of 4096 tasks that last, each of a thousandth of a core", key, len(raw))
	c := newClient(key)
	statuses := make(map[int]int)
	for k := range begunJobs {
		id := newID()
		for try := range len(x.instances) {
			status, _ := c.call(http.MethodPost, x.instances[(k+try)%len(x.instances)].callers, "/batch/"+id, raw)
			statuses[status]++
			x.record.printf("client %s: POST %s: %d", key, id, status)
			if status != 0 {
				break
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	x.record.printf("client %s: done, statuses %v", key, statuses)
}
