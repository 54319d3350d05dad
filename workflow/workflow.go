// Package workflow is the data model of a job. A job consists of one or more steps, and a step
// of one or more tasks. The package defines the specification that a caller submits, the record
// of the accepted job, and the recorded progress.
//
// # Usage
//
//	if err := spec.Check(); err != nil { ... } // *workflow.Error
//	record := workflow.Record{ID: id, Queue: q.Name, Policy: workflow.PolicyOf(q, version), Spec: spec}
//	objective := record.Objective(&record.Spec, workflow.Declared)
package workflow

import (
	"fmt"
	"slices"

	"github.com/chestnutsail/chestnutsail/clock"
)

// Limits of a specification.
const (
	// MaxPayload is the largest size of the payload in bytes.
	MaxPayload = 4000
	MaxSteps   = 64
	// MaxTasks is the largest number of tasks of one step.
	MaxTasks = 4096
	// MaxOccurrences is the largest number of occurrences of a periodic job.
	MaxOccurrences = 10000
	// MaxOpenParts is the largest number of parts of a job, each of which is a step of one occurrence, that are
	// considered at a time. Further occurrences wait until earlier ones are done.
	MaxOpenParts = 1024
)

// Step is a group of identical tasks.
type Step struct {
	Count int `cbor:"n"`
	// Cores is in thousandths of a core, Memory in megabytes, and Accels a number of
	// accelerators, each for one task.
	Cores  int `cbor:"c,omitempty"`
	Memory int `cbor:"m,omitempty"`
	Accels int `cbor:"g,omitempty"`
	// Estimate is the roughly estimated run time of a task in milliseconds.
	Estimate clock.Millis `cbor:"e,omitempty"`
	// After lists the indices of earlier steps that must be done before this one starts.
	After []int `cbor:"a,omitempty"`
	// Checkpointing tasks save their progress and can resume from it.
	Checkpointing bool `cbor:"k,omitempty"`
	// Gang tasks can only work while all tasks of the step are running at the same time.
	Gang bool `cbor:"w,omitempty"`
	// SameRack tasks run slower when they are spread over several racks.
	SameRack bool `cbor:"r,omitempty"`
	// Label is a label that the worker must have; "" means any worker.
	Label string `cbor:"l,omitempty"`
	// DataRack is the rack that holds the tasks' data; "" means none. The tasks run slower in
	// other racks.
	DataRack string `cbor:"d,omitempty"`
	// PerWorker is the largest number of tasks of the step on one worker; 0 means no limit.
	PerWorker int `cbor:"p,omitempty"`
	// Speculative tasks may run on several workers at once; the first result counts.
	Speculative bool `cbor:"s,omitempty"`
	// UntilCancelled tasks run until the job is cancelled.
	UntilCancelled bool `cbor:"t,omitempty"`
	// Filler tasks use only the cores of a worker that other tasks leave idle.
	Filler bool `cbor:"f,omitempty"`
	// DisruptionBudget is the largest number of long-running tasks that may be down at the same
	// time because of a decision of the scheduler.
	DisruptionBudget int `cbor:"b,omitempty"`
}

// Spec is the specification of a job that a caller submits.
type Spec struct {
	Payload string `cbor:"p"`
	Steps   []Step `cbor:"s"`
	// Occurrences is the number of times that the steps run; 0 means that they run once, as soon
	// as possible.
	Occurrences int `cbor:"n,omitempty"`
	// First is the Unix time of occurrence 0, and Interval the time between two occurrences. Both
	// are in milliseconds.
	First    clock.Millis `cbor:"f,omitempty"`
	Interval clock.Millis `cbor:"i,omitempty"`
}

// Error reports why a specification is invalid.
type Error struct{ Reason string }

// Error returns the message with the reason.
func (e *Error) Error() string { return "workflow: " + e.Reason }

func invalid(format string, args ...any) error { return &Error{fmt.Sprintf(format, args...)} }

