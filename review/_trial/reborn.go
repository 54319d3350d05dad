package main

import (
	"context"
	"fmt"
	"time"

	"github.com/chestnutsail/chestnutsail/platform/platformtest"
)

const (
	// lateTime is how late the order is carried out, at most 12 s with applied_late. cutTime is how long the
	// worker is cut off, 12 s with node_cut in the site file.
	lateTime = 12 * time.Second
	cutTime  = 12 * time.Second
	// cutAfter is when the cut begins, after the job was accepted.
	cutAfter = 60 * time.Millisecond
	// entryTime is the time after which the entry of a silent worker is removed, three times heartbeatMs.
	entryTime = 4500 * time.Millisecond
)

// lateOrderToReborn has a worker leave an order unanswered and carry it out late. Meanwhile the worker is cut off
// and starts again under its ID. The task may not have two runs at the same time.
func lateOrderToReborn(c *cluster) (broken bool, err error) {
	c.store.Put("op/config", platformtest.Config(1, platformtest.Queue{Name: "batch", Priority: 2, Attempts: 3}))
	if err := c.startInstances(3); err != nil {
		return false, err
	}
	c.startWorkers(1)
	time.Sleep(6 * time.Second)
	worker := c.workers[0]
	caller := platformtest.NewCaller(3500 * time.Millisecond)
	if c.trouble {
		worker.DelayStarts(lateTime, 1)
		c.record.add("the next order to worker %s is left unanswered and carried out %v later", worker.ID(), lateTime)
	}
	id := fmt.Sprintf("%016x", 0xb0000)
	status := caller.Submit(context.Background(), c.instances[0].callers, "batch", id, platformtest.Job{Spec: "ms=30000", Count: 1, Estimate: 30 * time.Second})
	began := time.Now()
	c.record.add("POST %s at %s answered %d", id, c.instances[0].name, status)
	if status != 200 {
		return false, fmt.Errorf("the job was answered %d", status)
	}
	if c.trouble {
		time.Sleep(cutAfter)
		worker.HangCalls(true)
		worker.Restart()
		c.record.add("worker %s is cut off and starts again under its ID", worker.ID())
	}
	time.Sleep(time.Until(began.Add(2 * time.Second)))
	c.startWorkers(5)
	c.record.add("5 workers are added")
	if c.trouble {
		time.Sleep(time.Until(began.Add(entryTime)))
		c.store.Delete("servers/" + worker.ID())
		c.record.add("the entry of worker %s is removed", worker.ID())
		time.Sleep(time.Until(began.Add(cutAfter + cutTime)))
		worker.HangCalls(false)
		worker.Register("ready")
		c.record.add("worker %s is reachable again", worker.ID())
	}
	time.Sleep(time.Until(began.Add(lateTime + 6*time.Second)))
	runs := c.history()
	for _, r := range runs {
		c.recordRun(r)
	}
	if len(runs) == 0 {
		return false, fmt.Errorf("nothing ran")
	}
	for n, later := range runs {
		for _, earlier := range runs[:n] {
			if earlier.Task == later.Task && (earlier.Ended.IsZero() || earlier.Ended.After(later.Started)) {
				broken = true
				c.record.add("BROKEN task %s has two runs at the same time: run %d on %s and, from %.3f s on, run %d on %s",
					later.Task, earlier.Run, earlier.Worker, c.record.since(later.Started), later.Run, later.Worker)
			}
		}
	}
	return broken, nil
}
