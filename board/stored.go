package board

import "github.com/chestnutsail/chestnutsail/stored"

// Stored returns the memory in bytes that the known jobs of an account take.
func (b *Board) Stored(account string) int64 {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.usage.Of(account)
}

// StoredTotal returns the memory in bytes that all known jobs take.
func (b *Board) StoredTotal() int64 {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.usage.Total()
}

// measure counts the memory of a job, whose record or progress has changed, for its account.
func (b *Board) measure(v *View) {
	if v.Record == nil {
		return
	}
	bytes := stored.JobBytes(stored.Job{Record: v.recordSize, Progress: v.progressSize, Parts: v.Record.Spec.Parts()})
	b.usage.Add(v.Record.Account, bytes-v.bytes)
	v.bytes = bytes
}

// unmeasure takes the memory of a job that was removed from that of its account.
func (b *Board) unmeasure(v *View) {
	if v != nil && v.Record != nil {
		b.usage.Add(v.Record.Account, -v.bytes)
	}
}
