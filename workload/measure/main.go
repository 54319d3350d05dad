// Command measure simulates the workloads with the scheduler core and with the
// baselines, and prints a table of completion times and fragmentation.
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

// candidate is a scheduler to measure; make creates a new core.
type candidate struct {
	name string
	make func() workload.Core
}

func selectCandidates(names string, wait clock.Millis) []candidate {
	candidates := []candidate{
		{"fifo", func() workload.Core { return baseline.New(baseline.Options{}) }},
		{"bestfit", func() workload.Core { return baseline.New(baseline.Options{Policy: baseline.BestFit}) }},
		{"ours", func() workload.Core { return scheduler.New(scheduler.Options{Domain: "a", LargeGangWait: wait}) }},
	}
	var chosen []candidate
	for _, c := range candidates {
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
	table, err := measure(selectCandidates(*names, clock.FromDuration(*wait)), strings.Split(*seeds, ","), *only, *prefer, *procs)
	if err != nil {
		fmt.Fprintf(os.Stderr, "measure: %v\n", err)
		os.Exit(1)
	}
	fmt.Print(table)
}

func measure(candidates []candidate, seeds []string, only string, prefer, procs int) (string, error) {
	var runs errgroup.Group
	runs.SetLimit(procs)
	kinds := workload.All(1)
	results := make([][][]*workload.Result, len(kinds))
	for k := range kinds {
		results[k] = make([][]*workload.Result, len(candidates))
		if !strings.Contains(kinds[k].Name, only) {
			continue
		}
		for c := range candidates {
			results[k][c] = make([]*workload.Result, len(seeds))
		}
	}
	for s, seedText := range seeds {
		seed, err := strconv.ParseUint(seedText, 10, 64)
		if err != nil {
			return "", fmt.Errorf("seed %q: %w", seedText, err)
		}
		for k, w := range workload.All(seed) {
			if prefer >= 0 {
				w.Text.Prefer = prefer
			}
			for c := range results[k] {
				if results[k][c] != nil {
					runs.Go(func() error {
						results[k][c][s] = workload.Run(candidates[c].make(), w)
						return nil
					})
				}
			}
		}
	}
	if err := runs.Wait(); err != nil {
		return "", err
	}
	return formatTable(kinds, candidates, results), nil
}

func formatTable(kinds []workload.Workload, candidates []candidate, results [][][]*workload.Result) string {
	var b strings.Builder
	b.WriteString("| workload | core | urgent max s (late) | quick mean / p99 s | small mean / p99 min | large mean / p99 min | large slowdown mean / p99 | busy % | frag % | guarantee waits late/all (max s) | stops, lost accel-h | against | failed/unknown/unfinished |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	totals := make([][]*workload.Result, len(candidates))
	for k, w := range kinds {
		for c, r := range results[k] {
			if r != nil {
				writeRow(&b, w.Name, candidates[c].name, workload.Merge(r))
				totals[c] = append(totals[c], r...)
			}
		}
	}
	for c, r := range totals {
		writeRow(&b, "all", candidates[c].name, workload.Merge(r))
	}
	return b.String()
}

func writeRow(b *strings.Builder, name, core string, r *workload.Result) {
	seconds := func(m clock.Millis) float64 { return float64(m) / float64(clock.Second) }
	minutes := func(m clock.Millis) float64 { return float64(m) / float64(clock.Minute) }
	quick, small, large := r.ByKind["quick"], r.ByKind["small"], r.ByKind["large"]
	fmt.Fprintf(b, "| %s | %s | %.1f (%d) | %.1f / %.1f | %.1f / %.1f | %.1f / %.1f | %.2f / %.2f | %.1f | %.1f | %d/%d (%.1f) | %d, %.1f | %d | %d/%d/%d |\n",
		name, core, seconds(r.UrgentWaitMax), r.UrgentLate, seconds(quick.MeanCompletion), seconds(quick.P99Completion),
		minutes(small.MeanCompletion), minutes(small.P99Completion), minutes(large.MeanCompletion), minutes(large.P99Completion), large.MeanSlowdown, large.P99Slowdown,
		100*r.Utilization, 100*r.Fragmentation, r.GuaranteedLate, r.GuaranteedStarts, seconds(r.GuaranteedWaitMax),
		r.Stops, float64(r.LostWork)/float64(clock.Hour), r.GuaranteeViolations, r.Failed, r.Unknown, r.Unfinished)
}
