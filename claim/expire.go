package claim

import (
	"context"
	"fmt"
	"hash/fnv"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/outcome"
)

// Buckets is the number of key prefixes over which claims are spread by hash, so that
// expired claims can be found by listing a small part of the store at a time.
const Buckets = 1024

// Retention is the minimum time in milliseconds for which a claim is kept. A request that
// is resubmitted with the same key within this time does not run twice.
const Retention = 24 * clock.Hour

// Claims without a final outcome are kept longer, so that an operator can investigate them.
const nonFinalRetention = 7 * 24 * clock.Hour

const maxDeletesPerCall = 64

// Key returns the key in the store of the claim for an account's request key.
func Key(account, key string) string {
	return Prefix(bucket(account, key)) + account + "/" + key
}

// Prefix returns the common prefix of the claims of one bucket.
func Prefix(bucket int) string { return fmt.Sprintf("claim/%04d/", bucket) }

func bucket(account, key string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(account + "/" + key))
	return int(h.Sum32() % Buckets)
}

// Expire deletes the claims of one bucket that are past their retention, at most
// maxDeletesPerCall of them, and returns how many claims it kept and deleted. The
// deletion is one transaction: if a claim was changed meanwhile, none is deleted.
func (r *Registry) Expire(ctx context.Context, bucket int) (kept, deleted int, err error) {
	var entries []kv.Entry
	prefix := Prefix(bucket)
	err = r.callStore(ctx, "expire", prefix, func() (err error) {
		entries, _, err = r.opts.Store.List(ctx, prefix)
		return err
	})
	if err != nil {
		return 0, 0, err
	}
	var ops []kv.Op
	for _, entry := range entries {
		c, err := decode(entry)
		if err != nil || !r.expired(c) || len(ops) == maxDeletesPerCall {
			kept++
			continue
		}
		ops = append(ops, kv.Op{Key: entry.Key, Version: entry.Version, Delete: true})
	}
	if len(ops) == 0 {
		return kept, 0, nil
	}
	err = r.callStore(ctx, "expire", prefix, func() (err error) {
		_, err = r.opts.Store.Commit(ctx, ops)
		return err
	})
	if err != nil {
		return kept + len(ops), 0, err
	}
	return kept, len(ops), nil
}

func (r *Registry) expired(c Claim) bool {
	age := r.opts.Clock.Now() - c.TakenAt
	if c.Outcome == nil || c.Outcome.Kind == outcome.Unknown {
		return age > nonFinalRetention
	}
	return age > Retention
}
