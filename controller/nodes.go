package controller

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/agent"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/planner"
	"github.com/chestnutsail/chestnutsail/speed"
	"github.com/chestnutsail/chestnutsail/warmup"
)

const (
	// maxPollWait is how long a worker may delay the answer to a poll until a run ends; the
	// workers' protocol allows at most 2 s.
	maxPollWait = 2 * clock.Second
	// pollsPerLease is the minimum number of polls, each of which renews the lease, in the
	// duration of one lease.
	pollsPerLease = 6
	// stopPollMargin is how much longer than a stop takes the answer to a poll may be delayed
	// while a run is being stopped.
	stopPollMargin = clock.Millis(1)
	// pollTimeout is the timeout of a poll beyond the delay that the poll allows.
	pollTimeout = 1200 * clock.Millisecond
	// pollRetryDelay is the delay before a failed poll is retried.
	pollRetryDelay = 300 * clock.Millisecond
	// suspectDuration is how long the planner prefers other workers after a task failed on a
	// worker. quarantineDuration is how long a worker gets no new tasks after tasks of
	// several jobs failed on it, except tasks that have waited for too long.
	suspectDuration    = 3 * clock.Second
	quarantineDuration = 6 * clock.Second
	// quarantineFailures is the number of consecutive failures, of different jobs, after
	// which a worker is quarantined.
	quarantineFailures = 3
)

// node is what the leader knows of one worker.
type node struct {
	id     string
	worker agent.Worker
	// listed reports whether the store has an entry for the worker.
	listed bool
	// leavesAt is the earliest time at which a draining worker exits. leavesAtAge is the greatest age, when
	// it was read, of the entry that leavesAt rests on.
	leavesAt    clock.Millis
	leavesAtAge clock.Millis
	// pollAnswered reports whether the worker has answered a poll in the current term,
	// polling whether a poll is in flight.
	pollAnswered bool
	polling      bool
	// pollDue is the latest time at which the answer to the poll in flight is expected.
	pollDue clock.Millis
	// pollRetryAt is the earliest time of the next poll after a failed one. lastAnswer is
	// when the worker last answered any call; 0 before.
	pollRetryAt clock.Millis
	lastAnswer  clock.Millis
	// seen is what the last answered poll told of the worker's process, and aliveAt is a time at which that
	// process was certainly alive, as its entries in the store show; 0 if there is none.
	seen    sighting
	aliveAt clock.Millis
	// failing reports whether a call has failed since the worker last answered.
	failing bool
	// refusing reports whether a call was refused, or was answered by another instance, since the
	// worker last answered.
	refusing bool
	// clock is the worker's clock in its last answer, which arrived at clockReadAt on the
	// leader's clock; both are 0 while the clock is not known. clockLostAt is when the leader last
	// lost its knowledge of the clock; 0 if it never did.
	clock       clock.Millis
	clockReadAt clock.Millis
	clockLostAt clock.Millis
	// leasedUntil is the latest end, on the worker's clock, of all requested leases.
	// workerStart is the Unix time in milliseconds at which the worker's process started, or
	// 0 if that is unknown.
	leasedUntil clock.Millis
	workerStart clock.Millis
	// process counts the processes of the worker that have answered after the first one.
	process int
	// handledEnd is the highest agent.RunEnd.Number that was handled, ackedEnd the highest
	// that may be acknowledged because the end is recorded. Ends in between are in
	// unackedEnds. runs are the runs that are expected on the worker.
	handledEnd  int
	ackedEnd    int
	unackedEnds []unackedEnd
	// listsEnds reports whether the worker's last report had ends in it, and ackSent is the highest
	// ackedEnd that was sent to its process.
	listsEnds bool
	ackSent   int
	runs      map[*run]bool
	// unknownRuns are runs that the worker reports but that belong to no current run of a
	// job. They are being stopped.
	unknownRuns map[runKey]bool
	// strayOrders holds, by run, when the leader noticed that an order got no answer.
	strayOrders map[runKey]clock.Millis
	// failures is the number of consecutive failures of different jobs on the worker.
	// lastFailedJob is the ID of the last of these jobs.
	failures      int
	lastFailedJob string
	// suspectUntil is the time until which the planner prefers other workers, quarantinedUntil the time
	// until which the worker is in quarantine, and noWorkUntil the time until which it gets no new tasks.
	suspectUntil     clock.Millis
	quarantinedUntil clock.Millis
	noWorkUntil      clock.Millis
	// fullDelay is how long the worker gets no new tasks if it rejects one more order for lack of
	// room.
	fullDelay clock.Millis
	// speed is what the runs that have ended show of the worker's usual speed, without phases in which it was
	// far slower than others. speedNow also counts the runs that are present; its zero value is an unknown speed.
	speed    speed.Mean
	speedNow speed.Estimate
	// warmup tells what the worker is worth while it is cold.
	warmup warmup.State
	// slowUntil is the time until which the worker counts as far slower than others.
	slowUntil clock.Millis
	// liveness is what the last list of the hosts told of the worker while it was silent, and absences the number
	// of such lists in a row in which it was absent.
	liveness liveness
	absences int
}

