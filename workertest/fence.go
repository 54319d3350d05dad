package workertest

import "github.com/chestnutsail/chestnutsail/worker"

// fence keeps an attempt that was never seen from starting and returns any other
// as it is.
func (s *Server) fence(in worker.Stop) (worker.Task, worker.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replaced(in.Incarnation) {
		return worker.Task{}, worker.Replaced
	}
	t, known := s.tasks[in.ID]
	if known && (t.Attempt >= in.Attempt || t.State.Holds()) {
		return s.shown(t), ""
	}
	return s.shown(s.forbid(in.ID, in.Attempt)), ""
}

// forbid keeps an attempt from starting. The caller holds mu.
func (s *Server) forbid(id string, attempt int) *task {
	t := s.add(worker.Task{ID: id, Attempt: attempt, Keep: true}, worker.Stopped)
	close(t.done)
	return t
}

// replaced reports whether a call was meant for another process. The caller holds mu.
func (s *Server) replaced(incarnation string) bool {
	return incarnation != "" && incarnation != s.incarnation
}
