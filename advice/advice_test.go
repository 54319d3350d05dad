package advice_test

import (
	"testing"

	"github.com/chestnutsail/chestnutsail/advice"
	"github.com/chestnutsail/chestnutsail/outcome"
)

func TestEveryReasonHasAdvice(t *testing.T) {
	for _, r := range outcome.Reasons() {
		if advice.For(r) == "" {
			t.Errorf("no advice for %s", r)
		}
	}
}

func TestEveryRetryHasAdvice(t *testing.T) {
	for _, r := range outcome.Retries() {
		if advice.Retried(r) == "" {
			t.Errorf("no advice for %s", r)
		}
	}
}
