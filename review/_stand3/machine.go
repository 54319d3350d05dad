package main

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// machine is what a worker's processes run on, one after the other under the same ID and address, and the path to
// it. A call that gets no answer may be kept on the path and reach whichever process runs by then.
type machine struct {
	opts workerOptions

	mu      sync.Mutex
	current *worker
	earlier []*worker
	cut     bool
	// keep reports whether an order is kept on the path, and for how long; nil means that none is.
	keep func(o order) (time.Duration, bool)
	// asked and kept are the numbers of orders that came and that were kept.
	asked, kept int
}

// startMachine starts a machine with a first process of the worker.
func startMachine(o workerOptions) *machine {
	m := &machine{}
	o.machine = m
	m.opts = o
	m.start()
	return m
}

// start starts a process of the worker.
func (m *machine) start() {
	w := startWorker(m.opts)
	m.mu.Lock()
	defer m.mu.Unlock()
	// A later process has the same address.
	m.opts.listen = w.address()
	m.current = w
}

// crash ends the process of the worker.
func (m *machine) crash() {
	m.mu.Lock()
	w := m.current
	m.earlier = append(m.earlier, w)
	m.mu.Unlock()
	w.crash()
}

// setCut cuts the machine off, from all machines and the store, or heals that.
func (m *machine) setCut(cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut = cut
	m.opts.record.printf("%s: cut off: %t", m.opts.id, cut)
}

func (m *machine) isCut() bool {
	if m == nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cut
}

// swallow leaves a call without an answer until the caller gives up.
func (m *machine) swallow(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// keeps reports whether an order gets no answer and is carried out later.
func (m *machine) keeps(o order) bool {
	if m == nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.asked++
	if m.keep == nil {
		return false
	}
	delay, kept := m.keep(o)
	if !kept {
		return false
	}
	m.kept++
	m.opts.record.printf("%s: the order of run %d of %s gets no answer and is carried out %s later", m.opts.id, o.Run, o.Task, delay)
	time.AfterFunc(delay, func() { m.carryOutLate(o) })
	return true
}

func (m *machine) carryOutLate(o order) {
	m.mu.Lock()
	w := m.current
	m.mu.Unlock()
	w.mu.Lock()
	reason := w.carryOut(o)
	w.mu.Unlock()
	if reason != "" {
		m.opts.record.printf("%s: the late order of run %d of %s is rejected: %s", m.opts.id, o.Run, o.Task, reason)
	}
}

// runs returns all runs of all processes.
func (m *machine) runs() []runRecord {
	m.mu.Lock()
	processes := append(m.earlier[:len(m.earlier):len(m.earlier)], m.current)
	m.mu.Unlock()
	var list []runRecord
	for k, w := range processes {
		if k > 0 && w == processes[k-1] {
			continue
		}
		list = append(list, w.runs()...)
	}
	return list
}
