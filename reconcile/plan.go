package reconcile

import "slices"

// State is the state of one replica.
type State int

// The states of a replica. Undetermined means that the state could not be read, that the
// replica is about to stop, or that its next start is delayed by a backoff. No operation is
// planned for such a replica, and it does not count as running. Absent means that the
// replica's job was never submitted. Waiting means that the job was submitted but does not
// run yet.
const (
	Undetermined State = iota
	Absent
	Waiting
	Running
	Ended
)

// Replica is one replica of a service with the job that was last recorded for it.
type Replica struct {
	// Hash identifies the specification of the replica's last job. Generation counts the
	// jobs of the replica; it is 0 before the first one.
	Hash       string
	Generation int
	State      State
	// OwnedHere reports whether the failure domain of this entry is the one that starts and
	// stops the replica.
	OwnedHere bool
}

func (r Replica) isLive() bool { return r.State == Waiting || r.State == Running }

// Service is a service with its replicas by index. Replicas whose index is Wanted or higher
// are surplus and have to stop.
type Service struct {
	Name string
	// After names the services that this service depends on. They have to be ready before a
	// replica of this service starts.
	After    []string
	Wanted   int
	Hash     string
	Replicas []Replica
}

// Op is the operation to carry out on a replica.
type Op int

// The operations.
const (
	// Start submits the replica's job of the given generation. It is idempotent.
	Start Op = iota + 1
	// Stop cancels the replica's job.
	Stop
)

// Step is one operation on one replica.
type Step struct {
	Op         Op
	Service    string
	Index      int
	Hash       string
	Generation int
}

// Plan returns the next steps that bring the replicas of this failure domain closer to the
// state that the cluster text specifies. It has no side effects, and the same services give
// the same steps. A service starts after the services it depends on are ready and stops
// before them. When its specification changes, its replicas are replaced one at a time.
func Plan(services []Service) []Step {
	services = cloneServices(services)
	servicesByName := make(map[string]Service, len(services))
	for _, s := range services {
		servicesByName[s.Name] = s
	}
	var steps []Step
	for _, s := range services {
		steps = append(steps, s.stopSteps(servicesByName)...)
	}
	// A replica that is about to stop does not count as running for the services that depend
	// on it and are about to start.
	for _, step := range steps {
		servicesByName[step.Service].Replicas[step.Index].State = Undetermined
	}
	for _, s := range services {
		steps = append(steps, s.startSteps(servicesByName)...)
	}
	return steps
}

func cloneServices(services []Service) []Service {
	out := slices.Clone(services)
	for i := range out {
		out[i].Replicas = slices.Clone(out[i].Replicas)
	}
	return out
}

// stopSteps returns the Stop steps for surplus replicas, or for one wanted replica that runs
// an outdated specification while all other wanted replicas run. Surplus replicas stop only
// once the services that depend on s and also have to stop have no replica that is live or
// undetermined. When a wanted replica stops, the surplus replicas are left to a later pass.
func (s Service) stopSteps(servicesByName map[string]Service) []Step {
	var steps []Step
	for i, r := range s.Replicas {
		if !r.OwnedHere || !r.isLive() {
			continue
		}
		surplus := i >= s.Wanted
		if surplus && !hasLiveDependents(s, servicesByName) || !surplus && r.Hash != s.Hash && s.othersRunning(i) {
			steps = append(steps, Step{Stop, s.Name, i, r.Hash, r.Generation})
		}
		if !surplus && len(steps) > 0 {
			break
		}
	}
	return steps
}

// startSteps returns the Start steps for wanted replicas that are absent or have ended.
func (s Service) startSteps(servicesByName map[string]Service) []Step {
	if !dependenciesReady(s, servicesByName) {
		return nil
	}
	var steps []Step
	for i, r := range s.Replicas[:min(len(s.Replicas), s.Wanted)] {
		if r.OwnedHere && (r.State == Absent || r.State == Ended) {
			steps = append(steps, Step{Start, s.Name, i, s.Hash, r.nextGeneration(s.Hash)})
		}
	}
	return steps
}

// nextGeneration returns the generation to start. It is the recorded generation if its job
// was never submitted, which happens when a start was interrupted after the record was
// written, and otherwise the next one.
func (r Replica) nextGeneration(hash string) int {
	if r.State == Absent && r.Generation > 0 && r.Hash == hash {
		return r.Generation
	}
	return r.Generation + 1
}

// ready reports whether all wanted replicas are running.
func (s Service) ready() bool {
	return len(s.Replicas) >= s.Wanted && s.othersRunning(-1)
}

// othersRunning reports whether all wanted replicas except the one with the index excluded
// are running. An index of -1 excludes none.
func (s Service) othersRunning(excluded int) bool {
	for i, r := range s.Replicas[:min(len(s.Replicas), s.Wanted)] {
		if i != excluded && r.State != Running {
			return false
		}
	}
	return true
}

func dependenciesReady(s Service, servicesByName map[string]Service) bool {
	for _, name := range s.After {
		if other, ok := servicesByName[name]; ok && !other.ready() {
			return false
		}
	}
	return true
}

// hasLiveDependents reports whether a service that depends on s and that also has to stop
// still has a live replica, or one whose state is undetermined.
func hasLiveDependents(s Service, servicesByName map[string]Service) bool {
	for _, other := range servicesByName {
		if other.Wanted > 0 || !slices.Contains(other.After, s.Name) {
			continue
		}
		for _, r := range other.Replicas {
			if r.isLive() || r.State == Undetermined {
				return true
			}
		}
	}
	return false
}
