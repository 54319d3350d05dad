package main

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chestnutsail/chestnutsail/client"
)

type drainCommand struct {
	target     target
	kind       string
	targetName string
}

func (*drainCommand) name() string { return "drain" }

func (c *drainCommand) bind(app *kingpin.Application) {
	cmd := app.Command("drain", "Take an entry or a worker out of service; what runs there is finished or moved.")
	cmd.HelpLong("  chestnutsail drain entry e2\n  chestnutsail drain worker a-3\n")
	c.target.bind(cmd)
	cmd.Arg("kind", "What to drain: entry or worker.").Required().EnumVar(&c.kind, "entry", "worker")
	cmd.Arg("name", "Name of the entry or worker.").Required().StringVar(&c.targetName)
}

func (c *drainCommand) run() int {
	ctx := context.Background()
	cl := c.target.client()
	var out client.DrainResult
	var err error
	if c.kind == "entry" {
		out, err = cl.DrainEntry(ctx, c.targetName)
	} else {
		out, err = cl.DrainWorker(ctx, c.targetName)
	}
	if err != nil {
		return failCall(err)
	}
	if outputJSON {
		return printJSON(out)
	}
	fmt.Printf("%s %s is leaving\n", c.kind, c.targetName)
	return exitOK
}
