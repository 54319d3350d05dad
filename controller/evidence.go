package controller

import (
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/agent"
	"github.com/chestnutsail/chestnutsail/clock"
)

// evidence names what shows that a run has ended or has never begun. It is the value of a metric's
// label and of a log field.
type evidence string

const (
	// notOrdered means that this leader has sent no order to start the run.
	notOrdered evidence = "no order was sent"
	// notDelivered means that the only order did not reach the worker.
	notDelivered evidence = "its order was not delivered"
	// orderRejected means that the worker rejected the only order.
	orderRejected evidence = "its worker rejected the order"
	// endReported means that the worker reported the end.
	endReported evidence = "its worker reported the end"
	// notReported means that the worker does not report the run as present any more.
	notReported evidence = "its worker does not report it"
	// workerEnded means that the worker has ended, as the list of the hosts tells.
	workerEnded evidence = "its worker has ended"
	// leaseExpired means that the lease has expired by the slowest clock that a worker may have.
	leaseExpired evidence = "its lease has expired"
)

// removal is what the leader remembers of the last run of a task that it removed.
type removal struct {
	number   int
	node     *node
	evidence evidence
	at       clock.Millis
}

// logRemoval logs why a run counts as ended. Ends that a worker reported are logged when they are
// handled.
func (c *Controller) logRemoval(r *run, e evidence, now clock.Millis) {
	c.opts.Counters.Counter(`chestnutsail_runs_removed_total{evidence="` + string(e) + `"}`).Inc()
	if e == endReported || e == notOrdered {
		return
	}
	fields := r.logFields()
	fields["evidence"], fields["failing"] = string(e), r.node.failing
	if r.node.clockReadAt != 0 {
		fields["heard_ms_ago"], fields["lease_left_ms"] = int64(now-r.node.lastAnswer), int64(r.node.leasedUntil-r.node.estimatedClock(now, 1))
	}
	c.opts.Log.WithFields(fields).Info("controller: run counts as ended")
}

// checkSurvivor reports a run that has been removed as ended and was still at work later, as its
// worker shows by reporting it as present or by reporting its end. Its task may have run twice at
// the same time. A run whose lease has expired may have ended before, unheard.
func (c *Controller) checkSurvivor(t *task, n *node, number int, end agent.EndReason) {
	was := t.removed
	if was.number != number || was.node != n || was.evidence == endReported || end == agent.LeaseExpired || (was.evidence == leaseExpired && end != "") {
		return
	}
	laterRun := 0
	if t.run != nil {
		laterRun = t.run.number
	}
	c.opts.Counters.Counter(`chestnutsail_runs_survived_total{evidence="` + string(was.evidence) + `"}`).Inc()
	c.opts.Log.WithFields(logrus.Fields{
		"task": t.id().String(), "run": number, "worker": n.id, "evidence": string(was.evidence), "removed_ms_ago": int64(c.opts.Clock.Now() - was.at),
		"end": string(end), "later_run": laterRun, "term": c.term,
	}).Error("controller: run that counted as ended was still at work")
}
