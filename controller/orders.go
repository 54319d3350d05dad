package controller

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/agent"
	"github.com/chestnutsail/chestnutsail/clock"
)

const (
	// maxSending is the number of orders under way at a time: more would only wait in the
	// instance's link, and time out there.
	maxSending = 24
	// sendingTime is the longest time in milliseconds for which an order counts as under
	// way; workers answer within a few round trips.
	sendingTime = 150 * clock.Millisecond
)

// order sends the start of a run. Without an answer the same order is sent again: a
// worker carries it out once.
func (c *Controller) order(r *run) {
	r.enter(ordered, c.opts.Clock.Now())
	t := r.task
	o := agent.Order{
		Task: t.id(), Run: r.number, Payload: t.part.job.record.Spec.Payload,
		Lease: c.lease(r.node), Fence: c.term, Checkpoint: t.saved,
	}
	if t.part.step.Gang {
		o.Checkpoint = t.part.saved()
	}
	r.resumed = o.Checkpoint != ""
	if o.Lease == 0 {
		c.opts.Log.WithFields(r.fields()).Info("controller: run is not ordered, its worker went silent after the plan")
		c.gone(r, agent.Lapsed, "")
		return
	}
	if c.first {
		c.first = false
		c.opts.Log.WithFields(logrus.Fields{"term": c.term, "took_ms": int64(c.opts.Clock.Now() - c.led)}).Info("controller: first order of the term")
	}
	c.enqueue(r, o)
}

// enqueue has an order sent when its turn comes.
func (c *Controller) enqueue(r *run, o agent.Order) {
	c.orders = append(c.orders, func() {
		if r.task.run == r && r.state == ordered {
			c.send(r, o)
		}
	})
	c.sendWaiting()
}

// sendWaiting sends the orders that wait, as many at a time as the link carries.
func (c *Controller) sendWaiting() {
	for len(c.orders) > 0 && c.sending < maxSending {
		next := c.orders[0]
		c.orders = c.orders[1:]
		next()
	}
}

// send sends an order. It holds one of the places of the orders under way until it is
// answered, but not for long: those to workers that are cut off would hold up all others.
func (c *Controller) send(r *run, o agent.Order) {
	term, w := c.term, r.node.w
	c.sending++
	c.opts.Counters.Counter("chestnutsail_orders_total").Inc()
	var once sync.Once
	release := func() {
		once.Do(func() {
			c.post(func() {
				c.onTerm(term, func() {
					c.sending--
					c.sendWaiting()
				})
			})
		})
	}
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, orderTimeout.Duration())
		defer cancel()
		slow := time.AfterFunc(sendingTime.Duration(), release)
		defer slow.Stop()
		verdict, now, err := c.opts.Workers.Start(ctx, w, o)
		release()
		c.post(func() { c.onTerm(term, func() { c.answered(r, o, verdict, now, err) }) })
	}()
}

// resend repeats an order whose answer was lost.
func (c *Controller) resend(r *run, o agent.Order) {
	c.retried("order")
	term := c.term
	go func() {
		clock.Sleep(c.ctx, retryPause)
		c.post(func() {
			c.onTerm(term, func() {
				if r.task.run == r && r.state == ordered && c.acts() {
					c.enqueue(r, o)
				} else if r.task.run == r && r.state == ordered {
					c.resend(r, o)
				}
			})
		})
	}()
}
