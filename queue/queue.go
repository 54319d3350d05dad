// Package queue orders the waiting jobs of one client account.
//
// The rank of a job is the time of its arrival, plus the time it is expected to run, the
// time it has already run in earlier attempts, and a fixed delay for the classes batch
// and sweep. Ranks do not change while a job waits. Within its class, a long job is
// therefore overtaken only by jobs that arrive within its expected run time after it:
// each millisecond of waiting counts as much for a job as each millisecond of expected
// run time counts against it. Urgent jobs go before all others, followed by quick jobs
// that are expected to finish soon.
//
// # Usage
//
//	q := queue.New[string]()
//	q.Add(id, queue.Rank{Tier: queue.Urgent, Time: queue.RankTime(class, arrived, expected, attained), Seq: n})
//	for i := range q.Len() { ... q.At(i) ... }
package queue

import (
	"cmp"
	"slices"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
)

// Tier is the first criterion of the order of a queue: items of a lower tier go first.
type Tier int

// The tiers, in the order in which they are served.
const (
	Urgent Tier = iota
	Quick
	Normal
)

// maxQuickRunTime is the longest expected run time of a job in the tier Quick.
const maxQuickRunTime = 2 * clock.Minute

// TierOf returns the tier of a job with the class and the expected run time in
// milliseconds.
func TierOf(class job.Class, expected clock.Millis) Tier {
	switch {
	case class == job.Urgent:
		return Urgent
	case class == job.Quick && expected <= maxQuickRunTime:
		return Quick
	default:
		return Normal
	}
}

// Rank is the position of an item in the order of a queue: by Tier, then by Time, then
// by Seq.
type Rank struct {
	Tier Tier         `json:"tier"`
	Time clock.Millis `json:"at"`
	// Seq is the order of arrival. No two items of a queue have the same Seq.
	Seq int64 `json:"seq"`
}

// Compare returns a negative number if r goes before o, and a positive number if it
// goes after o.
func (r Rank) Compare(o Rank) int {
	return cmp.Or(cmp.Compare(r.Tier, o.Tier), cmp.Compare(r.Time, o.Time), cmp.Compare(r.Seq, o.Seq))
}

// The delays by which jobs of the class batch and the class sweep are ranked later than
// other jobs that arrived at the same time.
const (
	batchDelay = 10 * clock.Minute
	sweepDelay = 60 * clock.Minute
)

// RankTime returns the value of Rank.Time for a job. arrived is a point in time in
// milliseconds; expected and attained are the expected run time and the run time of
// earlier attempts in milliseconds.
func RankTime(class job.Class, arrived, expected, attained clock.Millis) clock.Millis {
	at := arrived + expected + attained
	switch class {
	case job.Batch:
		at += batchDelay
	case job.Sweep:
		at += sweepDelay
	}
	return at
}

type entry[T comparable] struct {
	rank Rank
	item T
}

// Queue holds items in the order of their ranks. It is not safe for concurrent use.
type Queue[T comparable] struct{ entries []entry[T] }

// New returns an empty queue.
func New[T comparable]() *Queue[T] { return &Queue[T]{} }

// Add inserts the item at the position given by its rank.
func (q *Queue[T]) Add(item T, rank Rank) {
	at, _ := q.find(rank)
	q.entries = slices.Insert(q.entries, at, entry[T]{rank, item})
}

// Remove removes the item with the given rank and reports whether it was there.
func (q *Queue[T]) Remove(rank Rank) bool {
	at, found := q.find(rank)
	if found {
		q.entries = slices.Delete(q.entries, at, at+1)
	}
	return found
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return len(q.entries) }

// At returns the item at position i.
func (q *Queue[T]) At(i int) T { return q.entries[i].item }

// Rank returns the rank of the item at position i.
func (q *Queue[T]) Rank(i int) Rank { return q.entries[i].rank }

func (q *Queue[T]) find(rank Rank) (int, bool) {
	return slices.BinarySearchFunc(q.entries, rank, func(e entry[T], r Rank) int { return e.rank.Compare(r) })
}
