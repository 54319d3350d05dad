// Package agent names what a scheduler tells the agent of a worker and what the agent
// reports, whatever protocol carries it.
//
// # Usage
//
//	look, err := a.Hold(ctx, agent.Hold{Fence: term, Acked: 57, Lease: until})
//	for _, end := range look.Ended { ... }
package agent

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/chestnutsail/chestnutsail/clock"
)

// Task names one task of a job.
type Task struct {
	Job string
	// Occurrence counts from 0; it is 0 for a job that runs once.
	Occurrence int
	Step       int
	Index      int
}

// String formats the task as JOB.OCCURRENCE.STEP.INDEX.
func (t Task) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// ParseTask reads what String formats.
func ParseTask(s string) (Task, bool) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return Task{}, false
	}
	var n [3]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return Task{}, false
		}
		n[i] = v
	}
	return Task{parts[0], n[0], n[1], n[2]}, true
}

// Order starts one run of a task.
type Order struct {
	Task Task
	// Run numbers the starts of a task from 1; members of a gang share it.
	Run int
	// Payload is the job's, handed to the task as it is.
	Payload string
	// Lease is the worker's time at which all that runs there ends unless it is renewed.
	Lease clock.Millis
	Fence uint64
	// Checkpoint is where the run resumes; "" means the beginning.
	Checkpoint string
	// Ticket is the placement policy's permission, if the queue needs one.
	Ticket string
}

// Verdict is a worker's answer to an order.
type Verdict string

// The verdicts.
const (
	// Taken means that the run is there.
	Taken Verdict = "taken"
	// Fenced means that the worker has seen a higher fence.
	Fenced Verdict = "fenced"
	// Stale means that this or a higher run has been stopped or has ended there.
	Stale Verdict = "stale"
	// Late means that the order's lease is already over.
	Late Verdict = "late"
	// Full means that the worker has no room.
	Full Verdict = "full"
	// Unlicensed means that the ticket does not hold.
	Unlicensed Verdict = "unlicensed"
	// Replaced means that another instance answers at the address.
	Replaced Verdict = "replaced"
	// Invalid means that the worker can't read the order.
	Invalid Verdict = "invalid"
	// Unwell means that the worker does nothing at present.
	Unwell Verdict = "unwell"
)

// Hold renews the lease of all that runs on a worker and asks what runs there.
type Hold struct {
	Fence uint64
	// Acked is the number of the last end that is recorded.
	Acked int
	// Lease is the worker's time up to which all runs are held; 0 renews nothing.
	Lease clock.Millis
	// Wait is how long in milliseconds the answer waits for an end.
	Wait clock.Millis
}

// Run is a run that is present on a worker.
type Run struct {
	Task Task
	Run  int
	// Saved is the last checkpoint.
	Saved string
	// Percent is the progress, from 0 to 100.
	Percent int
}

// How tells how a run ended.
type How string

// The ways in which a run ends.
const (
	Done    How = "done"
	Failed  How = "failed"
	Stopped How = "stopped"
	Lapsed  How = "lapsed"
	// Broken means that another member of the gang ended.
	Broken How = "broken"
	// Alone means that the other members of the gang did not come in time.
	Alone How = "alone"
)

// End is the end of a run, listed until it is acknowledged.
type End struct {
	// Number counts the ends of one life of a worker from 1.
	Number int
	Task   Task
	Run    int
	How    How
	Saved  string
}

// Look is what a worker reports of itself.
type Look struct {
	// Clock is the worker's own time in milliseconds.
	Clock clock.Millis
	// Born is the Unix time of the worker's start; 0 if it does not tell.
	Born    clock.Millis
	Running []Run
	Ended   []End
}

// State tells whether a worker takes new work.
type State string

// The states of a worker.
const (
	Ready    State = "ready"
	Draining State = "draining"
)

// Worker is a worker's entry in the list of workers.
type Worker struct {
	ID      string
	Address string
	Service string
	Domain  string
	State   State
	// Rack groups adjacent workers; Labels are all labels, the rack among them.
	Rack   string
	Labels []string
	// Cores is in thousandths of a core, Memory in megabytes.
	Cores  int
	Memory int
	Accels int
	// Born is the Unix time of the worker's start; 0 if it does not tell.
	Born clock.Millis
	// Remaining is the least time in milliseconds before a draining worker leaves.
	Remaining clock.Millis
}

// Errors of a call that tell that the instance meant is no longer there.
var (
	// ErrAbsent means that no process listens at a worker's address.
	ErrAbsent = errors.New("agent: no process at the worker's address")
	// ErrClosed means that the worker closed the connection in an orderly way instead of
	// answering a call under way, as a process that ends does.
	ErrClosed = errors.New("agent: connection closed by the worker during a call")
	// ErrReplaced means that another instance answers there.
	ErrReplaced = errors.New("agent: another instance at the worker's address")
)
