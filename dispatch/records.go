package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/outcome"
)

// commitPlacement writes a placement to the job's record. It does not retry a failed
// write, because the reservations on the workers would expire meanwhile.
func (s *session) commitPlacement(ctx context.Context, j *liveJob, placed job.Record) error {
	ctx, cancel := context.WithTimeout(ctx, s.opts.Times.Reservation.Duration()/2)
	defer cancel()
	e := j.stored
	if e.Record.Cancel {
		return errCanceled
	}
	if s.isSuperseded(j) {
		if err := s.refreshRecord(ctx, j); err != nil {
			return err
		}
		return errOtherScheduler
	}
	e.Record.State, e.Record.Attempt = placed.State, placed.Attempt
	e.Record.Term, e.Record.Members = placed.Term, placed.Members
	e, err := s.opts.Ledger.Write(ctx, e)
	if kv.KindOf(err) == kv.Conflict {
		if refreshErr := s.refreshRecord(ctx, j); refreshErr != nil {
			return refreshErr
		}
	}
	if err == nil {
		j.stored = e
	}
	return err
}

// isSuperseded reports whether a scheduler of a newer term has written the job's record.
// This scheduler may then no longer write it, even if its own election has not told it yet.
func (s *session) isSuperseded(j *liveJob) bool { return j.stored.Record.Term > s.term }

// refreshRecord reads the record of a job after a version conflict. It returns
// errJobEnded when the record is gone, errOtherScheduler when another scheduler has
// changed the term or the attempt, errCanceled when the job is to be canceled, and nil for
// any other change.
func (s *session) refreshRecord(ctx context.Context, j *liveJob) error {
	e, err := s.opts.Ledger.Find(ctx, s.opts.Domain, j.id)
	switch {
	case kv.KindOf(err) == kv.Missing:
		return errJobEnded
	case err != nil:
		return err
	}
	old := j.stored.Record
	j.stored = e
	if e.Record.Term != old.Term || e.Record.Attempt != old.Attempt {
		return errOtherScheduler
	}
	if e.Record.Cancel {
		return errCanceled
	}
	return nil
}

// writeRecord changes a job's record and retries until the write succeeds, the session
// ends, the job has ended, or a scheduler of a newer term has written the record.
func (s *session) writeRecord(j *liveJob, change func(*job.Record)) {
	for retries := 0; s.ctx.Err() == nil && !s.isSuperseded(j); retries++ {
		e := j.stored
		change(&e.Record)
		e, err := s.opts.Ledger.Write(s.ctx, e)
		if err == nil {
			j.stored = e
			return
		}
		if kv.KindOf(err) == kv.Conflict {
			if err = s.refreshRecord(s.ctx, j); err == nil || errors.Is(err, errCanceled) {
				continue
			}
			if errors.Is(err, errJobEnded) {
				return
			}
		}
		s.backOff(retries, err)
	}
}

// backOff counts a failed store call by its cause and sleeps before the retry, for a random
// time that is at most maxBackoff and whose limit doubles with each retry.
func (s *session) backOff(retries int, err error) {
	reason := outcome.RetryStoreDown
	switch kv.KindOf(err) {
	case kv.Conflict:
		reason = outcome.RetryStoreConflict
	case kv.Ambiguous:
		reason = outcome.RetryStoreUnclear
	}
	s.opts.Counters.Retried(reason)
	clock.Sleep(s.ctx, rand.N(min(initialBackoff<<min(retries, maxBackoffDoublings), maxBackoff)+1))
}
