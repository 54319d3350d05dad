package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/chestnutsail/chestnutsail/platform/platformtest"
)

const (
	// graceTime is graceS of the settings; the platform then sends SIGKILL.
	graceTime = 6 * time.Second
	// restartDelay is the short delay after which the platform starts a process that has ended. A process
	// that ends by itself within startTime has not started.
	restartDelay = 500 * time.Millisecond
	startTime    = 2 * time.Second
	// startTries is the number of ends by themselves from which a process counts as a fault.
	startTries = 3
	// answerTime is finish_s of the settings.
	answerTime = 14 * time.Second
)

// fractionalBound changes the settings files, with one bound given as a fraction, and then stops and starts the
// instances in turn. Each has to start again, and an accepted job has to be answered for.
func fractionalBound(c *cluster) (broken bool, err error) {
	c.store.Put("op/config", platformtest.Config(1, platformtest.Queue{Name: "batch", Priority: 2, Attempts: 3}))
	if err := c.startInstances(3); err != nil {
		return false, err
	}
	c.startWorkers(4)
	time.Sleep(2 * time.Second)
	caller := platformtest.NewCaller(3500 * time.Millisecond)
	ctx := context.Background()
	id := fmt.Sprintf("%016x", 0xe0000)
	status := caller.Submit(ctx, c.instances[0].callers, "batch", id, platformtest.Job{Spec: "ms=5000", Count: 4, Estimate: 5 * time.Second})
	c.record.add("POST %s at %s answered %d", id, c.instances[0].name, status)
	if status != 200 {
		return false, fmt.Errorf("the job was answered %d", status)
	}
	bound := "stopMs = 212"
	if c.trouble {
		bound = "stopMs = 212.5"
	}
	for _, i := range c.instances {
		raw, err := os.ReadFile(i.settings)
		if err != nil {
			return false, err
		}
		text := strings.Replace(string(raw), "stopMs = 200", bound, 1)
		if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
			return false, err
		}
		i.signal(syscall.SIGHUP)
		c.record.add("settings file of %s says %s now; SIGHUP", i.name, bound)
	}
	time.Sleep(2 * time.Second)
	down := 0
	for _, i := range c.instances {
		if !c.restart(i) {
			down++
		}
	}
	if down == 0 {
		if err := awaitReady(c.instances, answerTime); err != nil {
			c.record.add("%v", err)
		}
	}
	answered := false
	for deadline := time.Now().Add(answerTime); time.Now().Before(deadline) && !answered; time.Sleep(time.Second) {
		for _, i := range c.instances {
			state, status := caller.State(ctx, i.callers, "batch", id)
			c.record.add("GET %s at %s answered %d %q", id, i.name, status, state)
			answered = answered || (status == 200 && state == "completed")
		}
	}
	for _, r := range c.history() {
		c.recordRun(r)
	}
	if down > 0 || !answered {
		c.record.add("BROKEN %d of %d instances did not start again, and the accepted job %s was answered for: %t", down, len(c.instances), id, answered)
	}
	return down > 0 || !answered, nil
}

// restart stops an instance as the platform does and starts it again. It reports whether the instance has
// started.
func (c *cluster) restart(i *instance) bool {
	i.signal(syscall.SIGTERM)
	c.record.add("SIGTERM to %s", i.name)
	select {
	case <-i.exited:
	case <-time.After(graceTime):
		i.kill()
	}
	for try := range startTries {
		time.Sleep(restartDelay)
		if err := i.start(); err != nil {
			c.record.add("%s: %v", i.name, err)
			return false
		}
		select {
		case <-i.exited:
			c.record.add("start %d of %s: the process ended by itself with exit code %d", try+1, i.name, i.cmd.ProcessState.ExitCode())
		case <-time.After(startTime):
			c.record.add("start %d of %s: the process runs", try+1, i.name)
			return true
		}
	}
	return false
}
