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

// submit submits a job through the entry of domain a and expects its record to stand.
func submit(ctx context.Context, s *system, account, service, key, payload string) error {
	o, err := s.client(0, token.Caller, account).Submit(ctx, client.Request{Service: service, Key: key, Payload: []byte(payload)})
	if err != nil {
		return err
	}
	if o.Kind != outcome.Accepted {
		return fmt.Errorf("%s: want %s, got %s %s %s", key, outcome.Accepted, o.Kind, o.Reason, o.Detail)
	}
	return nil
}

// wait waits for the end of a job through the entry of domain c.
func wait(ctx context.Context, s *system, account, key string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout.Duration())
	defer cancel()
	o, err := s.client(2, token.Caller, account).Wait(ctx, key, nil)
	if err != nil {
		return "", err
	}
	if o.Kind != outcome.Done {
		return string(o.Kind), fmt.Errorf("%s: want %s, got %s %s %s", key, outcome.Done, o.Kind, o.Reason, o.Detail)
	}
	return string(o.Kind), nil
}

func reconcile(ctx context.Context, s *system) (string, error) {
	if err := submit(ctx, s, "deposits", "reconcile", "night-1", `{"sleep_ms":300}`); err != nil {
		return "", err
	}
	answered, err := wait(ctx, s, "deposits", "night-1")
	if err != nil {
		return answered, err
	}
	return answered + ", on 4 workers of one rack, each once", whole(s.runs("deposits", "night-1"))
}

// whole reports a gang that did not run as one on all workers of a rack.
func whole(runs []run) error {
	workers := make(map[string]int)
	for _, r := range runs {
		workers[r.worker]++
		if r.worker[0] != runs[0].worker[0] {
			return fmt.Errorf("it ran on %s and on %s, which are in different racks", r.worker, runs[0].worker)
		}
	}
	if len(runs) != workersPerDomain || len(workers) != workersPerDomain {
		return fmt.Errorf("it ran %d times on %d workers", len(runs), len(workers))
	}
	return nil
}
