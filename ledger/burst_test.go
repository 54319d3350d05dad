package ledger_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chestnutsail/chestnutsail/claim"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/consul"
	"github.com/chestnutsail/chestnutsail/consultest"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/ledger"
	"github.com/chestnutsail/chestnutsail/outcome"
)

// opsPerJob is the number of store operations of a submission: the writes of both keys, and
// the check that no quick request uses the key.
const opsPerJob = 3

// BenchmarkBurst submits 3,000 small jobs at once through nine instances. Together they may
// write 225 times a second to a store that accepts 300 writes a second and responds after
// 2 ms.
func BenchmarkBurst(b *testing.B) {
	const entries, submissions = 9, 3000
	for _, group := range []int{opsPerJob, 8 * opsPerJob, kv.MaxOps} {
		b.Run(fmt.Sprint("jobs-per-call=", group/opsPerJob), func(b *testing.B) {
			for b.Loop() {
				store := consultest.New(consultest.Options{WritesPerSecond: 300, ReadsPerSecond: 2000})
				store.SetFaults(consultest.Faults{Slow: 2 * clock.Millisecond})
				server := httptest.NewServer(store)
				var ledgers []*ledger.Ledger
				for range entries {
					client := consul.New(consul.Config{Address: server.URL, Writes: 25, Reads: 180})
					ledgers = append(ledgers, ledger.New(ledger.Options{Store: client, Domain: "a", MaxOpsPerCall: group, ConflictingKey: claim.Key}))
				}
				var accepted atomic.Int64
				var wg sync.WaitGroup
				start := time.Now()
				for i := range submissions {
					wg.Go(func() {
						o := ledgers[i%entries].Submit(context.Background(), spec(fmt.Sprint("j", i), `{"sleep_ms":1}`))
						if o.Kind == outcome.Accepted {
							accepted.Add(1)
						}
					})
				}
				wg.Wait()
				elapsed := time.Since(start)
				writes, highest := 0, 0
				for _, c := range store.Calls() {
					writes += c.Writes
					highest = max(highest, c.Writes)
				}
				b.ReportMetric(float64(accepted.Load()), "accepted")
				b.ReportMetric(float64(writes), "writes")
				b.ReportMetric(float64(highest), "writes/s-max")
				b.ReportMetric(float64(elapsed.Milliseconds()), "ms")
				for _, l := range ledgers {
					_ = l.Stop(context.Background())
				}
				server.Close()
			}
		})
	}
}
