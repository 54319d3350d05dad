package quick_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/quick"
	"github.com/chestnutsail/chestnutsail/suite"
)

func TestQuick(t *testing.T) { suite.Run(t, "quick") }

// call is one operation on a key.
type call struct {
	key string
	// kind is submit, ask or journal.
	kind string
}

// result is its answer: of an outcome the kind and body, of the journal the runs.
type result struct {
	kind outcome.Kind
	body string
	runs int
}

// ran is the state of one key: how often it ran.
type ran struct{ times int }

// claims is the sequential behavior of one key: it runs at most once, notrun is said
// only of what has not run, and every answer is that of the run.
var claims = porcupine.NondeterministicModel{
	Partition: byKey,
	Init:      func() []any { return []any{ran{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(ran), input.(call), output.(result)
		if in.kind == "journal" {
			return when(out.runs == s.times && s.times <= 1, s)
		}
		switch out.kind {
		case outcome.Done:
			if out.body != in.key {
				return nil
			}
			return when(s.times == 1 || in.kind == "submit", ran{1})
		case outcome.NotRun:
			return when(s.times == 0, s)
		default:
			if in.kind == "submit" {
				return []any{s, ran{1}}
			}
			return []any{s}
		}
	},
}

func when(ok bool, s ran) []any {
	if !ok {
		return nil
	}
	return []any{s}
}

func byKey(history []porcupine.Operation) [][]porcupine.Operation {
	parts := make(map[string][]porcupine.Operation)
	for _, op := range history {
		parts[op.Input.(call).key] = append(parts[op.Input.(call).key], op)
	}
	var out [][]porcupine.Operation
	for _, p := range parts {
		out = append(out, p)
	}
	return out
}

// history records operations in the order of their calls.
type history struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

// never is the time of return of an operation that may still take effect.
const never = int64(1) << 60

func (h *history) do(client int, in call, f func() result) {
	begin := int64(time.Since(h.start))
	out := f()
	end := int64(time.Since(h.start))
	if in.kind == "submit" && out.kind == outcome.Unknown {
		end = never
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: begin, Output: out, Return: end})
}

// seeds returns how many seeds to run: CHESTNUTSAIL_SEEDS or a few.
func seeds(few int) int {
	if n, err := strconv.Atoi(os.Getenv("CHESTNUTSAIL_SEEDS")); err == nil {
		return n
	}
	return few
}

const (
	modelKeys     = 6
	modelClients  = 4
	modelEntries  = 3
	modelWorkers  = 3
	modelDeadline = 1000
)

// storm runs clients that submit, repeat and ask for the same keys through entries
// around which everything goes wrong, and returns the history.
func storm(seed uint64, f faults) []porcupine.Operation {
	w := newWorld(modelWorkers, 2)
	defer w.close()
	rng := rand.New(rand.NewPCG(seed, 0))
	var mu sync.Mutex
	entries := make([]*process, modelEntries)
	born := seed * 1000
	entry := func(i int) *process {
		mu.Lock()
		defer mu.Unlock()
		if entries[i] == nil || entries[i].isDead() {
			born++
			entries[i] = w.newProcess(born, i%2, f, quick.Options{Queue: 64})
		}
		return entries[i]
	}
	h := &history{start: time.Now()}
	var wg sync.WaitGroup
	for client := range modelClients {
		mine := rand.New(rand.NewPCG(seed, uint64(client)+1))
		wg.Go(func() {
			for range modelKeys + 2 {
				key := fmt.Sprintf("k%d", mine.IntN(modelKeys))
				through := mine.IntN(modelEntries)
				in := call{key, "submit"}
				if mine.IntN(3) == 0 {
					in.kind = "ask"
				}
				h.do(client, in, func() result { return entry(through).perform(in) })
			}
		})
	}
	replaced := rng.IntN(modelWorkers)
	time.AfterFunc(time.Duration(rng.IntN(800))*time.Millisecond, w.workers[replaced].replace)
	wg.Wait()
	time.Sleep(600 * time.Millisecond) // delayed calls land
	runs := w.runs()
	for i := range modelKeys {
		key := fmt.Sprintf("k%d", i)
		h.do(modelClients, call{key, "journal"}, func() result { return result{runs: runs["quick/perth/"+key]} })
	}
	for _, p := range entries {
		if p != nil {
			p.kill()
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_ = p.router.Stop(ctx)
			cancel()
		}
	}
	return h.ops
}

// perform makes one call of a client; a dead entry gives no answer.
func (p *process) perform(in call) result {
	var o outcome.Outcome
	if in.kind == "ask" {
		o = p.router.Ask(context.Background(), "perth", in.key)
	} else {
		o = p.router.Submit(context.Background(), wipe(in.key, 20))
	}
	if p.isDead() {
		return result{kind: outcome.Unknown}
	}
	return result{kind: o.Kind, body: string(o.Body)}
}

// wipe is a request that must not be repeated and answers with its own key.
func wipe(key string, sleep int) job.Spec {
	return job.Spec{
		Account: "perth", Service: "wipe", Key: key, Class: job.Quick, Again: true, Deadline: modelDeadline,
		Shape: job.Shape{Slots: 1}, Payload: fmt.Appendf(nil, `{"echo":%q,"sleep_ms":%d}`, key, sleep),
	}
}

// storms are the kinds of failure that histories are recorded under.
var storms = []struct {
	name   string
	few    int
	faults faults
}{
	{"no faults", 1, faults{}},
	{"the store loses answers, lands writes late, refuses and reads stale", 2, faults{refuse: 5, lose: 10, late: 10, stale: 10}},
	{"workers' answers are lost, calls land late and doubled", 2, faults{unreachable: 5, cut: 10, lateCall: 10, doubleCall: 10}},
	{"entries are killed at any step", 2, faults{die: 4}},
	{"entries freeze at any step and wake", 2, faults{freeze: 8}},
	{"everything together", 3, faults{
		die: 2, freeze: 3, refuse: 3, lose: 5, late: 5, stale: 5, unreachable: 3, cut: 5, lateCall: 5, doubleCall: 5,
	}},
}

var _ = Describe("claims under failure", func() {
	It("are linearizable: each key runs at most once and notrun is true", func() {
		var wg sync.WaitGroup
		lanes := make(chan struct{}, 12)
		for _, s := range storms {
			for seed := range seeds(s.few) {
				wg.Go(func() {
					defer GinkgoRecover()
					lanes <- struct{}{}
					defer func() { <-lanes }()
					ops := storm(uint64(seed)+1, s.faults)
					ok := porcupine.CheckOperationsTimeout(claims.ToModel(), ops, 20*time.Second)
					Expect(ok).To(Equal(porcupine.Ok), "%s, seed %d: %v", s.name, seed+1, ops)
				})
			}
		}
		wg.Wait()
	})
})
