package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chestnutsail/chestnutsail/client"
	"github.com/chestnutsail/chestnutsail/clock"
)

const spreadPoll = 100 * clock.Millisecond

type applyCommand struct {
	target target
	file   string
	base   int64
	wait   bool
	limit  int64
}

func (*applyCommand) name() string { return "apply" }

func (c *applyCommand) bind(app *kingpin.Application) {
	cmd := app.Command("apply", "Replace the cluster text.")
	cmd.HelpLong("  chestnutsail apply cluster.yaml              # replace the text in force\n  chestnutsail apply --base 7 cluster.yaml     # only if it is still revision 7\n  chestnutsail apply --wait cluster.yaml       # until every entry runs it\n")
	c.target.bind(cmd)
	cmd.Flag("base", "Revision that the text was made from; the one in force if negative.").Default("-1").Int64Var(&c.base)
	cmd.Flag("wait", "Wait until every live entry runs the text.").BoolVar(&c.wait)
	cmd.Flag("timeout", "Longest wait, in milliseconds.").Default("10000").Int64Var(&c.limit)
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

func (c *applyCommand) report(ctx context.Context, revision uint64) int {
	out := struct {
		Revision uint64         `json:"revision"`
		Spread   *client.Spread `json:"spread,omitempty"`
	}{Revision: revision}
	code := exitOK
	if c.wait {
		spread, ok := c.everywhere(ctx, revision)
		out.Spread = &spread
		if !ok {
			code = exitUnknown
		}
	}
	if asJSON {
		printJSON(out)
		return code
	}
	fmt.Printf("revision %d\n", revision)
	if code == exitUnknown {
		fmt.Fprintln(os.Stderr, "chestnutsail: accepted, but not yet in force at every entry; 'chestnutsail status' shows where it is.")
	}
	return code
}

// everywhere waits until every live entry runs the revision and shows how it goes.
func (c *applyCommand) everywhere(ctx context.Context, revision uint64) (client.Spread, bool) {
	ctx, cancel := context.WithTimeout(ctx, clock.Millis(c.limit).Duration())
	defer cancel()
	cl := c.target.client()
	last := -1
	for {
		spread, err := cl.Spread(ctx)
		have := 0
		for _, e := range spread.Entries {
			if e.Revision >= revision {
				have++
			}
		}
		if err == nil && have != last {
			fmt.Fprintf(os.Stderr, "in force at %d of %d entries\n", have, len(spread.Entries))
			last = have
		}
		if err == nil && spread.Everywhere && spread.Revision >= revision {
			return spread, true
		}
		if !clock.Sleep(ctx, spreadPoll) {
			return spread, false
		}
	}
}
