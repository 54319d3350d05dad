package intake

import (
	"bytes"
	"context"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/workflow"
)

// owner returns whose jobs the call may access.
func (g Grant) owner() workflow.Owner {
	return workflow.Owner{Queue: g.Queue.Name, Account: g.Account.Name, Public: g.Queue.Public}
}

// answerDuplicate answers a submission with the ID of an existing record. The same job is
// accepted again. A different job is refused, because its ID is taken and it would never run.
func (h *Handler) answerDuplicate(g Grant, existing *workflow.Record, spec workflow.Spec, reason string) Answer {
	if !g.owner().Owns(existing) {
		h.logForeign(g, existing)
		return Answer{Verdict: IDTaken, Reason: "the ID is taken"}
	}
	if !bytes.Equal(workflow.Encode(existing.Spec), workflow.Encode(spec)) {
		return Answer{Verdict: IDTaken, Reason: "the ID is taken by a job with another body"}
	}
	return Answer{Verdict: OK, Reason: reason}
}

// answerConflict answers a submission whose write conflicted with a record in the store. It reads
// that record to compare the jobs.
func (h *Handler) answerConflict(ctx context.Context, g Grant, spec workflow.Spec) Answer {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	entry, err := h.opts.Store.Get(ctx, board.RecordKey(g.ID))
	var r *workflow.Record
	if err == nil {
		r, err = workflow.DecodeRecord(entry.Value)
	}
	if err != nil {
		return Answer{Verdict: Unsure, RetryAfter: retryAfter, Reason: err.Error()}
	}
	h.opts.Board.Add(entry)
	return h.answerDuplicate(g, r, spec, "recorded before")
}

// logForeign logs a call for a job that does not belong to the caller. The answer to the caller
// does not reveal whose job it is.
func (h *Handler) logForeign(g Grant, r *workflow.Record) {
	h.opts.Log.WithFields(logrus.Fields{
		"job": g.ID, "account": g.Account.Name, "queue": g.Queue.Name, "owner": r.Account, "owner_queue": r.Queue, "config": g.Version,
	}).Warn("intake: call for a job of another account or queue")
}

// findOwn returns the view of a job that belongs to the caller. It looks in the local view first,
// and in the store if the job is not known locally. The answer is nil if the job is found.
func (h *Handler) findOwn(ctx context.Context, g Grant) (board.View, *Answer) {
	view, answer := h.lookUp(ctx, g)
	if answer == nil && !g.owner().Owns(view.Record) {
		h.logForeign(g, view.Record)
		return board.View{}, noJob()
	}
	return view, answer
}

func noJob() *Answer { return &Answer{Verdict: NoJob, Reason: "no such job"} }

func (h *Handler) lookUp(ctx context.Context, g Grant) (board.View, *Answer) {
	if view, ok := h.opts.Board.Find(g.ID); ok {
		return view, nil
	}
	if !h.opts.Reachable() {
		return board.View{}, &Answer{Verdict: Busy, RetryAfter: retryAfter, Reason: errUnreachable.Error()}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	entries, _, err := h.opts.Store.List(ctx, board.JobPrefix(g.ID))
	if err != nil {
		return board.View{}, &Answer{Verdict: Busy, RetryAfter: retryAfter, Reason: err.Error()}
	}
	h.opts.Board.Add(entries...)
	view, ok := h.opts.Board.Find(g.ID)
	if !ok {
		return board.View{}, noJob()
	}
	return view, nil
}
