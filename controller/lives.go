package controller

import (
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/agent"
	"github.com/chestnutsail/chestnutsail/clock"
)

// exitTime is the longest time in milliseconds between the end of a worker's connection
// and the next call, which finds nothing listening.
const exitTime = 2 * clock.Second

// exited reports whether a worker that refuses connections has ended. Neither sign is
// enough by itself: a cut may refuse new connections, and a worker may close old ones. A
// cut drops or resets the connections in use, it does not close them.
func (n *node) exited(now clock.Millis) bool { return n.closed != 0 && now-n.closed < exitTime }

// unlist takes note that a worker's entry is gone. An entry that lapses does so three
// heartbeats after the last one; one that goes sooner was taken off by the worker itself.
func (c *Controller) unlist(n *node, now clock.Millis) {
	if !n.listed {
		return
	}
	n.listed = false
	n.resigned = n.w.State == agent.Draining && now-n.heard < beatsBeforeLapse*c.opts.Limits().Beat
	c.opts.Log.WithFields(logrus.Fields{"worker": n.id, "runs": len(n.runs), "resigned": n.resigned, "silent_ms": int64(now - n.heard)}).Info("controller: worker no longer listed")
}

// left reports whether a worker that drained has ended: it has taken itself off the
// list, its time is over, and it no longer answers.
func (n *node) left(now clock.Millis) bool {
	return !n.listed && n.resigned && now >= n.leaves && n.failing
}

// reborn takes note that the life of a worker is over, and with it all that ran there.
func (c *Controller) reborn(n *node, born clock.Millis, reason string) {
	if len(n.runs) > 0 || n.looked {
		c.opts.Log.WithFields(logrus.Fields{"worker": n.id, "runs": len(n.runs), "reason": reason, "born": int64(born)}).Warn("controller: life of a worker is over")
	}
	n.born, n.looked, n.seen, n.acked, n.pending = born, false, 0, 0, nil
	n.clock, n.read, n.leased, n.heard, n.slowUntil, n.failing, n.closed = 0, 0, 0, 0, 0, false, 0
	clear(n.strangers)
	for r := range n.runs {
		if r.unanswered && r.state == ordered {
			// The order may reach the new life, whose clock and numbers begin anew.
			r.born = born
			c.halt(r, "its worker has started anew")
			continue
		}
		c.gone(r, agent.Lapsed, "")
	}
	c.wantPlan = true
}
