package controller_test

import (
	"context"
	"os"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/platform/platformtest"
)

// exploreWithout names faults that are left out, so that others are found behind a known one. CI
// leaves out none.
var exploreWithout = strings.Split(os.Getenv("CHESTNUTSAIL_EXPLORE_WITHOUT"), ",")

// injectFault injects or ends one random fault.
func (e *explorer) injectFault() {
	faults := []struct {
		name   string
		inject func(*platformtest.Worker)
	}{
		{"dropCalls", e.dropCalls},
		{"hangCalls", e.hangCalls},
		{"loseAnswers", e.loseAnswers},
		{"startAnew", e.startAnew},
		{"changeState", e.changeState},
		{"disturbStore", e.disturbStore},
		{"changeLeader", e.changeLeader},
		{"cutLink", e.cutLink},
		{"cutAllLinks", e.cutAllLinks},
		{"restart", e.restart},
		{"answerForWorker", e.answerForWorker},
		{"delayStarts", e.delayStarts},
		{"overwriteEntry", e.overwriteEntry},
		{"deleteEntry", e.deleteEntry},
		{"leaveUnseen", e.leaveUnseen},
		{"misdirect", e.misdirect},
		{"suspendLeader", e.suspendLeader},
	}
	x := e.workers[e.random.IntN(len(e.workers))]
	if fault := faults[e.random.IntN(len(faults))]; !slices.Contains(exploreWithout, fault.name) {
		fault.inject(x)
	}
}

// endFaults ends all faults and makes all workers ready.
func (e *explorer) endFaults() {
	e.logFaultf("all faults end")
	e.store.SetFaults(func(f *platformtest.Faults) { *f = platformtest.Faults{} })
	for _, x := range e.workers {
		x.DropCalls(false)
		x.HangCalls(false)
		x.LoseStartAnswers(0)
		x.AnswerStartsWith(0, 0)
		x.DelayStarts(0, 0)
		e.leader.misdirect(x.ID(), false)
	}
	for _, x := range e.currentWorkers() {
		e.restoreLink(x)
		x.Register("ready")
	}
}

func (e *explorer) dropCalls(x *platformtest.Worker) {
	x.DropCalls(e.random.IntN(2) == 0)
	e.logFaultf("%s becomes unreachable or reachable", x.ID())
}

func (e *explorer) hangCalls(x *platformtest.Worker) {
	x.HangCalls(e.random.IntN(2) == 0)
	e.logFaultf("%s stops or resumes answering", x.ID())
}

func (e *explorer) loseAnswers(x *platformtest.Worker) {
	x.LoseStartAnswers(1 + e.random.IntN(3))
	e.logFaultf("%s loses answers", x.ID())
}

func (e *explorer) startAnew(x *platformtest.Worker) {
	e.logFaultf("a new process of %s starts at a new address", x.ID())
	e.currentWorkers()[x.ID()].Close()
	delete(e.cut, x.ID())
	e.startExplored(x.ID())
}

func (e *explorer) changeState(x *platformtest.Worker) {
	e.currentWorkers()[x.ID()].Register([]string{"draining", "ready"}[e.random.IntN(2)])
	e.logFaultf("%s becomes draining or ready", x.ID())
}

func (e *explorer) disturbStore(*platformtest.Worker) {
	switch e.random.IntN(3) {
	case 0:
		e.store.SetFaults(func(f *platformtest.Faults) { f.LostAnswers += 1 + e.random.IntN(3) })
		e.logFaultf("the store loses answers")
	case 1:
		e.store.SetFaults(func(f *platformtest.Faults) { f.DelayedWrites, f.WriteDelay = 1+e.random.IntN(2), 400*time.Millisecond })
		e.logFaultf("writes of the store take effect late")
	case 2:
		e.store.SetFaults(func(f *platformtest.Faults) { f.MuteWatches = !f.MuteWatches })
		e.logFaultf("the store's watches stop or resume")
	}
}

func (e *explorer) changeLeader(*platformtest.Worker) {
	e.logFaultf("another instance becomes the leader")
	e.leader.election.Resign(context.Background())
	e.leader = e.startInstance(nil)
}

func (e *explorer) cutLink(x *platformtest.Worker) {
	x = e.currentWorkers()[x.ID()]
	if e.cut[x.ID()] {
		e.restoreLink(x)
		e.logFaultf("the link of %s is back", x.ID())
		return
	}
	e.logFaultf("the link of %s closes its connections", x.ID())
	x.CutLink()
	e.cut[x.ID()] = true
}

func (e *explorer) restoreLink(x *platformtest.Worker) {
	if e.cut[x.ID()] {
		Eventually(x.RestoreLink, shortTimeout).Should(Succeed())
		delete(e.cut, x.ID())
	}
}

