package workertest

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/worker"
)

// run runs a quick task to its end. A known ID is answered from what is known.
func (s *Server) run(in worker.Task) (worker.Task, worker.Refusal) {
	t, no := s.begin(in)
	if no != "" {
		return worker.Task{}, no
	}
	<-t.done
	s.mu.Lock()
	defer s.mu.Unlock()
	if !t.Keep && s.tasks[t.ID] == t {
		delete(s.tasks, t.ID)
	}
	return s.shown(t), ""
}

// begin starts a quick task, or finds it when its ID is known.
func (s *Server) begin(in worker.Task) (*task, worker.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replaced(in.Incarnation) {
		return nil, worker.Replaced
	}
	t, known := s.tasks[in.ID]
	if known && in.Attempt < t.Attempt {
		return nil, worker.Fenced
	}
	if known && (in.Attempt == t.Attempt || t.State.Holds() || t.State == worker.Finished) {
		return t, ""
	}
	if no := s.admit(in); no != "" {
		if in.Keep {
			s.forbid(in.ID, in.Attempt)
		}
		return nil, no
	}
	t = s.add(in, worker.Running)
	s.execute(t)
	s.extend(t, in.Lease)
	return t, ""
}

// reserve holds capacity for a task.
func (s *Server) reserve(in worker.Task) (worker.Task, worker.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fenced(in.ID, in.Attempt, in.Term) {
		return worker.Task{}, worker.Fenced
	}
	if t, ok := s.tasks[in.ID]; ok && t.Attempt == in.Attempt {
		return s.same(t)
	}
	if t, ok := s.tasks[in.ID]; ok && t.State.Holds() {
		return worker.Task{}, worker.Full
	}
	if no := s.admit(in); no != "" {
		return worker.Task{}, no
	}
	t := s.add(in, worker.Reserved)
	s.extend(t, in.Lease)
	return s.shown(t), ""
}

// same answers a repeated call about an attempt that is already known.
func (s *Server) same(t *task) (worker.Task, worker.Refusal) {
	if !t.State.Holds() {
		return worker.Task{}, worker.Fenced
	}
	return s.shown(t), ""
}

// start moves a reservation to throttled.
func (s *Server) start(in worker.Task) (worker.Task, worker.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, no := s.held(in.ID, in.Attempt, in.Term)
	if no != "" {
		return worker.Task{}, no
	}
	if t.State == worker.Reserved {
		t.State = worker.Throttled
		t.Payload, t.Checkpoint, t.Gang = in.Payload, in.Checkpoint, in.Gang
		t.script = parse(in.Payload)
	}
	s.extend(t, in.Lease)
	return s.shown(t), ""
}

// lift moves a throttled task to running.
func (s *Server) lift(in worker.Task) (worker.Task, worker.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, no := s.held(in.ID, in.Attempt, in.Term)
	if no != "" {
		return worker.Task{}, no
	}
	if t.State == worker.Reserved {
		return worker.Task{}, worker.Absent
	}
	s.extend(t, in.Lease)
	if t.State == worker.Throttled {
		t.State = worker.Running
		s.execute(t)
	}
	if in.Whole && !t.Whole {
		t.Whole = true
		s.touch(t)
	}
	return s.shown(t), ""
}

