package shortage

import (
	"cmp"
	"slices"
)

// sizes is the number of size groups of a class: the largest tenth, the fifth below it, and the rest.
const sizes = 3

// selection selects the work of a class that can be in time.
type selection struct {
	waiting []Work
	// dropped marks work by index in waiting. taken lists the work that is not dropped, in the order in
	// which it is served; bySize lists the part of it that may be dropped, by falling need.
	dropped []bool
	taken   []int
	bySize  []int
	// start is the forecast before the work of the class is served.
	start forecast
	// The tallies count the work of the class that can still be in time: all of it, by size group and
	// by account. groupOf is the size group by index in waiting.
	all       tally
	sizes     [sizes]tally
	byAccount map[string]*tally
	groupOf   []int
}

// tally counts work, and how much of it is dropped.
type tally struct{ count, dropped int }

// kept returns the share of the work that is not dropped.
func (t *tally) kept() float64 { return 1 - float64(t.dropped)/float64(t.count) }

// mayDrop reports whether one more piece may be dropped if the share least is to be kept. It rounds up: of very
// few pieces, any may be dropped.
func (t *tally) mayDrop(least float64) bool {
	return float64(t.dropped) < (1-least)*float64(t.count)
}

func newSelection(waiting []Work, members []int, start forecast) *selection {
	s := &selection{waiting: waiting, start: start, dropped: make([]bool, len(waiting)), byAccount: make(map[string]*tally), groupOf: make([]int, len(waiting))}
	var bySize []int
	for _, i := range members {
		w := &waiting[i]
		bySize = append(bySize, i)
		if s.byAccount[w.Account] == nil {
			s.byAccount[w.Account] = &tally{}
		}
		s.byAccount[w.Account].count++
	}
	s.all.count = len(bySize)
	slices.SortStableFunc(bySize, func(a, b int) int { return cmp.Compare(waiting[b].need(), waiting[a].need()) })
	for k, i := range bySize {
		switch {
		case 10*k < len(bySize):
			s.groupOf[i] = 0
		case 10*k < 3*len(bySize):
			s.groupOf[i] = 1
		default:
			s.groupOf[i] = 2
		}
		s.sizes[s.groupOf[i]].count++
	}
	return s
}

// take takes the next work in order of deadlines. While that or earlier work would start too late, it drops
// the largest work that may be dropped.
func (s *selection) take(f *forecast, i int) {
	s.taken = append(s.taken, i)
	w := &s.waiting[i]
	if !w.Fixed {
		at, _ := slices.BinarySearchFunc(s.bySize, w.need(), func(k int, need float64) int { return cmp.Compare(need, s.waiting[k].need()) })
		s.bySize = slices.Insert(s.bySize, at, i)
	}
	inTime := f.start(w) <= w.Slack
	for !inTime && s.drop() {
		*f = s.start
		inTime = true
		for _, k := range s.taken {
			inTime = f.start(&s.waiting[k]) <= s.waiting[k].Slack && inTime
		}
	}
}

// drop drops the largest work that may be dropped. It returns false if there is none.
func (s *selection) drop() bool {
	least := fairShare * s.all.kept()
	for at, i := range s.bySize {
		size, account := &s.sizes[s.groupOf[i]], s.byAccount[s.waiting[i].Account]
		if !size.mayDrop(least) || !account.mayDrop(least) {
			continue
		}
		s.dropped[i] = true
		s.all.dropped++
		size.dropped++
		account.dropped++
		s.bySize = slices.Delete(s.bySize, at, at+1)
		s.taken = slices.DeleteFunc(s.taken, func(k int) bool { return k == i })
		return true
	}
	return false
}
