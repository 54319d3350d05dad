package demo

import (
	"context"
	"errors"
	"fmt"

	"github.com/chestnutsail/chestnutsail/clock"
)

const (
	// urgentBound is the time within which urgent work has to start.
	urgentBound = 6200 * clock.Millisecond
	sweeps      = workersPerDomain
)

// sweep fills domain a with work of an account that has no guarantee.
func sweep(ctx context.Context, s *system) (string, error) {
	for i := range sweeps {
		if err := submit(ctx, s, "fraud", "sweep", sweepKey(i), `{"sleep_ms":7000}`); err != nil {
			return "", err
		}
	}
	for i := range sweeps {
		if _, err := started(ctx, s, "fraud", sweepKey(i), 1); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("accepted, %d run", sweeps), nil
}

// reclaim submits the work of the guarantee's owner and checks how soon it starts.
func reclaim(ctx context.Context, s *system) (string, error) {
	began := s.clock.Now()
	if err := submit(ctx, s, "deposits", "reconcile", "night-2", `{"sleep_ms":300}`); err != nil {
		return "", err
	}
	runs, err := started(ctx, s, "deposits", "night-2", workersPerDomain)
	if err != nil {
		return "", err
	}
	after := runs[0].Start - began
	answered, err := wait(ctx, s, "deposits", "night-2")
	if err != nil {
		return answered, err
	}
	answered = fmt.Sprintf("%s, started after %s", answered, after)
	if after > urgentBound {
		return answered, fmt.Errorf("want a start within %s", urgentBound)
	}
	return answered, whole(s.runs("deposits", "night-2"))
}

// resume checks that the borrowers that were stopped end as done, none of them lost.
func resume(ctx context.Context, s *system) (string, error) {
	stopped := 0
	for i := range sweeps {
		if _, err := wait(ctx, s, "fraud", sweepKey(i)); err != nil {
			return "", err
		}
		if len(s.runs("fraud", sweepKey(i))) > 1 {
			stopped++
		}
	}
	if stopped == 0 {
		return "done", errors.New("no sweep was stopped for the reconciliation")
	}
	return fmt.Sprintf("done, %d of %d ran in two parts", stopped, sweeps), nil
}

// started waits until the workers have run so many tasks of a job.
func started(ctx context.Context, s *system, account, key string, tasks int) ([]run, error) {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout.Duration())
	defer cancel()
	for {
		runs := s.runs(account, key)
		if len(runs) >= tasks {
			return runs, nil
		}
		if !clock.Sleep(ctx, poll) {
			return runs, fmt.Errorf("%s: %d of %d tasks run after %s", key, len(runs), tasks, jobTimeout)
		}
	}
}

func sweepKey(i int) string { return fmt.Sprint("sweep-", i+1) }
