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

// operation is the input of one operation on a key.
type operation struct {
	key string
	// kind is "submit", "ask" (query by key) or "journal" (read the number of runs).
	kind string
}

// operationResult is the output of an operation: the kind and body of an outcome, or for
// "journal" the number of runs.
type operationResult struct {
	kind outcome.Kind
	body string
	runs int
}

// keyState is the state of one key in the model: how many times its request ran.
type keyState struct{ timesRun int }

// claimModel is the sequential specification of one key: its request runs at most once,
// the outcome is notrun only if it has not run, and every result is that of the one run.
var claimModel = porcupine.NondeterministicModel{
	Partition: partitionByKey,
	Init:      func() []any { return []any{keyState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(keyState), input.(operation), output.(operationResult)
		if in.kind == "journal" {
			return stateIf(out.runs == s.timesRun && s.timesRun <= 1, s)
		}
		switch out.kind {
		case outcome.Done:
			if out.body != in.key {
				return nil
			}
			return stateIf(s.timesRun == 1 || in.kind == "submit", keyState{1})
		case outcome.NotRun:
			return stateIf(s.timesRun == 0, s)
		default:
			if in.kind == "submit" {
				return []any{s, keyState{1}}
			}
			return []any{s}
		}
	},
}

func stateIf(ok bool, s keyState) []any {
	if !ok {
		return nil
	}
	return []any{s}
}

func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	byKey := make(map[string][]porcupine.Operation)
	for _, op := range history {
		byKey[op.Input.(operation).key] = append(byKey[op.Input.(operation).key], op)
	}
	var out [][]porcupine.Operation
	for _, p := range byKey {
		out = append(out, p)
	}
	return out
}

// history records operations with the times of their call and return.
type history struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

// neverReturns is the return time of an operation with an unknown outcome, which may
// still take effect at any later time.
const neverReturns = int64(1) << 60

func (h *history) record(client int, op operation, f func() operationResult) {
	begin := int64(time.Since(h.start))
	res := f()
	end := int64(time.Since(h.start))
	if op.kind == "submit" && res.kind == outcome.Unknown {
		end = neverReturns
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: op, Call: begin, Output: res, Return: end})
}

// seedCount returns the number of seeds to run: the value of CHESTNUTSAIL_SEEDS, or the
// fallback if that is not a number.
func seedCount(fallback int) int {
	if n, err := strconv.Atoi(os.Getenv("CHESTNUTSAIL_SEEDS")); err == nil {
		return n
	}
	return fallback
}

const (
	modelKeys     = 6
	modelClients  = 4
	modelEntries  = 3
	modelWorkers  = 3
	modelDeadline = 1000
)

// runHistory runs clients that submit, resubmit and query the same keys through several
// entries while the given faults are injected, and returns the recorded history.
func runHistory(seed uint64, f faults) []porcupine.Operation {
	cluster := newTestCluster(modelWorkers, 2)
	defer cluster.close()
	rng := rand.New(rand.NewPCG(seed, 0))
	var mu sync.Mutex
	entries := make([]*process, modelEntries)
	entrySeed := seed * 1000
	entry := func(i int) *process {
		mu.Lock()
		defer mu.Unlock()
		if entries[i] == nil || entries[i].isKilled() {
			entrySeed++
			entries[i] = cluster.startProcess(entrySeed, i%2, f, quick.Options{Queue: 64})
		}
		return entries[i]
	}
	hist := &history{start: time.Now()}
	var wg sync.WaitGroup
	for client := range modelClients {
		clientRNG := rand.New(rand.NewPCG(seed, uint64(client)+1))
		wg.Go(func() {
			for range modelKeys + 2 {
				key := fmt.Sprintf("k%d", clientRNG.IntN(modelKeys))
				entryIndex := clientRNG.IntN(modelEntries)
				op := operation{key, "submit"}
				if clientRNG.IntN(3) == 0 {
					op.kind = "ask"
				}
				hist.record(client, op, func() operationResult { return entry(entryIndex).perform(op) })
			}
		})
	}
	replacedWorker := rng.IntN(modelWorkers)
	time.AfterFunc(time.Duration(rng.IntN(800))*time.Millisecond, cluster.workers[replacedWorker].replaceProcess)
	wg.Wait()
	time.Sleep(600 * time.Millisecond) // wait for delayed calls to arrive
	runs := cluster.runs()
	for i := range modelKeys {
		key := fmt.Sprintf("k%d", i)
		hist.record(modelClients, operation{key, "journal"}, func() operationResult {
			return operationResult{runs: runs["quick/perth/"+key]}
		})
	}
	for _, p := range entries {
		if p != nil {
			p.kill()
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_ = p.router.Stop(ctx)
			cancel()
		}
	}
	return hist.ops
}

// perform makes one call of a client. The outcome is unknown if the entry was killed
// before it answered.
func (p *process) perform(op operation) operationResult {
	var o outcome.Outcome
	if op.kind == "ask" {
		o = p.router.Query(context.Background(), "perth", op.key)
	} else {
		o = p.router.Submit(context.Background(), nonIdempotentSpec(op.key, 20))
	}
	if p.isKilled() {
		return operationResult{kind: outcome.Unknown}
	}
	return operationResult{kind: o.Kind, body: string(o.Body)}
}

// nonIdempotentSpec returns a request that must not run twice. Its result is its key.
func nonIdempotentSpec(key string, sleep int) job.Spec {
	return job.Spec{
		Account: "perth", Service: "wipe", Key: key, Class: job.Quick, Resubmitted: true, Deadline: modelDeadline,
		Shape: job.Shape{Slots: 1}, Payload: fmt.Appendf(nil, `{"echo":%q,"sleep_ms":%d}`, key, sleep),
	}
}

// scenarios are the failures under which histories are recorded, each with its default
// number of seeds.
var scenarios = []struct {
	name   string
	seeds  int
	faults faults
}{
	{"no faults", 1, faults{}},
	{"the store loses answers, delays writes, refuses calls and returns stale values", 2, faults{
		storeRefuse: 5, storeLoseAnswer: 10, storeDelayWrite: 10, storeStaleRead: 10,
	}},
	{"answers of workers are lost, calls are delayed and duplicated", 2, faults{
		workerUnreachable: 5, workerLoseAnswer: 10, workerDelayCall: 10, workerDuplicateCall: 10,
	}},
	{"entries are killed at any call", 2, faults{crash: 4}},
	{"entries freeze at any call and resume", 2, faults{freeze: 8}},
	{"all faults together", 3, faults{
		crash: 2, freeze: 3, storeRefuse: 3, storeLoseAnswer: 5, storeDelayWrite: 5, storeStaleRead: 5,
		workerUnreachable: 3, workerLoseAnswer: 5, workerDelayCall: 5, workerDuplicateCall: 5,
	}},
}

var _ = Describe("claims under failure", func() {
	It("are linearizable: each key runs at most once, and a notrun outcome is never wrong", func() {
		var wg sync.WaitGroup
		limit := make(chan struct{}, 12)
		for _, s := range scenarios {
			for seed := range seedCount(s.seeds) {
				wg.Go(func() {
					defer GinkgoRecover()
					limit <- struct{}{}
					defer func() { <-limit }()
					ops := runHistory(uint64(seed)+1, s.faults)
					ok := porcupine.CheckOperationsTimeout(claimModel.ToModel(), ops, 20*time.Second)
					Expect(ok).To(Equal(porcupine.Ok), "%s, seed %d: %v", s.name, seed+1, ops)
				})
			}
		}
		wg.Wait()
	})
})
