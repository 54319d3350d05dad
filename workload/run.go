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

// Core is a scheduler under measurement.
type Core interface {
	Step(now clock.Millis, e scheduler.Event) []scheduler.Action
}

// How long workers take to answer.
const (
	tick        = 5 * clock.Second
	startTime   = 500 * clock.Millisecond
	stopTime    = 200 * clock.Millisecond
	checkpoint  = clock.Second
	failTime    = 2 * clock.Second
	lossTime    = 3 * clock.Second
	everyPoint  = 5 * clock.Minute
	waitBound   = 6200 * clock.Millisecond
	largeAccels = 2 * accels
)

// timed is something that happens at a time.
type timed struct {
	at  clock.Millis
	seq int
	do  func()
}

type timeline []timed

func (t timeline) Len() int { return len(t) }
func (t timeline) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(t[i].at, t[j].at), cmp.Compare(t[i].seq, t[j].seq)) < 0
}
func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timeline) Push(x any)   { *t = append(*t, x.(timed)) }
func (t *timeline) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

// live is a job that has not ended.
type live struct {
	Job
	id       string
	attempt  int
	members  []job.Member
	began    bool
	started  clock.Millis
	left     clock.Millis
	entitled bool
	waited   bool
}

type run struct {
	core  Core
	w     Workload
	now   clock.Millis
	seq   int
	line  timeline
	live  map[string]*live
	nodes map[string]int
	cells map[string]cell.Counts
	idle  []int
	down  map[string]bool
	res   *Result
	last  clock.Millis
	end   clock.Millis
}

// Run passes the workload through the core and returns what came of it.
func Run(core Core, w Workload) *Result {
	r := &run{
		core: core, w: w, live: make(map[string]*live), nodes: make(map[string]int),
		cells: make(map[string]cell.Counts), down: make(map[string]bool), res: newResult(),
	}
	by, _ := guarantee.Assign(w.Text.Fleet, w.Text.Accounts)
	for _, c := range by["a"] {
		have := r.cells[c.Account]
		have.Add(c.Accels, 1)
		r.cells[c.Account] = have
		r.res.largest = max(r.res.largest, c.Accels)
	}
	r.step(scheduler.Event{Kind: scheduler.Text, Text: w.Text})
	for i, n := range w.Nodes {
		r.nodes[n.Name] = i
		r.idle = append(r.idle, n.Capacity.Accelerators)
		r.step(scheduler.Event{Kind: scheduler.WorkerUp, Node: &n})
	}
	for _, j := range w.Jobs {
		r.at(j.At, func() { r.submit(j) })
		r.end = max(r.end, j.At)
	}
	for _, o := range w.Outages {
		r.at(o.From, func() { r.lose(o.Worker) })
		r.at(o.To, func() { r.bring(o.Worker) })
	}
	r.loop()
	r.res.finish(r.live)
	return r.res
}

func (r *run) at(t clock.Millis, do func()) {
	r.seq++
	heap.Push(&r.line, timed{t, r.seq, do})
}

// loop lets everything happen in order until all jobs have ended, or nothing has
// happened for a long time.
func (r *run) loop() {
	const patience = 12 * clock.Hour
	next := tick
	for len(r.line) > 0 || len(r.live) > 0 {
		if r.now > r.end+patience {
			return
		}
		if len(r.line) == 0 || r.line[0].at > next {
			r.advance(next)
			next += tick
			r.step(scheduler.Event{Kind: scheduler.Tick})
			continue
		}
		x := heap.Pop(&r.line).(timed)
		r.advance(x.at)
		x.do()
	}
}

// advance lets time pass and adds up the fragmentation while jobs are submitted.
func (r *run) advance(to clock.Millis) {
	r.now = to
	if to > r.end || to < r.last+tick {
		return
	}
	r.sample(to - r.last)
	r.last = to
}

func (r *run) step(e scheduler.Event) {
	for _, a := range r.core.Step(r.now, e) {
		r.act(a)
	}
}

func (r *run) submit(j Job) {
	l := &live{Job: j, id: j.Spec.ID(), left: j.Run}
	r.live[l.id] = l
	l.entitled = r.packs(l, func(*live) bool { return true })
	if j.Cancel > 0 {
		r.at(j.Cancel, func() {
			if r.live[l.id] != nil {
				r.step(scheduler.Event{Kind: scheduler.Cancel, ID: l.id})
			}
		})
	}
	r.step(scheduler.Event{Kind: scheduler.Submit, Record: &job.Record{Spec: j.Spec, State: job.Waiting, Submitted: r.now}})
}

// packs reports whether the job, together with those of its account for which
// counts is true, fits into what the account is guaranteed.
func (r *run) packs(l *live, counts func(*live) bool) bool {
	var need cell.Counts
	for _, o := range r.live {
		if o.Spec.Account != l.Spec.Account || o != l && !counts(o) {
			continue
		}
		s := o.Spec.Shape
		if s.Adjacent == job.Rack {
			need.Add(s.Count()*s.Accelerators, 1)
		} else {
			need.Add(s.Accelerators, s.Count())
		}
	}
	return need.Short(r.cells[l.Spec.Account]) == 0
}

func (r *run) act(a scheduler.Action) {
	l := r.live[a.ID]
	if l == nil {
		return
	}
	switch a.Kind {
	case scheduler.Place:
		r.place(l, a)
	case scheduler.Stop:
		r.stop(l, a)
	case scheduler.End:
		r.res.ended(l, a.State, r.now)
		delete(r.live, a.ID)
	case scheduler.Requeue:
		l.waited = true
	}
}

