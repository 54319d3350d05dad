package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// cutTime is how long the worker is cut off from the store, crashAfter how long after the begin of the cut it
	// crashes, and rebootTime how long it is away.
	cutTime    = 5 * time.Second
	crashAfter = 200 * time.Millisecond
	rebootTime = 500 * time.Millisecond
	// missedReports is the number of reports after whose absence the store removes an entry.
	missedReports = 3
	// noticeTime is what the system has to read an answer.
	noticeTime = 100 * time.Millisecond
)

// playKind: a worker is cut off from the store, but not from the instances, and crashes behind the cut. It starts
// again under its ID and at its address, as a worker of another kind, and writes its entry once the cut has healed.
// Starts count only from the moment on at which the new process has told the system, by an answer with its born, that
// it is another one.
func playKind(s *site, trouble bool) []string {
	s.open(smallSite, config(1))
	for _, w := range s.workers[:2] {
		w.setKind("big")
		w.register()
	}
	reborn := s.workers[0]
	s.running.Go(func() {
		s.sleep(troubleAt)
		if !trouble {
			return
		}
		reborn.setCutOff(true)
		s.note("%s is cut off from the store", reborn.id)
		s.running.Go(func() {
			s.sleep(cutTime)
			reborn.setCutOff(false)
			reborn.register()
			s.note("%s reaches the store again and has written its entry", reborn.id)
		})
		s.sleep(crashAfter)
		reborn.setGone(true)
		s.note("%s has crashed", reborn.id)
		s.sleep(rebootTime)
		reborn.restart("small")
		s.note("%s has started again, as a worker of kind small, born %d", reborn.id, reborn.bornMs)
		s.sleep(time.Until(reborn.lastReport().Add(missedReports * heartbeat)))
		s.store.Delete("servers/" + reborn.id)
		s.note("store: the entry of %s is removed, after %d intervals of silence", reborn.id, missedReports)
	})
	for n, end := 1, time.Now().Add(16*time.Second); time.Now().Before(end) && s.ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%016x", 0xb16000+n)
		s.running.Go(func() {
			s.submit("desk", id, "key-o", job{Spec: "ms=500", Steps: []step{{Count: 2, CPU: 1000, MemMB: 100, GPU: 1, EstimatedMs: 500, Requirements: "big"}}})
		})
		s.sleep(trafficPeriod / 4)
	}
	s.sleep(3 * time.Second)
	var breaches []string
	for _, w := range s.workers {
		w.mu.Lock()
		for _, t := range w.history {
			if strings.HasPrefix(t.task, "0000000000b16") && t.kind != "big" && !w.toldAt.IsZero() && t.started.After(w.toldAt.Add(noticeTime)) {
				breaches = append(breaches, fmt.Sprintf("ROUTE: %.3f s: task %s run %d, which requires a worker of kind big, starts on %s of kind %s", t.started.Sub(s.start).Seconds(), t.task, t.run, w.id, t.kind))
			}
		}
		if w.life > 1 {
			s.note("%s: the process that runs now has first answered a hold at %.3f s", w.id, w.toldAt.Sub(s.start).Seconds())
		}
		s.note("%s: %d starts", w.id, len(w.history))
		w.mu.Unlock()
	}
	return breaches
}
