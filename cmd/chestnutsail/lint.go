package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chestnutsail/chestnutsail/lint"
	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/site"
)

// lintCommand checks a configuration of the operators' platform before it is sent.
type lintCommand struct {
	file, against string
	accels        int
}

func (*lintCommand) name() string { return "lint" }

func (c *lintCommand) bind(app *kingpin.Application) {
	cmd := app.Command("lint", "Check a configuration of 'serve' before it is sent; exits with 1 if it has errors.")
	cmd.HelpLong("  chestnutsail lint next.json\n  chestnutsail lint next.json --against current.json --accels 1100\n")
	cmd.Flag("against", "File of the configuration in force; what differs is printed.").ExistingFileVar(&c.against)
	cmd.Flag("accels", "Number of accelerators of the installation, to compare with the guarantees.").IntVar(&c.accels)
	cmd.Arg("file", "File of the configuration.").Required().ExistingFileVar(&c.file)
}

type lintResult struct {
	Findings    []lint.Finding    `json:"findings"`
	Differences []lint.Difference `json:"differences"`
}

func (c *lintCommand) run() int {
	if c.accels < 0 {
		return fail(exitBadInput, fmt.Errorf("--accels is %d; want 0 or more", c.accels))
	}
	cfg, err := readConfig(c.file)
	if err != nil {
		return fail(exitBadInput, err)
	}
	opts, result := lint.Options{Accels: c.accels}, lintResult{[]lint.Finding{}, []lint.Difference{}}
	if c.against != "" {
		current, err := readConfig(c.against)
		if err != nil {
			return fail(exitBadInput, err)
		}
		opts.InForce = &current
		result.Differences = append(result.Differences, lint.Compare(current, cfg)...)
	}
	result.Findings = append(result.Findings, lint.Check(cfg, opts)...)
	code := exitOK
	for _, f := range result.Findings {
		if f.Severity == lint.Error {
			code = exitFailed
		}
	}
	if outputJSON {
		return max(code, printJSON(result))
	}
	c.print(result)
	return code
}

// readConfig reads a configuration from a file. Its error does not contain text of the file, which holds
// keys.
func readConfig(file string) (site.Config, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return site.Config{}, err
	}
	cfg, err := platform.DecodeConfig(raw)
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case err == nil:
		return cfg, nil
	case errors.As(err, &syntax):
		return cfg, fmt.Errorf("%s: invalid JSON at byte %d", file, syntax.Offset)
	case errors.As(err, &kind):
		return cfg, fmt.Errorf("%s: the value of %s at byte %d cannot be read as %s", file, kind.Field, kind.Offset, kind.Type)
	default:
		return cfg, fmt.Errorf("%s: not a configuration", file)
	}
}

func (c *lintCommand) print(result lintResult) {
	if len(result.Findings) == 0 {
		fmt.Printf("%s: ok\n", c.file)
	} else {
		rows := [][]string{{"SEVERITY", "PLACE", "FINDING"}}
		for _, f := range result.Findings {
			rows = append(rows, []string{string(f.Severity), f.Place, f.Message})
		}
		printTable(rows)
	}
	if c.against == "" {
		return
	}
	fmt.Println()
	if len(result.Differences) == 0 {
		fmt.Printf("Nothing differs from %s.\n", c.against)
		return
	}
	rows := [][]string{{"CHANGE", "PLACE", "FIELD", "BEFORE", "AFTER"}}
	for _, d := range result.Differences {
		rows = append(rows, []string{string(d.Change), d.Place, d.Field, d.Before, d.After})
	}
	printTable(rows)
}
