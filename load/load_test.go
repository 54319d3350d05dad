package load_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/load"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/suite"
)

func TestLoad(t *testing.T) { suite.Run(t, "load") }

var _ = Describe("a load run", func() {
	It("counts each outcome by kind and reason, and uses a new key for each request", func() {
		var n atomic.Int64
		keys := make(chan string, 1<<16)
		r := load.Run(context.Background(), load.Options{
			Callers: 3, Span: 100,
			Submit: func(_ context.Context, key string) (outcome.Outcome, error) {
				keys <- key
				clock.Sleep(context.Background(), 1)
				switch n.Add(1) % 3 {
				case 0:
					return outcome.Outcome{Kind: outcome.Done}, nil
				case 1:
					return outcome.Refuse(key, outcome.QueueFull, 0, ""), nil
				default:
					return outcome.Outcome{}, errors.New("cut")
				}
			},
		})
		Expect(r.Requests).To(Equal(r.Errors + r.Kinds[outcome.Done] + r.Reasons[outcome.QueueFull]))
		Expect(r.Requests).To(BeNumerically(">", 3))
		Expect(r.DoneLatencies.P50).To(BeNumerically(">=", 1000))
		Expect(r.DoneLatencies.P99).To(BeNumerically("<=", r.DoneLatencies.Max))
		seen := make(map[string]bool)
		for len(keys) > 0 {
			seen[<-keys] = true
		}
		Expect(seen).To(HaveLen(r.Requests))
	})

	It("stays within the rate limit", func() {
		r := load.Run(context.Background(), load.Options{
			Callers: 4, Span: 500, Rate: 100,
			Submit: func(context.Context, string) (outcome.Outcome, error) {
				return outcome.Outcome{Kind: outcome.Done}, nil
			},
		})
		Expect(r.Requests).To(BeNumerically("<=", 52))
	})
})
