package workload

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"slices"

	"github.com/chestnutsail/chestnutsail/cell"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/guarantee"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/scheduler"
)

// Core is the scheduler that Run measures. Step takes one event at the time now and
// returns the actions that have to be done.
type Core interface {
	Step(now clock.Millis, e scheduler.Event) []scheduler.Action
}

// tickInterval is the time between ticks. The delays are the times that the simulated
// workers need to report a start, a stop, a failure or a loss. A job that is stopped
// writes a checkpoint in checkpointTime, and while it runs, it writes one every
// checkpointInterval. startBound is the time within which guaranteed and urgent work has
// to start. Jobs of largeJobAccels accelerators or more count as large.
const (
	tickInterval       = 5 * clock.Second
	startDelay         = 500 * clock.Millisecond
	stopDelay          = 200 * clock.Millisecond
	checkpointTime     = clock.Second
	failureDelay       = 2 * clock.Second
	lossDelay          = 3 * clock.Second
	checkpointInterval = 5 * clock.Minute
	startBound         = 6200 * clock.Millisecond
	largeJobAccels     = 2 * workerAccels
)

// timedCall is a function that has to be called at a time of the simulation. Calls at
// the same time run in the order of seq.
type timedCall struct {
	at   clock.Millis
	seq  int
	call func()
}

type callQueue []timedCall

