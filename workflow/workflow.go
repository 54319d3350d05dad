// Package workflow is the model of a job of several steps, each of many tasks: what
// a caller asks for, what is recorded of it, and how far it has come.
//
// # Usage
//
//	if err := spec.Check(); err != nil { ... } // *workflow.Error
//	record := workflow.Record{ID: id, Queue: q.Name, Spec: spec}
//	objective := record.Objective()
package workflow

import (
	"fmt"
	"slices"

	"github.com/chestnutsail/chestnutsail/clock"
)

// Bounds of a specification.
const (
	// MaxPayload is in bytes.
	MaxPayload = 4000
	MaxSteps   = 64
	// MaxTasks bounds the tasks of one step.
	MaxTasks = 4096
	// MaxOccurrences bounds the runs of a periodic job.
	MaxOccurrences = 10000
)

// Step is a group of like tasks.
type Step struct {
	Count int `cbor:"n"`
	// Cores is in thousandths of a core, Memory in megabytes, both for one task.
	Cores  int `cbor:"c,omitempty"`
	Memory int `cbor:"m,omitempty"`
	Accels int `cbor:"g,omitempty"`
	// Estimate is a rough duration of a task in milliseconds.
	Estimate clock.Millis `cbor:"e,omitempty"`
	// After lists the earlier steps that have to be done first.
	After []int `cbor:"a,omitempty"`
	// Checkpointing tasks save their progress.
	Checkpointing bool `cbor:"k,omitempty"`
	// Gang tasks work only while all of them are present.
	Gang bool `cbor:"w,omitempty"`
	// SameRack tasks are slower when they are spread over racks.
	SameRack bool `cbor:"r,omitempty"`
	// Label is one that the worker must have; "" means any worker.
	Label string `cbor:"l,omitempty"`
	// DataRack is where the tasks' data is; they are slower elsewhere.
	DataRack string `cbor:"d,omitempty"`
	// PerWorker bounds the tasks of the step on one worker; 0 means no bound.
	PerWorker int `cbor:"p,omitempty"`
	// Speculative tasks may run in copies; the first end counts.
	Speculative bool `cbor:"s,omitempty"`
	// Lasting tasks run until the job is cancelled.
	Lasting bool `cbor:"t,omitempty"`
	// Filler tasks use only what the others leave of a worker's cores.
	Filler bool `cbor:"f,omitempty"`
	// Budget is how many lasting tasks may be away by an act of the scheduler.
	Budget int `cbor:"b,omitempty"`
}

// Spec is what a caller asks for.
type Spec struct {
	Payload string `cbor:"p"`
	Steps   []Step `cbor:"s"`
	// Occurrences is how often the steps run; 0 means once and at once.
	Occurrences int `cbor:"n,omitempty"`
	// First is the Unix time of occurrence 0, Interval the time between two.
	First    clock.Millis `cbor:"f,omitempty"`
	Interval clock.Millis `cbor:"i,omitempty"`
}

// Error tells what is wrong with a specification.
type Error struct{ Reason string }

// Error returns the reason.
func (e *Error) Error() string { return "workflow: " + e.Reason }

func wrong(format string, args ...any) error { return &Error{fmt.Sprintf(format, args...)} }

// Check returns an *Error if the specification can't be taken.
func (s *Spec) Check() error {
	switch {
	case len(s.Payload) > MaxPayload:
		return wrong("the payload has %d bytes, more than %d", len(s.Payload), MaxPayload)
	case len(s.Steps) == 0 || len(s.Steps) > MaxSteps:
		return wrong("%d steps; want 1 to %d", len(s.Steps), MaxSteps)
	case s.Occurrences < 0 || s.Occurrences > MaxOccurrences:
		return wrong("%d occurrences; want 0 to %d", s.Occurrences, MaxOccurrences)
	case s.First < 0 || s.Interval < 0:
		return wrong("a time is negative")
	}
	for i := range s.Steps {
		if err := s.Steps[i].check(i); err != nil {
			return err
		}
	}
	return nil
}

func (s *Step) check(i int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return wrong("step %d has %d tasks; want 1 to %d", i, s.Count, MaxTasks)
	}
	for _, v := range []int{s.Cores, s.Memory, s.Accels, s.PerWorker, s.Budget, int(s.Estimate)} {
		if v < 0 {
			return wrong("step %d has a negative number", i)
		}
	}
	for _, a := range s.After {
		if a < 0 || a >= i {
			return wrong("step %d comes after step %d, which is not an earlier one", i, a)
		}
	}
	return nil
}

// Times returns how often the steps run.
func (s *Spec) Times() int { return max(s.Occurrences, 1) }

// Due returns the Unix time before which an occurrence must not start; 0 means at once.
func (s *Spec) Due(occurrence int) clock.Millis {
	if s.Occurrences == 0 {
		return 0
	}
	return s.First + clock.Millis(occurrence)*s.Interval
}

// Chain returns the estimated time in milliseconds of the longest chain of steps.
func (s *Spec) Chain() clock.Millis { return slices.Max(append(s.chains(), 0)) }

// ChainFrom returns the estimated time in milliseconds of the longest chain of steps that
// begins with a step.
func (s *Spec) ChainFrom(step int) clock.Millis { return s.chains()[step] }

// chains returns the longest chain that begins with each step.
func (s *Spec) chains() []clock.Millis {
	chains := make([]clock.Millis, len(s.Steps))
	for i := len(s.Steps) - 1; i >= 0; i-- {
		// All steps that come after this one have been added by now.
		chains[i] += s.Steps[i].Estimate
		for _, before := range s.Steps[i].After {
			chains[before] = max(chains[before], chains[i])
		}
	}
	return chains
}

// Lasting reports whether the job has tasks that run until it is cancelled.
func (s *Spec) Lasting() bool {
	for i := range s.Steps {
		if s.Steps[i].Lasting {
			return true
		}
	}
	return false
}

// Record is an accepted job. It never changes.
type Record struct {
	ID      string `cbor:"-"`
	Queue   string `cbor:"q"`
	Service string `cbor:"s"`
	Account string `cbor:"a"`
	// Priority, Attempts, Stretch and Target are the queue's at the acceptance.
	Priority int          `cbor:"p,omitempty"`
	Attempts int          `cbor:"t,omitempty"`
	Stretch  float64      `cbor:"x,omitempty"`
	Target   clock.Millis `cbor:"o,omitempty"`
	// Accepted is the Unix time of the acceptance.
	Accepted clock.Millis `cbor:"w"`
	// Token tells this record from one of another submission under the same ID.
	Token string `cbor:"k"`
	Spec  Spec   `cbor:"j"`
}

// Objective returns the time in milliseconds in which the job should be done.
func (r *Record) Objective() clock.Millis {
	return clock.Millis(r.Stretch*float64(r.Spec.Chain())) + r.Target
}
