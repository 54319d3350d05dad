package ledger

import (
	"strconv"
	"strings"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
)

// Prefixes of the ledger's keys. The names of domains, accounts and keys contain no slash.
const (
	jobPrefix    = "job/"    // job/ACCOUNT/KEY: a keyRecord, unique in the firm
	livePrefix   = "live/"   // live/DOMAIN/ACCOUNT/KEY: the record of a live job
	cancelPrefix = "cancel/" // cancel/DOMAIN/ACCOUNT/KEY: marks a live job that has to be stopped
	endedPrefix  = "ended/"  // ended/DOMAIN/HOUR/ACCOUNT/KEY: marks a job that ended in that hour
)

// Key returns the unique key of a job in the store. The store holds it from the submission of
// the job until the retention of its result ends.
func Key(account, key string) string { return jobPrefix + account + "/" + key }

func liveKey(r job.Record) string { return livePrefix + r.Domain + "/" + r.Spec.ID() }

func cancelKey(r job.Record) string { return cancelPrefix + r.Domain + "/" + r.Spec.ID() }

func expiryKey(r job.Record) string {
	return endedPrefix + r.Domain + "/" + strconv.FormatInt(int64(r.Ended/clock.Hour), 10) + "/" + r.Spec.ID()
}

// trimPrefixes removes prefix from all keys in place and returns them.
func trimPrefixes(keys []string, prefix string) []string {
	for i, k := range keys {
		keys[i] = strings.TrimPrefix(k, prefix)
	}
	return keys
}