// workersWatchInterval is the minimum time in milliseconds between two answers of the watch
// of the workers' keys.
const workersWatchInterval = 250 * clock.Millisecond

// unackedEnd is a handled end of a run. It is acknowledged to the worker once the change that it
// made to the job is recorded.
type unackedEnd struct {
	number int
	job    *job
	change int
}

// runKey identifies a run of a task.
type runKey struct {
	task agent.Task
	run  int
}

// nodeByID returns the worker with an ID. It adds a placeholder if the worker is not known.
func (c *Controller) nodeByID(id string) *node {
	n := c.nodes[id]
	if n == nil {
		n = &node{id: id, runs: make(map[*run]bool), unknownRuns: make(map[runKey]bool), strayOrders: make(map[runKey]clock.Millis)}
		c.nodes[id] = n
	}
	return n
}

func (c *Controller) replaceNodes(entries []kv.Entry) {
	stillListed := make(map[string]bool, len(entries))
	for _, e := range entries {
		stillListed[e.Key[len(c.opts.Prefix):]] = true
		c.updateNode(e, c.opts.Limits().ReportInterval)
	}
	c.forgetInvalidEntries(stillListed)
	for id, n := range c.nodes {
		if !stillListed[id] {
			c.markUnlisted(n, c.opts.Clock.Now())
		}
	}
	if !c.workersListed {
		c.workersListed = true
		c.opts.Log.WithFields(logrus.Fields{"term": c.term, "workers": len(c.nodes)}).Info("controller: workers listed")
		c.reconcile()
	}
	c.dropUnusedNodes()
	c.planNeeded = true
}

func (c *Controller) applyNodes(changes []kv.Change) {
	for _, e := range changes {
		if e.Deleted {
			id := e.Key[len(c.opts.Prefix):]
			delete(c.invalidEntries, e.Key)
			if n := c.nodes[id]; n != nil {
				c.markUnlisted(n, c.opts.Clock.Now())
			}
			continue
		}
		c.updateNode(e.Entry, 0)
	}
	c.dropUnusedNodes()
	c.planNeeded = true
}

// updateNode handles a new or changed entry of a worker, which was written at most maxAge ago.
func (c *Controller) updateNode(e kv.Entry, maxAge clock.Millis) {
	worker, err := c.opts.Decode(e.Key, e.Value)
	if err != nil {
		c.logInvalidEntry(e, err)
		return
	}
	n := c.nodeByID(worker.ID)
	n.readReport(worker)
	if n.mayBeReplaced(worker) {
		c.forgetClock(n)
	}
	if worker.State == agent.Draining {
		n.recordRemaining(worker.Remaining, c.opts.Clock.Now(), maxAge)
	}
	if n.worker.State != worker.State && n.worker.State != "" {
		c.opts.Log.WithFields(logrus.Fields{"worker": worker.ID, "state": string(worker.State), "remaining_ms": int64(worker.Remaining), "version": e.Version}).Info("controller: worker state changed")
	}
	n.worker, n.listed = worker, true
	c.adoptSpeed(n)
	n.warmup.Observe(c.opts.Clock.Now(), worker.ColdRemaining)
	if c.workersListed && !n.pollAnswered {
		c.poll(n)
	}
}

// dropUnusedNodes removes the workers that have neither an entry in the store nor runs, not even late
// ones.
func (c *Controller) dropUnusedNodes() {
	for id, n := range c.nodes {
		if !n.listed && len(n.runs) == 0 && len(n.unknownRuns) == 0 && len(n.strayOrders) == 0 {
			delete(c.nodes, id)
		}
	}
}

// shape returns the worker's total resources.
func (n *node) shape() planner.Shape {
	return planner.Shape{Cores: n.worker.Cores, Memory: n.worker.Memory, Accels: n.worker.Accels}
}

// needsPoll reports whether the worker has to be polled: it has not answered a poll in this term,
// it has runs or ended runs to report, ends are not acknowledged to it yet, or it gets no new work until it answers
// again, since it failed a call or its entry is of another process.
func (n *node) needsPoll() bool {
	return n.worker.Address != "" && (!n.pollAnswered || ((n.failing || !n.isDescribed()) && n.listed) || len(n.runs) > 0 || len(n.unknownRuns) > 0 || len(n.unackedEnds) > 0 || n.ackDue() > n.ackSent)
}

