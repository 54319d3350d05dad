// Package speed learns the speeds of workers relative to each other from the run times of tasks.
//
// Workers of one service differ by tens of percents. A gang takes as long as its slowest worker
// does, and an urgent job has little time to spare, so it matters which of them it gets.
//
// # Usage
//
//	var m speed.Mean
//	m.Add(1250, 1000, speed.MemberWeight) // 1.25 s elsewhere, 1 s here
//	m.Value()                             // above 1
package speed

import "math"

const (
	// MemberWeight is the weight of a comparison of the members of a gang: they have equal work
	// and report their progress.
	MemberWeight = 4.0
	// TaskWeight is the weight of a comparison of the tasks of a step, which differ.
	TaskWeight = 1.0
	// prior is the weight of speed 1, with which a worker starts.
	prior = 1.0
	// maxRatio limits a sample. Usual workers differ by less; a larger ratio comes from a phase
	// in which the worker or the task stood still.
	maxRatio = 2.0
	// memory is the total weight above which older samples count for less.
	memory = 32.0
)

// Mean is the estimated speed of a worker. The zero value is an unknown speed, which counts as 1.
type Mean struct{ weight, logSum float64 }

// Add adds a sample: work that takes a worker of speed 1 the time reference took this worker the
// time took. It ignores times that are not positive.
func (m *Mean) Add(reference, took, weight float64) {
	if reference <= 0 || took <= 0 || weight <= 0 || weight > memory {
		return
	}
	if m.weight+weight > memory {
		keep := (memory - weight) / m.weight
		m.weight *= keep
		m.logSum *= keep
	}
	limit := math.Log(maxRatio)
	m.logSum += weight * min(max(math.Log(reference/took), -limit), limit)
	m.weight += weight
}

// Value returns the speed relative to the usual worker's, which is 1.
func (m *Mean) Value() float64 { return math.Exp(m.logSum / (m.weight + prior)) }
