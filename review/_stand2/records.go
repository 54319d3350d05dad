package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// floodTime is the time for which the other tenant hands in large jobs, floodPeriod the time between two.
	floodTime   = 20 * time.Second
	floodPeriod = 10 * time.Millisecond
	// floodSteps and floodLabel make a body of about 220,000 bytes, less than maxBodyBytes.
	floodSteps = 60
	floodLabel = 3600
)

// playRecords: the other tenant hands in jobs with large bodies that no worker can run.
func playRecords(s *site, trouble bool) []string {
	s.open(smallSite, config(1))
	if trouble {
		s.running.Go(s.flood)
	}
	s.traffic(trafficTime, trafficPeriod)
	return append(s.lost(func(string) step { return step{CPU: 1000, MemMB: 100, GPU: 1} }), s.processEnds()...)
}

func (s *site) flood() {
	s.sleep(troubleAt)
	var j job
	j.Spec = "ms=1000"
	for i := range floodSteps {
		j.Steps = append(j.Steps, step{Count: 1, CPU: 1000, MemMB: 100, EstimatedMs: 1000, Requirements: fmt.Sprint(i) + strings.Repeat("x", floodLabel)})
	}
	var mu sync.Mutex
	answers := map[int]int{}
	var calls sync.WaitGroup
	end := time.Now().Add(floodTime)
	for n := 0; time.Now().Before(end) && s.sleep(floodPeriod); n++ {
		calls.Go(func() {
			status, _ := s.call(s.entries[n%len(s.entries)], "POST", fmt.Sprintf("/batch/%016x", 0xbad0000+n), "key-x", j, 3*time.Second)
			mu.Lock()
			answers[status]++
			mu.Unlock()
		})
	}
	calls.Wait()
	s.note("POST /batch/...: answers by status: %v", answers)
}
