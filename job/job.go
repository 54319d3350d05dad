// Package job contains the data types that describe a job: its shape, its specification and
// its durable record.
//
// # Usage
//
//	spec := job.Spec{Account: "kulhar", Service: "reconcile", Key: "2026-12-04",
//		Shape: job.Shape{Tasks: 2, Accelerators: 8, Adjacent: job.Rack}}
//	if err := spec.Check(); err != nil { ... }
package job

import (
	"fmt"
	"regexp"

	"github.com/chestnutsail/chestnutsail/clock"
)

// Adjacency is the requirement on how close together the tasks of a gang run.
type Adjacency string

// The adjacencies: no requirement, all tasks in one rack, or all tasks on one worker.
const (
	Any    Adjacency = "any"
	Rack   Adjacency = "rack"
	Worker Adjacency = "worker"
)

// Class is the urgency of a job.
type Class string

// The classes, from the most to the least urgent.
const (
	Urgent Class = "urgent"
	Quick  Class = "quick"
	Batch  Class = "batch"
	Sweep  Class = "sweep"
)

// Classes returns every class, the most urgent first.
func Classes() []Class { return []Class{Urgent, Quick, Batch, Sweep} }

// Limits of one job. The resources are per task. MaxPayload is in bytes, MaxName in
// characters.
const (
	MaxTasks        = 1024
	MaxAccelerators = 64
	MaxCores        = 4096
	MaxMemoryMB     = 16 << 20
	MaxSlots        = 64
	MaxPayload      = 64 << 10
	MaxName         = 128
)

// Shape is the size of a gang: a number of equal tasks and the resources of each task.
type Shape struct {
	// Tasks is the number of tasks, which all run at the same time; 0 means 1.
	Tasks int `json:"tasks,omitempty" yaml:"tasks"`
	// Cores, Memory (in MB), Accelerators and Slots are the resources of one task.
	Cores        int `json:"cores,omitempty" yaml:"cores"`
	Memory       int `json:"memory,omitempty" yaml:"memory"`
	Accelerators int `json:"accels,omitempty" yaml:"accels"`
	Slots        int `json:"slots,omitempty" yaml:"slots"`
	// Adjacent is the required adjacency of the tasks; it defaults to Any.
	Adjacent Adjacency `json:"adjacent,omitempty" yaml:"adjacent"`
}

// Count returns the number of tasks, at least 1.
func (s Shape) Count() int { return max(s.Tasks, 1) }

// Resources returns what n tasks of the shape occupy on one worker.
func (s Shape) Resources(n int) Resources {
	return Resources{Cores: n * s.Cores, Memory: n * s.Memory, Accelerators: n * s.Accelerators, Slots: n * s.Slots}
}

// Resources holds an amount of each resource of a worker. Memory is in MB.
type Resources struct {
	Cores        int `json:"cores,omitempty" yaml:"cores"`
	Memory       int `json:"memory,omitempty" yaml:"memory"`
	Accelerators int `json:"accels,omitempty" yaml:"accels"`
	Slots        int `json:"slots,omitempty" yaml:"slots"`
}

// Add returns the sum r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.Cores + o.Cores, r.Memory + o.Memory, r.Accelerators + o.Accelerators, r.Slots + o.Slots}
}

// Sub returns the difference r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.Cores - o.Cores, r.Memory - o.Memory, r.Accelerators - o.Accelerators, r.Slots - o.Slots}
}

// Fits reports whether r is at most free in every resource.
func (r Resources) Fits(free Resources) bool {
	return r.Cores <= free.Cores && r.Memory <= free.Memory && r.Accelerators <= free.Accelerators && r.Slots <= free.Slots
}

