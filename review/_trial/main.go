// Command trial plays the cases of the review that are scripts: it starts processes of `chestnutsail serve`
// with the command of the deploy file against stand-ins of the store and of workers, brings about one
// disruption, and checks one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run.
//
//	trial CASE FOLDER
//
// With TROUBLE=0 in the environment it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"strings"
	"syscall"
	"time"

	"github.com/chestnutsail/chestnutsail/platform/platformtest"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// trialTime is the longest time for which a case runs.
const trialTime = 110 * time.Second

var cases = map[string]func(*cluster) (broken bool, err error){
	"cancel-after-unsure": cancelAfterUnsure,
	"fractional-bound":    fractionalBound,
	"leave-at-hand-over":  leaveAfterHandOver,
	"late-to-reborn":      lateOrderToReborn,
	"restart-in-outage":   restartInOutage,
}

// cluster is one small installation on loopback addresses.
type cluster struct {
	dir       string
	trouble   bool
	record    *record
	store     *platformtest.Store
	door      *storeDoor
	workers   []*platformtest.Worker
	instances []*instance
}

var zones = []string{"perth-a", "dundee-b", "stirling-c"}

func (c *cluster) startInstances(count int) error {
	for n := range count {
		zone := zones[n%len(zones)]
		i, err := newInstance(c.dir, fmt.Sprintf("frontend-%s-%d", zone, n/len(zones)+1), zone, c.door.address())
		if err != nil {
			return err
		}
		if err := i.start(); err != nil {
			return err
		}
		c.instances = append(c.instances, i)
	}
	return awaitReady(c.instances, 20*time.Second)
}

// startWorkers adds workers with 8 accelerators each, spread over the failure domains.
func (c *cluster) startWorkers(count int) {
	for range count {
		n := len(c.workers)
		c.workers = append(c.workers, platformtest.NewWorker(platformtest.WorkerOptions{
			Store: c.store, ID: fmt.Sprintf("i-%d", n), Rack: fmt.Sprintf("r%d-1", n%len(zones)+1), Domain: zones[n%len(zones)], Lease: 10 * time.Second,
		}))
	}
}

func (c *cluster) history() []platformtest.Interval {
	var list []platformtest.Interval
	for _, w := range c.workers {
		list = append(list, w.History()...)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Started.Before(list[b].Started) })
	return list
}

func jobOf(r platformtest.Interval) string {
	id, _, _ := strings.Cut(r.Task, ".")
	return id
}

func (c *cluster) recordRun(r platformtest.Interval) {
	end := "present"
	if !r.Ended.IsZero() {
		end = fmt.Sprintf("%s at %.3f s", r.Outcome, c.record.since(r.Ended))
	}
	acked := ""
	if !r.Acknowledged.IsZero() {
		acked = fmt.Sprintf(", acknowledged at %.3f s", c.record.since(r.Acknowledged))
	}
	c.record.addAt(r.Started, "RUN %s run %d on %s: %s%s", r.Task, r.Run, r.Worker, end, acked)
}

func (c *cluster) close() {
	for _, i := range c.instances {
		i.kill()
	}
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trial CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "trial-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	store := platformtest.NewStore()
	c := &cluster{dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: rec, store: store, door: newStoreDoor(store, 1)}
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		broken, err := cases[name](c)
		done <- outcome{broken, err}
	}()
	result := outcome{err: fmt.Errorf("the case took longer than %v", trialTime)}
	select {
	case result = <-done:
	case <-time.After(trialTime):
	case <-interrupted:
		result.err = fmt.Errorf("interrupted")
	}
	c.close()
	if keep := os.Getenv("TRIAL_LOGS"); keep == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	switch {
	case result.err != nil:
		rec.add("NOT RUN: %v", result.err)
		fmt.Fprintln(os.Stderr, result.err)
		return exitNotRun
	case result.broken:
		fmt.Println("the rule was broken")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
