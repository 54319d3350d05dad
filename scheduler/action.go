package scheduler

import (
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/outcome"
)

// ActionKind says what has to be done.
type ActionKind string

// The kinds of action, with the fields of Action that they use.
const (
	// Place asks for the start of a whole gang: ID, Attempt, Members. It is answered
	// by Started, Refused, Lost or Broken.
	Place ActionKind = "place"
	// Stop asks for the end of a whole gang, after a checkpoint within Grace:
	// ID, Attempt, Grace, Cause. It is answered by Stopped, Finished, Broken or Lost.
	Stop ActionKind = "stop"
	// End records that a job that is not placed has ended: ID, State, Reason.
	End ActionKind = "end"
	// Requeue records that a job waits again after an attempt: ID, Attempt, Checkpoint.
	Requeue ActionKind = "requeue"
	// Quarantine keeps quick requests away from a worker, Restore lets them in again: Worker.
	Quarantine ActionKind = "quarantine"
	Restore    ActionKind = "restore"
)

// Cause says why a gang is stopped.
type Cause string

// The causes of a stop.
const (
	CauseCancel  Cause = "cancel"
	CauseReclaim Cause = "reclaim"
	CauseMove    Cause = "move"
	CauseLeaving Cause = "leaving"
)

// Action is one thing to be done. Only the fields named at its kind are set.
type Action struct {
	Kind       ActionKind     `json:"kind"`
	ID         string         `json:"id,omitempty"`
	Attempt    int            `json:"attempt,omitempty"`
	Members    []job.Member   `json:"members,omitempty"`
	Grace      clock.Millis   `json:"grace_ms,omitempty"`
	Cause      Cause          `json:"cause,omitempty"`
	State      job.State      `json:"state,omitempty"`
	Reason     outcome.Reason `json:"reason,omitempty"`
	Checkpoint string         `json:"checkpoint,omitempty"`
	Worker     string         `json:"worker,omitempty"`
}
