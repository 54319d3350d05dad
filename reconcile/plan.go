package reconcile

import "slices"

// State is where one replica stands.
type State int

// The states of a replica. A replica whose state could not be read is Unread.
const (
	Unread State = iota
	Absent
	Waiting
	Running
	Ended
)

// Replica is one replica as it was last placed.
type Replica struct {
	// Hash names the specification, Generation counts the jobs under it; Generation
	// is 0 before the first.
	Hash       string
	Generation int
	State      State
	// Own tells that the failure domain of this entry keeps the replica.
	Own bool
}

func (r Replica) live() bool { return r.State == Waiting || r.State == Running }

// Service is a service with its replicas by index. Replicas from Wanted on are surplus.
type Service struct {
	Name string
	// After names the services that have to be ready first.
	After    []string
	Wanted   int
	Hash     string
	Replicas []Replica
}

// Op is what has to be done with a replica.
type Op int

// The operations.
const (
	// Start submits the replica's job of a generation. Doing it twice is doing it once.
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

// Plan returns the steps that bring the replicas of this failure domain nearer to what
// the text wants. It is pure: the same services give the same steps. Services start
// after those that they depend on are ready, stop before them, and roll to another
// specification one replica at a time.
func Plan(services []Service) []Step {
	services = clone(services)
	byName := make(map[string]Service, len(services))
	for _, s := range services {
		byName[s.Name] = s
	}
	var steps []Step
	for _, s := range services {
		steps = append(steps, s.stops(byName)...)
	}
	// What is about to stop is not ready for those that are about to start.
	for _, step := range steps {
		byName[step.Service].Replicas[step.Index].State = Unread
	}
	for _, s := range services {
		steps = append(steps, s.starts(byName)...)
	}
	return steps
}

func clone(services []Service) []Service {
	out := slices.Clone(services)
	for i := range out {
		out[i].Replicas = slices.Clone(out[i].Replicas)
	}
	return out
}

// stops returns the stops of surplus replicas, and of at most one that has another
// specification than the wanted one.
func (s Service) stops(byName map[string]Service) []Step {
	var steps []Step
	for i, r := range s.Replicas {
		if !r.Own || !r.live() {
			continue
		}
		surplus := i >= s.Wanted
		if surplus && !needed(s, byName) || !surplus && r.Hash != s.Hash && s.othersReady(i) {
			steps = append(steps, Step{Stop, s.Name, i, r.Hash, r.Generation})
		}
		if !surplus && len(steps) > 0 {
			break
		}
	}
	return steps
}

// starts returns the starts of wanted replicas that do not live.
func (s Service) starts(byName map[string]Service) []Step {
	if !startable(s, byName) {
		return nil
	}
	var steps []Step
	for i, r := range s.Replicas[:min(len(s.Replicas), s.Wanted)] {
		if r.Own && (r.State == Absent || r.State == Ended) {
			steps = append(steps, Step{Start, s.Name, i, s.Hash, r.next(s.Hash)})
		}
	}
	return steps
}

// next returns the generation to start: the same one again while its job was never
// seen, so that an interrupted step is taken up.
func (r Replica) next(hash string) int {
	if r.State == Absent && r.Generation > 0 && r.Hash == hash {
		return r.Generation
	}
	return r.Generation + 1
}

// ready reports whether all wanted replicas run.
func (s Service) ready() bool {
	return len(s.Replicas) >= s.Wanted && s.othersReady(-1)
}

// othersReady reports whether all wanted replicas but one run.
func (s Service) othersReady(except int) bool {
	for i, r := range s.Replicas[:min(len(s.Replicas), s.Wanted)] {
		if i != except && r.State != Running {
			return false
		}
	}
	return true
}

func startable(s Service, byName map[string]Service) bool {
	for _, name := range s.After {
		if other, ok := byName[name]; ok && !other.ready() {
			return false
		}
	}
	return true
}

// needed reports whether a service that depends on s and is to stop as well still has
// a replica.
func needed(s Service, byName map[string]Service) bool {
	for _, other := range byName {
		if other.Wanted > 0 || !slices.Contains(other.After, s.Name) {
			continue
		}
		for _, r := range other.Replicas {
			if r.live() || r.State == Unread {
				return true
			}
		}
	}
	return false
}
