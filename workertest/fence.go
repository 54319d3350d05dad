package workertest

import "github.com/chestnutsail/chestnutsail/worker"

// fenceOrFind fences an attempt that the worker has not seen, so that it can't start any
// more. If the worker has seen that attempt or a newer one, or the task still occupies
// capacity, it returns the task unchanged.
func (s *Server) fenceOrFind(in worker.Stop) (worker.Task, worker.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.meantForOtherProcess(in.Incarnation) {
		return worker.Task{}, worker.Replaced
	}
	t, known := s.tasks[in.ID]
	if known && (t.Attempt >= in.Attempt || t.State.HoldsResources()) {
		return s.snapshot(t), ""
	}
	return s.snapshot(s.fenceAttempt(in.ID, in.Attempt)), ""
}

// fenceAttempt records an attempt as stopped, so that it can't start any more. The caller
// holds mu.
func (s *Server) fenceAttempt(id string, attempt int) *task {
	t := s.add(worker.Task{ID: id, Attempt: attempt, KeepResult: true}, worker.Stopped)
	close(t.done)
	return t
}

// meantForOtherProcess reports whether a call names an incarnation other than that of this
// process. The caller holds mu.
func (s *Server) meantForOtherProcess(incarnation string) bool {
	return incarnation != "" && incarnation != s.incarnation
}
