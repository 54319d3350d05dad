package board

import (
	"github.com/chestnutsail/chestnutsail/stored"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// JobSize returns the size of a job whose record and progress have the given encoded sizes in bytes.
func JobSize(r *workflow.Record, record, progress int) stored.Job {
	return stored.Job{Record: record, Progress: progress, Parts: len(r.Spec.Steps) * r.Spec.OccurrenceCount()}
}

// Stored returns the memory in bytes that the known jobs of an account take, and that of all jobs.
func (b *Board) Stored(account string) (own, total int64) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.usage.Of(account), b.usage.Total()
}

// measure counts the memory of a job, whose record or progress has changed, for its account.
func (b *Board) measure(v *View) {
	if v.Record == nil {
		return
	}
	bytes := stored.JobBytes(JobSize(v.Record, v.recordSize, v.progressSize))
	b.usage.Add(v.Record.Account, bytes-v.bytes)
	v.bytes = bytes
}

// unmeasure takes the memory of a job that was removed from that of its account.
func (b *Board) unmeasure(v *View) {
	if v != nil && v.Record != nil {
		b.usage.Add(v.Record.Account, -v.bytes)
	}
}
