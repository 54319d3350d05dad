package controller

import "sync"

// callQueue limits the number of calls that are in flight at a time. Only the event loop uses it.
type callQueue struct {
	most     int
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

// begin counts a call as in flight until end is called, which any goroutine may do, and more than once.
func (c *Controller) begin(q *callQueue) (end func()) {
	term := c.term
	q.inFlight++
	return sync.OnceFunc(func() {
		c.post(func() {
			c.runInTerm(term, func() {
				q.inFlight--
				q.sendWaiting()
			})
		})
	})
}
