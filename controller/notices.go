package controller

import (
	"context"

	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/kv"
)

const (
	// silence is the time without a change from the watch after which notices are read: a
	// watch of a store that drops its history is silent for seconds.
	silence = 300 * clock.Millisecond
	// noticeAge is how far back notices are read: longer than a watch is silent, with a
	// reserve for the clocks of other instances.
	noticeAge = 6 * clock.Second
)

// poll reads which jobs are new or cancelled while the watch is silent.
func (c *Controller) poll(now clock.Millis) {
	if c.opts.Heard == nil || c.polling || c.opts.Heard() < silence || now < c.resting || !c.acts() {
		return
	}
	c.polling = true
	term := c.term
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, storeTimeout.Duration())
		defer cancel()
		entries, err := c.unseen(ctx, now)
		if err != nil {
			c.opts.Log.WithError(err).Debug("controller: notices not read")
		}
		c.opts.Board.Add(entries...)
		c.post(func() {
			c.onTerm(term, func() {
				c.polling = false
				if err != nil {
					c.resting = c.opts.Clock.Now() + retryPause
				}
			})
		})
	}()
}

// unseen returns the keys of jobs that notices name and that are not known yet.
func (c *Controller) unseen(ctx context.Context, now clock.Millis) ([]kv.Entry, error) {
	prefix, after := board.NoticesSince(now - noticeAge)
	list, _, err := kv.ListAll(ctx, c.opts.Store, prefix, after, 0)
	if err != nil {
		return nil, err
	}
	var entries []kv.Entry
	for _, n := range list {
		key, ok := board.Noticed(n.Key)
		if !ok || c.opts.Board.Has(key) {
			continue
		}
		e, err := c.opts.Store.Get(ctx, key)
		if kv.KindOf(err) == kv.Missing {
			continue
		}
		if err != nil {
			return entries, err
		}
		entries = append(entries, e)
	}
	return entries, nil
}
