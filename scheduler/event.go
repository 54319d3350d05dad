package scheduler

import (
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/text"
)

// EventKind is the kind of an event.
type EventKind string

// The kinds of event, each with the fields of Event that it uses.
const (
	// Submit adds a new job, or one that was recovered from its record. Field: Record.
	Submit EventKind = "submit"
	// Cancel requests the end of a job. Field: ID.
	Cancel EventKind = "cancel"
	// Started reports that all members of a placement run. Fields: ID, Attempt.
	Started EventKind = "started"
	// Refused reports that a placement failed before any member ran, and that all its
	// reservations have been released. Worker is the worker on which it failed, or "".
	// Fields: ID, Attempt, Worker.
	Refused EventKind = "refused"
	// Finished and Broken report that all members of a gang have ended by themselves:
	// Finished after success, Broken after the job failed on Worker. Fields: ID,
	// Attempt, Worker. For an idempotent job the core responds to Broken with Requeue,
	// or with End once the job has failed on several workers. If it emits neither, the
	// failure is the final result.
	Finished EventKind = "finished"
	Broken   EventKind = "broken"
	// Stopped reports that all members of a gang have been stopped as requested.
	// Fields: ID, Attempt, Checkpoint.
	Stopped EventKind = "stopped"
	// Lost reports that Worker was lost and that all other members of the gang have
	// been stopped. Fields: ID, Attempt, Worker.
	Lost EventKind = "lost"
	// WorkerUp adds a worker or updates its properties. Field: Node.
	WorkerUp EventKind = "worker_up"
	// WorkerLeaving reports that a worker drains: jobs on it that can be stopped are
	// moved away, and no new ones are placed there. WorkerGone reports that a worker is
	// no longer available. Field: Worker.
	WorkerLeaving EventKind = "worker_leaving"
	WorkerGone    EventKind = "worker_gone"
	// Text puts another cluster text in force. Field: Text.
	Text EventKind = "text"
	// Tick only advances the time.
	Tick EventKind = "tick"
	// Load replaces the entire state of the core. The only jobs that it ends are those
	// that are new to the core (with a Seq of 0) and can never run. Field: State. A
	// scheduler that takes over a domain loads all workers and job records that it has
	// found, so that the core knows them all before it decides anything.
	Load EventKind = "load"
)

// Event is an input of the core. Only the fields listed at its Kind are set.
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

// Node describes a worker to the scheduler.
type Node struct {
	Name     string        `json:"name"`
	Domain   string        `json:"domain"`
	Rack     string        `json:"rack"`
	Capacity job.Resources `json:"capacity"`
}

// Valid reports whether the event is of a known kind and carries the record, node, text
// or state that its kind needs.
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
