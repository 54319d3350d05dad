package replay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/scheduler"
)

// Options configures a Recorder. The zero value is ready to use.
type Options struct {
	// MaxBytes is the approximate maximum size of the trace in memory; 0 means 8 MiB.
	MaxBytes int
}

const defaultMaxBytes = 8 << 20

// Recorder passes events to a core and keeps the latest steps in memory as a trace.
// Like the core, it allows calls of Step from only one goroutine at a time. WriteTo and
// Status may be called from any goroutine.
type Recorder struct {
	mu          sync.Mutex
	core        *scheduler.Core
	segmentSize int
	// previous is the last full segment, or empty. New steps are appended to current.
	// Both segments start with a Load event.
	previous, current bytes.Buffer
}

// New returns a recorder of core. From then on the caller has to step the core through
// the recorder only.
func New(core *scheduler.Core, opts Options) *Recorder {
	if opts.MaxBytes == 0 {
		opts.MaxBytes = defaultMaxBytes
	}
	return &Recorder{core: core, segmentSize: opts.MaxBytes / 2}
}

// Step passes the event to the core, records the event and the core's actions, and
// returns the actions.
func (r *Recorder) Step(now clock.Millis, e scheduler.Event) []scheduler.Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current.Len() == 0 || r.current.Len() >= r.segmentSize {
		r.startSegment(now)
	}
	actions := r.core.Step(now, e)
	r.appendStep(Step{Now: now, Event: withoutPayload(e), Actions: actions})
	return actions
}

// Status returns the status of the core.
func (r *Recorder) Status() scheduler.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Status()
}

// WriteTo writes the trace of the latest steps to w.
func (r *Recorder) WriteTo(w io.Writer) (int64, error) {
	r.mu.Lock()
	out := append(bytes.Clone(r.previous.Bytes()), r.current.Bytes()...)
	r.mu.Unlock()
	n, err := w.Write(out)
	return int64(n), err
}

// startSegment discards the previous segment, makes the current one the previous one,
// and starts a new segment with the core's present state.
func (r *Recorder) startSegment(now clock.Millis) {
	r.previous, r.current = r.current, r.previous
	r.current.Reset()
	state := r.core.Snapshot()
	r.appendStep(Step{Now: now, Event: scheduler.Event{Kind: scheduler.Load, State: &state}})
}

func (r *Recorder) appendStep(s Step) {
	line, err := json.Marshal(s)
	if err != nil {
		panic(fmt.Sprintf("replay: step cannot be encoded: %v", err))
	}
	r.current.Write(append(line, '\n'))
}

// withoutPayload returns a copy of the event without the payload and the response body
// of its job, which the core does not read.
func withoutPayload(e scheduler.Event) scheduler.Event {
	if e.Record != nil {
		record := *e.Record
		record.Spec.Payload, record.Outcome.Body = nil, nil
		e.Record = &record
	}
	return e
}
