package dispatch

import (
	"context"
	"reflect"
	"sync"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/gang"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/ledger"
	"github.com/chestnutsail/chestnutsail/replay"
	"github.com/chestnutsail/chestnutsail/scheduler"
	"github.com/chestnutsail/chestnutsail/worker"
)

// session schedules the domain during one term. Unless noted otherwise, only the
// goroutine of run reads and writes its fields.
type session struct {
	d          *Dispatcher
	opts       Options
	term       int64
	ctx        context.Context
	core       *replay.Recorder
	inbox      chan func()
	background sync.WaitGroup
	startSlots chan struct{}

	jobs         map[string]*liveJob
	workers      map[string]Worker
	textRevision uint64
	// unresponsive holds the listed workers that did not answer a call. They are removed
	// from the core. The value is true while a probe of the worker is in progress.
	unresponsive map[string]bool
}

// liveJob is a job that has not ended. Its steps are functions that run one after the
// other on goroutines of their own; see session.enqueueStep.
type liveJob struct {
	id   string
	spec job.Spec
	// stored is the job's record as last read or written. Once the first step is enqueued,
	// only the steps access it.
	stored ledger.Entry
	// lastStepDone is closed when the last enqueued step has ended.
	lastStepDone chan struct{}
	// mayHaveRun is set once a member of any attempt may have run. Only the steps access it.
	mayHaveRun bool
	// result is the result of the attempt that ended, and worker is the worker that the
	// attempt reported. Only the steps access them.
	result []byte
	worker string

	// gang is the gang of the current attempt, or nil.
	gang       *gang.Gang
	attempt    int
	checkpoint string
	// started is set once the whole gang was seen running. earlyReports holds the task
	// reports that arrived before.
	started      bool
	earlyReports []taskReport
	// finished holds the workers whose member of the gang has finished.
	finished map[string]bool
	stopping bool
	refusals int
	// recordUnchanged is set when the last attempt did not change the stored record.
	recordUnchanged bool
}

// taskReport is the reported state of one task on a worker.
type taskReport struct {
	worker string
	task   worker.Task
}

// startAttempt sets the gang of a new attempt and resets the state of the previous one.
func (j *liveJob) startAttempt(g *gang.Gang, attempt int) {
	j.gang, j.attempt, j.finished = g, attempt, make(map[string]bool)
	j.started, j.earlyReports, j.stopping, j.recordUnchanged = false, nil, false, false
}

func newSession(ctx context.Context, d *Dispatcher, termNumber int64) *session {
	return &session{
		d: d, opts: d.opts, term: termNumber, ctx: ctx, core: replay.New(scheduler.New(d.opts.Core), replay.Options{MaxBytes: maxTraceBytes}),
		inbox: make(chan func(), inboxSize), startSlots: make(chan struct{}, maxConcurrentStarts),
		jobs: make(map[string]*liveJob), workers: make(map[string]Worker), unresponsive: make(map[string]bool),
	}
}

// run recovers the state of the domain and schedules the domain until the session ends.
func (s *session) run() {
	if !s.recover() {
		return
	}
	s.d.setSession(s)
	s.runAsync(s.watchNotifications)
	tick := clock.NewTicker(tickPeriod)
	defer tick.Stop()
	listing := clock.NewTicker(s.opts.ListInterval)
	defer listing.Stop()
	sweep := clock.NewTicker(sweepPeriod)
	defer sweep.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case f := <-s.inbox:
			f()
		case <-tick.C:
			s.updateTextAndWorkers()
			s.stepCore(scheduler.Event{Kind: scheduler.Tick})
		case <-listing.C:
			s.runAsync(s.listJobs)
		case <-sweep.C:
			s.runAsync(s.sweep)
		}
	}
}

// post queues f to run on the goroutine that owns the core. It returns ErrNotLeading when
// the session has ended.
func (s *session) post(ctx context.Context, f func()) error {
	select {
	case s.inbox <- f:
		return nil
	case <-s.ctx.Done():
		return ErrNotLeading
	case <-ctx.Done():
		return ctx.Err()
	}
}