func (e *explorer) cutAllLinks(*platformtest.Worker) {
	wait := time.Duration(100+e.random.IntN(1500)) * time.Millisecond
	e.logFaultf("the links of all workers close their connections for %s", wait)
	for _, id := range e.workerIDs() {
		if !e.cut[id] {
			e.currentWorkers()[id].CutLink()
			e.cut[id] = true
		}
	}
	time.Sleep(wait)
	for _, x := range e.currentWorkers() {
		e.restoreLink(x)
	}
	e.logFaultf("the links of all workers are back")
}

func (e *explorer) workerIDs() []string {
	var ids []string
	for _, x := range e.workers {
		if !slices.Contains(ids, x.ID()) {
			ids = append(ids, x.ID())
		}
	}
	return ids
}

func (e *explorer) restart(x *platformtest.Worker) {
	x = e.currentWorkers()[x.ID()]
	e.logFaultf("%s restarts at its address", x.ID())
	x.Restart()
	if e.random.IntN(2) == 0 {
		x.Register("ready")
		e.logFaultf("%s registers", x.ID())
	}
}

func (e *explorer) answerForWorker(x *platformtest.Worker) {
	status := []int{502, 504}[e.random.IntN(2)]
	e.currentWorkers()[x.ID()].AnswerStartsWith(status, 1+e.random.IntN(3))
	e.logFaultf("a proxy answers for %s with %d", x.ID(), status)
}

func (e *explorer) delayStarts(x *platformtest.Worker) {
	delay := time.Duration(500+e.random.IntN(3500)) * time.Millisecond
	if isLong() && e.random.IntN(2) == 0 {
		delay = maxExploredDelay - delay
	}
	e.currentWorkers()[x.ID()].DelayStarts(delay, 1+e.random.IntN(3))
	e.logFaultf("orders to %s are delayed by %s", x.ID(), delay)
}

func (e *explorer) overwriteEntry(x *platformtest.Worker) {
	other := e.workers[e.random.IntN(len(e.workers))]
	change := []map[string]any{
		{"address": "127.0.0.1:1"},
		{"address": other.Address()},
		{"born": time.Now().Add(time.Hour).UnixMilli()},
		{"born": time.Now().UnixMilli()},
	}[e.random.IntN(4)]
	if e.store.Value(platform.WorkersPrefix+x.ID()) == nil {
		return
	}
	e.logFaultf("another writer gives %s %v", x.ID(), change)
	e.putEntry(x.ID(), change)
	e.registerLater(x.ID())
}

func (e *explorer) deleteEntry(x *platformtest.Worker) {
	e.logFaultf("the entry of %s is deleted", x.ID())
	e.store.Delete(platform.WorkersPrefix + x.ID())
	e.registerLater(x.ID())
}

// registerLater makes a worker write its entry again after up to 2 s, as with a heartbeat.
func (e *explorer) registerLater(id string) {
	wait := time.Duration(e.random.IntN(2000)) * time.Millisecond
	e.registerAt[id] = time.Now().Add(wait)
	e.logFaultf("%s registers again after %s", id, wait)
}

// registerDue makes the workers register for which that is due.
func (e *explorer) registerDue() {
	for id, at := range e.registerAt {
		if time.Now().After(at) {
			delete(e.registerAt, id)
			e.currentWorkers()[id].Register("ready")
		}
	}
}

// reportDue makes the workers report every second in a long exploration.
func (e *explorer) reportDue() {
	if !isLong() || time.Now().Before(e.reportsAt) {
		return
	}
	e.reportsAt = time.Now().Add(time.Second)
	for id, x := range e.currentWorkers() {
		if e.registerAt[id].IsZero() {
			x.Register("ready")
		}
	}
}

func (e *explorer) leaveUnseen(x *platformtest.Worker) {
	x = e.currentWorkers()[x.ID()]
	e.logFaultf("%s drains, its entry is deleted and its link is cut, while it runs on", x.ID())
	x.Register("draining")
	time.Sleep(time.Duration(e.random.IntN(400)) * time.Millisecond)
	e.store.Delete(platform.WorkersPrefix + x.ID())
	time.Sleep(time.Duration(e.random.IntN(400)) * time.Millisecond)
	if e.random.IntN(2) == 0 {
		x.DropCalls(true)
	} else if !e.cut[x.ID()] {
		x.CutLink()
		e.cut[x.ID()] = true
	}
}

func (e *explorer) misdirect(x *platformtest.Worker) {
	misdirected := !e.leader.isMisdirected(x.ID())
	e.leader.misdirect(x.ID(), misdirected)
	e.logFaultf("another instance answers the leader at the address of %s: %v", x.ID(), misdirected)
}

// suspendLeader suspends the leader for less than the time for which it may believe that it leads.
func (e *explorer) suspendLeader(x *platformtest.Worker) {
	wait := time.Duration(200+e.random.IntN(700)) * time.Millisecond
	e.logFaultf("the leader is suspended for %s", wait)
	e.leader.suspend(wait)
	if e.random.IntN(2) == 0 {
		e.changeLeader(x)
	}
}
