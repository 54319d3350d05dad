package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"syscall"
	"time"
)

const (
	lastingID = "00000000001a5714"
	// lastingLimit is the time after its last run within which a task that lasts has to run again: 6 s and 3 s.
	lastingLimit = 9 * time.Second
)

// machineList serves the platform's list of machines. A worker that has crashed is on none.
func (s *site) machineList() *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		list := []map[string]any{}
		for _, w := range s.known() {
			w.mu.Lock()
			m := map[string]any{
				"machine": "m-" + w.id, "pool": w.service, "state": "up", "zone": w.zone, "labels": []string{w.kind, w.rack}, "id": w.id,
				"capacity": map[string]int{"cpu": capCPU, "memMb": capMemMB, "gpu": capGPU},
			}
			if w.gone {
				m["state"], m["id"] = "down", ""
			}
			w.mu.Unlock()
			list = append(list, m)
		}
		raw, _ := json.Marshal(map[string]any{"machines": list, "nextPageToken": nil})
		_, _ = rw.Write(raw)
	}))
}

// playLasting: the leader is stopped as planned, and 10 s later the worker crashes on which a task that lasts runs.
// With trouble false, the leader is not stopped.
func playLasting(s *site, trouble bool) []string {
	machines := s.machineList()
	defer machines.Close()
	s.cloud = machines.Listener.Addr().String()
	s.open(smallSite, config(1))
	s.accept(lastingID, job{Spec: "ms=7200000", Steps: []step{{Count: 1, CPU: 1000, MemMB: 100, GPU: 1, LongRunning: true, EstimatedMs: 60000}}})
	s.sleep(5 * time.Second)
	for _, e := range s.entries {
		if trouble && e.leads() {
			s.note("%s leads, and gets a SIGTERM", e.name)
			e.signal(syscall.SIGTERM)
		}
	}
	s.sleep(10 * time.Second)
	for _, w := range s.known() {
		w.mu.Lock()
		runs := w.runs[lastingID+".0.0.0"] != nil
		w.mu.Unlock()
		if !runs {
			continue
		}
		w.setGone(true)
		s.note("%s has crashed, and with it the task", w.id)
		s.running.Go(func() {
			s.sleep(time.Until(w.lastReport().Add(missedReports * heartbeat)))
			s.store.Delete("servers/" + w.id)
		})
		break
	}
	crashed := time.Now()
	for time.Since(crashed) < 2*lastingLimit && !s.hasRun(lastingID) && s.sleep(20*time.Millisecond) {
	}
	away := time.Since(crashed)
	s.note("the task runs again after %.2f s", away.Seconds())
	if away > lastingLimit {
		return []string{fmt.Sprintf("LOST: a task that lasts has no run for %.2f s, with five of six workers empty", away.Seconds())}
	}
	return nil
}
