// Package consultest is a small stand-in for the platform's store and its list of
// instances, for tests and demonstrations. It keeps everything in memory, serves the part
// of the Consul HTTP API that package consul uses, and can inject faults.
//
// # Usage
//
//	s := consultest.New(consultest.Options{})
//	srv := httptest.NewServer(s)
//	s.SetFaults(consultest.Faults{LoseAnswers: 1}) // drops the answer to the next write
package consultest

import (
	"encoding/json"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/chestnutsail/chestnutsail/clock"
)

// Options configures the stand-in. The zero value sets no limits and no lag.
type Options struct {
	// WritesPerSecond and ReadsPerSecond limit the calls in each second. Further calls are
	// refused with status 429. 0 means no limit.
	WritesPerSecond int
	ReadsPerSecond  int
	// ListLag is the time in milliseconds after which the instance list shows a change.
	ListLag clock.Millis
}

// Faults are the faults that the stand-in injects. The zero value injects none.
type Faults struct {
	// Down refuses every call with status 503.
	Down bool `json:"down"`
	// Slow is the delay of every call in milliseconds.
	Slow clock.Millis `json:"slow_ms"`
	// LoseAnswers is the number of writes that take effect and whose answer is dropped.
	LoseAnswers int `json:"lose_answers"`
	// LateWrites is the number of writes whose connection is closed at once and which
	// take effect only after LateBy milliseconds, if their condition holds then.
	LateWrites int          `json:"late_writes"`
	LateBy     clock.Millis `json:"late_by_ms"`
	// StaleReads answers reads from the state at the time when the fault was set.
	StaleReads bool `json:"stale_reads"`
	// StaleList answers with the instance list as it was when the fault was set.
	StaleList bool `json:"stale_list"`
	// Flap makes the store alternate between down and up, each for this time in
	// milliseconds. 0 means that it doesn't.
	Flap clock.Millis `json:"flap_ms"`
}

// Calls counts the calls in one second of the clock. Reads and Writes include the refused
// calls.
type Calls struct {
	Second  int64 `json:"second"`
	Reads   int   `json:"reads"`
	Writes  int   `json:"writes"`
	Refused int   `json:"refused"`
}

type pair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
}

// Server is the stand-in. It implements http.Handler and is safe for concurrent use.
type Server struct {
	opts  Options
	clock *clock.Clock
	mux   *http.ServeMux

	mu         sync.Mutex
	faults     Faults
	index      uint64
	pairs      map[string]pair
	stalePairs map[string]pair
	// deleted holds the index at which each key was deleted, so that a watch of a prefix
	// notices deletions.
	deleted map[string]uint64
	// changed is closed and replaced at each write, to notify watches.
	changed    chan struct{}
	calls      []Calls
	services   map[string]listedService
	frozenList []service
	// listIndex counts the changes of the instance list. frozenIndex is the index of
	// frozenList.
	listIndex   uint64
	frozenIndex uint64
}

// New returns a stand-in with an empty store and an empty instance list.
func New(opts Options) *Server {
	s := &Server{
		opts: opts, clock: clock.New(), mux: http.NewServeMux(),
		pairs: make(map[string]pair), deleted: make(map[string]uint64), changed: make(chan struct{}), services: make(map[string]listedService),
	}
	s.mux.HandleFunc("PUT /v1/txn", s.handleTransaction)
	s.mux.HandleFunc("GET /v1/kv/", s.handleRead)
	s.mux.HandleFunc("GET /v1/health/service/{role}", s.listInstances)
	s.mux.HandleFunc("PUT /v1/agent/service/register", s.registerService)
	s.mux.HandleFunc("PUT /v1/agent/service/deregister/{id}", s.deregisterService)
	s.mux.HandleFunc("PUT /v1/agent/service/maintenance/{id}", s.setMaintenance)
	s.mux.HandleFunc("GET /faults", s.getFaults)
	s.mux.HandleFunc("PUT /faults", s.putFaults)
	s.mux.HandleFunc("GET /calls", s.getCalls)
	return s
}

// ServeHTTP answers one call of the Consul HTTP API, or of /faults and /calls, which
// control the stand-in.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults that are injected from now on.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.StaleReads && !s.faults.StaleReads {
		s.stalePairs = make(map[string]pair, len(s.pairs))
		for k, p := range s.pairs {
			s.stalePairs[k] = p
		}
	}
	if f.StaleList && !s.faults.StaleList {
		s.frozenList, s.frozenIndex = s.delayedList()
	}
	s.faults = f
}

// Calls returns the counts for each second that had a call, in order of time.
func (s *Server) Calls() []Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Calls(nil), s.calls...)
}

// Value returns the current value of a key and whether the key exists. Faults do not apply.
func (s *Server) Value(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.pairs[key]
	return p.Value, ok
}

// Keys returns the sorted keys with a prefix. Faults do not apply.
func (s *Server) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.pairs {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

// admit counts a call and applies outages, the delay and the rate limits to it. If it
// refuses the call, it writes the answer and returns false.
func (s *Server) admit(w http.ResponseWriter, write bool) bool {
	s.mu.Lock()
	f := s.faults
	if f.Flap > 0 && s.clock.Now()/f.Flap%2 == 0 {
		f.Down = true
	}
	c := s.currentCalls()
	limit, used := s.opts.ReadsPerSecond, &c.Reads
	if write {
		limit, used = s.opts.WritesPerSecond, &c.Writes
	}
	overLimit := limit > 0 && *used >= limit
	*used++
	if f.Down || overLimit {
		c.Refused++
	}
	s.mu.Unlock()
	time.Sleep(f.Slow.Duration())
	if f.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return false
	}
	if overLimit {
		http.Error(w, "over the rate", http.StatusTooManyRequests)
		return false
	}
	return true
}

func (s *Server) currentCalls() *Calls {
	now := int64(s.clock.Now() / clock.Second)
	if n := len(s.calls); n == 0 || s.calls[n-1].Second != now {
		s.calls = append(s.calls, Calls{Second: now})
	}
	return &s.calls[len(s.calls)-1]
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, f)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Server) getCalls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Calls())
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
