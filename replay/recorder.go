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
	// Bytes bounds the memory that the trace takes; 0 means 8 MiB.
	Bytes int
}

const defaultBytes = 8 << 20

// Recorder is a core whose latest steps are kept as a trace. Step has to be
// called from one goroutine at a time, as with the core itself; WriteTo and
// Status may be called from any.
type Recorder struct {
	mu   sync.Mutex
	core *scheduler.Core
	half int
	// older is a whole segment, newer the one being written; each starts with a Load.
	older, newer bytes.Buffer
}

// New returns a recorder of core, which the caller no longer steps itself.
func New(core *scheduler.Core, opts Options) *Recorder {
	if opts.Bytes == 0 {
		opts.Bytes = defaultBytes
	}
	return &Recorder{core: core, half: opts.Bytes / 2}
}

// Step passes the event to the core, records it and returns the core's actions.
func (r *Recorder) Step(now clock.Millis, e scheduler.Event) []scheduler.Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.newer.Len() == 0 || r.newer.Len() >= r.half {
		r.turn(now)
	}
	actions := r.core.Step(now, e)
	r.write(Step{Now: now, Event: bare(e), Actions: actions})
	return actions
}

// Status returns the status of the core.
func (r *Recorder) Status() scheduler.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Status()
}

// WriteTo writes the trace of the latest steps.
func (r *Recorder) WriteTo(w io.Writer) (int64, error) {
	r.mu.Lock()
	out := append(bytes.Clone(r.older.Bytes()), r.newer.Bytes()...)
	r.mu.Unlock()
	n, err := w.Write(out)
	return int64(n), err
}

// turn drops the older segment and starts a new one from the core's state.
func (r *Recorder) turn(now clock.Millis) {
	r.older, r.newer = r.newer, r.older
	r.newer.Reset()
	state := r.core.Snapshot()
	r.write(Step{Now: now, Event: scheduler.Event{Kind: scheduler.Load, State: &state}})
}

func (r *Recorder) write(s Step) {
	raw, err := json.Marshal(s)
	if err != nil {
		panic(fmt.Sprintf("replay: step cannot be encoded: %v", err))
	}
	r.newer.Write(append(raw, '\n'))
}

// bare returns the event without the payload and the answer of its job, which
// the core does not look at.
func bare(e scheduler.Event) scheduler.Event {
	if e.Record != nil {
		record := *e.Record
		record.Spec.Payload, record.Outcome.Body = nil, nil
		e.Record = &record
	}
	return e
}
