package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// drainTime is drainMs of the site, lingerTime how much longer a worker serves before it exits.
	drainTime  = 2 * time.Second
	lingerTime = 2 * time.Second
	// newPerZone is the number of workers in each zone of the service that the queue moves to: the worker that leaves
	// is one of ten, less than the share that leaves on the site's days.
	newPerZone = 3
	timedID    = "000000000000da7e"
)

// playMove: a version sends a queue to another service, and then the only worker of the former one leaves.
func playMove(s *site, trouble bool) []string {
	s.open(0, config(1))
	former := s.addWorker("i-a03a91c0", "a", "r1-1", "svc")
	for i, zone := range []string{"a", "b", "c"} {
		for k := range newPerZone {
			s.addWorker(fmt.Sprintf("i-%s%07x", zone, 0x7c1e00+k), zone, fmt.Sprintf("r%d-9", i+1), "svc2")
		}
	}
	s.note("services: svc with 1 worker, svc2 with %d", len(s.workers)-1)
	task := step{Count: 1, CPU: 1000, MemMB: 100, GPU: 1, EstimatedMs: 12000}
	for n := range 4 {
		s.accept(fmt.Sprintf("%016x", 0xcafe00+n), job{Spec: "ms=12000", Steps: []step{task}})
	}
	task.EstimatedMs = 500
	s.accept(timedID, job{Spec: "ms=500", Steps: []step{task}, RepeatCount: 5, StartAtMs: time.Now().Add(2 * time.Second).UnixMilli(), IntervalMs: 4000})
	s.traffic(4*time.Second, 2*trafficPeriod)
	second := config(2)
	route := second["routes"].([]any)[0].(map[string]any)
	if trouble {
		route["service"] = "svc2"
	} else {
		route["targetRuntimeMs"] = 1500
	}
	raw, _ := json.Marshal(second)
	s.store.Put("op/config", raw)
	s.note("operator: version 2 is acknowledged: %s", raw)
	s.sleep(configApply)
	if trouble {
		s.running.Go(former.leave)
	}
	s.traffic(12*time.Second, 2*trafficPeriod)
	return append(s.lost(func(string) step { return step{CPU: 1000, MemMB: 100, GPU: 1} }), s.processEnds()...)
}

// accept hands in a job of the ordinary tenant, which has to be accepted.
func (s *site) accept(id string, j job) {
	if status := s.submit("desk", id, "key-o", j); status != http.StatusOK {
		panic(errNotRun{fmt.Sprintf("job %s is answered with %d", id, status)})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs = append(s.jobs, &ordinary{id: id, accepted: time.Now()})
}

// addWorker starts a worker after the site was opened.
func (s *site) addWorker(id, zone, rack, service string) *worker {
	w := newWorker(s, id, zone, rack)
	w.service = service
	w.register()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers = append(s.workers, w)
	return w
}

// leave shuts the worker down as planned: it reports that it drains, serves for a while longer and exits.
func (w *worker) leave() {
	w.mu.Lock()
	w.state, w.leavesAt = "draining", time.Now().Add(drainTime+lingerTime)
	w.mu.Unlock()
	w.register()
	w.site.note("%s of %s drains", w.id, w.service)
	w.site.sleep(drainTime + lingerTime)
	w.mu.Lock()
	w.gone = true
	w.begin()
	w.mu.Unlock()
	_ = w.listener.Close()
	w.site.store.Delete("servers/" + w.id)
	w.site.note("%s of %s has exited", w.id, w.service)
}

// runsOf returns what has run of a job, for the record.
func (s *site) runsOf(id string) string {
	var list []string
	for _, w := range s.workers {
		w.mu.Lock()
		for _, t := range w.history {
			if strings.HasPrefix(t.task, id+".") {
				list = append(list, fmt.Sprintf("%s run %d on %s of %s %s", t.task[len(id)+1:], t.run, w.id, w.service, t.how))
			}
		}
		w.mu.Unlock()
	}
	return strings.Join(list, "; ")
}
