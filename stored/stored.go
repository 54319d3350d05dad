// Package stored decides whether a client account may store another job. Every instance keeps all stored jobs in
// memory, so an account that hands in jobs faster than they end would take the memory of all instances at once, and take
// it again after each restart.
//
// # Usage
//
//	usage := stored.NewUsage()
//	usage.Add(account, stored.JobBytes(stored.Job{Record: len(record), Parts: spec.Parts()}))
//	ok := limit.Allows(usage.Of(account), usage.Total(), len(accounts), bytes)
package stored

import "github.com/chestnutsail/chestnutsail/workflow"

const (
	// jobBytes is the memory in bytes of a job apart from its record and its parts.
	jobBytes = 1536
	// partBytes is the memory in bytes of a part at the leader.
	partBytes = 300
	// progressFactor is the memory of decoded progress relative to its encoded size.
	progressFactor = 2
	// memoryFraction is the fraction of an instance's memory that stored jobs may take. Decoding them at a start and
	// garbage take as much again.
	memoryFraction = 1.0 / 6
	// accountFraction is the fraction of the limit that one account may use while the others leave it free.
	accountFraction = 0.5
)

// Job is the size of a stored job: the encoded sizes of its record and its progress in bytes, and the number of its
// parts, each of which is a step of one occurrence.
type Job struct{ Record, Progress, Parts int }

// JobBytes returns about how much memory in bytes a job takes of an instance.
func JobBytes(j Job) int64 {
	return jobBytes + int64(j.Record) + progressFactor*int64(j.Progress) + partBytes*int64(min(j.Parts, workflow.MaxOpenParts))
}

// Usage is the memory of the stored jobs by account. It is not safe for concurrent use.
type Usage struct {
	accounts map[string]int64
	total    int64
}

// NewUsage returns a usage of nothing.
func NewUsage() *Usage { return &Usage{accounts: make(map[string]int64)} }

// Add adds a number of bytes, which may be negative, to what an account uses.
func (u *Usage) Add(account string, bytes int64) {
	u.total += bytes
	u.accounts[account] += bytes
	if u.accounts[account] == 0 {
		delete(u.accounts, account)
	}
}

// Of returns the number of bytes that an account uses.
func (u *Usage) Of(account string) int64 { return u.accounts[account] }

// Total returns the number of bytes that all accounts use.
func (u *Usage) Total() int64 { return u.total }

// Limit is the memory in bytes for the stored jobs of all accounts; 0 means that it is not limited.
type Limit struct{ Bytes int64 }

// LimitOf returns the limit for instances with the given memory limits in bytes. The smallest one counts, since each
// instance keeps the jobs that the others accept; 0 stands for none.
func LimitOf(memories ...int64) Limit {
	var smallest int64
	for _, m := range memories {
		if m > 0 && (smallest == 0 || m < smallest) {
			smallest = m
		}
	}
	return Limit{Bytes: int64(memoryFraction * float64(smallest))}
}

// Allows reports whether one of a number of accounts may store a job of the given memory, if its stored jobs take own
// bytes and those of all accounts take total bytes. An equal share is always its own. Beyond that it may use half of what
// there is, as long as the others leave that free.
func (l Limit) Allows(own, total int64, accounts int, bytes int64) bool {
	if l.Bytes == 0 || own+bytes <= l.Bytes/int64(max(accounts, 1)) {
		return true
	}
	return float64(own+bytes) <= accountFraction*float64(l.Bytes) && total+bytes <= l.Bytes
}