// take lets the job hold its workers, or gives them back.
func (r *run) take(l *live, sign int) {
	for _, m := range l.members {
		i := r.nodes[m.Worker]
		r.idle[i] -= sign * m.Tasks * l.Spec.Shape.Accelerators
		if r.idle[i] < 0 {
			panic(fmt.Sprintf("workload: %s is overcommitted by %s", m.Worker, l.id))
		}
	}
	if sign < 0 {
		l.members = nil
	}
}

func (r *run) place(l *live, a scheduler.Action) {
	l.attempt, l.members, l.began = a.Attempt, a.Members, false
	r.take(l, 1)
	if !l.Spec.Stoppable() && !r.packs(l, func(o *live) bool { return o.members != nil && !o.Spec.Stoppable() }) {
		r.res.Against++
	}
	bad := slices.IndexFunc(a.Members, func(m job.Member) bool { return r.w.Bad[m.Worker] })
	r.later(l, startTime, func() {
		l.began, l.started = true, r.now
		r.res.started(l, r.now)
		r.step(scheduler.Event{Kind: scheduler.Started, ID: l.id, Attempt: l.attempt})
		if bad >= 0 {
			r.later(l, failTime, func() { r.broken(l, a.Members[bad].Worker) })
			return
		}
		r.later(l, l.left, func() { r.finish(l) })
	})
}

// later calls do after a time if the job still runs in the same attempt.
func (r *run) later(l *live, after clock.Millis, do func()) {
	attempt := l.attempt
	r.at(r.now+after, func() {
		if r.live[l.id] == l && l.attempt == attempt && l.members != nil {
			do()
		}
	})
}

func (r *run) finish(l *live) {
	r.take(l, -1)
	r.res.ended(l, job.Done, r.now)
	delete(r.live, l.id)
	r.step(scheduler.Event{Kind: scheduler.Finished, ID: l.id, Attempt: l.attempt})
}

func (r *run) broken(l *live, worker string) {
	r.take(l, -1)
	if !l.Spec.Idempotent {
		r.res.ended(l, job.Failed, r.now)
		delete(r.live, l.id)
	}
	r.step(scheduler.Event{Kind: scheduler.Broken, ID: l.id, Attempt: l.attempt, Worker: worker})
}

// stop ends an attempt after a checkpoint, if the job makes any.
func (r *run) stop(l *live, a scheduler.Action) {
	after := stopTime
	if a.Grace > 0 {
		after += min(a.Grace, checkpoint)
	}
	r.later(l, after, func() {
		r.pause(l, a.Grace > 0, a.Cause != scheduler.CauseCancel)
		r.step(scheduler.Event{Kind: scheduler.Stopped, ID: l.id, Attempt: l.attempt})
	})
}

// pause takes the job off its workers and counts the work that is lost.
func (r *run) pause(l *live, saved, counts bool) {
	r.take(l, -1)
	if !l.began {
		return
	}
	ran := r.now - l.started
	kept := clock.Millis(0)
	switch {
	case saved:
		kept = ran
	case l.Spec.Checkpoints:
		kept = ran / everyPoint * everyPoint
	}
	l.left -= min(kept, l.left-1)
	if counts {
		r.res.Lost += (ran - kept) * clock.Millis(size(l.Spec))
		r.res.Stops++
	}
}

func (r *run) lose(worker string) {
	r.down[worker] = true
	r.step(scheduler.Event{Kind: scheduler.WorkerGone, Worker: worker})
	for _, id := range slices.Sorted(maps.Keys(r.live)) {
		l := r.live[id]
		if !slices.ContainsFunc(l.members, func(m job.Member) bool { return m.Worker == worker }) {
			continue
		}
		r.later(l, lossTime, func() {
			r.pause(l, false, false)
			r.step(scheduler.Event{Kind: scheduler.Lost, ID: l.id, Attempt: l.attempt, Worker: worker})
		})
	}
}

func (r *run) bring(worker string) {
	delete(r.down, worker)
	r.step(scheduler.Event{Kind: scheduler.WorkerUp, Node: &r.w.Nodes[r.nodes[worker]]})
}

// sample adds the accelerators that are free but of no use to the largest shape
// that waits or is guaranteed.
func (r *run) sample(span clock.Millis) {
	largest := r.res.largest
	for _, l := range r.live {
		if l.members == nil {
			largest = max(largest, cell.Round(size(l.Spec)))
		}
	}
	var free cell.Counts
	total, sum, row := 0, 0, make([]int, 0, perRack)
	for i, n := range r.w.Nodes {
		f := r.idle[i]
		if r.down[n.Name] || r.w.Bad[n.Name] {
			f = 0
		} else {
			total += n.Capacity.Accelerators
		}
		sum += f
		row = append(row, f)
		if i+1 == len(r.w.Nodes) || r.w.Nodes[i+1].Rack != n.Rack {
			free.Blocks(row, n.Capacity.Accelerators, 1)
			row = row[:0]
		}
	}
	r.res.all += int64(total) * int64(span)
	r.res.free += int64(sum) * int64(span)
	r.res.unusable += int64(sum-free.Usable(largest)*largest) * int64(span)
}

func size(s job.Spec) int { return s.Shape.Count() * s.Shape.Accelerators }
