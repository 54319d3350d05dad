package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/chestnutsail/chestnutsail/platform/platformtest"
)

// workerOptions configures a worker.
type workerOptions struct {
	store *platformtest.Store
	id    string
	zone  string
	rack  string
	lease time.Duration
	// publicAddress is the address in the worker's entry if it is that of a proxy; "" means its own.
	publicAddress string
	// listen is the address to listen on; "" means a free one.
	listen string
	record *record
	// machine is what the process runs on; nil if it is not cut, restarted or late.
	machine *machine
	// quiet leaves starts and ends out of the record.
	quiet bool
}

// runRecord is a run of a task on a worker, from its start to its end.
type runRecord struct {
	worker  string
	task    string
	run     int
	started time.Time
	ended   time.Time
	how     string
	// takes is how long the run takes, which its spec says as in "ms=500".
	takes time.Duration
	// acked is set once the end is taken note of while the lease holds.
	acked bool
}

// worker is one process of a worker. It checks neither room nor tickets.
type worker struct {
	opts   workerOptions
	server *http.Server
	begin  time.Time
	born   int64

	mu       sync.Mutex
	dead     bool
	fence    uint64
	leaseEnd time.Time
	running  map[string]*runRecord
	highest  map[string]int
	ends     []end
	lastEnd  int
	// nextEnd is a time before which no run is done.
	nextEnd time.Time
	all     []*runRecord
	changed chan struct{}
	stopped chan struct{}
}

type end struct {
	number int
	row    []any
	run    *runRecord
	// lapsed is set once the lease has expired after the end was listed.
	lapsed bool
}

// startWorker starts a worker's process, which registers at once and then about every 1.5 s.
func startWorker(o workerOptions) *worker {
	w := &worker{
		opts: o, begin: time.Now(), born: time.Now().UnixMilli(), running: make(map[string]*runRecord),
		highest: make(map[string]int), changed: make(chan struct{}), stopped: make(chan struct{}),
	}
	if w.opts.listen == "" {
		w.opts.listen = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", w.opts.listen)
	if err != nil {
		cannotRun("worker: %v", err)
	}
	w.opts.listen = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /chestnutsail/run-start", w.start)
	mux.HandleFunc("POST /chestnutsail/run-stop", w.stop)
	mux.HandleFunc("POST /chestnutsail/hold", w.hold)
	w.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if o.machine.isCut() {
			o.machine.swallow(r)
		}
		if r.Header.Get("X-Expect-Instance") != o.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(rw, r)
	})}
	go func() { _ = w.server.Serve(listener) }()
	go w.tick()
	w.register()
	return w
}

func (w *worker) address() string { return w.opts.listen }

func (w *worker) clockMs() int64 { return time.Since(w.begin).Milliseconds() }

func (w *worker) register() {
	if w.opts.machine.isCut() {
		return
	}
	address := w.opts.publicAddress
	if address == "" {
		address = w.address()
	}
	raw, _ := json.Marshal(map[string]any{
		"service": "svc", "address": address, "zone": w.opts.zone, "version": "1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"sequence": w.clockMs(), "born": w.born, "clockMs": w.clockMs(), "machine": "m-" + w.opts.id,
		"capacity": map[string]int{"cpu": 64000, "memMb": 262144, "gpu": 8}, "labels": []string{"a", w.opts.rack},
	})
	w.opts.store.Put("servers/"+w.opts.id, raw)
}

// tick ends runs that are done or whose lease has expired, and registers.
func (w *worker) tick() {
	next := time.Now().Add(1500 * time.Millisecond)
	for {
		select {
		case <-w.stopped:
			return
		case <-time.After(20 * time.Millisecond):
		}
		w.mu.Lock()
		w.finishDue()
		w.mu.Unlock()
		if time.Now().After(next) {
			next = time.Now().Add(1500 * time.Millisecond)
			w.register()
		}
	}
}

// finishDue ends what is due. The caller holds the lock.
func (w *worker) finishDue() {
	now := time.Now()
	lapsed := now.After(w.leaseEnd)
	if lapsed {
		// The ends that were listed before are not taken note of while their lease holds.
		for k := len(w.ends) - 1; k >= 0 && !w.ends[k].lapsed; k-- {
			w.ends[k].lapsed = true
		}
	}
	if !lapsed && now.Before(w.nextEnd) {
		return
	}
	w.nextEnd = now.Add(time.Hour)
	for _, r := range w.running {
		switch {
		case !now.Before(r.due()) && !r.due().After(w.leaseEnd):
			w.finish(r, "done")
		case lapsed:
			w.finish(r, "lapsed")
		case r.due().Before(w.nextEnd):
			w.nextEnd = r.due()
		}
	}
}

func (w *worker) finish(r *runRecord, how string) {
	delete(w.running, r.task)
	r.ended, r.how = time.Now(), how
	w.lastEnd++
	w.ends = append(w.ends, end{w.lastEnd, []any{w.lastEnd, r.task, r.run, how, ""}, r, false})
	close(w.changed)
	w.changed = make(chan struct{})
	w.note("%s: run %d of %s ends: %s", w.opts.id, r.run, r.task, how)
}

func (w *worker) note(format string, args ...any) {
	if !w.opts.quiet {
		w.opts.record.printf(format, args...)
	}
}

