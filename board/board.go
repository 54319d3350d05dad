// Package board holds an instance's local view of all jobs: their records, their progress and
// their cancellations. A mirror of the store keeps the view up to date.
//
// # Usage
//
//	b := board.New(nil)
//	b.Replace(entries) // and then b.Apply(changes), from a mirror
//	view, ok := b.Find(id)
//	n := b.Pending(queue)
package board

import (
	"fmt"
	"strings"
	"sync"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/stored"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// Prefix is the prefix of all keys of this system in the store. LeaderKey is the key that the
// current leader holds.
const (
	Prefix    = "cs/"
	LeaderKey = Prefix + "lead"
	jobPrefix = Prefix + "j/"
)

// The last parts of the keys of a job.
const (
	recordKind   = "a"
	progressKind = "p"
	cancelKind   = "c"
)

// RecordKey returns the key of a job's record.
func RecordKey(id string) string { return jobPrefix + id + "/" + recordKind }

// ProgressKey returns the key of a job's progress.
func ProgressKey(id string) string { return jobPrefix + id + "/" + progressKind }

// CancelKey returns the key that cancels a job if it exists.
func CancelKey(id string) string { return jobPrefix + id + "/" + cancelKind }

// JobPrefix returns the prefix of the keys of one job.
func JobPrefix(id string) string { return jobPrefix + id + "/" }

// JobID returns the ID in one of the keys of a job, or "" if it is another key.
func JobID(key string) string {
	id, _, _ := split(key)
	return id
}

// noticePrefix is the prefix of the notice keys. A notice names the key of a new job or of a
// cancellation, and notices are ordered by time. They are for readers that can't wait for the
// watch to deliver the change.
const noticePrefix = "cs-new/"

// noticeTimeDigits is the number of digits of the time in a notice key, which is in milliseconds.
const noticeTimeDigits = 14

// NoticeKey returns the key of the notice for a job's key that was created at the given Unix time in
// milliseconds.
func NoticeKey(at clock.Millis, key string) string {
	return fmt.Sprintf("%s%0*d/%s", noticePrefix, noticeTimeDigits, int64(at), strings.TrimPrefix(key, jobPrefix))
}

// NoticesSince returns the prefix of all notices, and a key that sorts after all notices from before
// the given Unix time in milliseconds and before all others.
func NoticesSince(at clock.Millis) (prefix, after string) {
	return noticePrefix, fmt.Sprintf("%s%0*d", noticePrefix, noticeTimeDigits, int64(at))
}

// NoticedKey returns the key that a notice refers to. It returns false if the key of the notice is
// too short.
func NoticedKey(notice string) (key string, ok bool) {
	rest := strings.TrimPrefix(notice, noticePrefix)
	if len(rest) <= noticeTimeDigits+1 {
		return "", false
	}
	return jobPrefix + rest[noticeTimeDigits+1:], true
}

// View is the known state of one job.
type View struct {
	ID string
	// Record is nil until the job's record has been read.
	Record    *workflow.Record
	Progress  workflow.Progress
	Cancelled bool
	// Version is the version of the progress key; 0 before its first write.
	Version uint64
	// Held is the end of the job if it is known from a leader and not recorded yet; nil
	// otherwise.
	Held *workflow.Progress
	// Confirmed is the final state that another instance has read from the store, if this instance has
	// not read it yet; "" otherwise.
	Confirmed workflow.State
	// recordSize and progressSize are the encoded sizes of the record and the progress, bytes is the memory that the
	// job is counted with.
	recordSize, progressSize int
	bytes                    int64
}

// State returns the state of the job as reported to callers. A recorded final state takes precedence
// over a cancellation, and a cancellation over the other states. An end that is only held is not
// reported: the instances that hold it may all be replaced before the store has recorded it.
func (v *View) State() workflow.State {
	switch {
	case v.Progress.State.Final():
		return v.Progress.State
	case v.Confirmed != "":
		return v.Confirmed
	case v.Cancelled:
		return workflow.Cancelled
	case v.Progress.State == "":
		return workflow.Queued
	}
	return v.Progress.State
}

// isSameJob reports whether another view, which may be nil, is of the same job. The ID of a job is free again
// after its keys were deleted.
func (v *View) isSameJob(other *View) bool {
	return other != nil && other.Record != nil && v.Record != nil && other.Record.Token == v.Record.Token
}

// Board holds the views of all jobs. It is safe for concurrent use.
type Board struct {
	mu   sync.RWMutex
	jobs map[string]*View
	// held holds the ends of jobs that are not recorded yet, by ID. leaderTerm is the term of the
	// last leader that was seen; 0 before.
	held map[string]workflow.Progress
	// withdrawn holds the owners in the keys of withdrawals, by the ID of the job and by key.
	withdrawn  map[string]map[string]workflow.Owner
	leaderTerm uint64
	// usage is the memory that the jobs take, by account.
	usage *stored.Usage
	// leader is the value of the leader's key; "" if there is none. progressCount is the number of
	// changes of progress that were seen, which only leaders write.
	leader        string
	progressCount uint64
	// watchers are called with the views of new and newly cancelled jobs. onDecodeError is
	// called for values that can't be decoded.
	watchers      []func(View)
	onDecodeError func(key string, err error)
}

// New returns an empty board. It calls onDecodeError for values that can't be decoded; nil ignores
// them.
func New(onDecodeError func(key string, err error)) *Board {
	if onDecodeError == nil {
		onDecodeError = func(string, error) {}
	}
	return &Board{jobs: make(map[string]*View), held: make(map[string]workflow.Progress), withdrawn: make(map[string]map[string]workflow.Owner), usage: stored.NewUsage(), onDecodeError: onDecodeError}
}

// Watch registers f to be called with the view of a job when its record or its cancellation is
// first seen.
func (b *Board) Watch(f func(View)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.watchers = append(b.watchers, f)
}

// Replace replaces all views by the given complete list of entries under Prefix, except for progress and
// final states that are newer than the list. It reports whether there is a leader.
func (b *Board) Replace(entries []kv.Entry) (hasLeader bool) {
	b.mu.Lock()
	previousJobs := b.jobs
	b.jobs, b.leader, b.usage = make(map[string]*View, len(entries)/2), "", stored.NewUsage()
	clear(b.withdrawn)
	var updates []View
	for _, e := range entries {
		if e.Key == LeaderKey {
			hasLeader = true
			b.updateLeader(e)
			continue
		}
		b.update(e)
	}
	for id, v := range b.jobs {
		previous := previousJobs[id]
		if previous != nil && previous.Version > v.Version {
			// The list was begun before this progress was written or read.
			v.Progress, v.Version, v.progressSize = previous.Progress, previous.Version, previous.progressSize
			b.measure(v)
		}
		if v.isSameJob(previous) {
			// The list may have been begun before the cancellation was recorded.
			v.Cancelled = v.Cancelled || previous.Cancelled
			if !v.Progress.State.Final() {
				v.Confirmed = previous.Confirmed
			}
		}
		if previous == nil || previous.Record == nil || previous.Cancelled != v.Cancelled {
			updates = append(updates, b.withHeld(v))
		}
	}
	watchers := b.watchers
	b.mu.Unlock()
	notify(watchers, updates)
	return hasLeader
}

// Apply updates the views with changes from the store. It reports whether the leader's key was
// among them and, if so, whether there is a leader now.
func (b *Board) Apply(changes []kv.Change) (leaderChanged, hasLeader bool) {
	b.mu.Lock()
	var updates []View
	for _, c := range changes {
		if c.Key == LeaderKey {
			leaderChanged, hasLeader = true, !c.Deleted
			if hasLeader {
				b.updateLeader(c.Entry)
			} else {
				b.leader = ""
			}
			continue
		}
		if c.Deleted {
			b.remove(c.Key)
			continue
		}
		if v := b.update(c.Entry); v != nil {
			updates = append(updates, b.withHeld(v))
		}
	}
	watchers := b.watchers
	b.mu.Unlock()
	notify(watchers, updates)
	return leaderChanged, hasLeader
}

// Add updates the views with entries that this instance has just written or read.
func (b *Board) Add(entries ...kv.Entry) {
	changes := make([]kv.Change, len(entries))
	for i, e := range entries {
		changes[i] = kv.Change{Entry: e}
	}
	b.Apply(changes)
}

// update updates the view of one job with one entry. It returns the view if the job's record or
// its cancellation is new, and nil otherwise.
func (b *Board) update(e kv.Entry) *View {
	id, kind, ok := split(e.Key)
	switch {
	case !ok:
		return nil
	case isWithdrawal(kind):
		return b.withdraw(id, e)
	}
	v := b.jobs[id]
	if v == nil {
		v = &View{ID: id}
		b.jobs[id] = v
	}
	switch kind {
	case recordKind:
		if v.Record != nil {
			return nil
		}
		r, err := workflow.DecodeRecord(e.Value)
		if err != nil {
			b.onDecodeError(e.Key, err)
			return nil
		}
		r.ID = id
		v.Record, v.recordSize = r, len(e.Value)
		b.measure(v)
		v.Cancelled = v.Cancelled || b.isWithdrawn(v)
		return v
	case progressKind:
		if e.Version < v.Version {
			return nil
		}
		var p workflow.Progress
		if err := workflow.Decode(e.Value, &p); err != nil {
			b.onDecodeError(e.Key, err)
			return nil
		}
		if e.Version > v.Version {
			b.progressCount++
		}
		v.Progress, v.Version, v.progressSize = p, e.Version, len(e.Value)
		b.measure(v)
		if p.State.Final() {
			v.Confirmed = ""
			delete(b.held, id)
		}
	case cancelKind:
		if !v.Cancelled {
			v.Cancelled = true
			return v
		}
	}
	return nil
}

func (b *Board) remove(key string) {
	id, kind, ok := split(key)
	switch {
	case !ok:
	case kind == recordKind:
		b.unmeasure(b.jobs[id])
		delete(b.jobs, id)
		delete(b.held, id)
	case isWithdrawal(kind):
		b.forgetWithdrawal(id, key)
	}
}

// Find returns the view of a job. It returns false if the job's record is not known.
func (b *Board) Find(id string) (View, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	v := b.jobs[id]
	if v == nil || v.Record == nil {
		return View{}, false
	}
	return b.withHeld(v), true
}

// All returns the views of all jobs whose records are known, in no particular order.
func (b *Board) All() []View {
	b.mu.RLock()
	defer b.mu.RUnlock()
	list := make([]View, 0, len(b.jobs))
	for _, v := range b.jobs {
		if v.Record != nil {
			list = append(list, b.withHeld(v))
		}
	}
	return list
}

// Has reports whether the key of a job's record, cancellation or withdrawal has been seen.
func (b *Board) Has(key string) bool {
	id, kind, ok := split(key)
	b.mu.RLock()
	defer b.mu.RUnlock()
	v := b.jobs[id]
	switch {
	case !ok:
		return false
	case isWithdrawal(kind):
		_, seen := b.withdrawn[id][key]
		return seen
	case v == nil:
		return false
	case kind == cancelKind:
		return v.Cancelled
	}
	return v.Record != nil
}

// Pending returns the number of jobs of a queue of which no task has started yet.
func (b *Board) Pending(queue string) int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	n := 0
	for _, v := range b.jobs {
		if v.Record == nil || v.Record.Queue != queue {
			continue
		}
		if view := b.withHeld(v); view.State() == workflow.Queued {
			n++
		}
	}
	return n
}

func split(key string) (id, kind string, ok bool) {
	rest, ok := strings.CutPrefix(key, jobPrefix)
	if !ok {
		return "", "", false
	}
	return strings.Cut(rest, "/")
}

func notify(watchers []func(View), updates []View) {
	for _, v := range updates {
		for _, w := range watchers {
			w(v)
		}
	}
}
