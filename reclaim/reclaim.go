// Package reclaim chooses the gangs to stop so that others get the workers that are
// guaranteed to them. A gang is always stopped as a whole. The choice keeps the lost
// work small, but not necessarily minimal.
//
// # Usage
//
//	ids, ok := reclaim.Choose(borrowers, needs)
package reclaim

import (
	"cmp"
	"slices"
	"strings"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
)

// Part is the amount of resources on one worker that a gang occupies or that is needed.
type Part struct {
	Worker    string
	Resources job.Resources
}

// Gang is a running job that may be stopped.
type Gang struct {
	ID string
	// LostWork is the work that is lost if the gang is stopped, in accelerator
	// milliseconds.
	LostWork clock.Millis
	Parts    []Part
}

// Choose returns the IDs of the gangs to stop so that all needs are met, sorted, and
// whether the gangs suffice. It repeatedly adds the gang that loses the least work for
// the resources that it frees, until nothing is missing. Then it drops the gangs that
// turn out not to be needed, starting with those that lose the most work.
func Choose(gangs []Gang, needs []Part) ([]string, bool) {
	missing := make(map[string]job.Resources, len(needs))
	for _, n := range needs {
		missing[n.Worker] = missing[n.Worker].Add(n.Resources)
	}
	remaining := slices.Clone(gangs)
	var chosen []Gang
	for anyMissing(missing) {
		best := -1
		var bestFreed int64
		for i, g := range remaining {
			freed := freedShares(g, missing)
			if freed == 0 {
				continue
			}
			if best < 0 || losesLess(g, freed, remaining[best], bestFreed) {
				best, bestFreed = i, freed
			}
		}
		if best < 0 {
			return nil, false
		}
		adjustMissing(missing, remaining[best], -1)
		chosen = append(chosen, remaining[best])
		remaining = slices.Delete(remaining, best, best+1)
	}
	chosen = prune(chosen, missing)
	ids := make([]string, 0, len(chosen))
	for _, g := range chosen {
		ids = append(ids, g.ID)
	}
	slices.Sort(ids)
	return ids, true
}

// prune removes each chosen gang that is not needed to meet the needs, starting with
// those that lose the most work.
func prune(chosen []Gang, missing map[string]job.Resources) []Gang {
	slices.SortFunc(chosen, func(a, b Gang) int {
		return cmp.Or(cmp.Compare(b.LostWork, a.LostWork), strings.Compare(a.ID, b.ID))
	})
	return slices.DeleteFunc(chosen, func(g Gang) bool {
		adjustMissing(missing, g, 1)
		if !anyMissing(missing) {
			return true
		}
		adjustMissing(missing, g, -1)
		return false
	})
}

// losesLess reports whether a loses less work than b for each unit that it frees; ties
// are broken by ID.
func losesLess(a Gang, freedA int64, b Gang, freedB int64) bool {
	x, y := (int64(a.LostWork)+1)*freedB, (int64(b.LostWork)+1)*freedA
	if x != y {
		return x < y
	}
	return a.ID < b.ID
}

// freedShares returns how much of the missing resources the gang would free: the sum,
// over its workers and the kinds of resource, of the share of the missing amount in
// thousandths.
func freedShares(g Gang, missing map[string]job.Resources) int64 {
	const fullShare = 1000
	var sum int64
	for _, p := range g.Parts {
		lacking, ok := missing[p.Worker]
		if !ok {
			continue
		}
		addShare := func(has, lacks int) {
			if lacks > 0 {
				sum += int64(min(has, lacks)) * fullShare / int64(lacks)
			}
		}
		addShare(p.Resources.Cores, lacking.Cores)
		addShare(p.Resources.Memory, lacking.Memory)
		addShare(p.Resources.Accelerators, lacking.Accelerators)
		addShare(p.Resources.Slots, lacking.Slots)
	}
	return sum
}

func adjustMissing(missing map[string]job.Resources, gang Gang, sign int) {
	for _, p := range gang.Parts {
		lacking, ok := missing[p.Worker]
		if !ok {
			continue
		}
		if sign > 0 {
			missing[p.Worker] = lacking.Add(p.Resources)
		} else {
			missing[p.Worker] = lacking.Sub(p.Resources)
		}
	}
}

func anyMissing(missing map[string]job.Resources) bool {
	for _, m := range missing {
		if m.Cores > 0 || m.Memory > 0 || m.Accelerators > 0 || m.Slots > 0 {
			return true
		}
	}
	return false
}
