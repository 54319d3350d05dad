package ledger

import (
	"context"
	"strconv"
	"strings"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/kv"
)

// Sweep deletes the ended jobs of a domain whose retention has passed. After that, their keys
// may be used again.
func (l *Ledger) Sweep(ctx context.Context, domain string) error {
	keys, err := l.opts.Store.Keys(ctx, endedPrefix+domain+"/")
	if err != nil {
		return err
	}
	firstKeptHour := int64((l.opts.Clock.Now() - l.opts.Retention) / clock.Hour)
	for _, key := range keys {
		hour, id, _ := strings.Cut(strings.TrimPrefix(key, endedPrefix+domain+"/"), "/")
		if h, err := strconv.ParseInt(hour, 10, 64); err != nil || h >= firstKeptHour {
			continue
		}
		if err := l.deleteEnded(ctx, key, id); err != nil {
			return err
		}
	}
	return nil
}

// deleteEnded deletes the keyRecord of an ended job and the key expiry that marks its end.
func (l *Ledger) deleteEnded(ctx context.Context, expiry, id string) error {
	expiryEntry, err := l.opts.Store.Get(ctx, expiry)
	if kv.KindOf(err) == kv.Missing {
		return nil
	}
	if err != nil {
		return err
	}
	ops := []kv.Op{{Key: expiry, Version: expiryEntry.Version, Delete: true}}
	account, key, _ := strings.Cut(id, "/")
	s, version, err := l.keyRecord(ctx, account, key)
	if err == nil && s.Ended != nil && expiryKey(*s.Ended) == expiry {
		ops = append(ops, kv.Op{Key: Key(account, key), Version: version, Delete: true})
	}
	_, err = l.writes.apply(ctx, ops)
	return err
}
