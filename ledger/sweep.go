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

// deleteEnded deletes the keyRecord of the ended job id and endedKey, the key under
// endedPrefix that marks the end of the job.
func (l *Ledger) deleteEnded(ctx context.Context, endedKey, id string) error {
	endedEntry, err := l.opts.Store.Get(ctx, endedKey)
	if kv.KindOf(err) == kv.Missing {
		return nil
	}
	if err != nil {
		return err
	}
	ops := []kv.Op{{Key: endedKey, Version: endedEntry.Version, Delete: true}}
	account, key, _ := strings.Cut(id, "/")
	existing, version, err := l.keyRecord(ctx, account, key)
	if err == nil && existing.Ended != nil && expiryKey(*existing.Ended) == endedKey {
		ops = append(ops, kv.Op{Key: Key(account, key), Version: version, Delete: true})
	}
	_, err = l.writes.apply(ctx, ops)
	return err
}
