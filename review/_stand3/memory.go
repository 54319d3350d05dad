package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/chestnutsail/chestnutsail/platform/platformtest"
)

// site is a small installation: a store, workers, instances in three zones, and a configuration with an ordinary
// tenant and one whose clients nobody controls.
type site struct {
	*scene
	store     *platformtest.Store
	workers   []*worker
	instances []*instance
}

const (
	ordinaryKey = "key-ordinary"
	wildKey     = "key-wild"
	wilderKey   = "key-wilder"
	memoryMB    = 284
	// wildJobs is the number of jobs that the client of manyTasks hands in.
	wildJobs = 80
)

// newSite starts the installation and waits until it is ready.
func (s *scene) newSite(instances, workers int, lease time.Duration) *site {
	x := s.newStore()
	for k := range workers {
		x.workers = append(x.workers, startWorker(workerOptions{
			store: x.store, id: fmt.Sprintf("w%d", k), lease: lease, zone: zone(k), rack: fmt.Sprintf("r%d-1", k%3+1),
			record: s.record, quiet: true,
		}))
	}
	x.startInstances(instances, lease)
	return x
}

// newStore returns an installation that has only a store with a configuration.
func (s *scene) newStore() *site {
	x := &site{scene: s, store: platformtest.NewStore()}
	x.store.Put("op/config", configuration(7, []route{
		{Name: "urgent", Host: host, Prefix: "/urgent/", Service: "svc", TargetRuntimeMs: 1000, StretchFactor: 3, MaxAttempts: 3},
		{Name: "batch", Host: host, Prefix: "/batch/", Service: "svc", TargetRuntimeMs: 3000, StretchFactor: 3, Priority: 1, MaxAttempts: 3},
	}, []tenant{
		{"ordinary", []string{ordinaryKey}, map[string]int{"gpu": 8}},
		{"wild", []string{wildKey}, map[string]int{"gpu": 8}},
		{"wilder", []string{wilderKey}, map[string]int{"gpu": 8}},
	}))
	return x
}

// startInstances starts the instances and waits until they are ready.
func (x *site) startInstances(instances int, lease time.Duration) {
	for k := range instances {
		i := newInstance(x.dir, x.record, instanceOptions{name: fmt.Sprintf("e%d", k), store: x.store.Address(), zone: zone(k), memoryMB: memoryMB, lease: lease})
		x.instances = append(x.instances, i)
		atExit(i.stop)
		i.start()
	}
	x.awaitReady(15 * time.Second)
}

func zone(k int) string { return []string{"a", "b", "c"}[k%3] }

func (x *site) awaitReady(timeout time.Duration) {
	for deadline := time.Now().Add(timeout); ; time.Sleep(50 * time.Millisecond) {
		if !slices.ContainsFunc(x.instances, func(i *instance) bool { return !isReady(i) }) {
			return
		}
		if time.Now().After(deadline) {
			cannotRun("the instances are not ready")
		}
	}
}

func isReady(i *instance) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + i.ready + "/chestnutsail/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// ordinaryCaller hands small jobs in at all instances in turn, and remembers which were accepted.
type ordinaryCaller struct {
	site     *site
	accepted []string
}

// run submits a job every 500 ms until the end. A submission that is not accepted is tried at the other
// instances.
func (o *ordinaryCaller) run(until time.Time) {
	c := newClient(ordinaryKey)
	for k := 0; time.Now().Before(until); k++ {
		id := newID()
		body := jobBody{Spec: "ms=500", Steps: []step{{Count: 2, CPU: 1000, MemMB: 100, GPU: 1, EstimatedMs: 500}}}
		status := 0
		for try := range len(o.site.instances) {
			status = c.submit(o.site.instances[(k+try)%len(o.site.instances)].callers, "/urgent/", id, body)
			if status == http.StatusOK {
				o.accepted = append(o.accepted, id)
				break
			}
		}
		o.site.record.printf("ordinary caller: POST %s: %d", id, status)
		time.Sleep(500 * time.Millisecond)
	}
}

// ask asks for all accepted jobs, as LOST says, and returns the states and for how many there was no answer.
func (o *ordinaryCaller) ask() (states map[string]int, unanswered int) {
	c := newClient(ordinaryKey)
	states = make(map[string]int)
	for k, id := range o.accepted {
		state, status := "", 0
		for try := range len(o.site.instances) {
			if state, status = c.state(o.site.instances[(k+try)%len(o.site.instances)].callers, "/urgent/", id); status == http.StatusOK {
				break
			}
		}
		if status != http.StatusOK {
			unanswered++
			state = fmt.Sprint(status)
		}
		states[state]++
	}
	return states, unanswered
}

func init() { cases["after"] = longAfter }

// longAfter plays a client that nobody controls: its jobs name an earlier step many times in after.
func longAfter(s *scene) {
	x := s.newSite(3, 6, 6*time.Second)
	ordinary := &ordinaryCaller{site: x}
	var callers sync.WaitGroup
	end := time.Now().Add(40 * time.Second)
	callers.Go(func() { ordinary.run(end) })
	if s.trouble {
		callers.Go(func() { x.sendLongAfter(wildKey, end) })
		callers.Go(func() { x.sendLongAfter(wilderKey, end) })
	}
	callers.Wait()
	x.judgeMemory(ordinary)
}

