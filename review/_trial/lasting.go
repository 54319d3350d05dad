package main

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/chestnutsail/chestnutsail/platform/platformtest"
)

const (
	// beatTime is heartbeatMs of the settings: the worker rewrites its entry, with what is left of its time.
	beatTime = 1500 * time.Millisecond
	// stayTime is the least time that the draining worker says it has left, exitDelay how much later it exits.
	stayTime  = 12 * time.Second
	exitDelay = 100 * time.Millisecond
	// handOverAfter is when the leader is stopped, after the worker has said that it drains.
	handOverAfter = time.Second
	// A task that lasts may be away for graceLasting after its last run, and then for idleLasting.
	graceLasting = 6 * time.Second
	idleLasting  = 3 * time.Second
)

// leaveAfterHandOver drains a worker on which tasks that last are at work, and stops the leader meanwhile. The
// tasks have to be at work elsewhere in time.
func leaveAfterHandOver(c *cluster) (broken bool, err error) {
	c.store.Put("op/config", platformtest.Config(1, platformtest.Queue{Name: "batch", Priority: 2, Attempts: 3}))
	if err := c.startInstances(3); err != nil {
		return false, err
	}
	c.startWorkers(6)
	time.Sleep(2 * time.Second)
	id := fmt.Sprintf("%016x", 0xf0000)
	status := submitLasting(c.instances[0].callers, "batch", id)
	c.record.add("POST %s at %s answered %d", id, c.instances[0].name, status)
	if status != 200 {
		return false, fmt.Errorf("the job was answered %d", status)
	}
	time.Sleep(3 * time.Second)
	leaving := c.workerOf(id)
	if leaving == nil {
		return false, fmt.Errorf("the job does not run")
	}
	drained := time.Now()
	leaving.Drain(stayTime)
	c.record.add("the store has accepted that worker %s drains; it stays for %v at least", leaving.ID(), stayTime)
	if c.trouble {
		time.Sleep(time.Until(drained.Add(handOverAfter)))
		leader := c.leader()
		if leader == nil {
			return false, fmt.Errorf("there is no leader")
		}
		go c.restart(leader)
	}
	for beat := drained.Add(beatTime); beat.Before(drained.Add(stayTime)); beat = beat.Add(beatTime) {
		time.Sleep(time.Until(beat))
		leaving.Drain(time.Until(drained.Add(stayTime)))
	}
	time.Sleep(time.Until(drained.Add(stayTime + exitDelay)))
	exited := time.Now()
	leaving.Close()
	c.store.Delete("servers/" + leaving.ID())
	c.record.add("worker %s exits; its entry is gone", leaving.ID())
	time.Sleep(16 * time.Second)
	byTask := make(map[string][]platformtest.Interval)
	for _, r := range c.history() {
		c.recordRun(r)
		byTask[r.Task] = append(byTask[r.Task], r)
	}
	for task, runs := range byTask {
		sort.Slice(runs, func(a, b int) bool { return runs[a].Started.Before(runs[b].Started) })
		for n, r := range runs {
			if r.Ended.IsZero() {
				continue
			}
			next := time.Now()
			if n+1 < len(runs) {
				next = runs[n+1].Started
			}
			away := next.Sub(r.Ended)
			c.record.add("task %s was not running for %.3f s from %.3f s on, after the run on %s ended (%s)", task, away.Seconds(), c.record.since(r.Ended), r.Worker, r.Outcome)
			if away >= graceLasting+idleLasting && !r.Ended.Before(exited.Add(-time.Second)) {
				broken = true
				c.record.add("BROKEN task %s lasts and was not running for %.3f s, with 5 workers almost empty", task, away.Seconds())
			}
		}
	}
	return broken, nil
}

// submitLasting submits a job of tasks that last, and returns the HTTP status, or 0 without an answer.
func submitLasting(address, queue, id string) int {
	body := `{"spec":"ms=600000","steps":[{"count":4,"cpu":1000,"memMb":100,"gpu":1,"estimatedMs":600000,"longRunning":true}]}`
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/"+queue+"/"+id, strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Host = platformtest.Host
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: 3500 * time.Millisecond}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// workerOf returns a worker on which a task of a job runs, or nil.
func (c *cluster) workerOf(id string) *platformtest.Worker {
	for _, w := range c.workers {
		for _, r := range w.History() {
			if jobOf(r) == id && r.Ended.IsZero() {
				return w
			}
		}
	}
	return nil
}

// leader returns the instance whose name is in the leader's key, or nil.
func (c *cluster) leader() *instance {
	name, _, _ := strings.Cut(string(c.store.Value("cs/lead")), "/")
	for _, i := range c.instances {
		if i.name == name {
			return i
		}
	}
	return nil
}
