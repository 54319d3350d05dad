package main

import (
	"context"
	"fmt"
	"time"

	"github.com/chestnutsail/chestnutsail/platform/platformtest"
)

const (
	// hangTime is shorter than that of srv_grey "hang" in the site file, 5.5 s on a tenth of the workers.
	hangTime = 4 * time.Second
	// drainTime is drainMs of the settings.
	drainTime = 2 * time.Second
	// drainAfter is when the worker says that it drains, after it has begun to leave calls unanswered, and
	// leaveTime the least time that it says it has left.
	drainAfter = 500 * time.Millisecond
	leaveTime  = 8 * time.Second
)

// startOnDraining has a worker leave calls unanswered while an order goes to it, and drain meanwhile. No task
// may be started there later than drainTime after the store has accepted that it drains.
func startOnDraining(c *cluster) (broken bool, err error) {
	c.store.Put("op/config", platformtest.Config(1, platformtest.Queue{Name: "batch", Priority: 2, Attempts: 3}))
	if err := c.startInstances(3); err != nil {
		return false, err
	}
	c.startWorkers(10)
	time.Sleep(2 * time.Second)
	caller := platformtest.NewCaller(3500 * time.Millisecond)
	leaving := c.workers[4]
	began := time.Now()
	if c.trouble {
		c.record.add("worker %s begins to leave calls unanswered", leaving.ID())
		leaving.HangCalls(true)
		time.AfterFunc(hangTime, func() {
			leaving.HangCalls(false)
			c.record.add("worker %s answers calls again", leaving.ID())
		})
	}
	// One task for each accelerator of all workers.
	id := fmt.Sprintf("%016x", 0xd0000)
	c.record.add("POST %s at %s", id, c.instances[0].name)
	status := caller.Submit(context.Background(), c.instances[0].callers, "batch", id, platformtest.Job{Spec: "ms=20000", Count: 80, Estimate: 20 * time.Second})
	c.record.add("POST %s answered %d", id, status)
	if status != 200 {
		return false, fmt.Errorf("the job was answered %d", status)
	}
	time.Sleep(time.Until(began.Add(drainAfter)))
	leaving.Drain(leaveTime)
	drained := time.Now()
	c.record.add("the store has accepted that worker %s drains; it stays for %v at least", leaving.ID(), leaveTime)
	time.Sleep(leaveTime)
	for _, r := range c.history() {
		c.recordRun(r)
		if r.Worker != leaving.ID() {
			continue
		}
		if late := r.Started.Sub(drained); late > drainTime {
			broken = true
			c.record.add("BROKEN task %s run %d was started on %s %.3f s after the store had accepted that it drains", r.Task, r.Run, r.Worker, late.Seconds())
		}
	}
	if len(c.history()) == 0 {
		return false, fmt.Errorf("nothing ran")
	}
	return broken, nil
}
