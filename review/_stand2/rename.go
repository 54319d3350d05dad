package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	// configApply is configApplyMs of the site, cancelTime is cancel_ms, stopTime is stopMs.
	configApply = 2 * time.Second
	cancelTime  = 3 * time.Second
	stopTime    = 200 * time.Millisecond
	longID      = "000000000000cafe"
)

// playRename: a version removes a route and adds one with the same host and prefix under another name.
func playRename(s *site, trouble bool) []string {
	first := config(1)
	s.open(smallSite, first)
	long := job{Spec: "ms=40000", Steps: []step{{Count: 1, CPU: 1000, MemMB: 100, GPU: 1, EstimatedMs: 40000}}}
	if status := s.submit("desk", longID, "key-o", long); status != http.StatusOK {
		panic(errNotRun{fmt.Sprintf("the long job is answered with %d", status)})
	}
	s.traffic(8*time.Second, trafficPeriod)
	second := config(2)
	if trouble {
		second["routes"].([]any)[0].(map[string]any)["name"] = "counter"
	} else {
		second["routes"].([]any)[0].(map[string]any)["targetRuntimeMs"] = 1500
	}
	raw, _ := json.Marshal(second)
	s.store.Put("op/config", raw)
	s.note("operator: version 2 is acknowledged: %s", raw)
	s.sleep(configApply + 2*time.Second)
	var breaches []string
	for _, j := range s.jobs {
		state, status := s.state("desk", j.id, "key-o")
		s.note("GET /desk/%s: %d %s", j.id, status, state)
		if status == http.StatusGone {
			breaches = append(breaches, fmt.Sprintf("LOST: GET for accepted job %s, which nobody has cancelled, is answered 410", j.id))
		}
	}
	status, _ := s.call(s.entries[0], http.MethodDelete, "/desk/"+longID, "key-o", nil, 3*time.Second)
	s.note("DELETE /desk/%s: %d", longID, status)
	if status != http.StatusOK && status != http.StatusGone {
		return breaches
	}
	s.sleep(cancelTime + stopTime + 2*time.Second)
	if s.hasRun(longID) {
		breaches = append(breaches, fmt.Sprintf("UNASKED: the cancelling of job %s was acknowledged with %d, and its task still runs %v later", longID, status, cancelTime+stopTime+2*time.Second))
	}
	return breaches
}
