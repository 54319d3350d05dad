package config_test

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/config"
	"github.com/chestnutsail/chestnutsail/consultest"
	"github.com/chestnutsail/chestnutsail/kv"
)

// failingStore is a store on which every call fails.
type failingStore struct{}

func (failingStore) Put(context.Context, string, uint64, []byte) (uint64, error) {
	return 0, &kv.Error{Kind: kv.Refused}
}

func (failingStore) Get(context.Context, string) (kv.Entry, error) {
	return kv.Entry{}, &kv.Error{Kind: kv.Refused}
}

func (failingStore) Watch(ctx context.Context, _ string, _ uint64, wait clock.Millis) ([]kv.Entry, uint64, error) {
	clock.Sleep(ctx, wait)
	return nil, 0, &kv.Error{Kind: kv.Refused}
}

// result is the kind of result that Apply returned.
type result int

const (
	accepted result = iota
	conflict
	refused
	unclear
)

// outcome is what one call of Apply returned. It is the output of the operations of
// registerModel.
type outcome struct {
	result   result
	revision uint64
}

// registerModel models the text as operators see it, for a check of linearizability. It is a
// register of the revision with a compare-and-swap. Refused changes take no effect. Unclear
// ones may take effect at any later time.
var registerModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		now, base, out := state.(uint64), input.(uint64), output.(outcome)
		switch out.result {
		case accepted:
			if now == base && out.revision > base {
				return []any{out.revision}
			}
			return nil
		case conflict:
			if now == base {
				return nil
			}
			return []any{now}
		case unclear:
			if now == base {
				return []any{now, out.revision}
			}
		}
		return []any{now}
	},
}).ToModel()

func outcomeOf(err error, revision uint64) outcome {
	var c *config.ConflictError
	var u *config.UnclearError
	switch {
	case err == nil:
		return outcome{accepted, revision}
	case errors.As(err, &c):
		return outcome{result: conflict}
	case errors.As(err, &u):
		return outcome{unclear, u.Revision}
	default:
		return outcome{result: refused}
	}
}

// recordRevisions records the revisions in force at each entry until stop is closed.
func recordRevisions(holders []*config.Holder, stop <-chan struct{}) [][]uint64 {
	seen := make([][]uint64, len(holders))
	for {
		for i, h := range holders {
			r := h.Now().Revision
			if n := len(seen[i]); n == 0 || seen[i][n-1] != r {
				seen[i] = append(seen[i], r)
			}
		}
		select {
		case <-stop:
			return seen
		case <-time.After(time.Millisecond):
		}
	}
}

var _ = DescribeTable("concurrent changes at several entries while the store fails are linearizable", func(seed uint64) {
	s := newCluster(4)
	start := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var operators sync.WaitGroup
	for i, h := range s.holders {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		operators.Go(func() {
			for n := range 12 {
				base := h.Now().Revision
				ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
				call := time.Since(start).Nanoseconds()
				revision, err := h.Apply(ctx, base, textOf(i*100+n))
				cancel()
				op := porcupine.Operation{ClientId: i, Input: base, Call: call, Output: outcomeOf(err, revision), Return: time.Since(start).Nanoseconds()}
				if op.Output.(outcome).result == unclear {
					op.Return = math.MaxInt64
				}
				mu.Lock()
				history = append(history, op)
				mu.Unlock()
				time.Sleep(time.Duration(r.IntN(20)) * time.Millisecond)
			}
		})
	}
	stop, done := make(chan struct{}), make(chan [][]uint64)
	go func() { done <- recordRevisions(s.holders, stop) }()
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		injectFaults(s.store, rand.New(rand.NewPCG(seed, 99)), stop)
	}()
	operators.Wait()
	close(stop)
	seen := <-done
	<-faultsDone
	s.store.SetFaults(consultest.Faults{})

	Expect(porcupine.CheckOperations(registerModel, history)).To(BeTrue(), "%+v", history)
	known := map[uint64]bool{0: true}
	for _, op := range history {
		known[op.Output.(outcome).revision] = true
	}
	for _, revisions := range seen {
		for i, r := range revisions {
			Expect(known).To(HaveKey(r))
			Expect(i == 0 || r > revisions[i-1]).To(BeTrue(), "the revision decreased: %v", revisions)
		}
	}
	Eventually(func(g Gomega) {
		for _, h := range s.holders[1:] {
			g.Expect(h.Now().Revision).To(Equal(s.holders[0].Now().Revision))
		}
	}).WithTimeout(maxSpreadTime).Should(Succeed())
},
	Entry("seed 1", uint64(1)),
	Entry("seed 2", uint64(2)),
	Entry("seed 3", uint64(3)),
)

// injectFaults replaces the faults of the store at short random intervals until stop is
// closed. It draws them at random from a list that also contains no faults.
func injectFaults(store *consultest.Server, r *rand.Rand, stop <-chan struct{}) {
	for {
		faults := []consultest.Faults{
			{},
			{LoseAnswers: 2},
			{LateWrites: 2, LateBy: clock.Millis(r.Int64N(200))},
			{StaleReads: true},
			{Down: true},
			{Slow: clock.Millis(r.Int64N(50)), LoseAnswers: 1},
		}
		store.SetFaults(faults[r.IntN(len(faults))])
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(50+r.IntN(150)) * time.Millisecond):
		}
	}
}
