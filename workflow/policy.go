package workflow

import (
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/site"
)

// Policy is what the configuration says of the jobs of a queue.
type Policy struct {
	// Version is the version of the configuration; 0 if it is not known.
	Version int64 `cbor:"v,omitempty"`
	// Service is the name of the service whose workers run the tasks.
	Service string `cbor:"s"`
	// Priority orders jobs; 0 is the most urgent.
	Priority int `cbor:"p,omitempty"`
	// Attempts is the number of failed runs of one task after which its job fails.
	Attempts int `cbor:"t,omitempty"`
	// ObjectiveFactor and Target, which is in milliseconds, give the latency objective.
	ObjectiveFactor float64      `cbor:"x,omitempty"`
	Target          clock.Millis `cbor:"o,omitempty"`
}

// PolicyOf returns the policy of a queue in a version of the configuration.
func PolicyOf(q site.Queue, version int64) Policy {
	return Policy{
		Version: version, Service: q.Service, Priority: q.Priority, Attempts: max(q.Attempts, 1),
		ObjectiveFactor: q.ObjectiveFactor, Target: q.Target,
	}
}

// Equal reports whether two policies say the same, whatever version they are from.
func (p Policy) Equal(other Policy) bool {
	p.Version = other.Version
	return p == other
}

// Objective returns the latency objective of a job: the time in milliseconds within which it should be done.
// estimate returns the run time of a task of a step, such as Declared. It is at most clock.Longest.
func (p Policy) Objective(s *Spec, estimate func(*Step) clock.Millis) clock.Millis {
	return clock.FromFloat(p.ObjectiveFactor*float64(s.LongestChain(estimate)) + float64(p.Target))
}
