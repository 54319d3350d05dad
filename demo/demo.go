// Package demo runs the whole system in one process on loopback addresses, with
// stand-ins for the platform's store and its workers. It submits the kinds of work that
// the firms have, and compares the answers with what the workers have executed.
//
// # Usage
//
//	results, err := demo.New(demo.Options{Progress: os.Stderr}).Run(ctx)
package demo

import (
	"context"
	_ "embed"
	"fmt"
	"io"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
)

//go:embed demo.yaml
var sampleText []byte

// Options configures a Demo. The zero value writes neither progress nor logs.
type Options struct {
	// Progress receives one line of text per step before the step starts; nil means that
	// nothing is written.
	Progress io.Writer
	// Log is the logger of the entries; nil discards their logs.
	Log *logrus.Logger
}

// Result is the result of one step of the demo: the request, the answer, and the time
// that the step took in milliseconds.
type Result struct {
	Request  string       `json:"asked"`
	Answer   string       `json:"answered"`
	Duration clock.Millis `json:"took_ms"`
	// Problem describes what is wrong with the answer; "" means that it is right.
	Problem string `json:"wrong,omitempty"`
}

// Demo runs the whole system in one process.
type Demo struct {
	opts  Options
	clock *clock.Clock
}

// New returns a demo. Run starts it.
func New(opts Options) *Demo {
	if opts.Progress == nil {
		opts.Progress = io.Discard
	}
	if opts.Log == nil {
		opts.Log = logrus.New()
		opts.Log.SetOutput(io.Discard)
	}
	return &Demo{opts: opts, clock: clock.New()}
}

// Run starts the system, runs all steps, and stops the system. It returns an error only
// if the system could not be started; wrong answers are reported in the results.
func (d *Demo) Run(ctx context.Context) ([]Result, error) {
	d.progressf("starting a stand-in store, %d stand-in workers and %d entries in failure domains a, b and c", len(domains)*workersPerDomain, len(domains))
	s, err := start(ctx, d.opts.Log)
	if err != nil {
		return nil, err
	}
	defer s.stop()
	var results []Result
	for _, step := range steps() {
		d.progressf("%s ...", step.request)
		started := d.clock.Now()
		answer, err := step.run(ctx, s)
		r := Result{Request: step.request, Answer: answer, Duration: d.clock.Now() - started}
		if err != nil {
			r.Problem = err.Error()
		}
		results = append(results, r)
	}
	return results, nil
}

func (d *Demo) progressf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.opts.Progress, "demo: "+format+"\n", args...)
}
