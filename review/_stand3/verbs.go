package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["verbs"] = manyVerbs }

const (
	// verbBytes is the length of a method: with it, the head of a request is within the limit of 16 KiB.
	verbBytes = 15000
	// verbPause is the pause of each connection after an answer.
	verbPause = time.Millisecond
	// connectionsEach is the number of connections to each instance.
	connectionsEach = 3
)

// manyVerbs plays a client without a key whose requests each have another method.
func manyVerbs(s *scene) {
	x := s.newSite(3, 6, 6*time.Second)
	ordinary := &ordinaryCaller{site: x}
	var callers sync.WaitGroup
	end := time.Now().Add(85 * time.Second)
	callers.Go(func() { ordinary.run(end) })
	if s.trouble {
		var statuses sync.Map
		for k := range connectionsEach * len(x.instances) {
			callers.Go(func() { x.sendVerbs(x.instances[k%len(x.instances)], k, end, &statuses) })
		}
		defer statuses.Range(func(status, n any) bool {
			s.record.printf("client without a key: status %v: %d", status, n.(*atomic.Int64).Load())
			return true
		})
	}
	callers.Wait()
	x.judgeMemory(ordinary)
}

func (x *site) sendVerbs(i *instance, connection int, end time.Time, statuses *sync.Map) {
	c := newClient("")
	padding := strings.Repeat("A", verbBytes)
	for k := 0; time.Now().Before(end); k++ {
		if over, own, _ := i.ends(); over+own >= 3 {
			return
		}
		status, _ := c.call(fmt.Sprintf("A%d-%d-%s", connection, k, padding), i.callers, "/", nil)
		n, _ := statuses.LoadOrStore(status, new(atomic.Int64))
		n.(*atomic.Int64).Add(1)
		if k%2000 == 0 {
			x.record.printf("client without a key, connection %d: request %d with a method of its own: %d", connection, k, status)
		}
		if status == 0 {
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(verbPause)
	}
}
