package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chestnutsail/chestnutsail/client"
)

type applyCommand struct {
	target target
	file   string
	base   int64
}

func (*applyCommand) name() string { return "apply" }

func (c *applyCommand) bind(app *kingpin.Application) {
	cmd := app.Command("apply", "Replace the cluster text.")
	cmd.HelpLong("  chestnutsail apply cluster.yaml              # replace the text in force\n  chestnutsail apply --base 7 cluster.yaml     # only if it is still revision 7\n")
	c.target.bind(cmd)
	cmd.Flag("base", "Revision that the text was made from; the one in force if negative.").Default("-1").Int64Var(&c.base)
	cmd.Arg("file", "File of the text.").Required().ExistingFileVar(&c.file)
}

func (c *applyCommand) run() int {
	raw, problems, err := read(c.file)
	if err != nil {
		return fail(exitBadInput, err)
	}
	if len(problems) > 0 {
		complain(c.file, problems)
		return exitBadInput
	}
	ctx, stop := interruptible()
	defer stop()
	cl := c.target.client()
	base := uint64(max(c.base, 0))
	if c.base < 0 {
		if _, base, err = cl.Text(ctx); err != nil {
			return failCall(err)
		}
	}
	revision, err := cl.Apply(ctx, base, raw)
	var e *client.Error
	switch {
	case errors.As(err, &e) && e.Status == http.StatusPreconditionFailed:
		return conflict(c.file, raw, e)
	case err != nil:
		return failCall(err)
	}
	return c.report(ctx, revision)
}

func (c *applyCommand) report(_ context.Context, revision uint64) int {
	if asJSON {
		return printJSON(struct {
			Revision uint64 `json:"revision"`
		}{revision})
	}
	fmt.Printf("revision %d\n", revision)
	return exitOK
}