// runAsync runs f on a new goroutine, which the end of the session waits for.
func (s *session) runAsync(f func()) { s.background.Go(f) }

// enqueueStep runs f on a new goroutine after all earlier steps of the job have ended.
// Steps that are due after the end of the session are skipped.
func (s *session) enqueueStep(j *liveJob, f func()) {
	previous, done := j.lastStepDone, make(chan struct{})
	j.lastStepDone = done
	s.runAsync(func() {
		defer close(done)
		if previous != nil {
			<-previous
		}
		if s.ctx.Err() == nil {
			f()
		}
	})
}

// stepCore passes one event to the core, executes the actions that the core returns, and
// returns these actions.
func (s *session) stepCore(e scheduler.Event) []scheduler.Action {
	actions := s.core.Step(s.opts.Clock.Now(), e)
	for _, a := range actions {
		s.execute(a)
	}
	return actions
}

// updateTextAndWorkers passes changes of the cluster text and of the list of workers
// to the core, and starts a probe of each unresponsive worker that is not being probed.
func (s *session) updateTextAndWorkers() {
	if snapshot := s.opts.Texts.Now(); snapshot.Revision > s.textRevision {
		s.textRevision = snapshot.Revision
		s.stepCore(scheduler.Event{Kind: scheduler.Text, Text: snapshot.Text})
	}
	listed := make(map[string]bool)
	for _, w := range s.opts.Workers() {
		listed[w.Node.Name] = true
		if probing, unresponsive := s.unresponsive[w.Node.Name]; !unresponsive {
			s.updateWorker(w)
		} else if !probing {
			s.probeWorker(w)
		}
	}
	for _, name := range sortedKeys(s.unresponsive) {
		if !listed[name] {
			delete(s.unresponsive, name)
		}
	}
	for _, name := range sortedKeys(s.workers) {
		if !listed[name] {
			s.removeWorker(name)
		}
	}
}

func (s *session) removeWorker(name string) {
	delete(s.workers, name)
	s.stepCore(scheduler.Event{Kind: scheduler.WorkerGone, Worker: name})
}

// markUnresponsive removes a worker that did not answer from the core until the worker
// answers a probe.
func (s *session) markUnresponsive(name string) {
	if _, unresponsive := s.unresponsive[name]; unresponsive || name == "" {
		return
	}
	s.opts.Log.WithField("worker", name).Warn("dispatch: worker does not answer")
	s.unresponsive[name] = false
	s.removeWorker(name)
}

// probeWorker calls an unresponsive worker. If the worker answers, the next
// updateTextAndWorkers adds it to the core again.
func (s *session) probeWorker(w Worker) {
	name := w.Node.Name
	s.unresponsive[name] = true
	s.runAsync(func() {
		ctx, cancel := context.WithTimeout(s.ctx, s.opts.Times.CallTimeout.Duration())
		defer cancel()
		_, err := w.Agent.Renew(ctx, worker.Renewal{Term: s.term, Lease: s.opts.Times.Lease})
		s.postResult(func() {
			s.unresponsive[name] = false
			if err == nil {
				delete(s.unresponsive, name)
			}
		})
	})
}

func (s *session) updateWorker(w Worker) {
	name := w.Node.Name
	old, known := s.workers[name]
	s.workers[name] = w
	if !known || !reflect.DeepEqual(old.Node, w.Node) || (old.Leaving && !w.Leaving) {
		node := w.Node
		s.stepCore(scheduler.Event{Kind: scheduler.WorkerUp, Node: &node})
	}
	if w.Leaving && !old.Leaving {
		s.stepCore(scheduler.Event{Kind: scheduler.WorkerLeaving, Worker: name})
	}
}

