package controller

import (
	"sync"
	"time"

	"github.com/chestnutsail/chestnutsail/clock"
)

const (
	// maxOrdersInFlight is the maximum number of orders that are sent at a time. More would
	// only queue on the instance's network link and time out there.
	maxOrdersInFlight = 24
	// maxStopsInFlight is the maximum number of requests to stop a run that are sent at a time. Each takes memory and a
	// connection, and one cancellation may stop thousands of runs.
	maxStopsInFlight = 128
	// maxOrderTime is the maximum time in milliseconds for which an order counts as in
	// flight; workers usually answer within a few round trips. Otherwise orders to unreachable workers would delay all
	// others.
	maxOrderTime = 150 * clock.Millisecond
)

// callQueue limits the number of calls that are in flight at a time. Only the event loop uses it.
type callQueue struct {
	most int
	// maxTime is the maximum time in milliseconds for which a call counts as in flight.
	maxTime  clock.Millis
	inFlight int
	// waiting holds functions that each send one call, or none if it is no longer needed.
	waiting []func()
}

// add queues a call, and sends it if there is room.
func (q *callQueue) add(send func()) {
	q.waiting = append(q.waiting, send)
	q.sendWaiting()
}

func (q *callQueue) sendWaiting() {
	for len(q.waiting) > 0 && q.inFlight < q.most {
		next := q.waiting[0]
		q.waiting = q.waiting[1:]
		next()
	}
}

// clear forgets all calls.
func (q *callQueue) clear() { q.waiting, q.inFlight = nil, 0 }

// begin counts a call as in flight until the returned function is called, or for the maximum time of the queue.
func (c *Controller) begin(q *callQueue) (end func()) {
	term := c.term
	q.inFlight++
	var once sync.Once
	release := func() {
		once.Do(func() {
			c.post(func() {
				c.runInTerm(term, func() {
					q.inFlight--
					q.sendWaiting()
				})
			})
		})
	}
	timer := time.AfterFunc(q.maxTime.Duration(), release)
	return func() {
		timer.Stop()
		release()
	}
}
