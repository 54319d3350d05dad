package controller

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/agent"
	"github.com/chestnutsail/chestnutsail/clock"
)

const (
	// maxOrdersInFlight is the maximum number of orders that are sent at a time. More would
	// only queue on the instance's network link and time out there.
	maxOrdersInFlight = 24
	// maxInFlightTime is the maximum time in milliseconds for which an order counts as in
	// flight; workers usually answer within a few round trips.
	maxInFlightTime = 150 * clock.Millisecond
)

// orderStart orders the worker of a run to start it. If there is no answer, the same order is
// sent again, since a worker carries it out only once.
func (c *Controller) orderStart(r *run) {
	r.setState(ordered, c.opts.Clock.Now())
	t := r.task
	order := agent.Order{
		Task: t.id(), Run: r.number, Payload: t.part.job.record.Spec.Payload,
		Fence: c.term, Checkpoint: t.checkpoint,
	}
	if t.part.step.Gang {
		order.Checkpoint = t.part.checkpoint()
	}
	r.resumed = order.Checkpoint != ""
	c.enqueueOrder(r, order)
}

// enqueueOrder queues an order to be sent, unless the run is no longer wanted by then.
func (c *Controller) enqueueOrder(r *run, order agent.Order) {
	c.orders.add(func() {
		if r.task.run == r && r.state == ordered {
			c.sendDueOrder(r, order)
		}
	})
}

// sendDueOrder sends an order at the head of the queue. The lease is requested only now: what is known
// of the worker may have changed while the order waited, and so may the leadership. A worker that drains, or whose
// entry is of another process, gets no order, not even a copy of one without an answer, nor does one in an evacuated
// failure domain. If the lease must not be renewed, a run that has not been ordered yet is removed, an order that
// could not be sent waits for maxRenewalSilence at most, and one without an answer waits.
func (c *Controller) sendDueOrder(r *run, order agent.Order) {
	if !c.leadershipConfirmed() {
		c.retryOrder(r, order)
		return
	}
	if c.dropOrder(r) || c.withholdOrder(r, order) {
		return
	}
	if r.isUnsendable(c.opts.Clock.Now()) {
		r.node.avoid(c.opts.Clock.Now())
		c.removeUnordered(r, "no connection to its worker was opened")
		return
	}
	order.Lease = c.nextLease(r.node)
	switch {
	case order.Lease == 0 && (r.orderUnanswered() || r.unsentSince != 0):
		c.retryOrder(r, order)
		return
	case order.Lease == 0:
		c.removeUnordered(r, "its worker stopped answering after the plan was made")
		return
	}
	if c.firstOrderPending {
		c.firstOrderPending = false
		c.opts.Log.WithFields(logrus.Fields{"term": c.term, "took_ms": int64(c.opts.Clock.Now() - c.leadingSince)}).Info("controller: first order of the term")
	}
	c.sendOrder(r, order)
}

// dropOrder gives up an order to a worker that drains or whose entry is of another process, and reports whether it did.
// A run whose order got no answer is stopped, since the worker may have carried it out.
func (c *Controller) dropOrder(r *run) bool {
	switch drains := r.node.worker.State == agent.Draining; {
	case drains && r.orderUnanswered():
		c.stopDrained(r)
	case drains:
		c.removeUnordered(r, "its worker has begun to drain after the plan was made")
	case r.node.isDescribed():
		return false
	case r.orderUnanswered():
		c.stopWithGang(r, "its worker has started anew", "a worker of its gang has started anew")
	default:
		c.removeUnordered(r, "its worker has started anew after the plan was made")
	}
	return true
}

// isUnsendable reports whether no copy of an order could be sent for maxRenewalSilence.
func (r *run) isUnsendable(now clock.Millis) bool {
	return !r.orderUnanswered() && r.unsentSince != 0 && now-r.unsentSince > maxRenewalSilence
}

// avoid keeps new tasks from a worker that does not take orders, and prefers other workers for some time.
func (n *node) avoid(now clock.Millis) {
	n.noWorkUntil, n.suspectUntil = max(n.noWorkUntil, now+unhealthyDelay), now+suspectDuration
}

// removeUnordered removes a run whose order has never been sent. The reason is the value of a log field.
func (c *Controller) removeUnordered(r *run, reason string) {
	c.opts.Log.WithFields(r.logFields()).WithField("reason", reason).Info("controller: run not ordered")
	c.removeRun(r, agent.Stopped, notOrdered, "")
}

// sendOrder sends an order. The order counts as in flight until it is answered, or for
// maxInFlightTime at most: otherwise orders to unreachable workers would delay all others.
func (c *Controller) sendOrder(r *run, order agent.Order) {
	term, worker := c.term, r.node.worker
	r.noteCopy()
	end := c.begin(&c.orders)
	c.opts.Counters.Counter("chestnutsail_orders_total").Inc()
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, orderTimeout.Duration())
		defer cancel()
		endTimer := time.AfterFunc(maxInFlightTime.Duration(), end)
		defer endTimer.Stop()
		verdict, workerClock, err := c.opts.Workers.Start(ctx, worker, order)
		end()
		c.post(func() { c.runInTerm(term, func() { c.onOrderAnswer(r, order, verdict, workerClock, err) }) })
	}()
}

// retryOrder queues an order again after retryDelay, as long as the run is wanted. It requests the
// lease anew: a process that has started since the last copy would hold the run for the longest lease
// from when it gets this one.
func (c *Controller) retryOrder(r *run, order agent.Order) {
	c.countRetry("order")
	term := c.term
	go func() {
		clock.Sleep(c.ctx, retryDelay)
		c.post(func() {
			c.runInTerm(term, func() {
				if r.task.run == r && r.state == ordered {
					c.enqueueOrder(r, order)
				}
			})
		})
	}()
}
