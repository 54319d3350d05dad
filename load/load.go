// Package load submits requests to an entry from a given number of concurrent callers,
// optionally at a limited rate, and reports the outcomes and the response times.
//
// # Usage
//
//	r := load.Run(ctx, load.Options{
//		Submit: func(ctx context.Context, key string) (outcome.Outcome, error) {
//			return cl.Submit(ctx, client.Request{Service: "check", Key: key})
//		},
//		Callers: 16, Span: 10 * clock.Second,
//	})
//	fmt.Println(r.DonePerSecond, r.DoneLatencies.P99)
package load

import (
	"context"
	"crypto/rand"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/outcome"
)

const (
	defaultCallers = 16
	defaultSpan    = 10 * clock.Second
)

// Call makes one request with the given key.
type Call func(ctx context.Context, key string) (outcome.Outcome, error)

// Options configures a run. Submit has to be set.
type Options struct {
	Submit Call
	// Direct, if set, is called by each caller after each call of Submit, so that one run
	// compares the response times of both.
	Direct Call
	// Callers is the number of concurrent callers. Each waits for the response to its
	// request before it makes the next. The default is 16.
	Callers int
	// Rate is the maximum number of requests per second of all callers together; 0 means
	// no limit.
	Rate int
	// Span is the length of the run in milliseconds. The default is 10 s.
	Span clock.Millis
	// Prefix is the start of each key. The default is random.
	Prefix string
}

// Latencies holds statistics of response times, in microseconds.
type Latencies struct {
	Mean int64 `json:"mean_us"`
	P50  int64 `json:"p50_us"`
	P90  int64 `json:"p90_us"`
	P99  int64 `json:"p99_us"`
	Max  int64 `json:"max_us"`
}

// Report is the result of a run.
type Report struct {
	// Requests is the number of calls of Submit, and Errors the number of those that
	// returned an error instead of an outcome.
	Requests int `json:"requests"`
	Errors   int `json:"errors"`
	// DonePerSecond is the number of requests per second that ended as done.
	DonePerSecond float64                `json:"per_second"`
	Kinds         map[outcome.Kind]int   `json:"outcomes"`
	Reasons       map[outcome.Reason]int `json:"reasons"`
	// DoneLatencies holds the response times of the requests that ended as done,
	// OtherLatencies those of the requests with any other outcome, and DirectLatencies those
	// of the direct calls that ended as done. Calls that returned an error are not included.
	DoneLatencies   Latencies `json:"answers"`
	OtherLatencies  Latencies `json:"refusals"`
	DirectLatencies Latencies `json:"direct"`
}

// loadRun is a run in progress.
type loadRun struct {
	opts    Options
	lastKey atomic.Int64

	mu          sync.Mutex
	report      Report
	doneTimes   []time.Duration
	otherTimes  []time.Duration
	directTimes []time.Duration
}

// Run submits requests until the span has passed or ctx is done, waits for the requests
// in progress, and returns the report.
func Run(ctx context.Context, opts Options) Report {
	if opts.Callers == 0 {
		opts.Callers = defaultCallers
	}
	if opts.Span == 0 {
		opts.Span = defaultSpan
	}
	if opts.Prefix == "" {
		opts.Prefix = "load-" + rand.Text()[:10]
	}
	r := &loadRun{opts: opts, report: Report{Kinds: make(map[outcome.Kind]int), Reasons: make(map[outcome.Reason]int)}}
	ticks := r.startTicker(ctx)
	started := time.Now()
	end := started.Add(opts.Span.Duration())
	var callers sync.WaitGroup
	for range opts.Callers {
		callers.Go(func() {
			for time.Now().Before(end) && ctx.Err() == nil && r.waitForTick(ctx, ticks, end) {
				r.submit(ctx)
				r.callDirect(ctx)
			}
		})
	}
	callers.Wait()
	return r.summarize(time.Since(started))
}

// startTicker returns a channel that receives one tick per request that the rate
// allows, or nil if there is no rate limit. The ticker stops when ctx is done.
func (r *loadRun) startTicker(ctx context.Context) <-chan time.Time {
	if r.opts.Rate == 0 {
		return nil
	}
	ticker := time.NewTicker(time.Second / time.Duration(r.opts.Rate))
	context.AfterFunc(ctx, ticker.Stop)
	return ticker.C
}

func (r *loadRun) waitForTick(ctx context.Context, ticks <-chan time.Time, end time.Time) bool {
	if ticks == nil {
		return true
	}
	select {
	case <-ticks:
		return true
	case <-time.After(time.Until(end)):
		return false
	case <-ctx.Done():
		return false
	}
}

func (r *loadRun) newKey() string { return fmt.Sprintf("%s-%d", r.opts.Prefix, r.lastKey.Add(1)) }

func (r *loadRun) submit(ctx context.Context) {
	started := time.Now()
	result, err := r.opts.Submit(ctx, r.newKey())
	responseTime := time.Since(started)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests++
	if err != nil {
		r.report.Errors++
		return
	}
	r.report.Kinds[result.Kind]++
	if result.Kind == outcome.Done {
		r.doneTimes = append(r.doneTimes, responseTime)
		return
	}
	r.report.Reasons[result.Reason]++
	r.otherTimes = append(r.otherTimes, responseTime)
}

func (r *loadRun) callDirect(ctx context.Context) {
	if r.opts.Direct == nil {
		return
	}
	started := time.Now()
	result, err := r.opts.Direct(ctx, r.newKey())
	responseTime := time.Since(started)
	if err != nil || result.Kind != outcome.Done {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.directTimes = append(r.directTimes, responseTime)
}

func (r *loadRun) summarize(elapsed time.Duration) Report {
	r.report.DonePerSecond = float64(len(r.doneTimes)) / elapsed.Seconds()
	r.report.DoneLatencies = latenciesOf(r.doneTimes)
	r.report.OtherLatencies = latenciesOf(r.otherTimes)
	r.report.DirectLatencies = latenciesOf(r.directTimes)
	return r.report
}

func latenciesOf(times []time.Duration) Latencies {
	if len(times) == 0 {
		return Latencies{}
	}
	slices.Sort(times)
	var sum time.Duration
	for _, d := range times {
		sum += d
	}
	percentile := func(percent int) int64 { return times[(len(times)-1)*percent/100].Microseconds() }
	return Latencies{
		Mean: (sum / time.Duration(len(times))).Microseconds(),
		P50:  percentile(50), P90: percentile(90), P99: percentile(99), Max: percentile(100),
	}
}
