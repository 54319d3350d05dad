package job

import (
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/outcome"
)

// State is where a job stands in its life.
type State string

// The states of a job. Waiting and Running jobs are live, the others have ended.
const (
	Waiting  State = "waiting"
	Placed   State = "placed"
	Running  State = "running"
	Done     State = "done"
	Failed   State = "failed"
	Canceled State = "canceled"
	Unknown  State = "unknown"
)

// Ended reports whether the state is final.
func (s State) Ended() bool {
	return s == Done || s == Failed || s == Canceled || s == Unknown
}

// Member is the part of a gang that runs on one worker.
type Member struct {
	Worker string `json:"worker"`
	// Tasks is the number of the gang's tasks on the worker.
	Tasks int `json:"tasks"`
	// Incarnation names the process of the worker that holds the part; it is set when
	// the placement is recorded.
	Incarnation string `json:"incarnation,omitempty"`
}

// Record is the durable record of an accepted job.
type Record struct {
	Spec  Spec  `json:"spec"`
	State State `json:"state"`
	// Domain is the failure domain whose scheduler places the job.
	Domain string `json:"domain,omitempty"`
	// Cancel tells that the caller has asked for the job's end.
	Cancel bool `json:"cancel,omitempty"`
	// Attempt counts placements from 1; 0 means the job was never placed.
	Attempt int `json:"attempt,omitempty"`
	// Term is the scheduler's term that wrote the record last.
	Term    int64    `json:"term,omitempty"`
	Members []Member `json:"members,omitempty"`
	// Submitted, Started and Ended are points in time; 0 means not yet. Started is set
	// with the end of the first attempt that ran.
	Submitted clock.Millis    `json:"submitted"`
	Started   clock.Millis    `json:"started,omitempty"`
	Ended     clock.Millis    `json:"ended,omitempty"`
	Outcome   outcome.Outcome `json:"outcome"`
	// Checkpoint names the last checkpoint to resume from.
	Checkpoint string `json:"checkpoint,omitempty"`
}
