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
	// in a failure of its own on Worker: ID, Attempt, Worker.
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
}

// Node is a worker as the scheduler sees it.
type Node struct {
	Name     string        `json:"name"`
	Domain   string        `json:"domain"`
	Rack     string        `json:"rack"`
	Capacity job.Resources `json:"capacity"`
}
