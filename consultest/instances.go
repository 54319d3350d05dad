package consultest

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/chestnutsail/chestnutsail/clock"
)

// service is an instance in the form of the Consul HTTP API.
type service struct {
	ID      string
	Name    string
	Address string
	Port    int
	Tags    []string
	Meta    map[string]string
}

// listPollInterval is the time in milliseconds between two checks of a watch for a change
// of the list.
const listPollInterval = 20 * clock.Millisecond

// listedService is a service before and after its last change, which the list shows only
// after Options.ListLag. old is nil before the first registration, new is nil after a
// deregistration.
type listedService struct {
	old       *service
	new       *service
	changedAt clock.Millis
	// oldIndex and newIndex are the indexes of the list at the changes that led to old and new.
	oldIndex uint64
	newIndex uint64
}

// delayedList returns the list as it was Options.ListLag ago, and the index of the last
// change that it includes. The caller holds mu.
func (s *Server) delayedList() ([]service, uint64) {
	now := s.clock.Now()
	var list []service
	index := uint64(1)
	for _, l := range s.services {
		shown, shownIndex := l.new, l.newIndex
		if now < l.changedAt+s.opts.ListLag {
			shown, shownIndex = l.old, l.oldIndex
		}
		index = max(index, shownIndex)
		if shown != nil {
			list = append(list, *shown)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list, index
}

func (s *Server) setService(id string, next *service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listIndex++
	old := s.services[id]
	s.services[id] = listedService{
		old: old.new, oldIndex: old.newIndex, new: next, newIndex: s.listIndex + 1, changedAt: s.clock.Now(),
	}
}

// servedList returns the list, with its index, that a reader is given now: the frozen one
// under Faults.StaleList, otherwise the delayed one.
func (s *Server) servedList() ([]service, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.StaleList {
		return s.frozenList, s.frozenIndex
	}
	return s.delayedList()
}

func (s *Server) listInstances(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, false) {
		return
	}
	q := r.URL.Query()
	knownIndex, _ := strconv.ParseUint(q.Get("index"), 10, 64)
	wait, _ := time.ParseDuration(q.Get("wait"))
	deadline := s.clock.Now() + clock.FromDuration(wait)
	list, index := s.servedList()
	for index == knownIndex && s.clock.Now() < deadline && clock.Sleep(r.Context(), listPollInterval) {
		list, index = s.servedList()
	}
	if s.isDown() {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	type row struct{ Service service }
	rows := []row{}
	for _, v := range list {
		if v.Name == r.PathValue("role") && matches(v, q.Get("filter")) {
			rows = append(rows, row{v})
		}
	}
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	writeJSON(w, http.StatusOK, rows)
}

// matches reports whether a service passes a filter. It knows only the filter by failure
// domain, which package consul uses; every service passes any other filter.
func matches(v service, filter string) bool {
	domain, found := strings.CutPrefix(filter, "Service.Meta.domain == ")
	return !found || strconv.Quote(v.Meta["domain"]) == domain
}

func (s *Server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Down
}

func (s *Server) registerService(w http.ResponseWriter, r *http.Request) {
	var v service
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil || v.ID == "" {
		http.Error(w, "malformed service", http.StatusBadRequest)
		return
	}
	s.setService(v.ID, &v)
}

func (s *Server) deregisterService(_ http.ResponseWriter, r *http.Request) {
	s.setService(r.PathValue("id"), nil)
}

// setMaintenance adds the tag leaving to an instance, or removes it.
func (s *Server) setMaintenance(w http.ResponseWriter, r *http.Request) {
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
	s.setService(id, &next)
}
