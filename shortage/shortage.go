// Package shortage decides which waiting work is deferred while there is too little room for all of
// it. It has no side effects, and the same input always gives the same result.
//
// In order of deadlines, work is served just before it would be late. That is the best order while
// all work can be in time. Under overload it makes each piece late in its turn, and small errors of
// estimates make even the work late that was started in time. Turns therefore predicts which work can
// be in time, by Moore and Hodgson's rule: work is taken in order of its deadlines, and whenever
// the work taken needs more room than becomes free by its deadline, the piece that needs the most
// room for the longest time is deferred. That makes the number of pieces that are in time the largest
// that the room allows. Two bounds keep large work and single accounts from paying for all
// others.
//
// # Usage
//
//	turns := shortage.Turns(shortage.Input{Waiting: waiting, Running: running})
//	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(turns[a], turns[b]) })
package shortage

import (
	"cmp"
	"slices"

	"github.com/chestnutsail/chestnutsail/clock"
)

// Turn is when work is served among the work of its class that can be in time.
type Turn int

const (
	// InTurn work is served in order of deadlines.
	InTurn Turn = iota
	// First work is served before it: the recent work of its size or its account was in time less than half
	// as often as all.
	First Turn = iota - 2
	// Deferred work is served after it.
	Deferred Turn = iota - 1
)

// Work is waiting work that starts as a whole.
type Work struct {
	// Class orders work strictly: all work of a lower class is served first.
	Class   int
	Account string
	// Room is the share of all room that the work needs, from 0 to 1, for Duration milliseconds.
	Room     float64
	Duration clock.Millis
	// Slack is the time in milliseconds from now within which the work must start to be in time. If it
	// is negative, the work is late and is not deferred; it only takes room from later classes.
	Slack clock.Millis
	// KeepOut work may not use the room that is kept for other work. Of a class, all work or none is
	// kept out.
	KeepOut bool
	// Fixed work is always served in order of deadlines.
	Fixed bool
}

// Commitment is room that running work holds, as a share of all room, for the next Left milliseconds.
type Commitment struct {
	Room float64
	Left clock.Millis
}

// Input is everything that the decision depends on.
type Input struct {
	Waiting []Work
	Running []Commitment
	// Past is work of the recent past that was started in time or became late. It counts for the bounds for sizes
	// and accounts.
	Past []Work
	// Kept is the share of all room that is kept for work that arrives later.
	Kept float64
}

// need returns the room that the work needs times its duration.
func (w *Work) need() float64 { return w.Room * float64(max(w.Duration, 0)) }

func (w *Work) late() bool { return w.Slack < 0 }

// deadline returns the time from now by which the work ends if it starts as late as it may.
func (w *Work) deadline() clock.Millis { return w.Slack + w.Duration }

// Turns returns the turn of each piece of waiting work. It returns nil if all work fits into the room that is
// free now.
func Turns(in Input) []Turn {
	if in.fits() {
		return nil
	}
	f := forecast{free: 1}
	for _, c := range in.Running {
		f.free -= c.Room
		f.release(c.Room, 0, max(c.Left, binWidth))
	}
	turns := make([]Turn, len(in.Waiting))
	keptOut := false
	for _, members := range in.classes() {
		if in.Waiting[members[0]].KeepOut && !keptOut {
			keptOut = true
			f.free -= in.Kept
		}
		inTime, late := in.split(members)
		fair := newFairness(in.pastOf(in.Waiting[members[0]].Class))
		// One at a time is enough to bring a size or an account back, and holds up the others the least.
		if i := slices.IndexFunc(inTime, func(i int) bool { return !in.Waiting[i].Fixed && fair.isBehind(&in.Waiting[i]) }); i >= 0 {
			turns[inTime[i]] = First
		}
		selectFrom(&f, in.Waiting, inTime, turns)
		for _, i := range late {
			f.start(&in.Waiting[i])
		}
	}
	return turns
}

// pastOf returns the past work of a class.
func (in *Input) pastOf(class int) []Work {
	var list []Work
	for i := range in.Past {
		if in.Past[i].Class == class {
			list = append(list, in.Past[i])
		}
	}
	return list
}

// split returns the work of a class that can be in time and the work that can't.
func (in *Input) split(members []int) (inTime, late []int) {
	for _, i := range members {
		if in.Waiting[i].late() {
			late = append(late, i)
		} else {
			inTime = append(inTime, i)
		}
	}
	return inTime, late
}

// fits reports whether all waiting work fits into what is free now.
func (in *Input) fits() bool {
	free := 1 - in.Kept
	for i := range in.Running {
		free -= in.Running[i].Room
	}
	for i := range in.Waiting {
		free -= in.Waiting[i].Room
	}
	return free >= 0
}

// classes returns the indices of the waiting work by class, lowest class first, and by deadline
// within a class.
func (in *Input) classes() [][]int {
	order := make([]int, len(in.Waiting))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := &in.Waiting[a], &in.Waiting[b]
		return cmp.Or(cmp.Compare(x.Class, y.Class), cmp.Compare(x.deadline(), y.deadline()))
	})
	var list [][]int
	for k, i := range order {
		if k == 0 || in.Waiting[order[k-1]].Class != in.Waiting[i].Class {
			list = append(list, nil)
		}
		list[len(list)-1] = append(list[len(list)-1], i)
	}
	return list
}