func (q callQueue) Len() int { return len(q) }
func (q callQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(x any)   { *q = append(*q, x.(timedCall)) }
func (q *callQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// activeJob is a job that has not ended. It has members while it is placed, and is
// running from the time started on. The field remaining is the run time that is left
// after the last checkpoint. The field withinGuarantee says that the job fitted its
// account's guarantee when it was submitted; waitEnded is set once the job has started
// or an attempt has been requeued.
type activeJob struct {
	Job
	id              string
	attempt         int
	members         []job.Member
	running         bool
	started         clock.Millis
	remaining       clock.Millis
	withinGuarantee bool
	waitEnded       bool
}

type simulation struct {
	core            Core
	workload        Workload
	now             clock.Millis
	seq             int
	pending         callQueue
	activeJobs      map[string]*activeJob
	nodeIndex       map[string]int
	guaranteedCells map[string]cell.Counts
	freeAccels      []int
	down            map[string]bool
	result          *Result
	lastSample      clock.Millis
	lastSubmit      clock.Millis
}

// Run simulates the workload on a virtual clock with core as the scheduler, and
// returns the measurements. It panics when core overcommits a worker.
func Run(core Core, workload Workload) *Result {
	s := &simulation{
		core: core, workload: workload, activeJobs: make(map[string]*activeJob), nodeIndex: make(map[string]int),
		guaranteedCells: make(map[string]cell.Counts), down: make(map[string]bool), result: newResult(),
	}
	cellsByDomain, _ := guarantee.Assign(workload.Text.Fleet, workload.Text.Accounts)
	for _, c := range cellsByDomain["a"] {
		guaranteed := s.guaranteedCells[c.Account]
		guaranteed.Add(c.Accels, 1)
		s.guaranteedCells[c.Account] = guaranteed
		s.result.largest = max(s.result.largest, c.Accels)
	}
	s.step(scheduler.Event{Kind: scheduler.Text, Text: workload.Text})
	for i, n := range workload.Nodes {
		s.nodeIndex[n.Name] = i
		s.freeAccels = append(s.freeAccels, n.Capacity.Accelerators)
		s.step(scheduler.Event{Kind: scheduler.WorkerUp, Node: &n})
	}
	for _, j := range workload.Jobs {
		s.schedule(j.SubmitAt, func() { s.submit(j) })
		s.lastSubmit = max(s.lastSubmit, j.SubmitAt)
	}
	for _, outage := range workload.Outages {
		s.schedule(outage.From, func() { s.loseWorker(outage.Worker) })
		s.schedule(outage.To, func() { s.restoreWorker(outage.Worker) })
	}
	s.processEvents()
	s.result.computeTotals(s.activeJobs)
	return s.result
}

func (s *simulation) schedule(at clock.Millis, call func()) {
	s.seq++
	heap.Push(&s.pending, timedCall{at, s.seq, call})
}

// processEvents makes the pending calls in the order of time, with ticks between them,
// until all jobs have ended and no call is pending, or until 12 h have passed since
// the last submission.
func (s *simulation) processEvents() {
	const maxOverrun = 12 * clock.Hour
	nextTick := tickInterval
	for len(s.pending) > 0 || len(s.activeJobs) > 0 {
		if s.now > s.lastSubmit+maxOverrun {
			return
		}
		if len(s.pending) == 0 || s.pending[0].at > nextTick {
			s.advance(nextTick)
			nextTick += tickInterval
			s.step(scheduler.Event{Kind: scheduler.Tick})
			continue
		}
		next := heap.Pop(&s.pending).(timedCall)
		s.advance(next.at)
		next.call()
	}
}

// advance sets the time and, until the last submission, samples the fragmentation at
// most once per tick interval.
func (s *simulation) advance(to clock.Millis) {
	s.now = to
	if to > s.lastSubmit || to < s.lastSample+tickInterval {
		return
	}
	s.sampleFragmentation(to - s.lastSample)
	s.lastSample = to
}

func (s *simulation) step(e scheduler.Event) {
	for _, a := range s.core.Step(s.now, e) {
		s.apply(a)
	}
}

func (s *simulation) submit(j Job) {
	active := &activeJob{Job: j, id: j.Spec.ID(), remaining: j.RunTime}
	s.activeJobs[active.id] = active
	active.withinGuarantee = s.fitsGuarantee(active, func(*activeJob) bool { return true })
	if j.Cancel > 0 {
		s.schedule(j.Cancel, func() {
			if s.activeJobs[active.id] != nil {
				s.step(scheduler.Event{Kind: scheduler.Cancel, ID: active.id})
			}
		})
	}
	s.step(scheduler.Event{Kind: scheduler.Submit, Record: &job.Record{Spec: j.Spec, State: job.Waiting, Submitted: s.now}})
}

// fitsGuarantee reports whether the job, together with the other active jobs of its
// account for which include returns true, fits the guarantee of the account.
func (s *simulation) fitsGuarantee(j *activeJob, include func(*activeJob) bool) bool {
	var need cell.Counts
	for _, other := range s.activeJobs {
		if other.Spec.Account != j.Spec.Account || other != j && !include(other) {
			continue
		}
		shape := other.Spec.Shape
		if shape.Adjacent == job.Rack {
			need.Add(shape.Count()*shape.Accelerators, 1)
		} else {
			need.Add(shape.Accelerators, shape.Count())
		}
	}
	return need.Shortfall(s.guaranteedCells[j.Spec.Account]) == 0
}

func (s *simulation) apply(a scheduler.Action) {
	j := s.activeJobs[a.ID]
	if j == nil {
		return
	}
	switch a.Kind {
	case scheduler.Place:
		s.place(j, a)
	case scheduler.Stop:
		s.stop(j, a)
	case scheduler.End:
		s.result.ended(j, a.State, s.now)
		delete(s.activeJobs, a.ID)
	case scheduler.Requeue:
		j.waitEnded = true
	}
}

// occupy takes the accelerators of the job's members from their workers if sign is 1,
// or returns them if sign is -1.
func (s *simulation) occupy(j *activeJob, sign int) {
	for _, m := range j.members {
		i := s.nodeIndex[m.Worker]
		s.freeAccels[i] -= sign * m.Tasks * j.Spec.Shape.Accelerators
		if s.freeAccels[i] < 0 {
			panic(fmt.Sprintf("workload: %s is overcommitted by %s", m.Worker, j.id))
		}
	}
	if sign < 0 {
		j.members = nil
	}
}

func (s *simulation) place(j *activeJob, a scheduler.Action) {
	j.attempt, j.members, j.running = a.Attempt, a.Members, false
	s.occupy(j, 1)
	if !j.Spec.Stoppable() && !s.fitsGuarantee(j, func(other *activeJob) bool { return other.members != nil && !other.Spec.Stoppable() }) {
		s.result.GuaranteeViolations++
	}
	failing := slices.IndexFunc(a.Members, func(m job.Member) bool { return s.workload.Failing[m.Worker] })
	s.afterDelay(j, startDelay, func() {
		j.running, j.started = true, s.now
		s.result.started(j, s.now)
		s.step(scheduler.Event{Kind: scheduler.Started, ID: j.id, Attempt: j.attempt})
		if failing >= 0 {
			s.afterDelay(j, failureDelay, func() { s.fail(j, a.Members[failing].Worker) })
			return
		}
		s.afterDelay(j, j.remaining, func() { s.finish(j) })
	})
}

// afterDelay schedules the call after delay. The call is skipped if the job's present
// attempt has ended by then.
func (s *simulation) afterDelay(j *activeJob, delay clock.Millis, call func()) {
	attempt := j.attempt
	s.schedule(s.now+delay, func() {
		if s.activeJobs[j.id] == j && j.attempt == attempt && j.members != nil {
			call()
		}
	})
}

func (s *simulation) finish(j *activeJob) {
	s.occupy(j, -1)
	s.result.ended(j, job.Done, s.now)
	delete(s.activeJobs, j.id)
	s.step(scheduler.Event{Kind: scheduler.Finished, ID: j.id, Attempt: j.attempt})
}

func (s *simulation) fail(j *activeJob, worker string) {
	s.occupy(j, -1)
	if !j.Spec.Idempotent {
		s.result.ended(j, job.Failed, s.now)
		delete(s.activeJobs, j.id)
	}
	s.step(scheduler.Event{Kind: scheduler.Broken, ID: j.id, Attempt: j.attempt, Worker: worker})
}

// stop ends an attempt after a short delay, and after a checkpoint if the scheduler
// grants time for one.
func (s *simulation) stop(j *activeJob, a scheduler.Action) {
	delay := stopDelay
	if a.Grace > 0 {
		delay += min(a.Grace, checkpointTime)
	}
	s.afterDelay(j, delay, func() {
		s.interrupt(j, a.Grace > 0, a.Cause != scheduler.CauseCancel)
		s.step(scheduler.Event{Kind: scheduler.Stopped, ID: j.id, Attempt: j.attempt})
	})
}

// interrupt removes the job from its workers and keeps only the progress that has been
// checkpointed. If countLoss is set, it adds the lost work to the result.
func (s *simulation) interrupt(j *activeJob, checkpointed, countLoss bool) {
	s.occupy(j, -1)
	if !j.running {
		return
	}
	runTime := s.now - j.started
	preserved := clock.Millis(0)
	switch {
	case checkpointed:
		preserved = runTime
	case j.Spec.Checkpoints:
		preserved = runTime / checkpointInterval * checkpointInterval
	}
	j.remaining -= min(preserved, j.remaining-1)
	if countLoss {
		s.result.LostWork += (runTime - preserved) * clock.Millis(totalAccelerators(j.Spec))
		s.result.Stops++
	}
}

func (s *simulation) loseWorker(worker string) {
	s.down[worker] = true
	s.step(scheduler.Event{Kind: scheduler.WorkerGone, Worker: worker})
	for _, id := range slices.Sorted(maps.Keys(s.activeJobs)) {
		j := s.activeJobs[id]
		if !slices.ContainsFunc(j.members, func(m job.Member) bool { return m.Worker == worker }) {
			continue
		}
		s.afterDelay(j, lossDelay, func() {
			s.interrupt(j, false, false)
			s.step(scheduler.Event{Kind: scheduler.Lost, ID: j.id, Attempt: j.attempt, Worker: worker})
		})
	}
}

func (s *simulation) restoreWorker(worker string) {
	delete(s.down, worker)
	s.step(scheduler.Event{Kind: scheduler.WorkerUp, Node: &s.workload.Nodes[s.nodeIndex[worker]]})
}

// sampleFragmentation adds the present state of the accelerators for the elapsed time:
// how many there are, how many are free, and how many of the free ones the largest
// shape that is waiting or guaranteed cannot use. Workers that are down are not
// counted, and neither are workers that fail every task.
func (s *simulation) sampleFragmentation(elapsed clock.Millis) {
	largest := s.result.largest
	for _, j := range s.activeJobs {
		if j.members == nil {
			largest = max(largest, cell.RoundUp(totalAccelerators(j.Spec)))
		}
	}
	var free cell.Counts
	totalAccels, totalFree, rackFree := 0, 0, make([]int, 0, workersPerRack)
	for i, n := range s.workload.Nodes {
		nodeFree := s.freeAccels[i]
		if s.down[n.Name] || s.workload.Failing[n.Name] {
			nodeFree = 0
		} else {
			totalAccels += n.Capacity.Accelerators
		}
		totalFree += nodeFree
		rackFree = append(rackFree, nodeFree)
		if i+1 == len(s.workload.Nodes) || s.workload.Nodes[i+1].Rack != n.Rack {
			free.AddMaximal(rackFree, n.Capacity.Accelerators, 1)
			rackFree = rackFree[:0]
		}
	}
	s.result.all += int64(totalAccels) * int64(elapsed)
	s.result.free += int64(totalFree) * int64(elapsed)
	s.result.unusable += int64(totalFree-free.Formable(largest)*largest) * int64(elapsed)
}

func totalAccelerators(spec job.Spec) int { return spec.Shape.Count() * spec.Shape.Accelerators }
