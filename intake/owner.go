package intake

import (
	"bytes"
	"context"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// owns reports whether a job is one of the caller's, in the queue that was addressed. Calls
// of a public queue need no key, so its jobs belong to whoever knows their IDs.
func (g Grant) owns(r *workflow.Record) bool {
	return r.Queue == g.Queue.Name && (g.Queue.Public || r.Account == g.Account.Name)
}

// again answers a submission whose ID a record already has: the same job once more is
// accepted, any other would be lost behind it.
func (d *Desk) again(g Grant, standing *workflow.Record, spec workflow.Spec, reason string) Answer {
	if !g.owns(standing) {
		d.foreign(g, standing)
		return Answer{Verdict: Clash, Reason: "the ID is taken"}
	}
	if !bytes.Equal(workflow.Encode(standing.Spec), workflow.Encode(spec)) {
		return Answer{Verdict: Clash, Reason: "the ID is taken by a job with another body"}
	}
	return Answer{Verdict: OK, Reason: reason}
}

// standing answers a submission that found a record in the store.
func (d *Desk) standing(ctx context.Context, g Grant, spec workflow.Spec) Answer {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout.Duration())
	defer cancel()
	e, err := d.opts.Store.Get(ctx, board.RecordKey(g.ID))
	var r workflow.Record
	if err == nil {
		err = workflow.Decode(e.Value, &r)
	}
	if err != nil {
		return Answer{Verdict: Unsure, After: retryAfter, Reason: err.Error()}
	}
	d.opts.Board.Add(e)
	return d.again(g, &r, spec, "recorded before")
}

// foreign logs a call for a job that is not the caller's. The answer does not tell.
func (d *Desk) foreign(g Grant, r *workflow.Record) {
	d.opts.Log.WithFields(logrus.Fields{
		"job": g.ID, "account": g.Account.Name, "queue": g.Queue.Name, "owner": r.Account, "owner_queue": r.Queue, "config": g.Version,
	}).Warn("intake: call for a job of another account or queue")
}

// find looks a job of the caller's up in this instance's view, and in the store if it is
// not there.
func (d *Desk) find(ctx context.Context, g Grant) (board.View, *Answer) {
	view, answer := d.lookUp(ctx, g)
	if answer == nil && !g.owns(view.Record) {
		d.foreign(g, view.Record)
		return board.View{}, noJob()
	}
	return view, answer
}

func noJob() *Answer { return &Answer{Verdict: NoJob, Reason: "no such job"} }

func (d *Desk) lookUp(ctx context.Context, g Grant) (board.View, *Answer) {
	if view, ok := d.opts.Board.Find(g.ID); ok {
		return view, nil
	}
	if !d.opts.Reachable() {
		return board.View{}, &Answer{Verdict: Busy, After: retryAfter, Reason: errUnreachable.Error()}
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout.Duration())
	defer cancel()
	entries, _, err := d.opts.Store.List(ctx, board.JobPrefix(g.ID))
	if err != nil {
		return board.View{}, &Answer{Verdict: Busy, After: retryAfter, Reason: err.Error()}
	}
	d.opts.Board.Add(entries...)
	view, ok := d.opts.Board.Find(g.ID)
	if !ok {
		return board.View{}, noJob()
	}
	return view, nil
}