// poll asks a worker for its runs and ends, and renews its lease, unless there is no need or a
// poll is already in flight. It does nothing until the jobs are loaded: without them every run
// would count as unknown, and every end would be acknowledged without being recorded.
func (c *Controller) poll(n *node) {
	now := c.opts.Clock.Now()
	probe := c.needsDomainProbe(n, now)
	needed := probe || n.needsPoll()
	if !needed || !c.jobsLoaded || !c.workersListed || n.polling || now < n.pollRetryAt {
		return
	}
	if !c.leadershipConfirmed() {
		c.readEnds(n)
		return
	}
	if n.pollAnswered && len(n.unackedEnds) > 0 && now-n.lastAnswer < pollRetryDelay {
		// The worker would answer at once with the same ends.
		return
	}
	request := agent.Renewal{Fence: c.term, Acked: n.ackDue()}
	n.ackSent = max(n.ackSent, request.Acked)
	if !n.failing {
		// The lease of a worker that may have ended is not renewed before it answers: the sooner the
		// lease expires, the sooner its runs can be placed again.
		request.Lease = c.nextLease(n)
	}
	if n.pollAnswered && !n.failing && len(n.unackedEnds) == 0 && !n.needsImmediateAnswer() && !probe {
		request.Wait = c.pollWait()
		if n.hasNewRun(now) {
			request.Wait = min(request.Wait, newRunPollWait)
		}
		if n.hasStoppingRun() {
			// The worker reports no end of a run that never arrived there.
			request.Wait = min(request.Wait, c.opts.Limits().Stop+stopPollMargin)
		}
	}
	n.polling, n.pollDue = true, now+request.Wait
	term, worker := c.term, n.worker
	c.opts.Counters.Counter("chestnutsail_worker_looks_total").Inc()
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, (request.Wait + pollTimeout).Duration())
		defer cancel()
		sent := c.opts.Clock.Now()
		report, err := c.opts.Workers.Renew(ctx, worker, request)
		c.post(func() {
			c.runInTerm(term, func() {
				n.polling = false
				if c.nodes[n.id] != n {
					return
				}
				if err != nil {
					c.onPollError(n, worker, err)
					return
				}
				c.pollAnswered(n, worker, sent, report)
			})
		})
	}()
}

// pollWait returns the time in milliseconds for which a worker may delay the answer to a poll.
func (c *Controller) pollWait() clock.Millis {
	return min(maxPollWait, c.opts.Limits().Lease/pollsPerLease)
}

// hasNewRun reports whether the worker has a recently started run whose pace is not known yet.
func (n *node) hasNewRun(now clock.Millis) bool {
	for r := range n.runs {
		if r.state == ordered || (r.state == present && r.pace.totalTime == 0 && now-r.firstSeen < newRunWindow) {
			return true
		}
	}
	return false
}

// hasStoppingRun reports whether a run on the worker is being stopped.
func (n *node) hasStoppingRun() bool {
	for r := range n.runs {
		if r.state == stopping {
			return true
		}
	}
	return false
}

// needsImmediateAnswer reports whether a poll must be answered without delay, because it is not
// known whether a run is present on the worker, or because unknown runs are being stopped.
func (n *node) needsImmediateAnswer() bool {
	for r := range n.runs {
		if r.state == unconfirmed || r.state == inherited {
			return true
		}
	}
	return len(n.unknownRuns) > 0
}

func (c *Controller) onPollError(n *node, worker agent.Worker, err error) {
	now := c.opts.Clock.Now()
	n.pollRetryAt, n.failing = now+pollRetryDelay, true
	c.countRetry("look")
	if n.lastAnswer != 0 && now-n.lastAnswer > maxRenewalSilence {
		c.opts.Log.WithError(err).WithFields(logrus.Fields{
			"worker": n.id, "silent_ms": int64(now - n.lastAnswer), "runs": len(n.runs), "listed": n.listed,
		}).Warn("controller: worker does not answer")
	}
	if n.worker.Address != worker.Address {
		return
	}
	if isRefusal(err) {
		n.refusing = true
	}
}

// isRefusal reports whether a call failed because it certainly did not reach the worker.
func isRefusal(err error) bool {
	return errors.Is(err, agent.ErrAbsent) || errors.Is(err, agent.ErrReplaced)
}

// checkNodeTimeouts does the checks of a worker that depend on time: it gives up runs whose leases
// have expired, stops runs that can't finish on a draining worker, and polls the worker.
func (c *Controller) checkNodeTimeouts(n *node, now clock.Millis) {
	if (n.clockReadAt == 0 || n.tooSilent(now)) && (len(n.runs) > 0 || len(n.unknownRuns) > 0) && c.leasesExpired(n, now) {
		c.expireRuns(n, now)
	}
	n.dropOldStrayOrders(now)
	if n.listed && n.worker.State == agent.Draining {
		c.stopUnfinishableRuns(n, now)
	}
	c.poll(n)
}
