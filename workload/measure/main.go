// Command measure passes the workloads through our core and the baselines and
// prints a table of completion times and fragmentation.
//
//	go run ./workload/measure --seeds 1,2,3
package main

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutsail/chestnutsail/baseline"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/scheduler"
	"github.com/chestnutsail/chestnutsail/workload"
)

// contender is a scheduler under measurement.
type contender struct {
	name string
	make func() workload.Core
}

func contenders(names string, wait clock.Millis) []contender {
	all := []contender{
		{"fifo", func() workload.Core { return baseline.New(baseline.Options{}) }},
		{"bestfit", func() workload.Core { return baseline.New(baseline.Options{Policy: baseline.BestFit}) }},
		{"ours", func() workload.Core { return scheduler.New(scheduler.Options{Domain: "a", Wait: wait}) }},
	}
	var chosen []contender
	for _, c := range all {
		if strings.Contains(names, c.name) {
			chosen = append(chosen, c)
		}
	}
	return chosen
}

func main() {
	app := kingpin.New("measure", "Passes the workloads through the schedulers and prints a table.")
	seeds := app.Flag("seeds", "Seeds of the workloads, separated by commas.").Default("1,2,3").String()
	names := app.Flag("cores", "Schedulers to measure: fifo, bestfit, ours.").Default("fifo,bestfit,ours").String()
	only := app.Flag("only", "Measure only workloads whose name contains this.").String()
	prefer := app.Flag("prefer", "Override the weight of completion time (0) against fragmentation (100).").Default("-1").Int()
	wait := app.Flag("wait", "Override the wait bound of large gangs.").Duration()
	procs := app.Flag("procs", "Workloads measured at the same time.").Default(strconv.Itoa(max(runtime.NumCPU()/3, 1))).Int()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	table, err := measure(contenders(*names, clock.FromDuration(*wait)), strings.Split(*seeds, ","), *only, *prefer, *procs)
	if err != nil {
		fmt.Fprintf(os.Stderr, "measure: %v\n", err)
		os.Exit(1)
	}
	fmt.Print(table)
}

func measure(cores []contender, seeds []string, only string, prefer, procs int) (string, error) {
	var work errgroup.Group
	work.SetLimit(procs)
	kinds := workload.All(1)
	results := make([][][]*workload.Result, len(kinds))
	for k := range kinds {
		results[k] = make([][]*workload.Result, len(cores))
		if !strings.Contains(kinds[k].Name, only) {
			continue
		}
		for c := range cores {
			results[k][c] = make([]*workload.Result, len(seeds))
		}
	}
	for s, text := range seeds {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return "", fmt.Errorf("seed %q: %w", text, err)
		}
		for k, w := range workload.All(seed) {
			if prefer >= 0 {
				w.Text.Prefer = prefer
			}
			for c := range results[k] {
				if results[k][c] != nil {
					work.Go(func() error {
						results[k][c][s] = workload.Run(cores[c].make(), w)
						return nil
					})
				}
			}
		}
	}
	if err := work.Wait(); err != nil {
		return "", err
	}
	return format(kinds, cores, results), nil
}

func format(kinds []workload.Workload, cores []contender, results [][][]*workload.Result) string {
	var b strings.Builder
	b.WriteString("| workload | core | urgent max s (late) | quick mean / p99 s | small mean / p99 min | large mean / p99 min | large slowdown mean / p99 | busy % | frag % | guarantee waits late/all (max s) | stops, lost accel-h | against | failed/unknown/unfinished |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	totals := make([][]*workload.Result, len(cores))
	for k, w := range kinds {
		for c, r := range results[k] {
			if r != nil {
				row(&b, w.Name, cores[c].name, workload.Merge(r))
				totals[c] = append(totals[c], r...)
			}
		}
	}
	for c, r := range totals {
		row(&b, "all", cores[c].name, workload.Merge(r))
	}
	return b.String()
}

func row(b *strings.Builder, name, core string, r *workload.Result) {
	seconds := func(m clock.Millis) float64 { return float64(m) / float64(clock.Second) }
	minutes := func(m clock.Millis) float64 { return float64(m) / float64(clock.Minute) }
	quick, small, large := r.Groups["quick"], r.Groups["small"], r.Groups["large"]
	fmt.Fprintf(b, "| %s | %s | %.1f (%d) | %.1f / %.1f | %.1f / %.1f | %.1f / %.1f | %.2f / %.2f | %.1f | %.1f | %d/%d (%.1f) | %d, %.1f | %d | %d/%d/%d |\n",
		name, core, seconds(r.UrgentMax), r.UrgentLate, seconds(quick.Mean), seconds(quick.P99),
		minutes(small.Mean), minutes(small.P99), minutes(large.Mean), minutes(large.P99), large.Slow, large.Slow99,
		100*r.Busy, 100*r.Frag, r.Late, r.Waits, seconds(r.WaitMax),
		r.Stops, float64(r.Lost)/float64(clock.Hour), r.Against, r.Failed, r.Unknown, r.Unfinished)
}
