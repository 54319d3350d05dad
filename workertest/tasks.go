package workertest

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/worker"
)

// run runs a quick task and waits for its end. A task that startOrFind finds is not run
// again: run waits for its end and returns it.
func (s *Server) run(in worker.Task) (worker.Task, worker.Refusal) {
	t, refusal := s.startOrFind(in)
	if refusal != "" {
		return worker.Task{}, refusal
	}
	<-t.done
	s.mu.Lock()
	defer s.mu.Unlock()
	if !t.KeepResult && s.tasks[t.ID] == t {
		delete(s.tasks, t.ID)
	}
	return s.snapshot(t), ""
}

// startOrFind starts a quick task. If the worker knows the task, and the attempt is the same
// or the known attempt still occupies capacity or has finished, it returns the known task.
// An attempt older than the known one is refused as Fenced.
func (s *Server) startOrFind(in worker.Task) (*task, worker.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.meantForOtherProcess(in.Incarnation) {
		return nil, worker.Replaced
	}
	t, known := s.tasks[in.ID]
	if known && in.Attempt < t.Attempt {
		return nil, worker.Fenced
	}
	if known && (in.Attempt == t.Attempt || t.State.HoldsResources() || t.State == worker.Finished) {
		return t, ""
	}
	if refusal := s.admissionRefusal(in); refusal != "" {
		if in.KeepResult {
			s.fenceAttempt(in.ID, in.Attempt)
		}
		return nil, refusal
	}
	t = s.add(in, worker.Running)
	s.startExecution(t)
	s.extendLease(t, in.Lease)
	return t, ""
}

// reserve reserves capacity for a task without starting it.
func (s *Server) reserve(in worker.Task) (worker.Task, worker.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fenced(in.ID, in.Attempt, in.Term) {
		return worker.Task{}, worker.Fenced
	}
	if t, ok := s.tasks[in.ID]; ok && t.Attempt == in.Attempt {
		return s.repeatedReservation(t)
	}
	if t, ok := s.tasks[in.ID]; ok && t.State.HoldsResources() {
		return worker.Task{}, worker.Full
	}
	if refusal := s.admissionRefusal(in); refusal != "" {
		return worker.Task{}, refusal
	}
	t := s.add(in, worker.Reserved)
	s.extendLease(t, in.Lease)
	return s.snapshot(t), ""
}

// repeatedReservation answers a reservation for an attempt that the worker already knows.
// It is refused as Fenced if that attempt has ended.
func (s *Server) repeatedReservation(t *task) (worker.Task, worker.Refusal) {
	if !t.State.HoldsResources() {
		return worker.Task{}, worker.Fenced
	}
	return s.snapshot(t), ""
}

// start changes the state of a reserved task to Throttled.
func (s *Server) start(in worker.Task) (worker.Task, worker.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, refusal := s.activeTask(in.ID, in.Attempt, in.Term)
	if refusal != "" {
		return worker.Task{}, refusal
	}
	if t.State == worker.Reserved {
		t.State = worker.Throttled
		t.Payload, t.Checkpoint, t.Gang = in.Payload, in.Checkpoint, in.Gang
		t.script = parseScript(in.Payload)
	}
	s.extendLease(t, in.Lease)
	return s.snapshot(t), ""
}

// lift changes the state of a throttled task to Running. With in.GangRunning it marks the
// task as part of a gang whose members all run.
func (s *Server) lift(in worker.Task) (worker.Task, worker.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, refusal := s.activeTask(in.ID, in.Attempt, in.Term)
	if refusal != "" {
		return worker.Task{}, refusal
	}
	if t.State == worker.Reserved {
		return worker.Task{}, worker.Absent
	}
	s.extendLease(t, in.Lease)
	if t.State == worker.Throttled {
		t.State = worker.Running
		s.startExecution(t)
	}
	if in.GangRunning && !t.GangRunning {
		t.GangRunning = true
		s.recordChange(t)
	}
	return s.snapshot(t), ""
}

// stop ends a task. With a grace time, a running task leaves a checkpoint, except that a
// stubborn one runs until the grace time has passed and leaves none. An attempt that the
// worker has not seen is recorded as stopped, so that it can't start any more, and an older
// attempt of the task is ended.
func (s *Server) stop(in worker.Stop) (worker.Task, worker.Refusal) {
	if in.FenceOnly {
		return s.fenceOrFind(in)
	}
	s.mu.Lock()
	if s.meantForOtherProcess(in.Incarnation) {
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
			s.finishTask(t, worker.Stopped, nil)
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
		t.Checkpoint = fmt.Sprintf("%s@%d", t.ID, s.runningTime(t))
	}
	s.finishTask(t, worker.Stopped, nil)
	return s.snapshot(t), ""
}

