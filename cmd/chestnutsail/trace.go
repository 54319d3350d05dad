package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chestnutsail/chestnutsail/replay"
)

type traceCommand struct{ target target }

func (*traceCommand) name() string { return "trace" }

func (c *traceCommand) bind(app *kingpin.Application) {
	cmd := app.Command("trace", "Print the trace of the scheduler's latest decisions, one JSON step a line.")
	cmd.HelpLong("  chestnutsail trace > domain-a.trace\n  chestnutsail replay domain-a.trace\n")
	c.target.bind(cmd)
}

func (c *traceCommand) run() int {
	ctx, stop := interruptible()
	defer stop()
	if err := c.target.client().Trace(ctx, os.Stdout); err != nil {
		return failCall(err)
	}
	return exitOK
}

type replayCommand struct{ file string }

func (*replayCommand) name() string { return "replay" }

func (c *replayCommand) bind(app *kingpin.Application) {
	cmd := app.Command("replay", "Replay a trace offline; exits with 1 at the first decision that differs.")
	cmd.HelpLong("  chestnutsail replay domain-a.trace\n")
	cmd.Arg("file", "File of the trace.").Required().ExistingFileVar(&c.file)
}

func (c *replayCommand) run() int {
	file, err := os.Open(c.file)
	if err != nil {
		return fail(exitBadInput, err)
	}
	defer func() { _ = file.Close() }()
	steps, err := replay.Read(file)
	if err != nil {
		return fail(exitBadInput, err)
	}
	err = replay.Replay(steps)
	var differs *replay.Error
	if errors.As(err, &differs) {
		return fail(exitFailed, err)
	}
	actions := 0
	for _, s := range steps {
		actions += len(s.Actions)
	}
	if outputJSON {
		return printJSON(struct {
			Steps   int `json:"steps"`
			Actions int `json:"actions"`
		}{len(steps), actions})
	}
	fmt.Printf("%d steps and %d actions, all the same\n", len(steps), actions)
	return exitOK
}
