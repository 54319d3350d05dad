package shortage

import "slices"

const (
	// fairShare is the share of the usual rate of work in time below which a size or an account is served
	// first. Sizes and accounts are to be served half as often as all at least, and work that is late is
	// served as well.
	fairShare = 0.4
	// largestShare and nextShare are the shares of the largest work, and of that below it, which are
	// size groups of their own.
	largestShare = 0.1
	nextShare    = 0.2
	sizes        = 3
)

// fairness tells which work of a class belongs to a size or an account of which little past work was in time.
type fairness struct {
	limits    [sizes]float64
	all       tally
	bySize    [sizes]tally
	byAccount map[string]*tally
}

// tally counts work, and how much of it was in time.
type tally struct{ count, inTime int }

func (t *tally) add(w *Work) {
	t.count++
	if !w.late() {
		t.inTime++
	}
}

// rate returns the share of the work that was in time; 1 if there was none.
func (t *tally) rate() float64 {
	if t.count == 0 {
		return 1
	}
	return float64(t.inTime) / float64(t.count)
}

// newFairness returns the fairness for past work of one class.
func newFairness(past []Work) *fairness {
	f := &fairness{limits: sizeLimits(past), byAccount: make(map[string]*tally)}
	for i := range past {
		w := &past[i]
		if f.byAccount[w.Account] == nil {
			f.byAccount[w.Account] = &tally{}
		}
		f.all.add(w)
		f.bySize[f.sizeOf(w)].add(w)
		f.byAccount[w.Account].add(w)
	}
	return f
}

// sizeLimits returns the smallest need of each size group.
func sizeLimits(past []Work) (limits [sizes]float64) {
	needs := make([]float64, 0, len(past))
	for i := range past {
		needs = append(needs, past[i].need())
	}
	slices.Sort(needs)
	if n := float64(len(needs)); n > 0 {
		limits[0], limits[1] = needs[int((1-largestShare)*n)], needs[int((1-largestShare-nextShare)*n)]
	}
	return limits
}

// sizeOf returns the size group of work. The last one has no smallest need.
func (f *fairness) sizeOf(w *Work) int {
	size := 0
	for size < sizes-1 && w.need() < f.limits[size] {
		size++
	}
	return size
}

// isBehind reports whether work belongs to a size or an account that is to be served first.
func (f *fairness) isBehind(w *Work) bool {
	least := fairShare * f.all.rate()
	if f.bySize[f.sizeOf(w)].rate() < least {
		return true
	}
	account := f.byAccount[w.Account]
	return account != nil && account.rate() < least
}
