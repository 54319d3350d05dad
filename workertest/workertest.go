// Package workertest is a small stand-in of the agent that the platform runs on
// each worker, for tests and demonstrations. It pretends to run tasks, enforces
// leases, terms and attempts, and can be told to fail.
//
// # Usage
//
//	w := workertest.New(workertest.Options{Name: "a-1", Capacity: job.Resources{Slots: 8}})
//	srv := httptest.NewServer(w)
//	w.SetFaults(workertest.Faults{FailTasks: true})
//
// The payload of a task tells the stand-in what to pretend; see Script.
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

// Options describes the worker. The zero value has no capacity.
type Options struct {
	Name     string
	Capacity job.Resources
	// Conns is the number of requests served at a time; 0 means no limit.
	Conns int
	// Clock defaults to the machine's.
	Clock *clock.Clock
}

// Script is what the payload of a task, as JSON, tells the stand-in to pretend.
type Script struct {
	// Sleep is the run time in milliseconds.
	Sleep clock.Millis `json:"sleep_ms"`
	// Echo is the result.
	Echo string `json:"echo"`
	// Fail ends the task as failed.
	Fail bool `json:"fail"`
	// Stubborn ignores checkpoints and only ends when stopped by force.
	Stubborn bool `json:"stubborn"`
}

// Faults are the failures the stand-in shows. The zero value shows none.
type Faults struct {
	// FailTasks fails every task at once.
	FailTasks bool `json:"fail_tasks"`
	// Frozen leaves every call unanswered until the fault is cleared.
	Frozen bool `json:"frozen"`
	// DropAnswers is the number of calls that take effect and then lose their answer.
	DropAnswers int `json:"drop_answers"`
	// Slow delays every answer by so many milliseconds.
	Slow clock.Millis `json:"slow_ms"`
	// CutAnswers is the number of answers cut in the middle of the body.
	CutAnswers int `json:"cut_answers"`
}

// Execution is one effect: a task that was really started.
type Execution struct {
	ID      string       `json:"id"`
	Attempt int          `json:"attempt"`
	Tasks   int          `json:"tasks"`
	Start   clock.Millis `json:"start"`
	// End is 0 while the task runs, State tells how it ended.
	End   clock.Millis `json:"end"`
	State worker.State `json:"state,omitempty"`
}

// Server is the stand-in. It is an http.Handler and safe for concurrent use.
type Server struct {
	opts        Options
	incarnation string
	mux         *http.ServeMux

	mu      sync.Mutex
	faults  Faults
	thaw    chan struct{}
	leaving bool
	free    job.Resources
	term    int64
	tasks   map[string]*task
	journal []Execution
	// change counts the changes of gang tasks; changed is closed and replaced at each.
	change  uint64
	changed chan struct{}
}

// task is a task with what the stand-in needs to pretend it.
type task struct {
	worker.Task
	script  Script
	expires clock.Millis
	started clock.Millis
	// entry is the index in the journal, or -1 before the task runs.
	entry  int
	change uint64
	done   chan struct{}
	timer  *time.Timer
	// released means that only the fence of the attempt is left.
	released bool
}

// New returns a worker with all its capacity free.
func New(opts Options) *Server {
	if opts.Clock == nil {
		opts.Clock = clock.New()
	}
	s := &Server{
		opts: opts, incarnation: rand.Text(), mux: http.NewServeMux(), free: opts.Capacity,
		tasks: make(map[string]*task), thaw: make(chan struct{}), changed: make(chan struct{}),
	}
	handle(s, "/v1/run", s.run)
	handle(s, "/v1/reserve", s.reserve)
	handle(s, "/v1/start", s.start)
	handle(s, "/v1/lift", s.lift)
	handle(s, "/v1/stop", s.stop)
	handle(s, "/v1/renew", s.renew)
	handle(s, "/v1/release", s.release)
	s.mux.HandleFunc("GET /v1/task", func(w http.ResponseWriter, r *http.Request) {
		t, no := s.lookup(r.URL.Query().Get("id"))
		s.answer(w, r, t, no)
	})
	s.mux.HandleFunc("GET /v1/report", func(w http.ResponseWriter, r *http.Request) {
		s.answer(w, r, s.Report(), "")
	})
	s.mux.HandleFunc("PUT /faults", s.putFaults)
	s.mux.HandleFunc("PUT /leaving", func(http.ResponseWriter, *http.Request) { s.Leave() })
	s.mux.HandleFunc("GET /journal", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Journal())
	})
	return s
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults shown from now on.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Frozen && !f.Frozen {
		close(s.thaw)
		s.thaw = make(chan struct{})
	}
	s.faults = f
}

// Leave makes the worker refuse new tasks.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Journal returns every execution so far in the order of their start.
func (s *Server) Journal() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution{}, s.journal...)
}

// Report returns the worker's state.
func (s *Server) Report() worker.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := worker.Report{Name: s.opts.Name, Incarnation: s.incarnation, Free: s.free, Leaving: s.leaving, Tasks: []worker.Task{}}
	for _, t := range s.tasks {
		if !t.released {
			r.Tasks = append(r.Tasks, s.shown(t))
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

// handle routes a POST whose body is an In to f.
func handle[In, Out any](s *Server, path string, f func(In) (Out, worker.Refusal)) {
	s.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var in In
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			s.answer(w, r, nil, worker.Bad)
			return
		}
		if !s.awake(r) {
			return
		}
		out, no := f(in)
		s.answer(w, r, out, no)
	})
}

// awake waits while the worker is frozen and reports whether the caller stayed.
func (s *Server) awake(r *http.Request) bool {
	for {
		s.mu.Lock()
		frozen, thaw := s.faults.Frozen, s.thaw
		s.mu.Unlock()
		if !frozen {
			return true
		}
		select {
		case <-thaw:
		case <-r.Context().Done():
			return false
		}
	}
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, v any, no worker.Refusal) {
	if !s.awake(r) {
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
	if no != "" {
		status = http.StatusConflict
		v = map[string]worker.Refusal{"refusal": no}
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
