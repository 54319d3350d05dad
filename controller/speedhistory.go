package controller

import (
	"cmp"
	"context"
	"errors"
	"slices"

	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/speeds"
)

// speedSaveInterval is the time in milliseconds between two writes of the measured speeds. A leader that fails
// loses what was measured in that time.
const speedSaveInterval = 5 * clock.Second

// speedHistory is the state of the exchange of measured speeds with earlier and later leaders. A call of the
// store is in flight while busy is set.
type speedHistory struct {
	archive *speeds.Archive
	busy    bool
	loaded  bool
	nextAt  clock.Millis
	// rows are what an earlier leader has measured of the workers that are not known yet, by worker; nil before
	// the first read. Later reads, after a failed write, are for the version of the key only.
	rows map[string]speeds.Row
}

// keepSpeedHistory reads what an earlier leader has measured, once in a term, and then writes what this one has
// measured from time to time, as long as the workers of a service are uneven.
func (c *Controller) keepSpeedHistory(now clock.Millis) {
	h := &c.fleets.history
	if h.archive == nil {
		h.archive = speeds.New(speeds.Options{Store: c.opts.Store, LeaderKey: board.LeaderKey})
	}
	if h.busy || now < h.nextAt || now < c.storeRetryAt || !c.leadershipConfirmed() {
		return
	}
	h.nextAt = now + speedSaveInterval
	if !h.loaded {
		c.loadSpeeds(h.archive)
		return
	}
	if rows := c.measuredRows(); len(rows) > 0 {
		c.saveSpeeds(h.archive, rows)
	}
}

// measuredRows returns what is measured of the workers of all services whose workers are uneven. The runs that are
// present don't count yet: the next leader compares them again.
func (c *Controller) measuredRows() []speeds.Row {
	var rows []speeds.Row
	for _, n := range c.nodes {
		if weight, _ := n.speed.Parts(); weight > 0 && c.fleets.byService[n.worker.Service].fleet.IsUneven() {
			rows = append(rows, speeds.Row{Worker: n.id, StartedAt: n.worker.StartedAt, Measured: n.speed})
		}
	}
	slices.SortFunc(rows, func(a, b speeds.Row) int { return cmp.Compare(a.Worker, b.Worker) })
	return rows
}

func (c *Controller) loadSpeeds(archive *speeds.Archive) {
	c.fleets.history.busy = true
	term := c.term
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, storeTimeout.Duration())
		defer cancel()
		rows, err := archive.Load(ctx)
		c.post(func() {
			c.runInTerm(term, func() {
				h := &c.fleets.history
				h.busy = false
				if err != nil {
					c.opts.Log.WithError(err).Info("controller: measured speeds not read")
				}
				if err != nil && !errors.Is(err, speeds.ErrUnreadable) {
					return
				}
				h.loaded = true
				if h.rows != nil {
					return
				}
				h.rows = make(map[string]speeds.Row, len(rows))
				for _, r := range rows {
					h.rows[r.Worker] = r
				}
				for _, n := range c.nodes {
					c.adoptSpeed(n)
				}
				c.opts.Log.WithField("workers", len(rows)).Info("controller: measured speeds of an earlier leader read")
			})
		})
	}()
}

// adoptSpeed adds what an earlier leader has measured of a worker, unless its process has restarted since.
func (c *Controller) adoptSpeed(n *node) {
	row, found := c.fleets.history.rows[n.id]
	if !found || !n.listed {
		return
	}
	delete(c.fleets.history.rows, n.id)
	if row.StartedAt != n.worker.StartedAt/clock.Second*clock.Second {
		return
	}
	n.speed.Merge(row.Measured)
	c.updateSpeed(n)
}

func (c *Controller) saveSpeeds(archive *speeds.Archive, rows []speeds.Row) {
	c.fleets.history.busy = true
	term := c.term
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, storeTimeout.Duration())
		defer cancel()
		err := archive.Save(ctx, term, rows)
		c.post(func() {
			c.runInTerm(term, func() {
				c.fleets.history.busy = false
				if err != nil {
					c.opts.Log.WithError(err).WithField("workers", len(rows)).Info("controller: measured speeds not recorded")
					c.fleets.history.loaded = false
				}
			})
		})
	}()
}
