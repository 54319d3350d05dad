package controller

import (
	"context"

	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/kv"
)

const (
	// maxWatchSilence is the time without a change from the watch of jobs after which notices
	// are read. When the store drops its history, a watch delivers nothing for seconds.
	maxWatchSilence = 300 * clock.Millisecond
	// noticeWindow is the maximum age of the notices that are read. It is longer than a watch
	// stays silent, with a margin for differences between the clocks of the instances.
	noticeWindow = 6 * clock.Second
)

// readNotices finds new and cancelled jobs through their notices while the watch of jobs is
// silent, and adds them to the board.
func (c *Controller) readNotices(now clock.Millis) {
	if c.opts.SinceStoreChange == nil || c.readingNotices || c.opts.SinceStoreChange() < maxWatchSilence || now < c.storeRetryAt || !c.leadershipConfirmed() {
		return
	}
	c.readingNotices = true
	term := c.term
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, storeTimeout.Duration())
		defer cancel()
		entries, err := c.readUnknownJobs(ctx, now)
		if err != nil {
			c.opts.Log.WithError(err).Debug("controller: notices not read")
		}
		c.opts.Board.Add(entries...)
		c.post(func() {
			c.runInTerm(term, func() {
				c.readingNotices = false
				if err != nil {
					c.storeRetryAt = c.opts.Clock.Now() + retryDelay
				}
			})
		})
	}()
}

// readUnknownJobs reads the keys of jobs that notices name and that the board lacks. After an
// error, it also returns the entries that it has read so far.
func (c *Controller) readUnknownJobs(ctx context.Context, now clock.Millis) ([]kv.Entry, error) {
	prefix, after := board.NoticesSince(now - noticeWindow)
	notices, _, err := kv.ListAll(ctx, c.opts.Store, prefix, after, 0)
	if err != nil {
		return nil, err
	}
	var entries []kv.Entry
	for _, notice := range notices {
		key, ok := board.NoticedKey(notice.Key)
		if !ok || c.opts.Board.Has(key) {
			continue
		}
		// All keys of the job, since an end may have been recorded before a cancellation.
		ofJob, _, err := c.opts.Store.List(ctx, board.JobPrefix(board.JobID(key)))
		if err != nil {
			return entries, err
		}
		entries = append(entries, ofJob...)
	}
	return entries, nil
}
