// Package estimate predicts run times from the times that callers declare and the times that
// were observed before.
//
// Callers of one class declare with a typical error, and the run times of one class have a
// typical spread. Both are learned. A prediction is the mean of the declared time, corrected for
// its usual bias, and the usual run time of the class, each weighted by the inverse of its
// variance. All of this is done with logarithms of times, since errors of declared times are
// factors. The prediction follows the declared time where callers know their run times, and the
// usual run time where they don't.
//
// It is designed for queues in which a job that is declared ten times too short would be given
// up long before its real deadline, and one that is declared too long would be served too late.
//
// # Usage
//
//	e := estimate.New[string]()
//	e.Observe("nightly", declared, observed)
//	predicted := e.Predict("nightly", declared)
package estimate

import (
	"math"

	"github.com/chestnutsail/chestnutsail/clock"
)

const (
	// priorWeight is the number of observations that the prior variances count as.
	priorWeight = 3
	// priorErrorVariance and priorSpreadVariance are the variances of the logarithms that are
	// assumed before anything is observed: declared times are off by about 20 %, run times of
	// one class by a factor of about 2.7. Without observations the declared time counts.
	priorErrorVariance  = 0.04
	priorSpreadVariance = 1.0
	// minVariance keeps the weights finite when all observations are equal.
	minVariance = 0.001
	// maxDeviations is the number of standard deviations from the mean that the error of a declared time counts as at
	// most. A declared time is the caller's choice, and a single one must not decide about those of all others.
	maxDeviations = 4
	// memory is the number of observations after which the oldest ones count for less.
	memory = 64
	// maxClasses bounds the number of classes that are remembered.
	maxClasses = 4096
)

// Estimator predicts the run times of classes that are identified by a key. It is not safe for
// concurrent use.
type Estimator[K comparable] struct{ classes map[K]*class }

// New returns an Estimator without observations.
func New[K comparable]() *Estimator[K] { return &Estimator[K]{classes: make(map[K]*class)} }

// Observe records that something declared to run for the time declared ran for the time observed,
// both in milliseconds. It ignores times that are not positive.
func (e *Estimator[K]) Observe(key K, declared, observed clock.Millis) {
	if declared <= 0 || observed <= 0 {
		return
	}
	c := e.classes[key]
	if c == nil {
		if len(e.classes) == maxClasses {
			return
		}
		c = &class{}
		e.classes[key] = c
	}
	c.runTime.add(math.Log(float64(observed)))
	c.bias.add(c.bias.within(math.Log(float64(observed)/float64(declared)), maxDeviations*math.Sqrt(c.bias.variance(priorErrorVariance))))
}

// Predict returns the expected run time in milliseconds of something that is declared to run for
// the time declared. It returns the declared time if that is not positive or nothing was observed
// under the key. No prediction exceeds clock.Longest.
func (e *Estimator[K]) Predict(key K, declared clock.Millis) clock.Millis {
	c := e.classes[key]
	if c == nil || declared <= 0 {
		return min(declared, clock.Longest)
	}
	declaredWeight := 1 / c.bias.variance(priorErrorVariance)
	usualWeight := 1 / c.runTime.variance(priorSpreadVariance)
	corrected := math.Log(float64(declared)) + c.bias.shrunkMean()
	mean := (declaredWeight*corrected + usualWeight*c.runTime.mean) / (declaredWeight + usualWeight)
	return clock.FromFloat(math.Round(math.Exp(mean)))
}

// class holds the statistics of one class: of the logarithms of its run times, and of the
// logarithms of their ratios to the declared times.
type class struct{ runTime, bias moments }

// moments are the mean of a series and the sum of the squared deviations from it.
type moments struct {
	weight, mean, squares float64
}

// add adds a value. Once the series has as many values as the memory, older ones fade.
func (m *moments) add(value float64) {
	if m.weight >= memory {
		keep := float64(memory-1) / memory
		m.weight *= keep
		m.squares *= keep
	}
	m.weight++
	delta := value - m.mean
	m.mean += delta / m.weight
	m.squares += delta * (value - m.mean)
}

// within returns the value that is the nearest to value among those that differ from the mean by limit at most.
func (m *moments) within(value, limit float64) float64 {
	return min(max(value, m.mean-limit), m.mean+limit)
}

// variance returns the variance of the series, with a prior that fades as values are added.
func (m *moments) variance(prior float64) float64 {
	return max(minVariance, (priorWeight*prior+m.squares)/(priorWeight+m.weight))
}

// shrunkMean returns the mean, drawn towards 0 while there are few values.
func (m *moments) shrunkMean() float64 { return m.mean * m.weight / (m.weight + priorWeight) }
