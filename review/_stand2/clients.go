package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// step and job are the body with which a client submits a job, spelled as on the page on jobs.
type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu,omitempty"`
	MemMB        int    `json:"memMb,omitempty"`
	GPU          int    `json:"gpu,omitempty"`
	EstimatedMs  int    `json:"estimatedMs,omitempty"`
	After        []int  `json:"after,omitempty"`
	Requirements string `json:"requirements,omitempty"`
	LongRunning  bool   `json:"longRunning,omitempty"`
}

type job struct {
	Spec        string `json:"spec"`
	Steps       []step `json:"steps"`
	RepeatCount int    `json:"repeatCount,omitempty"`
	StartAtMs   int64  `json:"startAtMs,omitempty"`
	IntervalMs  int64  `json:"intervalMs,omitempty"`
}

// config returns a configuration with one service and two tenants, each with a queue of its own.
func config(version int) map[string]any {
	route := func(name string, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": "/" + name + "/", "service": "svc",
			"targetRuntimeMs": 1000, "stretchFactor": 3, "priority": priority, "maxAttempts": 3,
		}
	}
	tenant := func(name, key string) map[string]any {
		return map[string]any{"name": name, "apiKeys": []string{key}, "guaranteed": map[string]int{"gpu": 4}}
	}
	return map[string]any{
		"version": version, "routes": []any{route("desk", 1), route("batch", 2)}, "services": []any{map[string]any{"name": "svc"}, map[string]any{"name": "svc2"}},
		"limits": map[string]int{"maxBodyBytes": 1 << 18}, "tenants": []any{tenant("ordinary", "key-o"), tenant("other", "key-x")},
	}
}

// ordinary is a job of the ordinary tenant.
type ordinary struct {
	id       string
	accepted time.Time
	state    string
}

