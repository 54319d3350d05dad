package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// maxHold is holdMaxMs of the site; the others are what one worker has.
const (
	maxHold  = 10 * time.Second
	capCPU   = 32000
	capMemMB = 65536
	capGPU   = 8
)

// worker is the stand-in for one worker, which behaves as the page on running tasks says. It starts whatever it
// is told to (enforceCapacity is false). A task runs for the milliseconds that its spec "ms=N" names.
type worker struct {
	site           *site
	id, zone, rack string
	address        string
	listener       net.Listener
	mu             sync.Mutex
	born           time.Time
	bornMs         int64
	life           int
	fence          uint64
	leaseEnd       time.Time
	runs           map[string]*taskRun
	highest        map[string]int
	ends           [][]any
	nextEnd        int
	changed        chan struct{}
	history        []*taskRun
	service, state string
	kind           string
	// toldAt is when the present process has first answered a hold, with its born.
	toldAt     time.Time
	leavesAt   time.Time
	gone       bool
	cutOff     bool
	reportedAt time.Time
}

// taskRun is one run of a task, from its start to its end.
type taskRun struct {
	worker         *worker
	life           int
	task, spec     string
	kind           string
	run            int
	started, ended time.Time
	how            string
	number         int
}

func newWorker(s *site, id, zone, rack string) *worker {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(errNotRun{err.Error()})
	}
	w := &worker{site: s, id: id, zone: zone, rack: rack, listener: l, address: l.Addr().String(), changed: make(chan struct{}), service: "svc", state: "ready", kind: "a"}
	w.begin()
	go func() { _ = http.Serve(l, w) }()
	return w
}

// begin starts a new life of the worker, which knows nothing of before. The caller holds the lock.
func (w *worker) begin() {
	now := time.Now()
	for _, r := range w.runs {
		r.ended, r.how = now, "crashed"
	}
	w.life++
	w.born, w.bornMs = now, max(now.UnixMilli(), w.bornMs+1)
	w.fence, w.leaseEnd, w.ends, w.nextEnd = 0, time.Time{}, nil, 1
	w.runs, w.highest, w.toldAt = map[string]*taskRun{}, map[string]int{}, time.Time{}
}

func (w *worker) clockMs() int64 { return time.Since(w.born).Milliseconds() }

// register writes the worker's entry, if the worker runs and reaches the store.
func (w *worker) register() {
	w.mu.Lock()
	if w.gone || w.cutOff {
		w.mu.Unlock()
		return
	}
	raw, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "1", "slots": 8, "state": w.state, "coldRemainingMs": 0,
		"remainingMs": max(time.Until(w.leavesAt), 0).Milliseconds(),
		"sequence":    w.clockMs(), "born": w.bornMs, "clockMs": w.clockMs(), "machine": "m-" + w.id,
		"capacity": map[string]int{"cpu": capCPU, "memMb": capMemMB, "gpu": capGPU}, "labels": []string{w.kind, w.rack},
	})
	w.reportedAt = time.Now()
	w.mu.Unlock()
	w.site.store.Put("servers/"+w.id, raw)
}

