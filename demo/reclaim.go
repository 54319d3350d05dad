package demo

import (
	"context"
	"errors"
	"fmt"

	"github.com/chestnutsail/chestnutsail/clock"
)

const (
	// startBound is the time within which urgent work has to start.
	startBound = 6200 * clock.Millisecond
	sweepCount = workersPerDomain
)

// sweep fills domain a with jobs of an account that has no guarantee, and waits until
// they run.
func sweep(ctx context.Context, s *system) (string, error) {
	for i := range sweepCount {
		if err := submitJob(ctx, s, "fraud", "sweep", sweepKey(i), `{"sleep_ms":7000}`); err != nil {
			return "", err
		}
	}
	for i := range sweepCount {
		if _, err := waitForTasks(ctx, s, "fraud", sweepKey(i), 1); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("accepted, %d run", sweepCount), nil
}

// reclaim submits a job of the account that has the guarantee, and returns an error if
// the job starts later than startBound.
func reclaim(ctx context.Context, s *system) (string, error) {
	submitted := s.clock.Now()
	if err := submitJob(ctx, s, "deposits", "reconcile", "night-2", `{"sleep_ms":300}`); err != nil {
		return "", err
	}
	executions, err := waitForTasks(ctx, s, "deposits", "night-2", workersPerDomain)
	if err != nil {
		return "", err
	}
	startDelay := executions[0].Start - submitted
	answer, err := waitUntilDone(ctx, s, "deposits", "night-2")
	if err != nil {
		return answer, err
	}
	answer = fmt.Sprintf("%s, started after %s", answer, startDelay)
	if startDelay > startBound {
		return answer, fmt.Errorf("want a start within %s", startBound)
	}
	return answer, checkGang(s.executions("deposits", "night-2"))
}

// finishSweeps waits for the ends of the sweeps, and returns an error if one does not
// end as done or if none was stopped.
func finishSweeps(ctx context.Context, s *system) (string, error) {
	stopped := 0
	for i := range sweepCount {
		if _, err := waitUntilDone(ctx, s, "fraud", sweepKey(i)); err != nil {
			return "", err
		}
		if len(s.executions("fraud", sweepKey(i))) > 1 {
			stopped++
		}
	}
	if stopped == 0 {
		return "done", errors.New("no sweep was stopped for the reconciliation")
	}
	return fmt.Sprintf("done, %d of %d ran in two parts", stopped, sweepCount), nil
}

// waitForTasks waits until the workers have started the given number of tasks of a job,
// for at most jobTimeout, and returns their executions.
func waitForTasks(ctx context.Context, s *system, account, key string, tasks int) ([]execution, error) {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout.Duration())
	defer cancel()
	for {
		executions := s.executions(account, key)
		if len(executions) >= tasks {
			return executions, nil
		}
		if !clock.Sleep(ctx, pollInterval) {
			return executions, fmt.Errorf("%s: the workers have started %d of %d tasks after %s", key, len(executions), tasks, jobTimeout)
		}
	}
}

func sweepKey(i int) string { return fmt.Sprint("sweep-", i+1) }
