package dispatch

import (
	"errors"

	"github.com/chestnutsail/chestnutsail/gang"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/outcome"
)

// finish removes a job from the session and writes its final state to the store. It
// retries until the write succeeds, the session ends or a scheduler of a newer term has
// taken over the job.
func (s *session) finish(j *liveJob, state job.State, reason outcome.Reason) {
	delete(s.jobs, j.id)
	s.enqueueStep(j, func() {
		for retries := 0; s.ctx.Err() == nil && !s.isSuperseded(j); retries++ {
			e := j.stored
			e.Record.State = state
			if j.mayHaveRun && e.Record.Started == 0 {
				e.Record.Started = s.opts.Clock.Now()
			}
			e.Record.Outcome = s.outcome(j, e.Record, reason)
			_, err := s.opts.Ledger.End(s.ctx, e)
			if err == nil {
				s.releaseTasks(j.stored.Record)
				return
			}
			if kv.KindOf(err) == kv.Conflict {
				if err = s.refreshRecord(s.ctx, j); errors.Is(err, errOtherScheduler) && !s.isSuperseded(j) {
					s.stopForeignGang(j)
				}
			}
			s.backOff(retries, err)
		}
	})
}

// outcome returns the outcome of a job that has ended as done or failed. For other states
// it returns the zero Outcome, and the ledger derives the outcome from the state.
func (s *session) outcome(j *liveJob, r job.Record, reason outcome.Reason) outcome.Outcome {
	o := outcome.Outcome{Account: r.Spec.Account, Key: r.Spec.Key, Attempt: r.Attempt, Reason: reason, Worker: j.worker}
	switch r.State {
	case job.Done:
		o.Kind = outcome.Done
		if len(r.Members) > 0 {
			o.Worker = r.Members[0].Worker
		}
		return o.WithBody(j.result)
	case job.Failed:
		if r.Started == 0 && !j.mayHaveRun && reason != "" {
			return outcome.Refuse(r.Spec.Key, reason, 0, "the job can't run")
		}
		o.Kind = outcome.Failed
		return o.WithBody(j.result)
	default:
		return outcome.Outcome{}
	}
}

// releaseTasks tells the workers to delete the ended tasks of an attempt.
func (s *session) releaseTasks(r job.Record) {
	if len(r.Members) == 0 {
		return
	}
	g := gang.New(gang.Options{Record: r, Term: s.term, Times: s.opts.Times, Clock: s.opts.Clock, Agent: s.d.findAgent, Log: s.opts.Log})
	g.Release(s.ctx)
}