// sendLongAfter sends about ten jobs a second for 25 s, each smaller than maxBodyBytes.
func (x *site) sendLongAfter(key string, end time.Time) {
	raw, err := json.Marshal(jobBody{Spec: "ms=500", Steps: []step{
		{Count: 1, CPU: 1000, MemMB: 100, GPU: 1, EstimatedMs: 500, Requirements: "nowhere"},
		{Count: 1, CPU: 1000, MemMB: 100, GPU: 1, EstimatedMs: 500, After: make([]int, 130000)},
	}})
	if err != nil {
		cannotRun("body: %v", err)
	}
	x.record.printf("wild client: jobs of %d bytes, the second step of each names step 0 in after 130000 times", len(raw))
	c := newClient(key)
	statuses := make(map[int]int)
	for k := 0; k < 250 && time.Now().Before(end); k++ {
		status, _ := c.call(http.MethodPost, x.instances[k%len(x.instances)].callers, "/batch/"+newID(), raw)
		statuses[status]++
		x.record.printf("client %s: POST: %d", key, status)
		time.Sleep(80 * time.Millisecond)
	}
	x.record.printf("client %s: done, statuses %v", key, statuses)
}

// judgeMemory waits for finish_s and judges the ends of processes and what is known of the ordinary jobs.
func (x *site) judgeMemory(ordinary *ordinaryCaller) {
	time.Sleep(14 * time.Second)
	states, unanswered := ordinary.ask()
	x.record.printf("ordinary caller: %d jobs accepted, states after finish_s: %v", len(ordinary.accepted), states)
	machines := 0
	for _, i := range x.instances {
		over, own, peak := i.ends()
		x.record.printf("%s: %d ends over the memory, %d ends by itself, at most %d MB", i.opts.name, over, own, peak)
		if over+own >= 3 {
			machines++
		}
	}
	if machines >= 2 {
		x.record.breaks("Fault", "on %d of %d machines in use processes ended by themselves three times or more", machines, len(x.instances))
	}
	if unanswered > 0 {
		x.record.breaks("LOST", "%d of %d accepted jobs are not known or get no answer", unanswered, len(ordinary.accepted))
	}
}

func init() { cases["tasks"] = manyTasks }

// manyTasks plays a client that nobody controls: its jobs have many tasks that need next to nothing.
func manyTasks(s *scene) {
	x := s.newSite(3, 12, 6*time.Second)
	ordinary := &ordinaryCaller{site: x}
	var callers sync.WaitGroup
	end := time.Now().Add(60 * time.Second)
	callers.Go(func() { ordinary.run(end) })
	if s.trouble {
		callers.Go(func() { x.sendManyTasks(wildKey, end) })
	}
	callers.Wait()
	x.judgeMemory(ordinary)
	x.judgeIdle(ordinary)
}

// The capacity of all workers, and what a task of the ordinary and of the wild client needs, in thousandths of a
// core; a task of the ordinary client needs an accelerator as well.
const (
	workerCPU, workerGPU = 64000, 8
	ordinaryCPU, wildCPU = 1000, 1
	ordinaryTasks        = 2
)

// judgeIdle judges whether accepted jobs have nothing running for 3 s, after the same for 4 s, although there is
// capacity for them twice over and under half of the capacity is in use.
func (x *site) judgeIdle(ordinary *ordinaryCaller) {
	idle := make(map[string]bool)
	states := make(map[string]string)
	c := newClient(ordinaryKey)
	for k, id := range ordinary.accepted {
		if states[id], _ = c.state(x.instances[k%len(x.instances)].callers, "/urgent/", id); states[id] != "completed" {
			idle[id] = true
		}
	}
	for begin := time.Now(); time.Since(begin) < 7*time.Second; time.Sleep(100 * time.Millisecond) {
		running := make(map[string]int)
		for _, w := range x.workers {
			for id, n := range w.runningByJob() {
				running[id] += n
			}
		}
		gpu, cpu := 0, 0
		for _, id := range ordinary.accepted {
			gpu += running[id]
			cpu += running[id] * ordinaryCPU
			if running[id] > 0 {
				delete(idle, id)
			}
			delete(running, id)
		}
		for _, n := range running {
			cpu += n * wildCPU
		}
		allCPU, allGPU := len(x.workers)*workerCPU, len(x.workers)*workerGPU
		if 2*gpu >= allGPU || 2*cpu >= allCPU || allGPU-gpu < 2*ordinaryTasks || allCPU-cpu < 2*ordinaryTasks*ordinaryCPU {
			clear(idle)
		}
		x.record.printf("in use: %d of %d accelerators, %d of %d thousandths of a core; %d jobs idle", gpu, allGPU, cpu, allCPU, len(idle))
	}
	for _, id := range ordinary.accepted {
		if idle[id] {
			state, _ := c.state(x.instances[0].callers, "/urgent/", id)
			x.record.printf("job %s has had nothing running for 7 s; its state is %s", id, state)
		}
	}
	if len(idle) > 0 {
		x.record.breaks("LOST", "%d of %d accepted jobs have had nothing running for 3 s and the 4 s before, with capacity for them twice over and under half in use", len(idle), len(ordinary.accepted))
	}
}

func (x *site) sendManyTasks(key string, end time.Time) {
	raw, err := json.Marshal(jobBody{Spec: "ms=600000", Steps: []step{{Count: 4096, CPU: wildCPU, EstimatedMs: 600000}}})
	if err != nil {
		cannotRun("body: %v", err)
	}
	x.record.printf("client %s: jobs of %d bytes, one step of 4096 tasks of a thousandth of a core", key, len(raw))
	c := newClient(key)
	statuses := make(map[int]int)
	for k := 0; k < wildJobs && time.Now().Before(end); k++ {
		status, _ := c.call(http.MethodPost, x.instances[k%len(x.instances)].callers, "/batch/"+newID(), raw)
		statuses[status]++
		x.record.printf("client %s: POST: %d", key, status)
		time.Sleep(50 * time.Millisecond)
	}
	x.record.printf("client %s: done, statuses %v", key, statuses)
}
