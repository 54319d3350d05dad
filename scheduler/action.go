package scheduler

import (
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/outcome"
)

// ActionKind is the kind of an action, which the caller of Core.Step has to carry out.
type ActionKind string

// The kinds of action, each with the fields of Action that it uses.
const (
	// Place requests the start of all members of a gang. Fields: ID, Attempt, Members.
	// The caller reports the result as Started, Refused, Lost or Broken.
	Place ActionKind = "place"
	// Stop requests that all members of a gang be stopped, after a checkpoint if one
	// can be written within Grace. Fields: ID, Attempt, Grace, Cause. The caller
	// reports the result as Stopped, Finished, Broken or Lost.
	Stop ActionKind = "stop"
	// End reports that a job which runs on no worker has ended. Fields: ID, State,
	// Reason.
	End ActionKind = "end"
	// Requeue reports that a job waits in the queue again after an attempt. Fields: ID,
	// Attempt, Checkpoint.
	Requeue ActionKind = "requeue"
	// Quarantine requests that quick requests no longer be sent to a worker, and
	// Restore that they be sent to it again. Field: Worker.
	Quarantine ActionKind = "quarantine"
	Restore    ActionKind = "restore"
)

// Cause is the reason why a gang is stopped.
type Cause string

// The causes of a stop: the caller canceled the job (CauseCancel), its workers are
// needed by a job with a guarantee or a higher priority (CauseReclaim), it is moved to
// make room for a larger job (CauseMove), or its worker is leaving (CauseLeaving).
const (
	CauseCancel  Cause = "cancel"
	CauseReclaim Cause = "reclaim"
	CauseMove    Cause = "move"
	CauseLeaving Cause = "leaving"
)

// Action is one thing that the caller of Core.Step has to do. Only the fields listed at
// its Kind are set.
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
