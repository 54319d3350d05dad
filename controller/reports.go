package controller

import (
	"github.com/chestnutsail/chestnutsail/agent"
	"github.com/chestnutsail/chestnutsail/clock"
)

// sighting is what the last answered poll told of a worker's process: its start, and its clock at a time that is not
// before askedAt, when the poll was sent.
type sighting struct {
	start   clock.Millis
	clock   clock.Millis
	askedAt clock.Millis
}

// see notes the answer to a poll that was sent at the time askedAt.
func (n *node) see(report agent.Report, askedAt clock.Millis) {
	if report.StartedAt != n.seen.start {
		n.aliveAt = 0
	}
	n.seen = sighting{start: report.StartedAt, clock: report.Clock, askedAt: askedAt}
}

// readReport notes until when the process that answered last was certainly alive, as an entry in the store shows that
// this process has written. The process tells its own clock, so an entry that was written late, or copied by another
// writer, shows no more than it should. The clock is taken to be as much too fast as it may be too slow.
func (n *node) readReport(entry agent.Worker) {
	if n.seen.start == 0 || entry.StartedAt != n.seen.start || entry.Clock <= n.seen.clock {
		return
	}
	n.aliveAt = max(n.aliveAt, n.seen.askedAt+clock.Millis(float64(entry.Clock-n.seen.clock)*(1-maxClockLag)))
}

// noteCopy notes to which process of the worker a copy of the run's order is sent, as far as that is known.
func (r *run) noteCopy() {
	if !r.copied {
		r.copied, r.copiesTo = true, r.node.seen.start
	}
	if r.copiesTo != r.node.seen.start {
		r.copiesTo = 0
	}
}

// noneReachedLaterProcess reports whether no copy of a run's order can have reached, or can still reach, a later process
// of the worker than the one that all copies were sent to: that one was alive when the last copy could no longer be
// late, and a worker has one process at a time. It rejects copies once the lease that they ask for has expired.
func (r *run) noneReachedLaterProcess() bool {
	return r.copiesTo != 0 && r.copiesTo == r.node.seen.start && r.node.aliveAt > r.unansweredAt+maxOrderDelay
}