// renew extends the leases of the tasks that are marked as GangRunning. If no gang task has
// changed since the change with the number in.SinceChange, it waits for a change for at most
// in.Wait. It returns the gang tasks that have changed since.
func (s *Server) renew(in worker.Renewal) (worker.Report, worker.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if in.Term < s.term {
		return worker.Report{}, worker.Fenced
	}
	s.term = in.Term
	for _, t := range s.tasks {
		if t.GangRunning && t.State.HoldsResources() {
			s.extendLease(t, in.Lease)
		}
	}
	deadline := time.After(in.Wait.Duration())
	for waiting := in.Wait > 0; waiting && s.changeNumber == in.SinceChange; {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		}
		s.mu.Lock()
	}
	return s.changesSince(in.SinceChange), ""
}

// changesSince returns a report with the gang tasks that changed after the change with the
// number since. If since is above the number of the last change, it comes from an earlier
// process of the worker, and the report has all gang tasks. The caller holds mu.
func (s *Server) changesSince(since uint64) worker.Report {
	if since > s.changeNumber {
		since = 0
	}
	r := worker.Report{Free: s.free, Leaving: s.leaving, Term: s.term, ChangeCount: s.changeNumber}
	for _, t := range s.tasks {
		if t.Term > 0 && t.changeNumber > since && !t.released {
			out := s.snapshot(t)
			out.Payload, out.Result = nil, nil
			r.Tasks = append(r.Tasks, out)
		}
	}
	return r
}

// recordChange counts a change of a gang task and notifies the renewals that wait for one.
// It does nothing for quick tasks. The caller holds mu.
func (s *Server) recordChange(t *task) {
	if t.Term == 0 {
		return
	}
	s.changeNumber++
	t.changeNumber = s.changeNumber
	close(s.changed)
	s.changed = make(chan struct{})
}

// release discards the result of an ended task. Its attempt stays fenced, so that a
// delayed copy of a call can't run it again.
func (s *Server) release(in worker.Task) (worker.Task, worker.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.tasks[in.ID]
	if !ok || t.released || t.Attempt != in.Attempt || t.State.HoldsResources() {
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
	return s.snapshot(t), ""
}

// fenced reports whether a call has an older term or an older attempt of the task than the
// worker has seen. It records a newer term. The caller holds mu.
func (s *Server) fenced(id string, attempt int, term int64) bool {
	if term < s.term {
		return true
	}
	s.term = term
	t, ok := s.tasks[id]
	return ok && attempt < t.Attempt
}

// activeTask returns the task with the given ID if the given attempt of it occupies capacity,
// and the refusal Fenced or Absent otherwise. The caller holds mu.
func (s *Server) activeTask(id string, attempt int, term int64) (*task, worker.Refusal) {
	if s.fenced(id, attempt, term) {
		return nil, worker.Fenced
	}
	t, ok := s.tasks[id]
	if !ok || t.Attempt != attempt || !t.State.HoldsResources() {
		return nil, worker.Absent
	}
	return t, ""
}

func (s *Server) admissionRefusal(in worker.Task) worker.Refusal {
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
	t := &task{Task: in, script: parseScript(in.Payload), journalIndex: -1, done: make(chan struct{})}
	if state.HoldsResources() {
		s.free = s.free.Sub(in.Needs)
	}
	s.tasks[in.ID] = t
	s.recordChange(t)
	return t
}

// startExecution adds the task to the journal and ends it after the running time in its
// script. The caller holds mu.
func (s *Server) startExecution(t *task) {
	t.started = s.opts.Clock.Now()
	t.journalIndex = len(s.journal)
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
		s.finishTask(t, state, result)
	})
}

// finishTask gives a task that occupies capacity an ended state and frees the capacity. It
// does nothing to a task that has ended. The caller holds mu.
func (s *Server) finishTask(t *task, state worker.State, result []byte) {
	if !t.State.HoldsResources() {
		return
	}
	t.RunTime = s.runningTime(t)
	t.State, t.Result = state, result
	s.recordChange(t)
	s.free = s.free.Add(t.Needs)
	if t.journalIndex >= 0 {
		s.journal[t.journalIndex].End, s.journal[t.journalIndex].State = s.opts.Clock.Now(), state
	}
	if t.timer != nil {
		t.timer.Stop()
	}
	close(t.done)
}

// extendLease sets the end of the task's lease to lease milliseconds from now. The task then
// ends as LeaseExpired unless the lease is extended again. It does nothing if lease is not
// positive. The caller holds mu.
func (s *Server) extendLease(t *task, lease clock.Millis) {
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
			s.finishTask(t, worker.LeaseExpired, nil)
		}
	})
}

func (s *Server) runningTime(t *task) clock.Millis {
	if t.journalIndex < 0 {
		return 0
	}
	return s.opts.Clock.Now() - t.started
}

func (s *Server) snapshot(t *task) worker.Task {
	out := t.Task
	out.Incarnation = s.incarnation
	out.Ran = t.journalIndex >= 0
	out.Hash = outcome.Hash(out.Result)
	if t.State == worker.Running {
		out.RunTime = s.runningTime(t)
	}
	return out
}

func parseScript(payload []byte) Script {
	var script Script
	if json.Unmarshal(payload, &script) != nil {
		script.Echo = string(payload)
	}
	return script
}