type workerCall struct {
	Task         string
	Run          int
	Spec         string
	DeadlineMs   int64
	FencingToken uint64
	Checkpoint   string
	Acked        int
	WaitMs       int
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var call workerCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	path := strings.TrimPrefix(r.URL.Path, "/chestnutsail/")
	w.mu.Lock()
	if w.gone {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if r.Header.Get("X-Expect-Instance") != w.id {
		w.mu.Unlock()
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	answer := map[string]any{}
	status := http.StatusOK
	switch path {
	case "run-start":
		if reason := w.start(call); reason != "" {
			answer["reason"], status = reason, http.StatusConflict
		}
	case "run-stop":
		w.stopRun(call)
	case "hold":
		w.hold(call)
		w.mu.Unlock()
		w.awaitEnd(r, time.Duration(min(call.WaitMs, 2000))*time.Millisecond)
		w.mu.Lock()
		if w.gone {
			w.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		w.lapse()
		if w.toldAt.IsZero() {
			w.toldAt = time.Now()
		}
		running := make([][]any, 0, len(w.runs))
		for _, t := range w.runs {
			running = append(running, []any{t.task, t.run, "", t.percent(), 0})
		}
		answer["running"], answer["finished"], answer["born"] = running, append([][]any{}, w.ends[:min(len(w.ends), 500)]...), w.bornMs
	default:
		status = http.StatusNotFound
	}
	answer["clockMs"] = w.clockMs()
	w.mu.Unlock()
	raw, _ := json.Marshal(answer)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(raw)
}

// start carries an order out and returns the reason if it is rejected. The caller holds the lock.
func (w *worker) start(call workerCall) string {
	w.lapse()
	if call.FencingToken < w.fence {
		return "fence"
	}
	w.fence = call.FencingToken
	if call.DeadlineMs <= w.clockMs() {
		return "late"
	}
	w.extend(call.DeadlineMs)
	if t := w.runs[call.Task]; t != nil && t.run == call.Run {
		return ""
	}
	if call.Run <= w.highest[call.Task] {
		return "old"
	}
	t := &taskRun{worker: w, life: w.life, task: call.Task, spec: call.Spec, run: call.Run, kind: w.kind, started: time.Now()}
	w.highest[call.Task] = call.Run
	w.runs[call.Task] = t
	w.history = append(w.history, t)
	life := w.life
	time.AfterFunc(t.length(), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.lapse()
		if w.life == life && w.runs[t.task] == t {
			w.end(t, "done", time.Now())
		}
	})
	return ""
}

func (w *worker) stopRun(call workerCall) {
	w.lapse()
	if call.FencingToken < w.fence {
		return
	}
	w.fence = call.FencingToken
	w.highest[call.Task] = max(w.highest[call.Task], call.Run)
	if t := w.runs[call.Task]; t != nil && t.run == call.Run {
		w.end(t, "stopped", time.Now())
	}
}

func (w *worker) hold(call workerCall) {
	w.lapse()
	if call.FencingToken < w.fence {
		return
	}
	w.fence = call.FencingToken
	for len(w.ends) > 0 && w.ends[0][0].(int) <= call.Acked {
		w.ends = w.ends[1:]
	}
	if call.DeadlineMs > 0 {
		w.extend(call.DeadlineMs)
	}
}

func (w *worker) extend(deadlineMs int64) {
	end := w.born.Add(time.Duration(deadlineMs) * time.Millisecond)
	if latest := time.Now().Add(maxHold); end.After(latest) {
		end = latest
	}
	if end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

// lapse ends everything that runs if the lease has expired. The caller holds the lock.
func (w *worker) lapse() {
	if len(w.runs) == 0 || time.Now().Before(w.leaseEnd) {
		return
	}
	for _, t := range w.runs {
		w.end(t, "lapsed", w.leaseEnd)
	}
}

func (w *worker) end(t *taskRun, how string, at time.Time) {
	delete(w.runs, t.task)
	t.ended, t.how, t.number = at, how, w.nextEnd
	w.ends = append(w.ends, []any{w.nextEnd, t.task, t.run, how, ""})
	w.nextEnd++
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) awaitEnd(r *http.Request, limit time.Duration) {
	w.mu.Lock()
	changed, listed := w.changed, len(w.ends) > 0
	w.mu.Unlock()
	if listed || limit <= 0 {
		return
	}
	select {
	case <-changed:
	case <-time.After(limit):
	case <-r.Context().Done():
	}
}

// restart starts a new process, of another kind, under the same ID and at the same address.
func (w *worker) restart(kind string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.begin()
	w.kind, w.gone = kind, false
}

// setGone ends the process, so that calls get no answer.
func (w *worker) setGone(gone bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone = gone
	w.begin()
}

// lastReport returns when the worker has last written its entry.
func (w *worker) lastReport() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reportedAt
}

// setCutOff sets whether the worker's entries don't reach the store.
func (w *worker) setCutOff(cutOff bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cutOff = cutOff
}

func (w *worker) setKind(kind string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.kind = kind
}

func (t *taskRun) length() time.Duration {
	ms := 50
	_, _ = fmt.Sscanf(t.spec, "ms=%d", &ms)
	return time.Duration(ms) * time.Millisecond
}

func (t *taskRun) percent() int {
	return int(min(100*time.Since(t.started)/max(t.length(), 1), 100))
}
