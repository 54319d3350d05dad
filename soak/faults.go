package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/chestnutsail/chestnutsail/platform/platformtest"
)

// fault is one kind of fault. The function inject starts it and returns a detail for the
// report and a function that ends the fault.
type fault struct {
	name   string
	inject func(r *run, random *rand.Rand) (detail string, end func())
}

// randomInstance returns an instance chosen by the seed.
func (r *run) randomInstance(random *rand.Rand) *process {
	return r.processes[random.IntN(len(r.processes))]
}

func (r *run) injectStoreFault(detail string, configure func(*platformtest.Faults)) (string, func()) {
	r.store.SetFaults(configure)
	return detail, func() {
		r.store.SetFaults(func(f *platformtest.Faults) { *f = platformtest.Faults{} })
		r.watchesMute.Store(false)
	}
}

func (r *run) restartFunc(p *process) func() {
	return func() {
		if err := p.start(); err != nil {
			r.violationf("an instance could not be started: %v", err)
		}
	}
}

var faultKinds = []fault{
	{"kill", func(r *run, random *rand.Rand) (string, func()) {
		p := r.randomInstance(random)
		p.signal(syscall.SIGKILL)
		return fmt.Sprint("e", p.index), r.restartFunc(p)
	}},
	{"pause", func(r *run, random *rand.Rand) (string, func()) {
		p := r.randomInstance(random)
		p.signal(syscall.SIGSTOP)
		return fmt.Sprint("e", p.index), func() {
			p.resume()
			r.resumedAt = append(r.resumedAt, time.Now())
		}
	}},
	{"leave", func(r *run, random *rand.Rand) (string, func()) {
		p := r.randomInstance(random)
		p.signal(syscall.SIGTERM)
		return fmt.Sprint("e", p.index), r.restartFunc(p)
	}},
	{"hangup", func(r *run, random *rand.Rand) (string, func()) {
		p := r.randomInstance(random)
		p.signal(syscall.SIGHUP)
		return fmt.Sprint("e", p.index), func() {}
	}},
	{"path", func(r *run, random *rand.Rand) (string, func()) {
		i, m := random.IntN(len(r.proxies)), mode(1+random.IntN(int(modeCount)-1))
		r.setMode(r.proxies[i], m)
		return fmt.Sprintf("%d mode %d", i, m), func() { r.setMode(r.proxies[i], modeForward) }
	}},
	{"store", func(r *run, random *rand.Rand) (string, func()) {
		switch random.IntN(6) {
		case 0:
			return r.injectStoreFault("down", func(f *platformtest.Faults) { f.Down = true })
		case 1:
			return r.injectStoreFault("slow", func(f *platformtest.Faults) { f.AnswerDelay = 200 * time.Millisecond })
		case 2:
			return r.injectStoreFault("drops answers to writes", func(f *platformtest.Faults) { f.LostAnswers = 4 })
		case 3:
			return r.injectStoreFault("applies writes late", func(f *platformtest.Faults) { f.DelayedWrites, f.WriteDelay = 3, time.Second })
		case 4:
			r.watchesMute.Store(true)
			return r.injectStoreFault("watches report no changes", func(f *platformtest.Faults) { f.MuteWatches = true })
		}
		r.store.Compact()
		return "compacts its history", func() {}
	}},
	{"worker", func(r *run, random *rand.Rand) (string, func()) {
		r.randomSlot(random).current().LoseStartAnswers(2)
		return "drops answers", func() {}
	}},
}

// injectFaults starts one random fault of the kinds after another until ctx ends, so that faults may
// overlap. At the end of ctx it ends all of them.
func (r *run) injectFaults(ctx context.Context, random *rand.Rand, kinds []fault) {
	var ends []func()
	begin := time.Now()
	for ctx.Err() == nil {
		f := kinds[random.IntN(len(kinds))]
		at := time.Since(begin)
		detail, end := f.inject(r, random)
		r.mu.Lock()
		r.report.Faults = append(r.report.Faults, fmt.Sprintf("%.1f s %s %s", at.Seconds(), f.name, detail))
		r.mu.Unlock()
		ends = append(ends, end)
		sleepUpTo(ctx, random, 1500*time.Millisecond)
		// Ends faults, the oldest first, each with a probability of 2/3, until one stays.
		for len(ends) > 0 && random.IntN(3) > 0 {
			ends[0]()
			ends = ends[1:]
		}
	}
	for _, end := range ends {
		end()
	}
}

// sleepUpTo waits for a random time below limit, or until ctx ends.
func sleepUpTo(ctx context.Context, random *rand.Rand, limit time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(random.Int64N(int64(limit)))):
	}
}
