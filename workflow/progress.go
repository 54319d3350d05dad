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

// Final reports whether the state is final.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// PlacedRun records that a run of a task may be present on a worker. It is encoded as an array.
type PlacedRun struct {
	_      struct{} `cbor:",toarray"`
	Index  int
	Run    int
	Worker string
	// WorkerStartedAt is the Unix time in milliseconds at which the worker process started; 0 if
	// the worker does not report it. A different time means that the worker has restarted and the
	// run is gone.
	WorkerStartedAt clock.Millis
}

// TaskProgress is the recorded state of a task that has been started at least once and is not
// done. It is encoded as an array.
type TaskProgress struct {
	_     struct{} `cbor:",toarray"`
	Index int
	// Run is the highest run number that a worker was ordered to start. Failures is the number of
	// failed runs.
	Run      int
	Failures int
	// Checkpoint is the last checkpoint of the runs that have ended; "" means none.
	Checkpoint string
}

// StepProgress is the progress of one step in one occurrence of a job.
type StepProgress struct {
	Occurrence int `cbor:"o,omitempty"`
	Step       int `cbor:"s,omitempty"`
	// AllDone means that every task is done. Otherwise Done lists the indices of the done tasks, or DoneSet holds them
	// if they are many; DoneTasks returns them.
	AllDone bool           `cbor:"a,omitempty"`
	Done    []int          `cbor:"d,omitempty"`
	DoneSet IndexSet       `cbor:"b,omitempty"`
	Tasks   []TaskProgress `cbor:"t,omitempty"`
	Places  []PlacedRun    `cbor:"p,omitempty"`
	// Unanswered holds the placed runs of which a copy of the order got no answer, by the index of the task: the
	// Unix time in milliseconds until which the leader that recorded it may send copies without recording it again.
	Unanswered map[int]clock.Millis `cbor:"u,omitempty"`
	// FailedRun is the number of the last run of a gang that failed; 0 if none did. Further members of that
	// run may end as failed after it.
	FailedRun int `cbor:"f,omitempty"`
	// RunTime is the mean time in milliseconds that the tasks ran on a worker of usual speed; 0
	// if AllDone is not set or it was not measured.
	RunTime clock.Millis `cbor:"r,omitempty"`
	// DoneAt is the Unix time in milliseconds at which the leader learned that every task is done; 0 if AllDone is
	// not set or an earlier version recorded the step.
	DoneAt clock.Millis `cbor:"e,omitempty"`
}

// DoneTasks returns the indices of the done tasks, unless all are done.
func (s *StepProgress) DoneTasks() []int {
	if s.DoneSet != nil {
		return s.DoneSet.Indices()
	}
	return s.Done
}

// Progress is the recorded progress of a job. Only the leader writes it.
type Progress struct {
	State State `cbor:"s"`
	// EndedAt is the Unix time in milliseconds at which the job reached a final state; 0 before that.
	EndedAt clock.Millis `cbor:"w,omitempty"`
	// Policy is the newest known policy of the queue; nil if it is that of the record. It applies if the queue is no
	// longer in the configuration.
	Policy *Policy        `cbor:"y,omitempty"`
	Parts  []StepProgress `cbor:"p,omitempty"`
	// DoneBefore is the number of the first occurrences that are done and not in Parts. RunTimes is the last known run
	// time of each step in them, in milliseconds; 0 if it was not measured.
	DoneBefore int            `cbor:"d,omitempty"`
	RunTimes   []clock.Millis `cbor:"t,omitempty"`
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