// call sends one request of a client and returns the status, 0 if there was no answer, and the body.
func (s *site) call(e *entry, method, path, key string, body any, limit time.Duration) (int, []byte) {
	var raw []byte
	if body != nil {
		raw, _ = json.Marshal(body)
	}
	req, err := http.NewRequestWithContext(s.ctx, method, "http://"+e.callers+path, bytes.NewReader(raw))
	if err != nil {
		return 0, nil
	}
	req.Host, req.Close = host, true
	req.Header.Set("Api-Key", key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	client := http.Client{Timeout: limit}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// submit hands a job in at one instance after the other, as a client with retries does, and returns the
// last status.
func (s *site) submit(queue, id, key string, j job) int {
	status := 0
	for try := range 5 {
		e := s.entries[(int(id[15])+try)%len(s.entries)]
		status, _ = s.call(e, http.MethodPost, "/"+queue+"/"+id, key, j, 3*time.Second)
		s.note("POST /%s/%s at %s: %d", queue, id, e.name, status)
		if status >= 200 && status < 300 || status == http.StatusBadRequest || status == http.StatusRequestEntityTooLarge || status == http.StatusConflict {
			return status
		}
		if !s.sleep(400 * time.Millisecond) {
			break
		}
	}
	return status
}

// traffic has the ordinary tenant hand in a job every period for the given time: two tasks of 300 ms, each on one
// core and one accelerator.
func (s *site) traffic(length, period time.Duration) {
	for n, end := 1, time.Now().Add(length); time.Now().Before(end) && s.ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%015x%x", 0xabc000+n, n%16)
		s.running.Go(func() {
			status := s.submit("desk", id, "key-o", job{Spec: "ms=300", Steps: []step{{Count: 2, CPU: 1000, MemMB: 100, GPU: 1, EstimatedMs: 300}}})
			if status >= 200 && status < 300 {
				s.mu.Lock()
				s.jobs = append(s.jobs, &ordinary{id: id, accepted: time.Now()})
				s.mu.Unlock()
			}
		})
		s.sleep(period)
	}
}

// state asks for the state of a job at one instance after the other.
func (s *site) state(queue, id, key string) (string, int) {
	status := 0
	for try := range 4 {
		var raw []byte
		e := s.entries[(int(id[15])+try)%len(s.entries)]
		status, raw = s.call(e, http.MethodGet, "/"+queue+"/"+id, key, nil, 3*time.Second)
		var answer struct{ State string }
		if status == http.StatusOK && json.Unmarshal(raw, &answer) == nil {
			return answer.State, status
		}
		if status == http.StatusGone {
			return "", status
		}
		s.sleep(300 * time.Millisecond)
	}
	return "", status
}

// hasRun reports whether a task of a job has a run on a worker now.
func (s *site) hasRun(id string) bool {
	for _, w := range s.workers {
		w.mu.Lock()
		w.lapse()
		for task := range w.runs {
			if strings.HasPrefix(task, id+".") {
				w.mu.Unlock()
				return true
			}
		}
		w.mu.Unlock()
	}
	return false
}

// use returns the share of the workers' accelerators, cores and memory, whichever is largest, that runs
// take. shape returns what the task of a run takes.
func (s *site) use(shape func(task string) step) float64 {
	var used step
	n := 0.0
	for _, w := range s.workers {
		w.mu.Lock()
		if w.gone {
			w.mu.Unlock()
			continue
		}
		n++
		w.lapse()
		for task := range w.runs {
			t := shape(task)
			used.CPU, used.MemMB, used.GPU = used.CPU+t.CPU, used.MemMB+t.MemMB, used.GPU+t.GPU
		}
		w.mu.Unlock()
	}
	return max(float64(used.CPU)/(capCPU*n), float64(used.MemMB)/(capMemMB*n), float64(used.GPU)/(capGPU*n))
}

// lost asks for all accepted jobs, finishTime after the end of the traffic, and returns those that the rule LOST
// counts: not known, no answer, or nothing running for 3 s although less than half of the service is in use.
func (s *site) lost(shape func(task string) step) []string {
	s.note("end of the traffic")
	s.sleep(finishTime)
	var breaches, idle []string
	use := s.use(shape)
	for _, j := range s.jobs {
		state, status := s.state("desk", j.id, "key-o")
		j.state = state
		switch {
		case status == http.StatusGone || status == 0:
			breaches = append(breaches, fmt.Sprintf("LOST: accepted job %s: GET is answered with status %d", j.id, status))
		case state == "failed" || state == "cancelled":
			breaches = append(breaches, fmt.Sprintf("LOST: accepted job %s is shown as %s without cause", j.id, state))
		case state != "completed" && !s.hasRun(j.id):
			idle = append(idle, j.id)
		}
		if state != "completed" {
			s.note("GET /desk/%s: %d %s, accepted %.1f s ago; %s", j.id, status, state, time.Since(j.accepted).Seconds(), s.runsOf(j.id))
		}
	}
	s.note("%d ordinary jobs accepted, %d of them are not completed and have nothing running, %.0f %% of the service in use", len(s.jobs), len(idle), 100*use)
	if len(idle) == 0 {
		return breaches
	}
	waiting := map[string]bool{}
	for _, id := range idle {
		waiting[id] = true
	}
	for end := time.Now().Add(3200 * time.Millisecond); time.Now().Before(end) && s.ctx.Err() == nil; s.sleep(50 * time.Millisecond) {
		for id := range waiting {
			if s.hasRun(id) {
				delete(waiting, id)
			}
		}
		use = max(use, s.use(shape))
	}
	if use >= 0.5 {
		s.note("%.0f %% of the service in use: not counted", 100*use)
		return breaches
	}
	for _, id := range idle {
		if waiting[id] {
			breaches = append(breaches, fmt.Sprintf("LOST: accepted job %s has nothing running for 3 s, with %.1f %% of the service in use", id, 100*use))
		}
	}
	return breaches
}