// Check returns an *Error if the specification is invalid.
func (s *Spec) Check() error {
	switch {
	case len(s.Payload) > MaxPayload:
		return invalid("the payload has %d bytes, more than %d", len(s.Payload), MaxPayload)
	case len(s.Steps) == 0 || len(s.Steps) > MaxSteps:
		return invalid("%d steps; want 1 to %d", len(s.Steps), MaxSteps)
	case s.Occurrences < 0 || s.Occurrences > MaxOccurrences:
		return invalid("%d occurrences; want 0 to %d", s.Occurrences, MaxOccurrences)
	case s.First < 0 || s.Interval < 0:
		return invalid("a time is negative")
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
		return invalid("step %d has %d tasks; want 1 to %d", i, s.Count, MaxTasks)
	}
	for _, v := range []int{s.Cores, s.Memory, s.Accels, s.PerWorker, s.DisruptionBudget, int(s.Estimate)} {
		if v < 0 {
			return invalid("step %d has a negative number", i)
		}
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= i {
			return invalid("step %d comes after step %d, which is not an earlier one", i, earlier)
		}
	}
	return nil
}

// OccurrenceCount returns the number of times that the steps run.
func (s *Spec) OccurrenceCount() int { return max(s.Occurrences, 1) }

// Parts returns the number of the job's parts: of the steps of all occurrences.
func (s *Spec) Parts() int { return s.OccurrenceCount() * len(s.Steps) }

// EarliestStart returns the Unix time in milliseconds before which an occurrence must not start; 0
// means that it may start at any time.
func (s *Spec) EarliestStart(occurrence int) clock.Millis {
	if s.Occurrences == 0 {
		return 0
	}
	return s.First + clock.Millis(occurrence)*s.Interval
}

// Declared returns the run time in milliseconds that the caller declared for a task of a step.
func Declared(s *Step) clock.Millis { return s.Estimate }

// LongestChain returns the run time in milliseconds of the longest chain of dependent steps.
// estimate returns the run time of a task of a step, such as Declared.
func (s *Spec) LongestChain(estimate func(*Step) clock.Millis) clock.Millis {
	return slices.Max(append(s.LongestChains(estimate), 0))
}

// LongestChains returns, for each step, the run time in milliseconds of the longest chain of
// dependent steps that begins with it. estimate returns the run time of a task of a step.
func (s *Spec) LongestChains(estimate func(*Step) clock.Millis) []clock.Millis {
	longestChains := make([]clock.Millis, len(s.Steps))
	for i := len(s.Steps) - 1; i >= 0; i-- {
		// All steps that depend on step i have a higher index, so longestChains[i] already holds
		// the longest of their chains.
		longestChains[i] += estimate(&s.Steps[i])
		for _, before := range s.Steps[i].After {
			longestChains[before] = max(longestChains[before], longestChains[i])
		}
	}
	return longestChains
}

// WidestStep returns the number of accelerators that the step with the most of them needs.
func (s *Spec) WidestStep() int {
	widest := 0
	for i := range s.Steps {
		widest = max(widest, s.Steps[i].Count*s.Steps[i].Accels)
	}
	return widest
}

// UntilCancelled reports whether the job has tasks that run until it is cancelled.
func (s *Spec) UntilCancelled() bool {
	for i := range s.Steps {
		if s.Steps[i].UntilCancelled {
			return true
		}
	}
	return false
}

// Record is the stored record of an accepted job. It never changes.
type Record struct {
	ID      string `cbor:"-"`
	Queue   string `cbor:"q"`
	Account string `cbor:"a"`
	// Policy is that of the queue when the job was accepted. A later version of the configuration applies to
	// accepted jobs as well.
	Policy
	// AcceptedAt is the Unix time in milliseconds at which the job was accepted.
	AcceptedAt clock.Millis `cbor:"w"`
	// Token distinguishes this record from the record of another submission with the same ID.
	Token string `cbor:"k"`
	Spec  Spec   `cbor:"j"`
}
