package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/demo"
)

type demoCommand struct{ logs bool }

func (*demoCommand) name() string { return "demo" }

func (c *demoCommand) bind(app *kingpin.Application) {
	cmd := app.Command("demo", "Run everything in one process, submit some work and check the answers.")
	cmd.HelpLong("  chestnutsail demo\n")
	cmd.Flag("logs", "Show the logs of the entries too.").BoolVar(&c.logs)
}

func (c *demoCommand) run() int {
	ctx, stop := interruptible()
	defer stop()
	opts := demo.Options{Progress: os.Stderr}
	if c.logs {
		opts.Log = logrus.New()
	}
	results, err := demo.New(opts).Run(ctx)
	if err != nil {
		return fail(exitFailed, err)
	}
	code := exitOK
	rows := [][]string{{"ASKED", "ANSWERED", "TOOK", ""}}
	for _, r := range results {
		verdict := "ok"
		if r.Problem != "" {
			verdict, code = "WRONG: "+r.Problem, exitFailed
		}
		rows = append(rows, []string{r.Request, r.Answer, r.Duration.String(), verdict})
	}
	if outputJSON {
		printJSON(results)
		return code
	}
	fmt.Println()
	printTable(rows)
	return code
}
