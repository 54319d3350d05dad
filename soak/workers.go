package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/platform/platformtest"
)

// slot is the place of a worker, with its rack and the proxy on the path to it. All instances reach
// the worker through that proxy, since its entry in the store names one address for all of them.
type slot struct {
	run   *run
	index int
	proxy *proxy
	// worker is the present worker; run.mu guards it. successors is the number of workers that
	// took the place of an earlier one.
	worker     *platformtest.Worker
	successors int
	// cut is set while the worker's own link is closed, gone while its process has ended and it has
	// not been replaced.
	cut, gone bool
}

// workerSpeeds are the speeds of the workers, in turn.
var workerSpeeds = []float64{1, 0.6, 1.6}

// speed returns the speed of the slot's workers.
func (s *slot) speed() float64 { return workerSpeeds[s.index%len(workerSpeeds)] }

func (s *slot) newWorker(id string) *platformtest.Worker {
	return platformtest.NewWorker(platformtest.WorkerOptions{
		Store: s.run.store, ID: id, Domain: domainName(s.index), Rack: rackName(s.index), Lease: s.run.opts.Lease, GPU: workerAccels,
		Speed: s.speed(),
		Address: func(own string) string {
			s.proxy.setTarget(own)
			return s.proxy.address()
		},
	})
}

// current returns the present worker. Only the goroutine that injects the faults of workers may read it
// without this.
func (s *slot) current() *platformtest.Worker {
	s.run.mu.Lock()
	defer s.run.mu.Unlock()
	return s.worker
}

// register restores the worker's entry, unless its process has ended.
func (s *slot) register() {
	if !s.gone {
		s.worker.Register("ready")
	}
}

// end ends the worker's process.
func (s *slot) end() {
	s.worker.Close()
	s.cut, s.gone = false, true
}

// replace puts a fresh worker with another ID in the place of one that has ended.
func (s *slot) replace() {
	s.run.store.Delete(platform.WorkersPrefix + s.worker.ID())
	s.successors++
	w := s.newWorker(fmt.Sprintf("i-%d-%d", s.index, s.successors))
	s.run.mu.Lock()
	defer s.run.mu.Unlock()
	s.run.ended = append(s.run.ended, s.worker)
	s.worker, s.gone = w, false
}

func (s *slot) cutLink() {
	if !s.cut && !s.gone {
		s.worker.CutLink()
		s.cut = true
	}
}

func (s *slot) restoreLink() {
	if !s.cut {
		return
	}
	s.cut = false
	if err := s.worker.RestoreLink(); err != nil {
		s.run.failSetup(fmt.Errorf("soak: worker can't listen again: %w", err))
	}
}

// clearFaults removes all faults from the worker and restores its entry.
func (s *slot) clearFaults() {
	s.restoreLink()
	s.worker.AnswerStartsWith(0, 0)
	s.worker.DelayStarts(0, 0)
	s.register()
}

// allWorkers returns the present workers and those that have been replaced.
func (r *run) allWorkers() []*platformtest.Worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	workers := append([]*platformtest.Worker(nil), r.ended...)
	for _, s := range r.slots {
		workers = append(workers, s.worker)
	}
	return workers
}

func (r *run) randomSlot(random *rand.Rand) *slot { return r.slots[random.IntN(len(r.slots))] }

// liveSlot returns a random slot whose worker's process has not ended. Since injectDrain leaves more
// than one, there is one.
func (r *run) liveSlot(random *rand.Rand) *slot {
	for {
		if s := r.randomSlot(random); !s.gone {
			return s
		}
	}
}

// goneSlots returns the number of slots whose worker's process has ended.
func (r *run) goneSlots() int {
	gone := 0
	for _, s := range r.slots {
		if s.gone {
			gone++
		}
	}
	return gone
}

// setMode changes the mode of a proxy.
func (r *run) setMode(p *proxy, m mode) {
	if err := p.setMode(m); err != nil {
		r.failSetup(err)
	}
}

// failSetup records that the soak's own means failed, so that the run shows nothing.
func (r *run) failSetup(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.setupErr == nil {
		r.setupErr = err
	}
}

// linkMode returns modeClose or, in one of three cases, another mode that disturbs a link.
func linkMode(random *rand.Rand) mode {
	if random.IntN(3) > 0 {
		return modeClose
	}
	return mode(1 + random.IntN(int(modeCount)-1))
}

