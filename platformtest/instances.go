package platformtest

import (
	"encoding/json"
	"net/http"
	"sort"

	"github.com/chestnutsail/chestnutsail/clock"
)

// service is an instance in the Consul HTTP API.
type service struct {
	ID      string
	Name    string
	Address string
	Port    int
	Tags    []string
	Meta    map[string]string
}

// listed is a service with the change that the lagging list does not show yet.
type listed struct {
	old     *service
	new     *service
	changed clock.Millis
}

// visible returns the list as it was before the lag. The caller holds mu.
func (s *Server) visible() []service {
	now := s.clock.Now()
	var list []service
	for _, l := range s.services {
		shown := l.new
		if now < l.changed+s.opts.ListLag {
			shown = l.old
		}
		if shown != nil {
			list = append(list, *shown)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

func (s *Server) change(id string, next *service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.services[id] = listed{old: s.services[id].new, new: next, changed: s.clock.Now()}
}

func (s *Server) instances(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, false) {
		return
	}
	s.mu.Lock()
	list := s.visible()
	if s.faults.StaleList {
		list = s.frozen
	}
	s.mu.Unlock()
	type row struct{ Service service }
	rows := []row{}
	for _, v := range list {
		if v.Name == r.PathValue("role") {
			rows = append(rows, row{v})
		}
	}
	answer(w, http.StatusOK, rows)
}

func (s *Server) register(w http.ResponseWriter, r *http.Request) {
	var v service
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil || v.ID == "" {
		http.Error(w, "malformed service", http.StatusBadRequest)
		return
	}
	s.change(v.ID, &v)
}

func (s *Server) deregister(_ http.ResponseWriter, r *http.Request) {
	s.change(r.PathValue("id"), nil)
}

// maintenance marks an instance as leaving, or takes the mark away.
func (s *Server) maintenance(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	s.mu.Lock()
	v := s.services[id].new
	s.mu.Unlock()
	if v == nil {
		http.Error(w, "no such service", http.StatusNotFound)
		return
	}
	next := *v
	next.Tags = nil
	if r.URL.Query().Get("enable") == "true" {
		next.Tags = []string{"leaving"}
	}
	s.change(id, &next)
}
