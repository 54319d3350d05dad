package board

import "github.com/chestnutsail/chestnutsail/kv"

// updateLeader handles a new value of the leader's key.
func (b *Board) updateLeader(e kv.Entry) {
	if e.Version >= b.leaderTerm {
		b.leaderTerm, b.leader = e.Version, string(e.Value)
	}
}

// Leader returns the value of the leader's key and the leader's term. The value is "" while there is
// no leader; the term is then that of the last one, or 0 before the first.
func (b *Board) Leader() (value string, term uint64) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.leader, b.leaderTerm
}

// ProgressCount returns the number of changes of jobs' progress that this instance has seen. Only
// leaders write progress, so a leader has lately been at work if the number grows.
func (b *Board) ProgressCount() uint64 {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.progressCount
}
