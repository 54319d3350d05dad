package main

import (
	"context"
	"fmt"
	"time"

	"github.com/chestnutsail/chestnutsail/platform/platformtest"
)

const (
	// outageTime is that of platform_down "busy lapse" in the site file, rollGap the gap of roll_term there.
	outageTime = 6 * time.Second
	rollGap    = 1300 * time.Millisecond
	// Times from the beginning of the outage: the worker says before it that it drains, and exits in it; the
	// task ends in it; the first instance is stopped after the end was told.
	drainBefore = time.Second
	leaveTime   = 4 * time.Second
	taskEnds    = time.Second
	rollAfter   = 1800 * time.Millisecond
	// shownTime is how long after the answer "completed" a start is allowed.
	shownTime = time.Second
)

// restartInOutage stops and starts the instances in turn while the store is down and a worker leaves. A task
// must not start after its job was shown as completed.
func restartInOutage(c *cluster) (broken bool, err error) {
	c.store.Put("op/config", platformtest.Config(1, platformtest.Queue{Name: "batch", Priority: 2, Attempts: 3}))
	if err := c.startInstances(3); err != nil {
		return false, err
	}
	c.startWorkers(4)
	time.Sleep(2 * time.Second)
	caller := platformtest.NewCaller(3500 * time.Millisecond)
	ctx := context.Background()
	id := fmt.Sprintf("%016x", 0x90000)
	runTime := 4 * time.Second
	status := caller.Submit(ctx, c.instances[0].callers, "batch", id, platformtest.Job{Spec: fmt.Sprintf("ms=%d", runTime.Milliseconds()), Count: 1, Estimate: runTime})
	began := time.Now()
	c.record.add("POST %s at %s answered %d", id, c.instances[0].name, status)
	if status != 200 {
		return false, fmt.Errorf("the job was answered %d", status)
	}
	outage := began.Add(runTime - taskEnds)
	time.Sleep(time.Until(outage.Add(-drainBefore)))
	leaving, leader := c.workerOf(id), c.leader()
	if leaving == nil || leader == nil {
		return false, fmt.Errorf("the job does not run, or there is no leader")
	}
	drained := time.Now()
	leaving.Drain(leaveTime)
	c.record.add("the store has accepted that worker %s drains; it stays for %v at least", leaving.ID(), leaveTime)
	time.Sleep(time.Until(outage))
	if c.trouble {
		c.door.setDown(true)
		c.record.add("the store answers 503; leases run out meanwhile")
	}
	time.AfterFunc(time.Until(drained.Add(leaveTime+100*time.Millisecond)), func() {
		leaving.Close()
		c.store.Delete("servers/" + leaving.ID())
		c.record.add("worker %s exits; its entry is gone", leaving.ID())
	})
	time.AfterFunc(time.Until(outage.Add(outageTime)), func() {
		c.door.setDown(false)
		c.record.add("the store answers as usual")
	})
	// The leader is stopped last.
	order := []*instance{leader}
	for _, i := range c.instances {
		if i != leader {
			order = append([]*instance{i}, order...)
		}
	}
	for n, i := range order {
		time.AfterFunc(time.Until(outage.Add(rollAfter+time.Duration(n)*rollGap)), func() { c.restart(i) })
	}
	shownAt := time.Time{}
	for end := outage.Add(outageTime + 18*time.Second); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		for _, i := range c.instances {
			state, status := caller.State(ctx, i.callers, "batch", id)
			if status == 200 && state == "completed" && shownAt.IsZero() {
				shownAt = time.Now()
				c.record.add("GET %s at %s answered %d %q", id, i.name, status, state)
			}
		}
	}
	for _, r := range c.history() {
		c.recordRun(r)
		if !shownAt.IsZero() && r.Started.Sub(shownAt) > shownTime {
			broken = true
			c.record.add("BROKEN task %s run %d was started %.3f s after the job was shown as completed", r.Task, r.Run, r.Started.Sub(shownAt).Seconds())
		}
	}
	state, status := caller.State(ctx, c.instances[0].callers, "batch", id)
	c.record.add("GET %s at %s answered %d %q", id, c.instances[0].name, status, state)
	if shownAt.IsZero() {
		return false, fmt.Errorf("the job was never shown as completed")
	}
	return broken, nil
}
