// Package load submits requests to an entry at a given rate or with a given number
// of callers, and reports what was answered and how long that took.
//
// # Usage
//
//	r := load.Run(ctx, load.Options{
//		Submit: func(ctx context.Context, key string) (outcome.Outcome, error) {
//			return cl.Submit(ctx, client.Request{Service: "check", Key: key})
//		},
//		Callers: 16, Span: 10 * clock.Second,
//	})
//	fmt.Println(r.PerSecond, r.Answers.P99)
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

// Call makes one request under a key.
type Call func(ctx context.Context, key string) (outcome.Outcome, error)

// Options says what to submit. Submit has to be set.
type Options struct {
	Submit Call
	// Direct, if set, is called in turn with Submit by the same callers, to compare the
	// two in one run.
	Direct Call
	// Callers is the number of callers, each of which waits for its answer; default 16.
	Callers int
	// Rate bounds the requests per second of all callers; 0 means no bound.
	Rate int
	// Span is the length of the run in milliseconds; default 10 s.
	Span clock.Millis
	// Prefix begins each key; a random one if empty.
	Prefix string
}

// Times are the times that answers took, in microseconds.
type Times struct {
	Mean int64 `json:"mean_us"`
	P50  int64 `json:"p50_us"`
	P90  int64 `json:"p90_us"`
	P99  int64 `json:"p99_us"`
	Max  int64 `json:"max_us"`
}

// Report is what a run showed.
type Report struct {
	// Requests is the number of calls of Submit; Errors those without an outcome.
	Requests int `json:"requests"`
	Errors   int `json:"errors"`
	// PerSecond is the rate of requests that were done.
	PerSecond float64                `json:"per_second"`
	Kinds     map[outcome.Kind]int   `json:"outcomes"`
	Reasons   map[outcome.Reason]int `json:"reasons"`
	// Answers are the times of requests that were done, Refusals of all others with an
	// outcome, Direct of the direct calls that were done.
	Answers  Times `json:"answers"`
	Refusals Times `json:"refusals"`
	Direct   Times `json:"direct"`
}

// run is one run in progress.
type run struct {
	opts Options
	next atomic.Int64

	mu       sync.Mutex
	report   Report
	answers  []time.Duration
	refusals []time.Duration
	direct   []time.Duration
}

// Run submits requests until the span or ctx ends and returns the report.
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
	r := &run{opts: opts, report: Report{Kinds: make(map[outcome.Kind]int), Reasons: make(map[outcome.Reason]int)}}
	ticks := r.ticks(ctx)
	began := time.Now()
	end := began.Add(opts.Span.Duration())
	var callers sync.WaitGroup
	for range opts.Callers {
		callers.Go(func() {
			for time.Now().Before(end) && ctx.Err() == nil && r.wait(ctx, ticks, end) {
				r.submit(ctx)
				r.directly(ctx)
			}
		})
	}
	callers.Wait()
	return r.sum(time.Since(began))
}

// ticks returns a channel that lets one request go at a time, or nil without a rate.
func (r *run) ticks(ctx context.Context) <-chan time.Time {
	if r.opts.Rate == 0 {
		return nil
	}
	ticker := time.NewTicker(time.Second / time.Duration(r.opts.Rate))
	context.AfterFunc(ctx, ticker.Stop)
	return ticker.C
}

func (r *run) wait(ctx context.Context, ticks <-chan time.Time, end time.Time) bool {
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

func (r *run) key() string { return fmt.Sprintf("%s-%d", r.opts.Prefix, r.next.Add(1)) }

func (r *run) submit(ctx context.Context) {
	began := time.Now()
	o, err := r.opts.Submit(ctx, r.key())
	took := time.Since(began)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests++
	if err != nil {
		r.report.Errors++
		return
	}
	r.report.Kinds[o.Kind]++
	if o.Kind == outcome.Done {
		r.answers = append(r.answers, took)
		return
	}
	r.report.Reasons[o.Reason]++
	r.refusals = append(r.refusals, took)
}

func (r *run) directly(ctx context.Context) {
	if r.opts.Direct == nil {
		return
	}
	began := time.Now()
	o, err := r.opts.Direct(ctx, r.key())
	took := time.Since(began)
	if err != nil || o.Kind != outcome.Done {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.direct = append(r.direct, took)
}

func (r *run) sum(span time.Duration) Report {
	r.report.PerSecond = float64(len(r.answers)) / span.Seconds()
	r.report.Answers = timesOf(r.answers)
	r.report.Refusals = timesOf(r.refusals)
	r.report.Direct = timesOf(r.direct)
	return r.report
}

func timesOf(list []time.Duration) Times {
	if len(list) == 0 {
		return Times{}
	}
	slices.Sort(list)
	var sum time.Duration
	for _, d := range list {
		sum += d
	}
	at := func(percent int) int64 { return list[(len(list)-1)*percent/100].Microseconds() }
	return Times{
		Mean: (sum / time.Duration(len(list))).Microseconds(),
		P50:  at(50), P90: at(90), P99: at(99), Max: at(100),
	}
}
