// Package queue orders the waiting jobs of one client account.
//
// A job's rank is its arrival, put back by the time it is expected to run and by
// the service that it has attained already. Ranks do not change with time, so a
// long job is overtaken only by work that arrives within its expected run time
// after it: waiting counts as much for a job as expected run time against it.
// Urgent jobs go before all others, and quick ones that are expected to be over
// soon before the rest.
//
// # Usage
//
//	q := queue.New[*work]()
//	q.Add(item, queue.Rank{Tier: queue.Urgent, At: queue.At(class, arrived, expected, attained), Seq: n})
//	for _, item := range q.Items() { ... }
package queue

import (
	"cmp"
	"slices"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
)

// Tier orders items before all else.
type Tier int

// The tiers.
const (
	Urgent Tier = iota
	Quick
	Normal
)

// maxQuickRunTime is the longest run time to expect of a job in the tier Quick.
const maxQuickRunTime = 2 * clock.Minute

// TierOf returns the tier of a job of the class with the expected run time.
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

// Rank orders the items of a queue: by tier, then by At, then by Seq.
type Rank struct {
	Tier Tier         `json:"tier"`
	Time clock.Millis `json:"at"`
	// Seq is the order of arrival; no two items of a queue have the same.
	Seq int64 `json:"seq"`
}

// Compare returns a negative number when r goes before o.
func (r Rank) Compare(o Rank) int {
	return cmp.Or(cmp.Compare(r.Tier, o.Tier), cmp.Compare(r.Time, o.Time), cmp.Compare(r.Seq, o.Seq))
}

// Head starts of the classes against each other.
const (
	batchDelay = 10 * clock.Minute
	sweepDelay = 60 * clock.Minute
)

// RankTime returns the time by which a job of the class that arrived at the given time
// is ranked.
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

// Add puts the item into its place.
func (q *Queue[T]) Add(item T, rank Rank) {
	at, _ := q.find(rank)
	q.entries = slices.Insert(q.entries, at, entry[T]{rank, item})
}

// Remove takes out the item with the given rank and reports whether it was there.
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
