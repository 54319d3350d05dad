package demo

import (
	"context"
	"fmt"

	"github.com/chestnutsail/chestnutsail/client"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/token"
)

// step makes one request to the system and checks the answer.
type step struct {
	request string
	run     func(ctx context.Context, s *system) (answer string, err error)
}

func steps() []step {
	return []step{
		{"apply the text of accounts and services", applyText},
		{"kiosk check, through entry b", checkToken},
		{"refund of a cup, through entry a", refund(0)},
		{"the same refund again, through entry c", refund(2)},
		{"a refund of another amount under the same key", conflictingRefund},
		{"handset wipe, through entry a", wipe},
		{"reconciliation on 4 adjacent workers of 8 accelerators", reconcile},
		{"fraud sweeps that borrow every accelerator of domain a", sweep},
		{"urgent reconciliation that reclaims its guarantee", reclaim},
		{"the stopped sweeps, run again to their end", finishSweeps},
	}
}

func applyText(ctx context.Context, s *system) (string, error) {
	revision, err := s.client(0, token.Operator, "demo").Apply(ctx, 0, sampleText)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("revision %d", revision), s.waitUntilReady(ctx)
}

func checkToken(ctx context.Context, s *system) (string, error) {
	result, err := s.client(1, token.Caller, "stalls").Submit(ctx, client.Request{
		Service: "check", Key: "check-1", Payload: []byte(`{"echo":"token is valid"}`),
	})
	if err != nil {
		return "", err
	}
	return string(result.Kind), checkOutcome(result, outcome.Done, "token is valid")
}

// refund returns a step that submits the refund refund-1 through the entry of the given
// failure domain. Each time, the refund must have run only once.
func refund(domainIndex int) func(context.Context, *system) (string, error) {
	return func(ctx context.Context, s *system) (string, error) {
		result, err := s.client(domainIndex, token.Caller, "deposits").Submit(ctx, client.Request{
			Service: "refund", Key: "refund-1", Payload: []byte(`{"echo":"20 rupees paid"}`),
		})
		if err != nil {
			return "", err
		}
		if err := checkOutcome(result, outcome.Done, "20 rupees paid"); err != nil {
			return string(result.Kind), err
		}
		return string(result.Kind) + ", ran once", checkRanOnce(s, "deposits", "refund-1")
	}
}

func conflictingRefund(ctx context.Context, s *system) (string, error) {
	result, err := s.client(1, token.Caller, "deposits").Submit(ctx, client.Request{
		Service: "refund", Key: "refund-1", Payload: []byte(`{"echo":"40 rupees paid"}`),
	})
	if err != nil {
		return "", err
	}
	answer := fmt.Sprintf("%s, %s", result.Kind, result.Reason)
	if result.Kind != outcome.NotRun || result.Reason != outcome.KeyReused {
		return answer, fmt.Errorf("want %s, %s", outcome.NotRun, outcome.KeyReused)
	}
	return answer, checkRanOnce(s, "deposits", "refund-1")
}

func wipe(ctx context.Context, s *system) (string, error) {
	result, err := s.client(0, token.Caller, "health").Submit(ctx, client.Request{
		Service: "wipe", Key: "handset-7", Payload: []byte(`{"echo":"wiped","sleep_ms":200}`),
	})
	if err != nil {
		return "", err
	}
	if err := checkOutcome(result, outcome.Done, "wiped"); err != nil {
		return string(result.Kind), err
	}
	return string(result.Kind) + ", ran once", checkRanOnce(s, "health", "handset-7")
}

func checkOutcome(result outcome.Outcome, kind outcome.Kind, body string) error {
	if result.Kind != kind || string(result.Body) != body {
		return fmt.Errorf("want %s with %q, got %s %s %s with %q", kind, body, result.Kind, result.Reason, result.Detail, result.Body)
	}
	return nil
}

func checkRanOnce(s *system, account, key string) error {
	if count := len(s.executions(account, key)); count != 1 {
		return fmt.Errorf("the workers ran the request %d times", count)
	}
	return nil
}
