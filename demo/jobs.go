package demo

import (
	"context"
	"fmt"

	"github.com/chestnutsail/chestnutsail/client"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/token"
)

const jobTimeout = 30 * clock.Second

// submitJob submits a job through the entry of domain a and returns an error unless the
// job is accepted.
func submitJob(ctx context.Context, s *system, account, service, key, payload string) error {
	result, err := s.client(0, token.Caller, account).Submit(ctx, client.Request{Service: service, Key: key, Payload: []byte(payload)})
	if err != nil {
		return err
	}
	if result.Kind != outcome.Accepted {
		return fmt.Errorf("%s: want %s, got %s %s %s", key, outcome.Accepted, result.Kind, result.Reason, result.Detail)
	}
	return nil
}

// waitUntilDone waits through the entry of domain c until the job has ended, for at
// most jobTimeout. It returns the kind of the outcome, and an error unless that is done.
func waitUntilDone(ctx context.Context, s *system, account, key string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout.Duration())
	defer cancel()
	result, err := s.client(2, token.Caller, account).Wait(ctx, key, nil)
	if err != nil {
		return "", err
	}
	if result.Kind != outcome.Done {
		return string(result.Kind), fmt.Errorf("%s: want %s, got %s %s %s", key, outcome.Done, result.Kind, result.Reason, result.Detail)
	}
	return string(result.Kind), nil
}

func reconcile(ctx context.Context, s *system) (string, error) {
	if err := submitJob(ctx, s, "deposits", "reconcile", "night-1", `{"sleep_ms":300}`); err != nil {
		return "", err
	}
	answer, err := waitUntilDone(ctx, s, "deposits", "night-1")
	if err != nil {
		return answer, err
	}
	return answer + ", on 4 workers of one rack, each once", checkGang(s.executions("deposits", "night-1"))
}

// checkGang returns an error unless the gang ran exactly once on each worker of one rack.
func checkGang(executions []execution) error {
	workers := make(map[string]int)
	for _, e := range executions {
		workers[e.worker]++
		if e.worker[0] != executions[0].worker[0] {
			return fmt.Errorf("the gang ran on workers %s and %s, which are in different racks", e.worker, executions[0].worker)
		}
	}
	if len(executions) != workersPerDomain || len(workers) != workersPerDomain {
		return fmt.Errorf("the gang had %d executions on %d workers", len(executions), len(workers))
	}
	return nil
}
