package shortage

import (
	"cmp"
	"slices"
)

// selection selects the work of a class that can be in time.
type selection struct {
	waiting []Work
	// turns is by index in waiting. taken lists the work that is not deferred, in the order in
	// which it is served; bySize lists the part of it that may be deferred, by falling need.
	turns  []Turn
	taken  []int
	bySize []int
	// start is the forecast before the work of the class is served.
	start forecast
}

// selectFrom sets the turns of members, which are in order of deadlines, and serves them in the forecast f.
func selectFrom(f *forecast, waiting []Work, members []int, turns []Turn) {
	s := selection{waiting: waiting, turns: turns, start: *f}
	for _, first := range []bool{true, false} {
		for _, i := range members {
			if turns[i] != Deferred && (turns[i] == First) == first {
				s.take(f, i)
			}
		}
	}
}

// take takes the next work. While that or earlier work would start too late, it defers the work with the largest
// need.
func (s *selection) take(f *forecast, i int) {
	s.taken = append(s.taken, i)
	w := &s.waiting[i]
	if !w.Fixed && s.turns[i] != First {
		at, _ := slices.BinarySearchFunc(s.bySize, w.need(), func(k int, need float64) int { return cmp.Compare(need, s.waiting[k].need()) })
		s.bySize = slices.Insert(s.bySize, at, i)
	}
	inTime := f.start(w) <= w.Slack
	for !inTime && len(s.bySize) > 0 {
		largest := s.bySize[0]
		s.turns[largest] = Deferred
		s.bySize = s.bySize[1:]
		s.taken = slices.DeleteFunc(s.taken, func(k int) bool { return k == largest })
		*f = s.start
		inTime = true
		for _, k := range s.taken {
			inTime = f.start(&s.waiting[k]) <= s.waiting[k].Slack && inTime
		}
	}
}