// applyHint handles a record that an instance has written: it submits a new job to the
// core and passes on a cancellation.
func (s *session) applyHint(e ledger.Entry) {
	r := e.Record
	if r.Domain != s.opts.Domain {
		return
	}
	id := r.Spec.ID()
	if s.jobs[id] == nil {
		if r.State.Ended() {
			return
		}
		if e.Version == 0 || r.State != job.Waiting {
			s.runAsync(func() { s.fetchRecord(id) })
			return
		}
		s.submit(e)
	}
	if r.Cancel || r.State == job.Canceled {
		s.stepCore(scheduler.Event{Kind: scheduler.Cancel, ID: id})
	}
}

// submit adds a job to the session and submits its record to the core.
func (s *session) submit(e ledger.Entry) *liveJob {
	r := e.Record
	j := s.addJob(e)
	s.stepCore(scheduler.Event{Kind: scheduler.Submit, Record: &r})
	return j
}

// addJob adds a job to the session, but not to the core.
func (s *session) addJob(e ledger.Entry) *liveJob {
	r := e.Record
	j := &liveJob{
		id: r.Spec.ID(), spec: r.Spec, stored: e, mayHaveRun: r.Started > 0,
		attempt: r.Attempt, checkpoint: r.Checkpoint,
	}
	s.jobs[j.id] = j
	return j
}

// fetchRecord reads the record of a job from the store and submits the job. The next
// listing repeats a read that fails.
func (s *session) fetchRecord(id string) {
	e, err := s.opts.Ledger.Find(s.ctx, s.opts.Domain, id)
	if err != nil {
		return
	}
	_ = s.post(s.ctx, func() {
		if s.jobs[id] != nil {
			return
		}
		if e.Record.State == job.Waiting {
			s.submit(e)
		} else {
			s.adoptGang(s.submit(e))
		}
		if e.Record.Cancel {
			s.stepCore(scheduler.Event{Kind: scheduler.Cancel, ID: id})
		}
	})
}

// watchNotifications lists the live jobs whenever another instance notifies the domain
// through the store.
func (s *session) watchNotifications() {
	var index uint64
	for s.ctx.Err() == nil {
		next, err := s.opts.Ledger.AwaitNotify(s.ctx, s.opts.Domain, index)
		if err != nil {
			clock.Sleep(s.ctx, notifyPeriod)
			continue
		}
		if next != index {
			s.listJobs()
		}
		index = next
	}
}

// listJobs reads the IDs of the live jobs and finds the new and the canceled jobs whose
// hints were lost.
func (s *session) listJobs() {
	ids, canceled, err := s.opts.Ledger.IDs(s.ctx, s.opts.Domain)
	if err != nil {
		return
	}
	_ = s.post(s.ctx, func() {
		listed := make(map[string]bool, len(ids))
		for _, id := range ids {
			listed[id] = true
			if s.jobs[id] == nil {
				s.runAsync(func() { s.fetchRecord(id) })
			}
		}
		for _, id := range canceled {
			if s.jobs[id] != nil {
				s.stepCore(scheduler.Event{Kind: scheduler.Cancel, ID: id})
			}
		}
		s.cancelMissing(listed)
	})
}

// cancelMissing cancels the jobs without a gang whose records are no longer in the store:
// they were canceled, and the hint was lost.
func (s *session) cancelMissing(listed map[string]bool) {
	for _, id := range sortedKeys(s.jobs) {
		j := s.jobs[id]
		if listed[id] || j.gang != nil {
			continue
		}
		s.runAsync(func() {
			_, err := s.opts.Ledger.Find(s.ctx, s.opts.Domain, id)
			if kv.KindOf(err) != kv.Missing {
				return
			}
			_ = s.post(s.ctx, func() {
				if s.jobs[id] == j && j.gang == nil {
					s.stepCore(scheduler.Event{Kind: scheduler.Cancel, ID: id})
				}
			})
		})
	}
}

func (s *session) sweep() {
	if err := s.opts.Ledger.Sweep(s.ctx, s.opts.Domain); err != nil && s.ctx.Err() == nil {
		s.opts.Log.WithError(err).Warn("dispatch: deleting expired jobs failed")
	}
}
