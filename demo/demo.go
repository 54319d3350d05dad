// Package demo runs the whole system in one process on loopback, with stand-ins of
// the platform and of its workers, submits the firms' kinds of work to it and
// checks the answers against what the workers really ran.
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
var sample []byte

// Options configures a Demo. The zero value shows no progress and no logs.
type Options struct {
	// Progress is told what is being done; nil means nobody.
	Progress io.Writer
	// Log is the logger of the entries; nil means none.
	Log *logrus.Logger
}

// Result is what came of one thing that was asked.
type Result struct {
	Asked    string       `json:"asked"`
	Answered string       `json:"answered"`
	Took     clock.Millis `json:"took_ms"`
	// Wrong says what is wrong with the answer; "" means nothing.
	Wrong string `json:"wrong,omitempty"`
}

// Demo is the whole system in one process.
type Demo struct {
	opts  Options
	clock *clock.Clock
}

// New returns a demo that runs nothing yet.
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

// Run starts everything, asks, checks, and stops everything. It returns an error
// when the system could not be started; wrong answers are told in the results.
func (d *Demo) Run(ctx context.Context) ([]Result, error) {
	d.sayf("starting a stand-in store, %d stand-in workers and %d entries in failure domains a, b and c", len(domains)*workersPerDomain, len(domains))
	s, err := start(ctx, d.opts.Log)
	if err != nil {
		return nil, err
	}
	defer s.stop()
	var results []Result
	for _, step := range steps() {
		d.sayf("%s ...", step.asked)
		began := d.clock.Now()
		answered, err := step.run(ctx, s)
		r := Result{Asked: step.asked, Answered: answered, Took: d.clock.Now() - began}
		if err != nil {
			r.Wrong = err.Error()
		}
		results = append(results, r)
	}
	return results, nil
}

func (d *Demo) sayf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.opts.Progress, "demo: "+format+"\n", args...)
}
