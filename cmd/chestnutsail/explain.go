package main

import (
	"cmp"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/explain"
)

// explainCommand tells from the logs of instances why jobs came late.
type explainCommand struct {
	logs []string
	job  string
	most int
}

func (*explainCommand) name() string { return "explain" }

func (c *explainCommand) bind(app *kingpin.Application) {
	cmd := app.Command("explain", "Tell from the logs of 'serve' why jobs came late.")
	cmd.HelpLong("  chestnutsail explain e1.log e2.log e3.log\n  chestnutsail explain --job 5c0e7a21d94b36f8 *.log\n")
	cmd.Flag("job", "Print only this job.").StringVar(&c.job)
	cmd.Flag("most", "Number of the latest jobs to print.").Default("10").IntVar(&c.most)
	cmd.Arg("logs", "Logs of all instances; - for standard input.").Required().StringsVar(&c.logs)
}

func (c *explainCommand) run() int {
	reader := explain.NewReader()
	code := exitOK
	for _, name := range c.logs {
		if err := readLog(reader, name); err != nil {
			// The lines that could be read are explained nevertheless.
			code = fail(exitBadInput, err)
		}
	}
	report := explain.Explain(reader.Lines())
	if c.job != "" {
		i := slices.IndexFunc(report.Jobs, func(j *explain.Job) bool { return j.ID == c.job })
		if i < 0 {
			return fail(exitBadInput, fmt.Errorf("no job %s was accepted in these logs", c.job))
		}
		report = explain.Report{Jobs: report.Jobs[i : i+1]}
	}
	if outputJSON {
		return max(code, printJSON(report))
	}
	c.print(report)
	return code
}

func readLog(reader *explain.Reader, name string) error {
	if name == "-" {
		return reader.Read("standard input", os.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return reader.Read(name, file)
}

func (c *explainCommand) print(report explain.Report) {
	if c.job == "" {
		printCauses(report)
		printLostWork(report)
	}
	slices.SortStableFunc(report.Jobs, func(a, b *explain.Job) int { return cmp.Compare(b.LateBy, a.LateBy) })
	rows := [][]string{{"JOB", "PRIORITY", "STATE", "CAUSE", "BEGAN", "OBJECTIVE", "LATE BY", "WAITED", "LOST", "RAN", "RECORDING", "REFUSING", "PLACED", "LOST RUNS"}}
	for _, j := range report.Jobs[:min(c.most, len(report.Jobs))] {
		rows = append(rows, []string{
			j.ID, strconv.Itoa(j.Priority), string(j.State), string(j.Cause), timeOfDay(j.Begin), seconds(j.Objective), seconds(j.LateBy),
			seconds(j.Waited), seconds(j.Lost), seconds(j.Ran), seconds(j.Recording), seconds(j.Refusing), strconv.Itoa(j.Placements), describeCounts(j.LostRuns),
		})
	}
	printTable(rows)
}

// printCauses prints the number of jobs by cause, one column for each priority.
func printCauses(report explain.Report) {
	header, total := []string{"CAUSE"}, []string{"all"}
	causes := make(map[explain.Cause]int)
	for _, class := range report.Classes {
		header = append(header, fmt.Sprintf("PRIORITY %d", class.Priority))
		total = append(total, strconv.Itoa(class.Jobs))
		for cause, n := range class.Causes {
			causes[cause] += n
		}
	}
	rows := [][]string{header}
	for _, cause := range slices.SortedFunc(maps.Keys(causes), func(a, b explain.Cause) int {
		return cmp.Or(causes[b]-causes[a], strings.Compare(string(a), string(b)))
	}) {
		row := []string{string(cause)}
		for _, class := range report.Classes {
			row = append(row, strconv.Itoa(class.Causes[cause]))
		}
		rows = append(rows, row)
	}
	printTable(append(rows, total))
	fmt.Println()
}

func printLostWork(report explain.Report) {
	rows := [][]string{{"WORK THROWN AWAY", "CORE-SECONDS"}}
	for _, reason := range slices.SortedFunc(maps.Keys(report.LostWork), func(a, b string) int { return int(report.LostWork[b] - report.LostWork[a]) }) {
		rows = append(rows, []string{reason, strconv.FormatInt(report.LostWork[reason], 10)})
	}
	printTable(rows)
	fmt.Println()
}

func describeCounts(counts map[explain.Cause]int) string {
	var parts []string
	for _, cause := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[cause], cause))
	}
	return strings.Join(parts, ", ")
}

func seconds(t clock.Millis) string {
	if t == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1fs", float64(t)/float64(clock.Second))
}

// timeOfDay formats a time of day; times after midnight of a later day start again at 0.
func timeOfDay(t clock.Millis) string {
	s := int64(t/clock.Second) % (24 * 60 * 60)
	return fmt.Sprintf("%02d:%02d:%02d", s/3600, s/60%60, s%60)
}
