package ledger

import (
	"strconv"
	"strings"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
)

// Prefixes of the ledger's keys. No part of a name holds a slash.
const (
	jobs     = "job/"    // job/ACCOUNT/KEY: a stub, unique in the firm
	lives    = "live/"   // live/DOMAIN/ACCOUNT/KEY: the record of a live job
	cancels  = "cancel/" // cancel/DOMAIN/ACCOUNT/KEY: a live job that has to be stopped
	expiries = "ended/"  // ended/DOMAIN/HOUR/ACCOUNT/KEY: a job that ended in that hour
)

// Key returns the key of the store that stands for a job from its submission to the
// end of its retention.
func Key(account, key string) string { return jobs + account + "/" + key }

func liveKey(r job.Record) string { return lives + r.Domain + "/" + r.Spec.ID() }

func cancelKey(r job.Record) string { return cancels + r.Domain + "/" + r.Spec.ID() }

func expiryKey(r job.Record) string {
	return expiries + r.Domain + "/" + strconv.FormatInt(int64(r.Ended/clock.Hour), 10) + "/" + r.Spec.ID()
}

// ids cuts the prefix of a domain off keys.
func ids(keys []string, prefix string) []string {
	for i, k := range keys {
		keys[i] = strings.TrimPrefix(k, prefix)
	}
	return keys
}