// Spec is the specification of a job that a caller submits.
type Spec struct {
	Account string `json:"account"`
	Service string `json:"service"`
	// Key identifies the request within its account. A submission with the same key is a retry
	// of the same request.
	Key   string `json:"key"`
	Class Class  `json:"class,omitempty"`
	// Idempotent is set when the job may run more than once. All other jobs run at most once.
	Idempotent bool `json:"idempotent,omitempty"`
	// Checkpoints is set when the job can write checkpoints and resume from them.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Declared is the caller's estimate of the run time in milliseconds. It may be wrong.
	Declared clock.Millis `json:"declared_ms,omitempty"`
	// Deadline is the time in milliseconds within which the caller expects the result.
	Deadline clock.Millis `json:"deadline_ms,omitempty"`
	Shape    Shape        `json:"shape"`
	Payload  []byte       `json:"payload,omitempty"`
	// Resubmitted is set when the key may have been submitted before. If the earlier submission
	// cannot be checked, a refusal has the outcome unknown instead of notrun.
	Resubmitted bool `json:"again,omitempty"`
}

// ID returns the job's ID, which is unique within one installation.
func (s Spec) ID() string { return s.Account + "/" + s.Key }

// Stoppable reports whether the job can be stopped and run again later.
func (s Spec) Stoppable() bool { return s.Idempotent || s.Checkpoints }

// IsQuick reports whether the request is sent directly to a slot of a worker instead of
// through the scheduler. This is the case for a single task without accelerators whose class
// is Quick, or whose class is Urgent or Sweep and which needs slots only.
func (s Spec) IsQuick() bool {
	if s.Shape.Accelerators != 0 || s.Shape.Count() != 1 {
		return false
	}
	slotsOnly := s.Shape.Slots > 0 && s.Shape.Cores == 0 && s.Shape.Memory == 0
	return s.Class == Quick || slotsOnly && (s.Class == Urgent || s.Class == Sweep)
}

// Error reports a field of a Spec whose value is not allowed.
type Error struct {
	Field   string
	Value   any
	Allowed string
}

// Error returns a message with the field, its value and the allowed values.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %v is not allowed; want %s", e.Field, e.Value, e.Allowed)
}

// AllowedName describes the names that IsName accepts, for error messages.
const AllowedName = "1 to 128 letters, digits, '.', '_', ':' or '-', starting with a letter or digit"

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._:-]{0,127}$`)

// IsName reports whether v is valid as the name of an account or a service or as the key of
// a request.
func IsName(v string) bool { return namePattern.MatchString(v) }

// Check returns an *Error for the first field outside its range, or nil.
func (s Spec) Check() error {
	names := []struct{ field, value string }{{"account", s.Account}, {"service", s.Service}, {"key", s.Key}}
	for _, n := range names {
		if !namePattern.MatchString(n.value) {
			return &Error{n.field, fmt.Sprintf("%q", n.value), AllowedName}
		}
	}
	switch s.Class {
	case Urgent, Quick, Batch, Sweep:
	default:
		return &Error{"class", fmt.Sprintf("%q", s.Class), "urgent, quick, batch or sweep"}
	}
	if s.Declared < 0 || s.Deadline < 0 {
		return &Error{"declared_ms, deadline_ms", min(s.Declared, s.Deadline), "0 or more"}
	}
	if len(s.Payload) > MaxPayload {
		return &Error{"payload", len(s.Payload), fmt.Sprintf("at most %d bytes", MaxPayload)}
	}
	return s.Shape.Check()
}

// Check returns an *Error for the first field outside its range, or nil.
func (s Shape) Check() error {
	ranges := []struct {
		field      string
		value, max int
	}{
		{"shape.tasks", s.Tasks, MaxTasks},
		{"shape.cores", s.Cores, MaxCores},
		{"shape.memory", s.Memory, MaxMemoryMB},
		{"shape.accels", s.Accelerators, MaxAccelerators},
		{"shape.slots", s.Slots, MaxSlots},
	}
	for _, r := range ranges {
		if r.value < 0 || r.value > r.max {
			return &Error{r.field, r.value, fmt.Sprintf("0 to %d", r.max)}
		}
	}
	switch s.Adjacent {
	case "", Any, Rack, Worker:
		return nil
	default:
		return &Error{"shape.adjacent", fmt.Sprintf("%q", s.Adjacent), "any, rack or worker"}
	}
}
