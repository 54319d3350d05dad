package job

import (
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/outcome"
)

// State is the state of a job.
type State string

// The states of a job. Waiting, Placed and Running jobs are live; the others have ended.
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
	// Incarnation identifies the process of the worker that holds the member. It is set when
	// the placement is recorded.
	Incarnation string `json:"incarnation,omitempty"`
}

// Record is the durable record of an accepted job.
type Record struct {
	Spec  Spec  `json:"spec"`
	State State `json:"state"`
	// Domain is the failure domain whose scheduler places the job.
	Domain string `json:"domain,omitempty"`
	// Cancel is set when the caller has canceled the job.
	Cancel bool `json:"cancel,omitempty"`
	// Attempt counts placements from 1; 0 means the job was never placed.
	Attempt int `json:"attempt,omitempty"`
	// Term is the term of the scheduler that last wrote the record.
	Term    int64    `json:"term,omitempty"`
	Members []Member `json:"members,omitempty"`
	// Submitted, Started and Ended are times in milliseconds; 0 means not yet. Started is set
	// when the first attempt that ran ends.
	Submitted clock.Millis    `json:"submitted"`
	Started   clock.Millis    `json:"started,omitempty"`
	Ended     clock.Millis    `json:"ended,omitempty"`
	Outcome   outcome.Outcome `json:"outcome"`
	// Checkpoint is the name of the last checkpoint, from which the next attempt resumes.
	Checkpoint string `json:"checkpoint,omitempty"`
}
