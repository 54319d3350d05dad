// Package reclaim picks the gangs that have to leave so that others get the
// workers they are guaranteed. Gangs leave whole, and the set that is selected loses
// little work.
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

// Part is what a gang occupies, or what is missing, on one worker.
type Part struct {
	Worker    string
	Resources job.Resources
}

// Gang is running work that can be stopped.
type Gang struct {
	ID string
	// Lost is the work that a stop loses, in accelerator milliseconds.
	Lost  clock.Millis
	Parts []Part
}

// Choose returns the gangs that free all needs, sorted by ID, and whether there is
// such a set. It takes the gang that loses the least work for what it frees until
// nothing is missing, and then gives back those that turn out not to be needed, the
// costliest first.
func Choose(gangs []Gang, needs []Part) ([]string, bool) {
	missing := make(map[string]job.Resources, len(needs))
	for _, n := range needs {
		missing[n.Worker] = missing[n.Worker].Add(n.Resources)
	}
	left := slices.Clone(gangs)
	var chosen []Gang
	for anyMissing(missing) {
		best := -1
		var bestFreed int64
		for i, g := range left {
			freed := frees(g, missing)
			if freed == 0 {
				continue
			}
			if best < 0 || less(g, freed, left[best], bestFreed) {
				best, bestFreed = i, freed
			}
		}
		if best < 0 {
			return nil, false
		}
		take(missing, left[best], -1)
		chosen = append(chosen, left[best])
		left = slices.Delete(left, best, best+1)
	}
	chosen = prune(chosen, missing)
	ids := make([]string, 0, len(chosen))
	for _, g := range chosen {
		ids = append(ids, g.ID)
	}
	slices.Sort(ids)
	return ids, true
}

// prune drops the gangs without which nothing is missing either.
func prune(chosen []Gang, missing map[string]job.Resources) []Gang {
	slices.SortFunc(chosen, func(a, b Gang) int {
		return cmp.Or(cmp.Compare(b.Lost, a.Lost), strings.Compare(a.ID, b.ID))
	})
	return slices.DeleteFunc(chosen, func(g Gang) bool {
		take(missing, g, 1)
		if !anyMissing(missing) {
			return true
		}
		take(missing, g, -1)
		return false
	})
}

// less reports whether a loses less work than b for each unit that it frees.
func less(a Gang, freedA int64, b Gang, freedB int64) bool {
	x, y := (int64(a.Lost)+1)*freedB, (int64(b.Lost)+1)*freedA
	if x != y {
		return x < y
	}
	return a.ID < b.ID
}

// frees returns how much of what is missing the gang would free, in shares of
// what is missing.
func frees(g Gang, missing map[string]job.Resources) int64 {
	const whole = 1000
	var sum int64
	for _, p := range g.Parts {
		m, ok := missing[p.Worker]
		if !ok {
			continue
		}
		share := func(has, lacks int) {
			if lacks > 0 {
				sum += int64(min(has, lacks)) * whole / int64(lacks)
			}
		}
		share(p.Resources.Cores, m.Cores)
		share(p.Resources.Memory, m.Memory)
		share(p.Resources.Accelerators, m.Accelerators)
		share(p.Resources.Slots, m.Slots)
	}
	return sum
}

func take(missing map[string]job.Resources, g Gang, sign int) {
	for _, p := range g.Parts {
		m, ok := missing[p.Worker]
		if !ok {
			continue
		}
		if sign > 0 {
			missing[p.Worker] = m.Add(p.Resources)
		} else {
			missing[p.Worker] = m.Sub(p.Resources)
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
