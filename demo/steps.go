package demo

import (
	"context"
	"fmt"

	"github.com/chestnutsail/chestnutsail/client"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/token"
)

// step asks the system for one thing and checks the answer.
type step struct {
	asked string
	run   func(ctx context.Context, s *system) (answered string, err error)
}

func steps() []step {
	return []step{
		{"apply the text of accounts and services", apply},
		{"kiosk check, through entry b", checkToken},
		{"refund of a cup, through entry a", refund(0)},
		{"the same refund again, through entry c", refund(2)},
		{"a refund of another amount under the same key", otherRefund},
		{"handset wipe, through entry a", wipe},
		{"reconciliation on 4 adjacent workers of 8 accelerators", reconcile},
		{"fraud sweeps that borrow every accelerator of domain a", sweep},
		{"urgent reconciliation that reclaims its guarantee", reclaim},
		{"the stopped sweeps, run again to their end", resume},
	}
}

func apply(ctx context.Context, s *system) (string, error) {
	revision, err := s.client(0, token.Operator, "demo").Apply(ctx, 0, sample)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("revision %d", revision), s.ready(ctx)
}

func checkToken(ctx context.Context, s *system) (string, error) {
	o, err := s.client(1, token.Caller, "stalls").Submit(ctx, client.Request{
		Service: "check", Key: "check-1", Payload: []byte(`{"echo":"token is valid"}`),
	})
	if err != nil {
		return "", err
	}
	return string(o.Kind), expect(o, outcome.Done, "token is valid")
}

// refund submits the same refund through the entry of a failure domain.
func refund(domain int) func(context.Context, *system) (string, error) {
	return func(ctx context.Context, s *system) (string, error) {
		o, err := s.client(domain, token.Caller, "deposits").Submit(ctx, client.Request{
			Service: "refund", Key: "refund-1", Payload: []byte(`{"echo":"20 rupees paid"}`),
		})
		if err != nil {
			return "", err
		}
		if err := expect(o, outcome.Done, "20 rupees paid"); err != nil {
			return string(o.Kind), err
		}
		return string(o.Kind) + ", ran once", once(s, "deposits", "refund-1")
	}
}

func otherRefund(ctx context.Context, s *system) (string, error) {
	o, err := s.client(1, token.Caller, "deposits").Submit(ctx, client.Request{
		Service: "refund", Key: "refund-1", Payload: []byte(`{"echo":"40 rupees paid"}`),
	})
	if err != nil {
		return "", err
	}
	answered := fmt.Sprintf("%s, %s", o.Kind, o.Reason)
	if o.Kind != outcome.NotRun || o.Reason != outcome.KeyReused {
		return answered, fmt.Errorf("want %s, %s", outcome.NotRun, outcome.KeyReused)
	}
	return answered, once(s, "deposits", "refund-1")
}

func wipe(ctx context.Context, s *system) (string, error) {
	o, err := s.client(0, token.Caller, "health").Submit(ctx, client.Request{
		Service: "wipe", Key: "handset-7", Payload: []byte(`{"echo":"wiped","sleep_ms":200}`),
	})
	if err != nil {
		return "", err
	}
	if err := expect(o, outcome.Done, "wiped"); err != nil {
		return string(o.Kind), err
	}
	return string(o.Kind) + ", ran once", once(s, "health", "handset-7")
}

func expect(o outcome.Outcome, kind outcome.Kind, body string) error {
	if o.Kind != kind || string(o.Body) != body {
		return fmt.Errorf("want %s with %q, got %s %s %s with %q", kind, body, o.Kind, o.Reason, o.Detail, o.Body)
	}
	return nil
}

func once(s *system, account, key string) error {
	if n := len(s.runs(account, key)); n != 1 {
		return fmt.Errorf("the workers ran it %d times", n)
	}
	return nil
}
