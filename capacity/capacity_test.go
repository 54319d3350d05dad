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

// Times of a measurement.
const (
	settle  = 4 * time.Second
	measure = 10 * time.Second
)

// BenchmarkWorkers measures an entry that does nothing, by the number of workers.
func BenchmarkWorkers(b *testing.B) {
	for _, workers := range []int{48, 240, 960} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { idle(b, 1, workers) })
	}
}

// BenchmarkEntries measures an entry that does nothing, by the number of entries.
func BenchmarkEntries(b *testing.B) {
	for _, entries := range []int{3, 9, 24} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) { idle(b, entries, 48) })
	}
}

func idle(b *testing.B, entries, workers int) {
	for b.Loop() {
		s := newSite(b, workers)
		s.start(entries, workers)
		time.Sleep(settle)
		from := s.sample()
		time.Sleep(measure)
		s.report(from, s.sample())
	}
}

// BenchmarkDoor measures an entry by the rate of quick requests through it.
func BenchmarkDoor(b *testing.B) {
	for _, service := range []string{"check", "refund"} {
		for _, rate := range []int{50, 150, 300} {
			b.Run(fmt.Sprintf("service=%s/rate=%d", service, rate), func(b *testing.B) { door(b, service, rate) })
		}
	}
}

func door(b *testing.B, service string, rate int) {
	for b.Loop() {
		s := newSite(b, 48)
		s.start(1, 48)
		time.Sleep(settle)
		from := s.sample()
		done, wrong := s.submit(service, rate, measure)
		s.report(from, s.sample())
		b.ReportMetric(float64(done)/measure.Seconds(), "done/s")
		b.ReportMetric(float64(wrong)/measure.Seconds(), "wrong/s")
	}
}

// submit submits at a steady rate and returns how many ended as done and how many did not.
func (s *site) submit(service string, rate int, span time.Duration) (done, wrong int) {
	c := s.client(0, token.Caller)
	var mu sync.Mutex
	var tasks sync.WaitGroup
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	for i := range int(span.Seconds() * float64(rate)) {
		<-tick.C
		tasks.Go(func() {
			o, err := c.Submit(context.Background(), client.Request{Service: service, Key: fmt.Sprint(service, "-", i), Payload: []byte("{}")})
			mu.Lock()
			defer mu.Unlock()
			if err == nil && o.Kind == outcome.Done {
				done++
			} else {
				wrong++
			}
		})
	}
	tasks.Wait()
	return done, wrong
}

// BenchmarkJobs measures the entry that schedules a domain and renews its leases, by
// the number of jobs that run.
func BenchmarkJobs(b *testing.B) {
	for _, jobs := range []int{60, 240, 900} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) { run(b, jobs) })
	}
}

func run(b *testing.B, jobs int) {
	for b.Loop() {
		s := newSite(b, 240)
		s.start(1, 240)
		time.Sleep(settle)
		c := s.client(0, token.Caller)
		before := s.sample()
		for i := range jobs {
			o, err := c.Submit(context.Background(), client.Request{
				Service: "train", Key: fmt.Sprint("job-", i), Payload: fmt.Appendf(nil, `{"sleep_ms":%d}`, clock.Hour),
			})
			if err != nil || o.Kind != outcome.Accepted {
				b.Fatalf("job %d: %+v, %v", i, o, err)
			}
		}
		s.running(jobs)
		started := s.sample()
		time.Sleep(settle)
		from := s.sample()
		time.Sleep(measure)
		s.report(from, s.sample())
		b.ReportMetric((started.storeWrites-before.storeWrites)/float64(jobs), "writes/job")
		b.ReportMetric((started.cpu-before.cpu)/float64(jobs)*1e3, "cpu-ms/job")
	}
}