// extend extends the lease. The caller holds the lock.
func (w *worker) extend(deadlineMs int64) {
	until := w.begin.Add(time.Duration(deadlineMs) * time.Millisecond)
	if latest := time.Now().Add(w.opts.lease); until.After(latest) {
		until = latest
	}
	if until.After(w.leaseEnd) {
		w.leaseEnd = until
	}
}

func answer(rw http.ResponseWriter, status int, v any) {
	raw, _ := json.Marshal(v)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(raw)
}

type order struct {
	Task         string
	Run          int
	Spec         string
	DeadlineMs   int64
	FencingToken uint64
}

func (w *worker) start(rw http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if w.opts.machine.keeps(o) {
		w.opts.machine.swallow(r)
	}
	w.mu.Lock()
	reason := w.carryOut(o)
	clockMs, dead := w.clockMs(), w.dead
	w.mu.Unlock()
	switch {
	case dead:
		panic(http.ErrAbortHandler)
	case reason != "":
		answer(rw, http.StatusConflict, map[string]any{"clockMs": clockMs, "born": w.born, "reason": reason})
	default:
		answer(rw, http.StatusOK, map[string]any{"clockMs": clockMs, "born": w.born})
	}
}

// carryOut carries an order out and returns the reason why it is rejected, or "". The caller holds the lock.
func (w *worker) carryOut(o order) string {
	if w.dead {
		return "late"
	}
	w.finishDue()
	if o.FencingToken < w.fence {
		return "fence"
	}
	w.fence = o.FencingToken
	if o.DeadlineMs <= w.clockMs() {
		return "late"
	}
	w.extend(o.DeadlineMs)
	if r := w.running[o.Task]; r != nil && r.run == o.Run {
		return ""
	}
	if o.Run <= w.highest[o.Task] {
		return "old"
	}
	w.highest[o.Task] = o.Run
	rec := &runRecord{worker: w.opts.id, task: o.Task, run: o.Run, started: time.Now()}
	ms := 500
	_, _ = fmt.Sscanf(o.Spec, "ms=%d", &ms)
	rec.takes = time.Duration(ms) * time.Millisecond
	if rec.due().Before(w.nextEnd) {
		w.nextEnd = rec.due()
	}
	w.running[o.Task] = rec
	w.all = append(w.all, rec)
	w.note("%s: run %d of %s starts, on an order with fencing token %d", w.opts.id, o.Run, o.Task, o.FencingToken)
	return ""
}

func (w *worker) stop(rw http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		panic(http.ErrAbortHandler)
	}
	if o.FencingToken >= w.fence {
		w.fence = o.FencingToken
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		if rec := w.running[o.Task]; rec != nil && rec.run == o.Run {
			w.finish(rec, "stopped")
		} else {
			w.note("%s: run %d of %s is stopped before it has started", w.opts.id, o.Run, o.Task)
		}
	}
	answer(rw, http.StatusOK, map[string]any{"clockMs": w.clockMs(), "born": w.born})
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		DeadlineMs   int64
		FencingToken uint64
		Acked        int
		WaitMs       int
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	w.finishDue()
	if o.FencingToken >= w.fence {
		w.fence = o.FencingToken
		for len(w.ends) > 0 && w.ends[0].number <= o.Acked {
			if rec := w.ends[0].run; !w.ends[0].lapsed {
				rec.acked = true
				w.note("%s: the end of run %d of %s is taken note of", w.opts.id, rec.run, rec.task)
			}
			w.ends = w.ends[1:]
		}
		if o.DeadlineMs > 0 {
			w.extend(o.DeadlineMs)
		}
	}
	changed, waits := w.changed, len(w.ends) == 0
	w.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		}
	}
	w.mu.Lock()
	if w.dead {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	running := make([][]any, 0, len(w.running))
	for _, rec := range w.running {
		percent := min(int(100*time.Since(rec.started)/rec.takes), 99)
		running = append(running, []any{rec.task, rec.run, "", percent, 0})
	}
	finished := make([][]any, 0, len(w.ends))
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		finished = append(finished, e.row)
	}
	clockMs := w.clockMs()
	w.mu.Unlock()
	answer(rw, http.StatusOK, map[string]any{"clockMs": clockMs, "born": w.born, "running": running, "finished": finished})
}

// crash ends the process with all that runs on it.
func (w *worker) crash() {
	w.mu.Lock()
	w.dead = true
	for _, r := range w.running {
		r.ended, r.how = time.Now(), "its worker crashed"
	}
	w.note("%s: crashes with %d runs", w.opts.id, len(w.running))
	clear(w.running)
	w.mu.Unlock()
	close(w.stopped)
	_ = w.server.Close()
}

// runs returns all runs of the process.
func (w *worker) runs() []runRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]runRecord, len(w.all))
	for k, r := range w.all {
		list[k] = *r
	}
	return list
}

// runningByJob returns the number of runs that are present, by job.
func (w *worker) runningByJob() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finishDue()
	counts := make(map[string]int)
	for task := range w.running {
		id, _, _ := strings.Cut(task, ".")
		counts[id]++
	}
	return counts
}

// due returns when the run is done.
func (r *runRecord) due() time.Time { return r.started.Add(r.takes) }

func (r runRecord) String() string {
	ended := "is present"
	if !r.ended.IsZero() {
		ended = fmt.Sprintf("ended %s at %s", r.how, r.ended.UTC().Format("15:04:05.000"))
	}
	return fmt.Sprintf("run %d on %s, started at %s, %s", r.run, r.worker, r.started.UTC().Format("15:04:05.000"), ended)
}
