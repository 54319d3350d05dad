package capacity_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/chestnutsail/chestnutsail/client"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/token"
)

// Durations of a measurement: settleTime passes before it, so that starting up is not
// measured, and measureTime is its length.
const (
	settleTime  = 4 * time.Second
	measureTime = 10 * time.Second
)

// BenchmarkWorkers measures an idle entry for several numbers of workers.
func BenchmarkWorkers(b *testing.B) {
	for _, workers := range []int{48, 240, 960} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { benchmarkIdle(b, 1, workers) })
	}
}

// BenchmarkEntries measures an idle entry for several numbers of entries.
func BenchmarkEntries(b *testing.B) {
	for _, entries := range []int{3, 9, 24} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) { benchmarkIdle(b, entries, 48) })
	}
}

func benchmarkIdle(b *testing.B, entries, workers int) {
	for b.Loop() {
		c := newCluster(b, workers)
		c.startEntries(entries, workers)
		time.Sleep(settleTime)
		before := c.usage()
		time.Sleep(measureTime)
		c.report(before, c.usage())
	}
}

// BenchmarkQuickRequests measures an entry that passes on quick requests, for several
// rates of requests.
func BenchmarkQuickRequests(b *testing.B) {
	for _, service := range []string{"check", "refund"} {
		for _, rate := range []int{50, 150, 300} {
			b.Run(fmt.Sprintf("service=%s/rate=%d", service, rate), func(b *testing.B) { benchmarkQuickRequests(b, service, rate) })
		}
	}
}

func benchmarkQuickRequests(b *testing.B, service string, rate int) {
	for b.Loop() {
		c := newCluster(b, 48)
		c.startEntries(1, 48)
		time.Sleep(settleTime)
		before := c.usage()
		done, failed := c.submit(service, rate, measureTime)
		c.report(before, c.usage())
		b.ReportMetric(float64(done)/measureTime.Seconds(), "done/s")
		b.ReportMetric(float64(failed)/measureTime.Seconds(), "wrong/s")
	}
}

// submit submits requests to the first entry at a steady rate per second for the given
// duration. It returns how many ended as done and how many did not.
func (c *cluster) submit(service string, rate int, duration time.Duration) (done, failed int) {
	caller := c.client(0, token.Caller)
	var mu sync.Mutex
	var requests sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for i := range int(duration.Seconds() * float64(rate)) {
		<-ticker.C
		requests.Go(func() {
			result, err := caller.Submit(context.Background(), client.Request{Service: service, Key: fmt.Sprint(service, "-", i), Payload: []byte("{}")})
			mu.Lock()
			defer mu.Unlock()
			if err == nil && result.Kind == outcome.Done {
				done++
			} else {
				failed++
			}
		})
	}
	requests.Wait()
	return done, failed
}

// BenchmarkJobs measures the entry that schedules a domain and renews the leases of its
// jobs, for several numbers of running jobs.
func BenchmarkJobs(b *testing.B) {
	for _, jobs := range []int{60, 240, 900} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) { benchmarkRunningJobs(b, jobs) })
	}
}

func benchmarkRunningJobs(b *testing.B, jobs int) {
	for b.Loop() {
		c := newCluster(b, 240)
		c.startEntries(1, 240)
		time.Sleep(settleTime)
		caller := c.client(0, token.Caller)
		beforeSubmit := c.usage()
		for i := range jobs {
			result, err := caller.Submit(context.Background(), client.Request{
				Service: "train", Key: fmt.Sprint("job-", i), Payload: fmt.Appendf(nil, `{"sleep_ms":%d}`, clock.Hour),
			})
			if err != nil || result.Kind != outcome.Accepted {
				b.Fatalf("job %d: %+v, %v", i, result, err)
			}
		}
		c.waitForTasks(jobs)
		afterStart := c.usage()
		time.Sleep(settleTime)
		measureStart := c.usage()
		time.Sleep(measureTime)
		c.report(measureStart, c.usage())
		b.ReportMetric((afterStart.storeWrites-beforeSubmit.storeWrites)/float64(jobs), "writes/job")
		b.ReportMetric((afterStart.cpu-beforeSubmit.cpu)/float64(jobs)*1e3, "cpu-ms/job")
	}
}
