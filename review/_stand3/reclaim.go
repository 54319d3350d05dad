package main

import (
	"math"
	"net/http"
	"strings"
	"time"
)

func init() {
	cases["lasting"] = lastingTasks
	cases["overflow"] = overflowingGuarantee
}

const (
	reclaimWorkers = 12
	// reclaimTime is reclaimMs of the settings.
	reclaimTime = 2700 * time.Millisecond
	// reclaimJobs is the number of jobs of the ordinary tenant. Together they need 6 accelerators of its 8.
	reclaimJobs = 3
	// longMs is how long a task of the other tenant runs.
	longMs = 600000
)

// lastingTasks plays a tenant whose job uses all accelerators while they are idle. Its tasks last until the job is
// cancelled; without the disruption they end after 10 minutes. Then the ordinary tenant asks for its own.
func lastingTasks(s *scene) {
	x := s.newSite(3, reclaimWorkers, 6*time.Second)
	x.fill("/batch/", step{Count: reclaimWorkers * workerGPU, CPU: 1000, MemMB: 100, GPU: 1, EstimatedMs: longMs, LongRunning: s.trouble})
	x.playReclaim()
}

// overflowingGuarantee plays a client that nobody controls, whose tenant has 8 accelerators guaranteed. Its jobs of
// priority 0 use all accelerators while they are idle. One of its jobs asks for more accelerators than there are:
// the largest number of 64 bits. Then the ordinary tenant asks for its own.
func overflowingGuarantee(s *scene) {
	x := s.newSite(3, reclaimWorkers, 6*time.Second)
	x.fill("/urgent/", step{Count: 1, CPU: 1000, MemMB: 100, GPU: 1, EstimatedMs: longMs})
	if s.trouble {
		x.fill("/urgent/", step{Count: 1, CPU: 1000, MemMB: 100, GPU: math.MaxInt64, EstimatedMs: longMs})
	}
	x.fill("/urgent/", step{Count: reclaimWorkers*workerGPU - 1, CPU: 1000, MemMB: 100, GPU: 1, EstimatedMs: longMs})
	x.playReclaim()
}

// fill hands a job of the other tenant in.
func (x *site) fill(prefix string, t step) {
	id := newID()
	status := newClient(wildKey).submit(x.instances[0].callers, prefix, id, jobBody{Spec: "ms=600000", Steps: []step{t}})
	x.record.printf("client %s: POST %s%s, %d tasks of %d accelerators, longRunning %t: %d", wildKey, prefix, id, t.Count, t.GPU, t.LongRunning, status)
	time.Sleep(500 * time.Millisecond)
}

// reclaimJob is a job of the ordinary tenant.
type reclaimJob struct {
	id           string
	acknowledged time.Time
}

// playReclaim hands in the jobs of the ordinary tenant and judges when they begin.
func (x *site) playReclaim() {
	time.Sleep(3 * time.Second)
	x.record.printf("%d of %d accelerators are in use", x.inUse(), reclaimWorkers*workerGPU)
	c := newClient(ordinaryKey)
	var jobs []reclaimJob
	for k := range reclaimJobs {
		id := newID()
		status := c.submit(x.instances[k].callers, "/urgent/", id, jobBody{Spec: "ms=500", Steps: []step{{Count: ordinaryTasks, CPU: 1000, MemMB: 100, GPU: 1, EstimatedMs: 500}}})
		x.record.printf("client %s: POST /urgent/%s, %d tasks of 1 accelerator: %d", ordinaryKey, id, ordinaryTasks, status)
		if status == http.StatusOK {
			jobs = append(jobs, reclaimJob{id, time.Now()})
		}
		time.Sleep(5 * time.Second)
	}
	if len(jobs) == 0 {
		cannotRun("no job of the ordinary tenant is accepted")
	}
	time.Sleep(30 * time.Second)
	x.record.printf("%d of %d accelerators are in use", x.inUse(), reclaimWorkers*workerGPU)
	x.judgeReclaim(jobs)
}

// inUse returns the number of runs that are present; each has one accelerator.
func (x *site) inUse() int {
	runs := 0
	for _, w := range x.workers {
		for _, n := range w.runningByJob() {
			runs += n
		}
	}
	return runs
}

// judgeReclaim judges whether the jobs have begun all their tasks within reclaimMs after their acknowledgement.
func (x *site) judgeReclaim(jobs []reclaimJob) {
	c := newClient(ordinaryKey)
	for _, j := range jobs {
		begun := make(map[string]time.Duration)
		for _, w := range x.workers {
			for _, r := range w.runs() {
				after := r.started.Sub(j.acknowledged)
				if first, ok := begun[r.task]; strings.HasPrefix(r.task, j.id+".") && (!ok || after < first) {
					begun[r.task] = after
				}
			}
		}
		inTime := 0
		for task, after := range begun {
			x.record.printf("task %s began %d ms after the acknowledgement", task, after.Milliseconds())
			if after <= reclaimTime {
				inTime++
			}
		}
		state, _ := c.state(x.instances[0].callers, "/urgent/", j.id)
		if inTime < ordinaryTasks {
			x.record.breaks("RECLAIM", "%d of %d tasks of %s had begun reclaimMs after its acknowledgement; now, %d s after it, its state is %s", inTime, ordinaryTasks, j.id, int(time.Since(j.acknowledged).Seconds()), state)
		}
	}
}