// injectLinks disturbs the links to one worker, half of the workers, all workers, or one instance's
// link to the store, alone or beside all links to workers.
func injectLinks(r *run, random *rand.Rand) (string, func()) {
	m, count, stores := linkMode(random), 0, 0
	switch random.IntN(5) {
	case 0:
		count = 1
	case 1:
		count = len(r.slots) / 2
	case 2:
		count = len(r.slots)
	case 3:
		stores = 1
	case 4:
		count, stores = len(r.slots), 1
	}
	picked := random.Perm(len(r.slots))[:count]
	for range stores {
		picked = append(picked, len(r.slots)+random.IntN(len(r.processes)))
	}
	set := func(m mode) {
		for _, i := range picked {
			r.setMode(r.proxies[i], m)
		}
	}
	set(m)
	return fmt.Sprintf("%v mode %d", picked, m), func() { set(modeForward) }
}

// injectDrain lets a worker drain, removes its entry and disturbs its link, one shortly after the
// other. The worker lives on and registers again, or it ends and another takes its place.
func injectDrain(r *run, random *rand.Rand) (string, func()) {
	s, m, ends, linkFirst := r.liveSlot(random), linkMode(random), random.IntN(2) == 0, random.IntN(2) == 0
	ends = ends && r.goneSlots() < len(r.slots)/2
	w := s.worker
	w.Register("draining")
	sleepUpTo(context.Background(), random, 700*time.Millisecond)
	if linkFirst {
		r.setMode(s.proxy, m)
		sleepUpTo(context.Background(), random, 200*time.Millisecond)
	}
	r.store.Delete(platform.WorkersPrefix + w.ID())
	sleepUpTo(context.Background(), random, 200*time.Millisecond)
	if ends {
		s.end()
	}
	r.setMode(s.proxy, m)
	return fmt.Sprintf("%s mode %d link first %t ends %t", w.ID(), m, linkFirst, ends), func() {
		r.setMode(s.proxy, modeForward)
		if ends {
			s.replace()
			return
		}
		s.register()
	}
}

// injectRestart starts a worker's process again under its ID. In one of two cases the link closes
// for the time of the restart.
func injectRestart(r *run, random *rand.Rand) (string, func()) {
	s, closes := r.liveSlot(random), random.IntN(2) == 0
	if closes {
		r.setMode(s.proxy, modeClose)
	}
	s.worker.Restart()
	sleepUpTo(context.Background(), random, time.Second)
	if closes {
		r.setMode(s.proxy, modeForward)
	}
	sleepUpTo(context.Background(), random, time.Second)
	s.register()
	return fmt.Sprintf("%s closes %t", s.worker.ID(), closes), func() {}
}

// injectEntry writes another entry over that of a worker, as another writer may do.
func injectEntry(r *run, random *rand.Rand) (string, func()) {
	s := r.liveSlot(random)
	key := platform.WorkersPrefix + s.worker.ID()
	changes := []map[string]any{
		{"address": "127.0.0.1:1"},
		{"address": r.randomSlot(random).proxy.address()},
		{"born": time.Now().Add(time.Duration(random.IntN(10)) * time.Second).UnixMilli()},
	}
	change := changes[random.IntN(len(changes))]
	var entry map[string]any
	if json.Unmarshal(r.store.Value(key), &entry) != nil {
		return key + " is missing", func() {}
	}
	maps.Copy(entry, change)
	raw, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	r.store.Put(key, raw)
	return fmt.Sprint(key, " ", change), s.register
}

// workerKinds holds the faults of workers and of the links to them.
var workerKinds = []fault{
	{"links", injectLinks},
	{"drain", injectDrain},
	{"restart", injectRestart},
	{"entry", injectEntry},
	{"closed link", func(r *run, random *rand.Rand) (string, func()) {
		s := r.liveSlot(random)
		s.cutLink()
		return s.worker.ID(), s.restoreLink
	}},
	{"answers of a proxy", func(r *run, random *rand.Rand) (string, func()) {
		w, n := r.liveSlot(random).worker, 1+random.IntN(3)
		w.AnswerStartsWith(http.StatusGatewayTimeout, n)
		return fmt.Sprint(w.ID(), " ", n), func() {}
	}},
	{"late starts", func(r *run, random *rand.Rand) (string, func()) {
		w, n, delay := r.liveSlot(random).worker, 1+random.IntN(3), time.Duration(1000+random.IntN(5000))*time.Millisecond
		w.DelayStarts(delay, n)
		return fmt.Sprint(w.ID(), " ", n, " ", delay), func() {}
	}},
}

// workerKinds returns the faults of workers and links that are to be injected.
func (o Options) workerKinds() []fault {
	var kinds []fault
	for _, f := range workerKinds {
		if o.Only == "" || o.Only == f.name {
			kinds = append(kinds, f)
		}
	}
	return kinds
}
