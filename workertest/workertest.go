// Package workertest is a small stand-in for the agent that the platform runs on
// each worker, for tests and demonstrations. It simulates the execution of tasks,
// enforces leases, terms and attempts, and can inject faults.
//
// # Usage
//
//	w := workertest.New(workertest.Options{Name: "a-1", Capacity: job.Resources{Slots: 8}})
//	srv := httptest.NewServer(w)
//	w.SetFaults(workertest.Faults{FailTasks: true})
//
// The payload of a task describes the execution to simulate; see Script.
package workertest

import (
	"crypto/rand"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/worker"
)

// Options describes the worker. A worker with the zero value has no capacity.
type Options struct {
	Name     string
	Capacity job.Resources
	// Conns is the number of requests that the worker serves at a time according to its
	// listing; the stand-in doesn't enforce it.
	Conns int
	// Clock is the clock for journal and leases; nil means the system clock.
	Clock *clock.Clock
}

// Script describes a simulated execution. It is the payload of a task as JSON; any other
// payload is returned as the result.
type Script struct {
	// Sleep is the running time in milliseconds.
	Sleep clock.Millis `json:"sleep_ms"`
	// Echo is the result of the task.
	Echo string `json:"echo"`
	// Fail makes the task end as failed.
	Fail bool `json:"fail"`
	// Stubborn makes the task ignore a request to stop: it runs until the grace time has
	// passed and writes no checkpoint.
	Stubborn bool `json:"stubborn"`
}

// Faults are the faults that the stand-in injects. The zero value injects none.
type Faults struct {
	// FailTasks makes every task fail immediately.
	FailTasks bool `json:"fail_tasks"`
	// Frozen leaves every call unanswered until the fault is cleared.
	Frozen bool `json:"frozen"`
	// DropAnswers is the number of calls that take effect and whose answer is dropped.
	DropAnswers int `json:"drop_answers"`
	// Slow is the delay of every answer in milliseconds.
	Slow clock.Millis `json:"slow_ms"`
	// CutAnswers is the number of answers that end in the middle of the body.
	CutAnswers int `json:"cut_answers"`
}

// Execution is the record of one task that was started.
type Execution struct {
	ID      string       `json:"id"`
	Attempt int          `json:"attempt"`
	Tasks   int          `json:"tasks"`
	Start   clock.Millis `json:"start"`
	// End is 0 and State is empty while the task runs. State is its final state.
	End   clock.Millis `json:"end"`
	State worker.State `json:"state,omitempty"`
}

// Server is the stand-in. It implements http.Handler and is safe for concurrent use.
type Server struct {
	opts        Options
	incarnation string
	mux         *http.ServeMux

	mu       sync.Mutex
	faults   Faults
	unfrozen chan struct{}
	leaving  bool
	free     job.Resources
	term     int64
	tasks    map[string]*task
	journal  []Execution
	// changeNumber counts the changes of gang tasks. changed is closed and replaced at each
	// change.
	changeNumber uint64
	changed      chan struct{}
}

// task is a task of the worker with the state of its simulated execution.
type task struct {
	worker.Task
	script  Script
	expires clock.Millis
	started clock.Millis
	// journalIndex is the index of the task's execution in the journal, or -1 if it was
	// never started.
	journalIndex int
	changeNumber uint64
	done         chan struct{}
	timer        *time.Timer
	// released means that the result is discarded and only the attempt stays fenced.
	released bool
}

// New returns a worker with all its capacity free.
func New(opts Options) *Server {
	if opts.Clock == nil {
		opts.Clock = clock.New()
	}
	s := &Server{
		opts: opts, incarnation: rand.Text(), mux: http.NewServeMux(), free: opts.Capacity,
		tasks: make(map[string]*task), unfrozen: make(chan struct{}), changed: make(chan struct{}),
	}
	handle(s, "/v1/run", s.run)
	handle(s, "/v1/reserve", s.reserve)
	handle(s, "/v1/start", s.start)
	handle(s, "/v1/lift", s.lift)
	handle(s, "/v1/stop", s.stop)
	handle(s, "/v1/renew", s.renew)
	handle(s, "/v1/release", s.release)
	s.mux.HandleFunc("GET /v1/task", func(w http.ResponseWriter, r *http.Request) {
		t, refusal := s.lookup(r.URL.Query().Get("id"))
		s.respond(w, r, t, refusal)
	})
	s.mux.HandleFunc("GET /v1/report", func(w http.ResponseWriter, r *http.Request) {
		s.respond(w, r, s.Report(), "")
	})
	s.mux.HandleFunc("PUT /faults", s.putFaults)
	s.mux.HandleFunc("PUT /leaving", func(http.ResponseWriter, *http.Request) { s.Leave() })
	s.mux.HandleFunc("GET /journal", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Journal())
	})
	return s
}

// ServeHTTP answers one call of the agent's API, or of /faults, /leaving and /journal,
// which control the stand-in.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults that are injected from now on.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Frozen && !f.Frozen {
		close(s.unfrozen)
		s.unfrozen = make(chan struct{})
	}
	s.faults = f
}

// Leave marks the worker as leaving: it refuses new tasks from now on.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Journal returns all executions in the order of their start.
func (s *Server) Journal() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution{}, s.journal...)
}

// Report returns the state of the worker with all tasks that are not released.
func (s *Server) Report() worker.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := worker.Report{Name: s.opts.Name, Incarnation: s.incarnation, Free: s.free, Leaving: s.leaving, Tasks: []worker.Task{}}
	for _, t := range s.tasks {
		if !t.released {
			r.Tasks = append(r.Tasks, s.snapshot(t))
		}
	}
	return r
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

// handle calls f for each POST request to path, with the body decoded from JSON. A
// malformed body is refused as Malformed.
func handle[In, Out any](s *Server, path string, f func(In) (Out, worker.Refusal)) {
	s.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var in In
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			s.respond(w, r, nil, worker.Malformed)
			return
		}
		if !s.waitWhileFrozen(r) {
			return
		}
		out, refusal := f(in)
		s.respond(w, r, out, refusal)
	})
}

// waitWhileFrozen blocks while the fault Frozen is set. It returns false if the caller
// closes the connection before that.
func (s *Server) waitWhileFrozen(r *http.Request) bool {
	for {
		s.mu.Lock()
		frozen, unfrozen := s.faults.Frozen, s.unfrozen
		s.mu.Unlock()
		if !frozen {
			return true
		}
		select {
		case <-unfrozen:
		case <-r.Context().Done():
			return false
		}
	}
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request, v any, refusal worker.Refusal) {
	if !s.waitWhileFrozen(r) {
		return
	}
	s.mu.Lock()
	drop, cut := s.faults.DropAnswers > 0, s.faults.CutAnswers > 0
	if drop {
		s.faults.DropAnswers--
	} else if cut {
		s.faults.CutAnswers--
	}
	slow := s.faults.Slow
	s.mu.Unlock()
	time.Sleep(slow.Duration())
	if drop {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if refusal != "" {
		status = http.StatusConflict
		v = map[string]worker.Refusal{"refusal": refusal}
	}
	body, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if cut {
		_, _ = w.Write(body[:len(body)/2])
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}
