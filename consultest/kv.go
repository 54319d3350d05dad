package consultest

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"
)

const (
	maxValueSize      = 1 << 20 // bytes
	maxTransactionOps = 64
)

type txnOp struct {
	KV struct {
		Verb  string
		Key   string
		Value []byte
		Index uint64
	}
}

type txnResult struct{ KV pair }

type txnError struct {
	OpIndex int
	What    string
}

func (s *Server) handleTransaction(w http.ResponseWriter, r *http.Request) {
	var ops []txnOp
	if err := json.NewDecoder(r.Body).Decode(&ops); err != nil || len(ops) == 0 || len(ops) > maxTransactionOps {
		http.Error(w, "malformed transaction", http.StatusBadRequest)
		return
	}
	for _, op := range ops {
		if len(op.KV.Value) > maxValueSize {
			http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
			return
		}
	}
	if !s.admit(w, true) {
		return
	}
	if s.postponeWrite(ops) {
		panic(http.ErrAbortHandler)
	}
	results, staleOps, dropAnswer := s.apply(ops)
	if dropAnswer {
		panic(http.ErrAbortHandler)
	}
	if len(staleOps) > 0 {
		writeJSON(w, http.StatusConflict, map[string]any{"Errors": staleOps})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"Results": results})
}

// postponeWrite schedules a transaction for later under Faults.LateWrites, and reports
// whether it did.
func (s *Server) postponeWrite(ops []txnOp) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LateWrites <= 0 {
		return false
	}
	s.faults.LateWrites--
	time.AfterFunc(s.faults.LateBy.Duration(), func() { s.apply(ops) })
	return true
}

// apply carries out all operations or none. It returns the operations whose index is stale,
// which prevent the transaction, and whether the answer has to be dropped.
func (s *Server) apply(ops []txnOp) (results []txnResult, staleOps []txnError, dropAnswer bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seenKeys := make(map[string]bool, len(ops))
	for i, op := range ops {
		if seenKeys[op.KV.Key] || s.pairs[op.KV.Key].ModifyIndex != op.KV.Index {
			staleOps = append(staleOps, txnError{i, "index is stale"})
		}
		seenKeys[op.KV.Key] = true
	}
	if len(staleOps) > 0 {
		return nil, staleOps, false
	}
	s.index++
	for _, op := range ops {
		switch op.KV.Verb {
		case "check-not-exists":
		case "delete-cas":
			delete(s.pairs, op.KV.Key)
			s.deleted[op.KV.Key] = s.index
		default:
			s.pairs[op.KV.Key] = pair{Key: op.KV.Key, Value: op.KV.Value, ModifyIndex: s.index}
			results = append(results, txnResult{KV: pair{Key: op.KV.Key, ModifyIndex: s.index}})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return nil, nil, true
	}
	return results, nil, false
}

func (s *Server) handleRead(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, false) {
		return
	}
	key := strings.TrimPrefix(r.URL.Path, "/v1/kv/")
	q := r.URL.Query()
	recurse := q.Has("recurse") || q.Has("keys")
	knownIndex, _ := strconv.ParseUint(q.Get("index"), 10, 64)
	wait, _ := time.ParseDuration(q.Get("wait"))
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		found, index, changed := s.findPairs(key, recurse)
		if !q.Has("index") || index > knownIndex {
			s.writePairs(w, r, found, index)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			s.writePairs(w, r, found, index)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// findPairs returns the pair of a key, or with recurse all pairs under a prefix, and the
// index of the last change or deletion among them. The channel is closed at the next write.
func (s *Server) findPairs(key string, recurse bool) ([]pair, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pairs := s.pairs
	if s.faults.StaleReads {
		pairs = s.stalePairs
	}
	if !recurse {
		p, ok := pairs[key]
		if !ok {
			return nil, s.index, s.changed
		}
		return []pair{p}, p.ModifyIndex, s.changed
	}
	var found []pair
	var index uint64
	for k, p := range pairs {
		if strings.HasPrefix(k, key) {
			found = append(found, p)
			index = max(index, p.ModifyIndex)
		}
	}
	for k, deletedIndex := range s.deleted {
		if strings.HasPrefix(k, key) {
			index = max(index, deletedIndex)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, index, s.changed
}

func (s *Server) writePairs(w http.ResponseWriter, r *http.Request, found []pair, index uint64) {
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	if len(found) == 0 {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	if !r.URL.Query().Has("keys") {
		writeJSON(w, http.StatusOK, found)
		return
	}
	keys := make([]string, len(found))
	for i, p := range found {
		keys[i] = p.Key
	}
	writeJSON(w, http.StatusOK, keys)
}
