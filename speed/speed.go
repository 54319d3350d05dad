// Package speed learns the speeds of workers relative to each other from the run times and the
// progress of tasks.
//
// Workers of one service differ, on some installations by tens of percents and on others by more
// than a factor of two. A gang takes as long as its slowest worker does, and an urgent job has
// little time to spare, so it matters which of them it gets. What is known of a worker is a
// distribution: Estimate gives its expected speed and the speed that it almost surely reaches.
//
// # Usage
//
//	var m speed.Mean
//	m.Add(speed.Compare(1250, 1000, speed.MemberWeight)) // 1.25 s elsewhere, 1 s here
//	fleet = speed.FleetOf(slices.Values(means), fleet)
//	m.Estimate(fleet).Expected // above 1
package speed

import (
	"iter"
	"math"
)

const (
	// MemberWeight is the weight of a comparison of the members of a gang: they have equal work
	// and report their progress.
	MemberWeight = 4.0
	// TaskWeight is the weight of a comparison of the tasks of a step, which differ.
	TaskWeight = 1.0
	// ordinarySpread is the standard deviation of the logarithms of the speeds in a fleet of which
	// nothing is known. The weight of a comparison is its precision relative to that of a fleet
	// with this spread.
	ordinarySpread = 0.2
	// maxRatio limits a sample. A larger ratio comes from a phase in which the worker or the task
	// stood still.
	maxRatio = 2.7
	// memory is the total weight above which older samples count for less.
	memory = 32.0
	// minKnownWeight is the weight from which a worker counts in the spread of its fleet, and
	// minKnownWorkers the number of such workers from which the spread is computed.
	minKnownWeight  = 3.0
	minKnownWorkers = 8
	// unevenSpread is the spread from which a slow worker, one deviation below the usual one, takes
	// a third longer than it.
	unevenSpread = 0.29
	// evenSpread is the spread below which an uneven fleet is even again.
	evenSpread = 0.24
	// sureDeviations is how many standard deviations the sure speed is below the expected one:
	// nine workers in ten reach it.
	sureDeviations = 1.28
)

// Sample is the result of one comparison. The zero value says nothing.
type Sample struct{ weight, log float64 }

// Compare returns the sample of work that takes a worker of speed 1 the time reference and took this
// worker the time took. It is the zero value if a time or the weight is not positive.
func Compare(reference, took, weight float64) Sample {
	if reference <= 0 || took <= 0 || weight <= 0 || weight > memory {
		return Sample{}
	}
	limit := math.Log(maxRatio)
	return Sample{weight: weight, log: min(max(math.Log(reference/took), -limit), limit)}
}

// Mean is what was measured of the speed of one worker. The zero value is a worker of unknown speed.
type Mean struct{ weight, logSum float64 }

// MeanOf returns the Mean of samples of the given total weight, whose mean logarithm is log. It limits both
// to what samples can be.
func MeanOf(weight, log float64) Mean {
	limit := math.Log(maxRatio)
	weight, log = min(max(weight, 0), memory), min(max(log, -limit), limit)
	return Mean{weight: weight, logSum: weight * log}
}

// Parts returns the total weight of the samples and the mean of their logarithms, as MeanOf takes them.
func (m *Mean) Parts() (weight, log float64) {
	if m.weight == 0 {
		return 0, 0
	}
	return m.weight, m.logSum / m.weight
}

// Add adds a sample. Once the weights add up to the memory, older samples fade.
func (m *Mean) Add(s Sample) {
	if m.weight > 0 && m.weight+s.weight > memory {
		keep := (memory - s.weight) / m.weight
		m.weight *= keep
		m.logSum *= keep
	}
	m.logSum += s.weight * s.log
	m.weight += s.weight
}

// Merge adds the samples of another Mean of the same worker.
func (m *Mean) Merge(o Mean) {
	weight, log := o.Parts()
	m.Add(Sample{weight: weight, log: log})
}

// Fade lowers the weight of all samples to a share from 0 to 1, after an event that may have changed
// the speed of the worker.
func (m *Mean) Fade(share float64) {
	m.weight *= share
	m.logSum *= share
}

// Estimate is what can be said of the speed of a worker, relative to the usual worker's, which is 1.
type Estimate struct {
	Expected float64
	// Sure is a speed that the worker reaches with a probability of nine in ten.
	Sure float64
}

// Unknown is the estimate of a worker of which nothing is known, in a fleet of which nothing is known.
func Unknown() Estimate { return (&Mean{}).Estimate(Fleet{}) }

// Estimate returns what can be said of the speed of a worker of a fleet.
func (m *Mean) Estimate(f Fleet) Estimate {
	spread := max(f.spread, ordinarySpread)
	prior := (ordinarySpread / spread) * (ordinarySpread / spread)
	expected := m.logSum / (m.weight + prior)
	deviation := ordinarySpread / math.Sqrt(m.weight+prior)
	return Estimate{Expected: math.Exp(expected), Sure: math.Exp(expected - sureDeviations*deviation)}
}

// Fleet is what is known of the speeds of the workers of one service together. The zero value is a
// fleet of which nothing is known.
type Fleet struct {
	spread float64
	uneven bool
}

// Spread returns the standard deviation of the logarithms of the speeds, or 0 if it is not known.
func (f Fleet) Spread() float64 { return f.spread }

// IsUneven reports whether the speeds differ so much that it matters to most work on which workers it runs.
func (f Fleet) IsUneven() bool { return f.uneven }

// FleetOf returns what the measured workers show of their fleet, of which before was known until now.
func FleetOf(workers iter.Seq[Mean], before Fleet) Fleet {
	known, sum, squares, noise := 0.0, 0.0, 0.0, 0.0
	for m := range workers {
		if m.weight < minKnownWeight {
			continue
		}
		log := m.logSum / m.weight
		sum += log
		squares += log * log
		// What the samples scatter is not a difference between workers.
		noise += ordinarySpread * ordinarySpread / m.weight
		known++
	}
	if known < minKnownWorkers {
		return Fleet{}
	}
	variance := (squares - sum*sum/known - noise) / known
	if variance <= 0 {
		return Fleet{}
	}
	limit := unevenSpread
	if before.uneven {
		limit = evenSpread
	}
	spread := math.Sqrt(variance)
	return Fleet{spread: spread, uneven: spread > limit}
}
