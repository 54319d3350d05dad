package ledger

import (
	"context"
	"encoding/json"

	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/outcome"
)

// Live returns the records of all live jobs of a domain. It logs and skips records that
// cannot be decoded.
func (l *Ledger) Live(ctx context.Context, domain string) ([]Entry, error) {
	pairs, _, err := l.opts.Store.List(ctx, livePrefix+domain+"/")
	if err != nil {
		return nil, err
	}
	entries := make([]Entry, 0, len(pairs))
	for _, p := range pairs {
		e := Entry{Version: p.Version}
		if err := json.Unmarshal(p.Value, &e.Record); err != nil {
			l.opts.Log.WithError(err).WithField("key", p.Key).Error("ledger: record cannot be decoded")
			continue
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// IDs returns the IDs of all live jobs of a domain, and the IDs of those among them that are
// marked as canceled.
func (l *Ledger) IDs(ctx context.Context, domain string) (live, canceled []string, err error) {
	live, err = l.opts.Store.Keys(ctx, livePrefix+domain+"/")
	if err != nil {
		return nil, nil, err
	}
	canceled, err = l.opts.Store.Keys(ctx, cancelPrefix+domain+"/")
	return trimPrefixes(live, livePrefix+domain+"/"), trimPrefixes(canceled, cancelPrefix+domain+"/"), err
}

// Find returns the record of a live job, or an error of kind kv.Missing.
func (l *Ledger) Find(ctx context.Context, domain, id string) (Entry, error) {
	var e Entry
	version, err := l.readValue(ctx, livePrefix+domain+"/"+id, &e.Record)
	e.Version = version
	return e, err
}

// Write replaces a live record if its version in the store is still e.Version, and returns it
// with its new version. If the response of the store is lost, Write reads the record to
// determine whether the write took effect. The error is of kind kv.Ambiguous when that
// read fails or finds the old version, and of kind kv.Conflict when it finds a version that
// another caller wrote.
func (l *Ledger) Write(ctx context.Context, e Entry) (Entry, error) {
	ops := []kv.Op{{Key: liveKey(e.Record), Version: e.Version, Value: encode(e.Record)}}
	if e.Record.Cancel {
		ops = append(ops, l.cancelMarkOps(ctx, e.Record)...)
	}
	versions, err := l.writes.apply(ctx, ops)
	switch kv.KindOf(err) {
	case kv.OK:
		e.Version = versions[0]
		return e, nil
	case kv.Ambiguous:
		current, findErr := l.Find(ctx, e.Record.Domain, e.Record.Spec.ID())
		if findErr != nil {
			return e, err
		}
		if current.Version != e.Version && string(encode(current.Record)) == string(ops[0].Value) {
			return current, nil
		}
		if current.Version != e.Version {
			return e, &kv.Error{Op: "commit", Key: ops[0].Key, Kind: kv.Conflict, Err: kv.ErrConflict}
		}
	}
	return e, err
}

// cancelMarkOps returns the operation that marks a job as canceled, or none if the mark exists
// already.
func (l *Ledger) cancelMarkOps(ctx context.Context, r job.Record) []kv.Op {
	if _, err := l.opts.Store.Get(ctx, cancelKey(r)); err == nil {
		return nil
	}
	return []kv.Op{{Key: cancelKey(r), Value: []byte("{}")}}
}

// End deletes a live record and writes its final form to the job's unique key. The state must
// be final; End panics otherwise. An Outcome that is not set is derived from the state. If
// the job had ended before, End returns the existing final record without an error.
func (l *Ledger) End(ctx context.Context, e Entry) (Entry, error) {
	if !e.Record.State.Ended() {
		panic("ledger: End needs a final state")
	}
	existing, version, err := l.keyRecord(ctx, e.Record.Spec.Account, e.Record.Spec.Key)
	if err != nil {
		return e, err
	}
	if existing.Ended != nil {
		return Entry{Record: *existing.Ended}, nil
	}
	r := e.Record
	r.Ended = l.opts.Clock.Now()
	if r.Outcome.Kind == "" {
		r.Outcome = outcomeWithoutResult(r)
	}
	r.Spec.Payload = nil
	existing.Ended = &r
	ops := []kv.Op{
		{Key: Key(r.Spec.Account, r.Spec.Key), Version: version, Value: encode(existing)},
		{Key: liveKey(r), Version: e.Version, Delete: true},
		{Key: expiryKey(r), Value: []byte("{}")},
	}
	if r.Cancel {
		if mark, err := l.opts.Store.Get(ctx, cancelKey(r)); err == nil {
			ops = append(ops, kv.Op{Key: mark.Key, Version: mark.Version, Delete: true})
		}
	}
	if _, err = l.writes.apply(ctx, ops); err != nil {
		return e, err
	}
	return Entry{Record: r}, nil
}

// outcomeWithoutResult returns the outcome of a job that ended without a result.
func outcomeWithoutResult(r job.Record) outcome.Outcome {
	o := outcome.Outcome{Account: r.Spec.Account, Key: r.Spec.Key, Attempt: r.Attempt}
	switch {
	case r.State == job.Unknown:
		o.Kind, o.Reason = outcome.Unknown, outcome.AnswerLost
		o.Detail = "the job was lost after its start and is not run again"
	case r.State == job.Canceled && r.Started == 0:
		o.Kind, o.Reason = outcome.NotRun, outcome.Canceled
		o.Detail = "the job was canceled before it ran"
	case r.State == job.Canceled:
		o.Kind, o.Reason = outcome.Failed, outcome.Canceled
		o.Detail = "the job was stopped on request after it had started"
		o = o.WithBody(nil)
	default:
		o.Kind = outcome.Failed
		o = o.WithBody(nil)
	}
	return o
}
