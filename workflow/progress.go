package workflow

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/chestnutsail/chestnutsail/clock"
)

// State is the state of a job as reported to callers.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Over reports whether the state is final.
func (s State) Over() bool { return s == Completed || s == Failed || s == Cancelled }

// Place records that a run of a task may be present on a worker. It is encoded as an array.
type Place struct {
	_      struct{} `cbor:",toarray"`
	Index  int
	Run    int
	Worker string
	// Born is the Unix time at which the worker process started; 0 if the worker does not report
	// it. A different time means that the worker has restarted and the run is gone.
	Born clock.Millis
}

// Task is the recorded state of a task that has been started at least once and is not done. It
// is encoded as an array.
type Task struct {
	_     struct{} `cbor:",toarray"`
	Index int
	// Run is the highest run number that a worker was ordered to start. Fails is the number of
	// failed runs.
	Run   int
	Fails int
	// Saved is the last checkpoint of the runs that have ended; "" means none.
	Saved string
}

// Part is the progress of one step in one occurrence of a job.
type Part struct {
	Occurrence int `cbor:"o,omitempty"`
	Step       int `cbor:"s,omitempty"`
	// All means that every task is done. Otherwise Done lists the indices of the done tasks.
	All    bool    `cbor:"a,omitempty"`
	Done   []int   `cbor:"d,omitempty"`
	Tasks  []Task  `cbor:"t,omitempty"`
	Places []Place `cbor:"p,omitempty"`
}

// Progress is the recorded progress of a job. Only the leader writes it.
type Progress struct {
	State State `cbor:"s"`
	// Over is the Unix time at which the job reached a final state; 0 before that.
	Over  clock.Millis `cbor:"w,omitempty"`
	Parts []Part       `cbor:"p,omitempty"`
}

// Encode returns v in CBOR. It panics if v has a type that can't be encoded.
func Encode(v any) []byte {
	raw, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

// Decode decodes the result of Encode into v, which must be a pointer.
func Decode(raw []byte, v any) error { return cbor.Unmarshal(raw, v) }
