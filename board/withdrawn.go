package board

import (
	"strings"

	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// withdrawalKind is the prefix of the last part of a withdrawal's key.
const withdrawalKind = "w/"

// WithdrawalKey returns a key that cancels a job of one owner, which is the value of the key, also if the
// job's record is written only later. The token makes the key unique.
func WithdrawalKey(id, token string) string { return jobPrefix + id + "/" + withdrawalKind + token }

// withdraw handles the key of a withdrawal. It returns the view of the job if that is cancelled by it.
func (b *Board) withdraw(id string, e kv.Entry) *View {
	var owner workflow.Owner
	if err := workflow.Decode(e.Value, &owner); err != nil {
		b.onDecodeError(e.Key, err)
		return nil
	}
	if b.withdrawn[id] == nil {
		b.withdrawn[id] = make(map[string]workflow.Owner)
	}
	b.withdrawn[id][e.Key] = owner
	if v := b.jobs[id]; v != nil && !v.Cancelled && b.isWithdrawn(v) {
		v.Cancelled = true
		return v
	}
	return nil
}

// isWithdrawn reports whether the owner of a job has withdrawn it.
func (b *Board) isWithdrawn(v *View) bool {
	for _, owner := range b.withdrawn[v.ID] {
		if v.Record != nil && owner.Owns(v.Record) {
			return true
		}
	}
	return false
}

// forgetWithdrawal handles the deletion of the key of a withdrawal, which the store deletes after a while.
// A job that it has cancelled stays cancelled.
func (b *Board) forgetWithdrawal(id, key string) {
	delete(b.withdrawn[id], key)
	if len(b.withdrawn[id]) == 0 {
		delete(b.withdrawn, id)
	}
}

func isWithdrawal(kind string) bool { return strings.HasPrefix(kind, withdrawalKind) }
