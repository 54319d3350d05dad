package ledger

import (
	"context"
	"strconv"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/kv"
)

// notifyPrefix is the prefix of the keys by which the scheduler of a domain is notified of new
// or changed records: hint/DOMAIN.
const notifyPrefix = "hint/"

const watchTimeout = 30 * clock.Second

// Notify notifies the scheduler of a domain through the store that records have changed. It
// is meant for instances that cannot reach the scheduler.
func (l *Ledger) Notify(ctx context.Context, domain string) error {
	key := notifyPrefix + domain
	e, err := l.opts.Store.Get(ctx, key)
	if err != nil && kv.KindOf(err) != kv.Missing {
		return err
	}
	value := []byte(strconv.FormatInt(int64(l.opts.Clock.Now()), 10))
	_, err = l.writes.apply(ctx, []kv.Op{{Key: key, Version: e.Version, Value: value}})
	if kv.KindOf(err) == kv.Conflict {
		return nil
	}
	return err
}

// AwaitNotify waits until the domain is notified after the given index of the store, or until
// 30 s have passed. It returns the index for the next call.
func (l *Ledger) AwaitNotify(ctx context.Context, domain string, index uint64) (uint64, error) {
	_, next, err := l.opts.Store.Watch(ctx, notifyPrefix+domain, index, watchTimeout)
	return next, err
}
