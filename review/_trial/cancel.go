package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/chestnutsail/chestnutsail/platform/platformtest"
)

const (
	cancelJobs     = 60
	cancelInterval = 50 * time.Millisecond
	// lossTime, lossShare and the delays are those of platform_lost "late" in the site file and in
	// `fleetbench kinds`.
	lossTime     = 4500 * time.Millisecond
	lossShare    = 0.35
	minLossDelay = time.Second
	maxLossDelay = 6 * time.Second
	// Bounds of the settings.
	contactTime = 3 * time.Second
	cancelTime  = 3 * time.Second
	stopTime    = 200 * time.Millisecond
	// callerDeadline is how long a caller waits, as X-Deadline-Ms says. Clients of the site file leave after
	// 900 ms on some days.
	callerDeadline = time.Second
	// unwantedEvery makes every so many-th accepted job be cancelled, so that ordinary cancellations are
	// seen beside the others.
	unwantedEvery = 8
)

// cancelledJob is a job whose cancellation was acknowledged.
type cancelledJob struct {
	id             string
	submitStatus   int
	cancelStatus   int
	acknowledgedAt time.Time
}

// submitWithDeadline submits a job of one task and returns the HTTP status, or 0 if there was no answer.
func submitWithDeadline(address, queue, id string, deadline time.Duration) int {
	body := `{"spec":"ms=40000","steps":[{"count":1,"cpu":1000,"memMb":100,"gpu":1,"estimatedMs":40000}]}`
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/"+queue+"/"+id, strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Host = platformtest.Host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	client := http.Client{Timeout: deadline + time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// cancelAfterUnsure submits jobs while the store loses answers. A caller that gets a 504 cancels its job
// instead of sending it again. No task of a job whose cancellation was acknowledged may run later.
func cancelAfterUnsure(c *cluster) (broken bool, err error) {
	c.store.Put("op/config", platformtest.Config(1, platformtest.Queue{Name: "batch", Priority: 2, Attempts: 3}))
	if err := c.startInstances(3); err != nil {
		return false, err
	}
	c.startWorkers(10)
	time.Sleep(2 * time.Second)
	caller := platformtest.NewCaller(3500 * time.Millisecond)
	ctx := context.Background()
	var mu sync.Mutex
	var cancelled []cancelledJob
	accepted := 0
	began := time.Now()
	if c.trouble {
		c.record.add("the store begins to lose the answers to %.0f %% of the writes, which it carries out %v to %v later", 100*lossShare, minLossDelay, maxLossDelay)
		c.door.loseAnswers(lossShare, minLossDelay, maxLossDelay)
		time.AfterFunc(lossTime, func() {
			c.door.heal()
			writes, lost := c.door.counts()
			c.record.add("the store answers all writes again; it has lost %d answers of %d", lost, writes)
		})
	}
	var calls sync.WaitGroup
	for n := range cancelJobs {
		id := fmt.Sprintf("%016x", 0xc0000+n)
		calls.Go(func() {
			first, second := c.instances[n%3], c.instances[(n+1)%3]
			c.record.add("POST %s at %s", id, first.name)
			status := submitWithDeadline(first.callers, "batch", id, callerDeadline)
			c.record.add("POST %s answered %d", id, status)
			mu.Lock()
			if status == 200 {
				accepted++
			}
			mu.Unlock()
			if status != 504 && !(status == 200 && n%unwantedEvery == 0) {
				return
			}
			for range 3 {
				answer := caller.Cancel(ctx, second.callers, "batch", id)
				c.record.add("DELETE %s at %s answered %d", id, second.name, answer)
				if answer == 200 || answer == 410 {
					mu.Lock()
					cancelled = append(cancelled, cancelledJob{id, status, answer, time.Now()})
					mu.Unlock()
					return
				}
				time.Sleep(time.Second)
			}
		})
		time.Sleep(cancelInterval)
	}
	calls.Wait()
	// From calm on there is no disruption near; after another stretch of cancelTime + stopTime no task of a
	// cancelled job may be there.
	calm := began.Add(lossTime + maxLossDelay + contactTime)
	for _, j := range cancelled {
		if j.acknowledgedAt.After(calm) {
			calm = j.acknowledgedAt
		}
	}
	time.Sleep(time.Until(calm.Add(cancelTime + stopTime + time.Second)))
	checkedAt := time.Now()
	runs := c.history()
	for _, r := range runs {
		c.recordRun(r)
	}
	for _, j := range cancelled {
		for _, r := range runs {
			if jobOf(r) != j.id || (!r.Ended.IsZero() && r.Ended.Before(checkedAt)) {
				continue
			}
			broken = true
			state, status := caller.State(ctx, c.instances[0].callers, "batch", j.id)
			c.record.add("BROKEN %s: DELETE answered %d at %.3f s after a POST answered %d, and task %s run %d started at %.3f s on %s and still runs; GET answers %d %q",
				j.id, j.cancelStatus, c.record.since(j.acknowledgedAt), j.submitStatus, r.Task, r.Run, c.record.since(r.Started), r.Worker, status, state)
		}
	}
	c.record.add("%d jobs, %d accepted at once, %d cancelled; broken: %t", cancelJobs, accepted, len(cancelled), broken)
	if accepted == 0 || len(cancelled) == 0 {
		return false, fmt.Errorf("the case did not come about: %d jobs accepted, %d cancelled", accepted, len(cancelled))
	}
	return broken, nil
}