// stop ends a task. Stubborn work uses up the whole grace and leaves no checkpoint.
func (s *Server) stop(in worker.Stop) (worker.Task, worker.Refusal) {
	if in.Fence {
		return s.fence(in)
	}
	s.mu.Lock()
	if s.replaced(in.Incarnation) {
		s.mu.Unlock()
		return worker.Task{}, worker.Replaced
	}
	t, known := s.tasks[in.ID]
	if s.fenced(in.ID, in.Attempt, in.Term) {
		s.mu.Unlock()
		return worker.Task{}, worker.Fenced
	}
	if !known || t.Attempt < in.Attempt {
		if known {
			s.end(t, worker.Stopped, nil)
		}
		t = s.add(worker.Task{ID: in.ID, Attempt: in.Attempt, Term: in.Term}, worker.Stopped)
		close(t.done)
		s.mu.Unlock()
		return t.Task, ""
	}
	running := t.State == worker.Running
	stubborn := t.script.Stubborn
	done := t.done
	s.mu.Unlock()
	if running && stubborn && in.Grace > 0 {
		select {
		case <-done:
		case <-time.After(in.Grace.Duration()):
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if running && !stubborn && in.Grace > 0 && t.State == worker.Running {
		t.Checkpoint = fmt.Sprintf("%s@%d", t.ID, s.used(t))
	}
	s.end(t, worker.Stopped, nil)
	return s.shown(t), ""
}

// renew extends the leases of whole tasks and reports the tasks that changed.
func (s *Server) renew(in worker.Renewal) (worker.Report, worker.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if in.Term < s.term {
		return worker.Report{}, worker.Fenced
	}
	s.term = in.Term
	for _, t := range s.tasks {
		if t.Whole && t.State.Holds() {
			s.extend(t, in.Lease)
		}
	}
	deadline := time.After(in.Wait.Duration())
	for waiting := in.Wait > 0; waiting && s.change == in.Since; {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		}
		s.mu.Lock()
	}
	return s.delta(in.Since), ""
}

// delta reports the gang tasks that changed since a change. A change that the
// worker has not come to yet was seen before it restarted.
func (s *Server) delta(since uint64) worker.Report {
	if since > s.change {
		since = 0
	}
	r := worker.Report{Free: s.free, Leaving: s.leaving, Term: s.term, Change: s.change}
	for _, t := range s.tasks {
		if t.Term > 0 && t.change > since && !t.released {
			out := s.shown(t)
			out.Payload, out.Result = nil, nil
			r.Tasks = append(r.Tasks, out)
		}
	}
	return r
}

// touch notes a change of a gang task and wakes the renewals that wait for one.
func (s *Server) touch(t *task) {
	if t.Term == 0 {
		return
	}
	s.change++
	t.change = s.change
	close(s.changed)
	s.changed = make(chan struct{})
}

// release forgets the result of an ended task. Its attempt stays fenced, so that a
// delayed copy of a call can't run it again.
func (s *Server) release(in worker.Task) (worker.Task, worker.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.tasks[in.ID]
	if !ok || t.released || t.Attempt != in.Attempt || t.State.Holds() {
		return worker.Task{}, worker.Absent
	}
	t.released = true
	t.State, t.Payload, t.Result = worker.Stopped, nil, nil
	return t.Task, ""
}

func (s *Server) lookup(id string) (worker.Task, worker.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.tasks[id]
	if !ok || t.released {
		return worker.Task{}, worker.Absent
	}
	return s.shown(t), ""
}

// fenced notes the term and reports whether a call is older than what was seen.
func (s *Server) fenced(id string, attempt int, term int64) bool {
	if term < s.term {
		return true
	}
	s.term = term
	t, ok := s.tasks[id]
	return ok && attempt < t.Attempt
}

// held returns a task that occupies capacity under exactly this attempt.
func (s *Server) held(id string, attempt int, term int64) (*task, worker.Refusal) {
	if s.fenced(id, attempt, term) {
		return nil, worker.Fenced
	}
	t, ok := s.tasks[id]
	if !ok || t.Attempt != attempt || !t.State.Holds() {
		return nil, worker.Absent
	}
	return t, ""
}

func (s *Server) admit(in worker.Task) worker.Refusal {
	if s.leaving {
		return worker.Leaving
	}
	if !in.Needs.Fits(s.free) {
		return worker.Full
	}
	return ""
}

func (s *Server) add(in worker.Task, state worker.State) *task {
	in.State = state
	t := &task{Task: in, script: parse(in.Payload), entry: -1, done: make(chan struct{})}
	if state.Holds() {
		s.free = s.free.Sub(in.Needs)
	}
	s.tasks[in.ID] = t
	s.touch(t)
	return t
}

// execute starts the pretended work.
func (s *Server) execute(t *task) {
	t.started = s.opts.Clock.Now()
	t.entry = len(s.journal)
	s.journal = append(s.journal, Execution{ID: t.ID, Attempt: t.Attempt, Tasks: max(t.Tasks, 1), Start: t.started})
	sleep := t.script.Sleep
	if s.faults.FailTasks {
		sleep = 0
	}
	time.AfterFunc(sleep.Duration(), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		state, result := worker.Finished, []byte(t.script.Echo)
		if t.script.Fail || s.faults.FailTasks {
			state, result = worker.Failed, []byte("task failed")
		}
		s.end(t, state, result)
	})
}

// end moves a task that holds capacity to an ended state and frees the capacity.
func (s *Server) end(t *task, state worker.State, result []byte) {
	if !t.State.Holds() {
		return
	}
	t.Used = s.used(t)
	t.State, t.Result = state, result
	s.touch(t)
	s.free = s.free.Add(t.Needs)
	if t.entry >= 0 {
		s.journal[t.entry].End, s.journal[t.entry].State = s.opts.Clock.Now(), state
	}
	if t.timer != nil {
		t.timer.Stop()
	}
	close(t.done)
}

// extend moves the end of the lease and lets the task lapse there.
func (s *Server) extend(t *task, lease clock.Millis) {
	if lease <= 0 {
		return
	}
	if t.timer != nil {
		t.timer.Stop()
	}
	t.expires = s.opts.Clock.Now() + lease
	t.timer = time.AfterFunc(lease.Duration(), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.opts.Clock.Now() >= t.expires {
			s.end(t, worker.Lapsed, nil)
		}
	})
}

func (s *Server) used(t *task) clock.Millis {
	if t.entry < 0 {
		return 0
	}
	return s.opts.Clock.Now() - t.started
}

func (s *Server) shown(t *task) worker.Task {
	out := t.Task
	out.Incarnation = s.incarnation
	out.Ran = t.entry >= 0
	out.Hash = outcome.Hash(out.Result)
	if t.State == worker.Running {
		out.Used = s.used(t)
	}
	return out
}

func parse(payload []byte) Script {
	var script Script
	if json.Unmarshal(payload, &script) != nil {
		script.Echo = string(payload)
	}
	return script
}
