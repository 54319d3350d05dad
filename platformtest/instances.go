package platformtest

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/chestnutsail/chestnutsail/clock"
)

// listPoll is the time between two looks at the list of a waiting watch.
const listPoll = 25 * time.Millisecond

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
	type row struct{ Service service }
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("index"), 10, 64)
	wait, _ := time.ParseDuration(q.Get("wait"))
	for deadline := time.Now().Add(wait); ; time.Sleep(listPoll) {
		rows := []row{}
		for _, v := range s.list() {
			if v.Name == r.PathValue("role") && matches(q.Get("filter"), v) {
				rows = append(rows, row{v})
			}
		}
		index := digest(rows)
		if index == after && time.Now().Before(deadline) && r.Context().Err() == nil {
			continue
		}
		w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
		answer(w, http.StatusOK, rows)
		return
	}
}

// list returns what the list shows at this moment.
func (s *Server) list() []service {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.StaleList {
		return s.frozen
	}
	return s.visible()
}

// matches applies the one filter that package platform uses.
func matches(filter string, v service) bool {
	return filter == "" || filter == fmt.Sprintf("Service.Meta.domain == %q", v.Meta["domain"])
}

// digest numbers the state of a list: it differs when the list does.
func digest(rows any) uint64 {
	raw, _ := json.Marshal(rows)
	h := fnv.New32a()
	_, _ = h.Write(raw)
	return uint64(h.Sum32()) + 1
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
