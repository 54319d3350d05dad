package scheduler

import (
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/text"
)

// EventKind says what happened.
type EventKind string

// The kinds of event, with the fields of Event that they use.
const (
	// Submit brings a new or a recovered job: Record.
	Submit EventKind = "submit"
	// Cancel asks for the end of a job: ID.
	Cancel EventKind = "cancel"
	// Started tells that all members of a placement run: ID, Attempt.
	Started EventKind = "started"
	// Refused tells that a placement came to nothing before any member ran, and that
	// all its reservations are gone: ID, Attempt, Worker.
	Refused EventKind = "refused"
	// Finished and Broken tell that the whole gang has ended by itself, in success or
	// in a failure of its own on Worker: ID, Attempt, Worker. A Broken idempotent job
	// is answered by Requeue, or by End once it has failed on several workers; without
	// either the failure stands.
	Finished EventKind = "finished"
	Broken   EventKind = "broken"
	// Stopped tells that a gang has been stopped whole as asked: ID, Attempt, Checkpoint.
	Stopped EventKind = "stopped"
	// Lost tells that Worker was lost and that every other member has been stopped: ID, Attempt, Worker.
	Lost EventKind = "lost"
	// WorkerUp brings a worker or changes what is known of it: Node.
	WorkerUp EventKind = "worker_up"
	// WorkerLeaving and WorkerGone take a worker away: Worker.
	WorkerLeaving EventKind = "worker_leaving"
	WorkerGone    EventKind = "worker_gone"
	// Text puts another cluster text in force: Text.
	Text EventKind = "text"
	// Tick lets time pass.
	Tick EventKind = "tick"
	// Load puts the core into a state as a whole, forgets all that it knew before,
	// and ends no more than the jobs that are new to it and can never run: State. A scheduler that takes over a domain loads the
	// workers and records it has found before it lets the core decide.
	Load EventKind = "load"
)

// Event is one thing that happened. Only the fields named at its kind are set.
type Event struct {
	Kind       EventKind   `json:"kind"`
	ID         string      `json:"id,omitempty"`
	Attempt    int         `json:"attempt,omitempty"`
	Worker     string      `json:"worker,omitempty"`
	Checkpoint string      `json:"checkpoint,omitempty"`
	Record     *job.Record `json:"record,omitempty"`
	Node       *Node       `json:"node,omitempty"`
	Text       *text.Text  `json:"text,omitempty"`
	State      *State      `json:"state,omitempty"`
}

// Node is a worker as the scheduler sees it.
type Node struct {
	Name     string        `json:"name"`
	Domain   string        `json:"domain"`
	Rack     string        `json:"rack"`
	Capacity job.Resources `json:"capacity"`
}

// Valid reports whether the event is of a known kind and carries the fields that
// its kind needs.
func (e Event) Valid() bool {
	switch e.Kind {
	case Submit:
		return e.Record != nil
	case WorkerUp:
		return e.Node != nil
	case Text:
		return e.Text != nil
	case Load:
		return e.State != nil
	case Cancel, Started, Refused, Finished, Broken, Stopped, Lost, WorkerLeaving, WorkerGone, Tick:
		return true
	default:
		return false
	}
}
