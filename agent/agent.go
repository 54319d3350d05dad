// Package agent defines the messages between the scheduler and the agent on a worker,
// independent of the protocol that carries them.
//
// # Usage
//
//	report, err := workers.Renew(ctx, worker, agent.Renewal{Fence: term, Acked: 57, Lease: until})
//	for _, end := range report.Ended { ... }
package agent

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/chestnutsail/chestnutsail/clock"
)

// Task identifies one task of a job.
type Task struct {
	Job string
	// Occurrence counts from 0. It is 0 for a job that runs once.
	Occurrence int
	Step       int
	Index      int
}

// String formats the task as JOB.OCCURRENCE.STEP.INDEX.
func (t Task) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// ParseTask parses the format of String. It returns false if s does not have that format.
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

// Order tells an agent to start one run of a task.
type Order struct {
	Task Task
	// Run is the number of this start of the task, from 1. All members of a gang have the same
	// run number.
	Run int
	// Payload is the payload of the job, which the task gets unchanged.
	Payload string
	// Lease is the time on the worker's clock at which the worker ends all its runs unless the
	// lease is renewed. Fence is the term of the leader that sends the order.
	Lease clock.Millis
	Fence uint64
	// Checkpoint is the checkpoint from which the run resumes; "" means that it starts from the
	// beginning.
	Checkpoint string
	// Ticket is the permission of the placement policy, if the queue requires one.
	Ticket string
}

// Verdict is the answer of a worker to an order.
type Verdict string

// The possible answers to an order.
const (
	// Accepted means that the worker has accepted the run, now or earlier.
	Accepted Verdict = "taken"
	// Fenced means that the worker has already seen a higher fence than the order's.
	Fenced Verdict = "fenced"
	// Stale means that this run, or a run with a higher number, has already been stopped or has
	// ended on the worker.
	Stale Verdict = "stale"
	// Late means that the lease in the order had already expired.
	Late Verdict = "late"
	// Full means that the worker has too few free resources.
	Full Verdict = "full"
	// Unlicensed means that the ticket is not valid.
	Unlicensed Verdict = "unlicensed"
	// Invalid means that the worker could not parse the order.
	Invalid Verdict = "invalid"
	// Unhealthy means that the worker currently can't carry out any order.
	Unhealthy Verdict = "unwell"
)

// Renewal renews the lease of all runs on a worker and requests a report of the runs. Fence is the
// term of the leader that sends it.
type Renewal struct {
	Fence uint64
	// Acked is the Number of the last RunEnd that the scheduler has recorded. The worker need not
	// report ended runs up to this number again.
	Acked int
	// Lease is the time on the worker's clock until which the lease of all runs is renewed; 0
	// renews nothing.
	Lease clock.Millis
	// Wait is the longest time in milliseconds for which the worker may delay the answer until
	// a run ends.
	Wait clock.Millis
}

// Run is a run that is present on a worker.
type Run struct {
	Task Task
	Run  int
	// Checkpoint is the last checkpoint of the run.
	Checkpoint string
	// Percent is the progress, from 0 to 100.
	Percent int
}

// EndReason is the way in which a run ended.
type EndReason string

// The ways in which a run ends.
const (
	Done         EndReason = "done"
	Failed       EndReason = "failed"
	Stopped      EndReason = "stopped"
	LeaseExpired EndReason = "lapsed"
	// GangBroken means that another member of the gang has ended.
	GangBroken EndReason = "broken"
	// GangIncomplete means that the other members of the gang did not start in time.
	GangIncomplete EndReason = "alone"
)

// RunEnd describes a run that has ended. The worker reports it until the scheduler acknowledges it.
type RunEnd struct {
	// Number counts the ended runs from 1 since the worker process started.
	Number     int
	Task       Task
	Run        int
	Reason     EndReason
	Checkpoint string
}

// Report is a worker's report of its runs.
type Report struct {
	// Clock is the time on the worker's own clock in milliseconds.
	Clock clock.Millis
	// StartedAt is the Unix time in milliseconds at which the worker process started; 0 if the
	// worker does not report it.
	StartedAt clock.Millis
	Running   []Run
	Ended     []RunEnd
	// MoreEnds reports whether there may be further ends that do not fit into the report.
	MoreEnds bool
}

// State is the state of a worker; only a Ready worker accepts new runs.
type State string

// The states of a worker.
const (
	Ready    State = "ready"
	Draining State = "draining"
)

// Worker is the entry of a worker in the list of workers.
type Worker struct {
	ID      string
	Address string
	Service string
	Domain  string
	State   State
	// Rack is a group of adjacent workers. Labels are all labels of the worker, including the rack.
	Rack   string
	Labels []string
	// Cores is in thousandths of a core, Memory in megabytes, Accels a number of accelerators.
	Cores  int
	Memory int
	Accels int
	// StartedAt is the Unix time in milliseconds at which the worker process started; 0 if the
	// worker does not report it.
	StartedAt clock.Millis
	// Clock is the worker's clock when it wrote its entry; 0 if the worker does not report it.
	Clock clock.Millis
	// Remaining is the shortest time in milliseconds until a draining worker may shut down.
	Remaining clock.Millis
	// ColdRemaining is the time in milliseconds for which the worker stays slow after its start; 0 if it is warm.
	ColdRemaining clock.Millis
	// Host is the name of the host that the worker runs on; "" if the worker does not report it.
	Host string
}

// Host is an entry of the platform's list of the hosts on which workers run. Worker is the ID of the worker
// that runs there; "" means that none does.
type Host struct {
	Name   string
	Worker string
}

// Errors of a call that did not reach the addressed worker instance. They don't prove that the
// instance has ended: what lies on the path may refuse connections or answer in its place.
var (
	// ErrNotSent means that no connection to the worker was opened in time, so that nothing was sent.
	ErrNotSent = errors.New("agent: no connection to the worker was opened in time")
	// ErrAbsent means that the connection to the worker's address was refused.
	ErrAbsent = errors.New("agent: connection to the worker's address refused")
	// ErrReplaced means that another worker instance answers at the address.
	ErrReplaced = errors.New("agent: another instance at the worker's address")
)
