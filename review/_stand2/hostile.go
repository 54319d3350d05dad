package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	trafficTime   = 36 * time.Second
	trafficPeriod = 400 * time.Millisecond
	slowPeriod    = 2500 * time.Millisecond
	troubleAt     = 8 * time.Second
	hostileID     = "00000000000bad01"
	// leastSite, smallSite and fullSite are numbers of workers in each of the three zones; the last is that of the
	// site mdh-provision.
	leastSite = 1
	smallSite = 2
	fullSite  = 16
)

// play runs the ordinary traffic, and the job of the other tenant if there is one.
func (s *site) play(workersPerZone int, period time.Duration, hostile *job) []string {
	s.open(workersPerZone, config(1))
	if hostile != nil {
		s.running.Go(func() {
			s.sleep(troubleAt)
			s.submit("batch", hostileID, "key-x", *hostile)
		})
	}
	s.traffic(trafficTime, period)
	breaches := s.lost(func(task string) step {
		if hostile != nil && strings.HasPrefix(task, hostileID) {
			return hostile.Steps[0]
		}
		return step{CPU: 1000, MemMB: 100, GPU: 1}
	})
	return append(breaches, s.processEnds()...)
}

// processEnds notes the memory and the ends of all instances, and returns what the rule on faults counts: ends on a
// tenth of the machines, two at least, three times each.
func (s *site) processEnds() []string {
	ended := 0
	for _, e := range s.entries {
		e.mu.Lock()
		s.note("%s: %d MB at most, %d ends for memory, %d other ends", e.name, e.largest, e.memoryEnds, e.ownEnds)
		if e.memoryEnds+e.ownEnds >= 3 {
			ended++
		}
		e.mu.Unlock()
	}
	if ended < 2 {
		return nil
	}
	return []string{fmt.Sprintf("Fault: on %d of %d machines the process has ended by itself three times or more", ended, len(s.entries))}
}

// playMemory: one job of the size that bulk-verify has at most, to be repeated every minute for a week, whose start
// is given in seconds instead of milliseconds, so that all its occurrences are due.
func playMemory(s *site, trouble bool) []string {
	if !trouble {
		return s.play(smallSite, trafficPeriod, nil)
	}
	bulk := step{Count: 94, CPU: 2800, MemMB: 7400, GPU: 1, EstimatedMs: 7600}
	return s.play(smallSite, trafficPeriod, &job{
		Spec: "ms=7600", Steps: []step{bulk, bulk, bulk},
		RepeatCount: 10000, StartAtMs: time.Now().Unix(), IntervalMs: 60000,
	})
}

// playOversize: one job of 40,000 tasks of two hours, each a fiftieth of a core, whose recorded progress grows beyond
// the store's largest value.
func playOversize(s *site, trouble bool) []string {
	if !trouble {
		return s.play(fullSite, slowPeriod, nil)
	}
	return s.play(fullSite, slowPeriod, manyTasks(10, 20, 2*60*60*1000))
}

// playStall: one job of 28,000 tasks of a minute, each a thousandth of a core, all of which fit at once.
func playStall(s *site, trouble bool) []string {
	if !trouble {
		return s.play(leastSite, trafficPeriod, nil)
	}
	return s.play(leastSite, trafficPeriod, manyTasks(7, 1, 60000))
}

// manyTasks returns a job of independent steps of 4,000 tasks each.
func manyTasks(steps, cpu, ms int) *job {
	j := &job{Spec: fmt.Sprintf("ms=%d", ms)}
	for range steps {
		j.Steps = append(j.Steps, step{Count: 4000, CPU: cpu, MemMB: 4, EstimatedMs: ms})
	}
	return j
}
