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

const spreadPollInterval = 100 * clock.Millisecond

type applyCommand struct {
	target  target
	file    string
	base    int64
	wait    bool
	timeout int64
}

func (*applyCommand) name() string { return "apply" }

func (c *applyCommand) bind(app *kingpin.Application) {
	cmd := app.Command("apply", "Replace the cluster text.")
	cmd.HelpLong("  chestnutsail apply cluster.yaml              # replace the text in force\n  chestnutsail apply --base 7 cluster.yaml     # only if it is still revision 7\n  chestnutsail apply --wait cluster.yaml       # until every entry runs it\n")
	c.target.bind(cmd)
	cmd.Flag("base", "Revision that the text was made from; the one in force if negative.").Default("-1").Int64Var(&c.base)
	cmd.Flag("wait", "Wait until every live entry runs the text.").BoolVar(&c.wait)
	cmd.Flag("timeout", "Longest wait, in milliseconds.").Default("10000").Int64Var(&c.timeout)
	cmd.Arg("file", "File of the text.").Required().ExistingFileVar(&c.file)
}

func (c *applyCommand) run() int {
	raw, problems, err := readText(c.file)
	if err != nil {
		return fail(exitBadInput, err)
	}
	if len(problems) > 0 {
		printProblems(c.file, problems)
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
		return reportConflict(c.file, raw, e)
	case err != nil:
		return failCall(err)
	}
	return c.printResult(ctx, revision)
}

func (c *applyCommand) printResult(ctx context.Context, revision uint64) int {
	out := struct {
		Revision uint64         `json:"revision"`
		Spread   *client.Spread `json:"spread,omitempty"`
	}{Revision: revision}
	code := exitOK
	if c.wait {
		spread, ok := c.waitEverywhere(ctx, revision)
		out.Spread = &spread
		if !ok {
			code = exitUnknown
		}
	}
	if outputJSON {
		printJSON(out)
		return code
	}
	fmt.Printf("revision %d\n", revision)
	if code == exitUnknown {
		fmt.Fprintln(os.Stderr, "chestnutsail: accepted, but not yet in force at every entry; 'chestnutsail status' shows where it is.")
	}
	return code
}

// waitEverywhere waits until the revision or a higher one is in force at every live entry,
// and prints the progress on standard error. It returns false when the timeout is over or ctx
// ends first.
func (c *applyCommand) waitEverywhere(ctx context.Context, revision uint64) (client.Spread, bool) {
	ctx, cancel := context.WithTimeout(ctx, clock.Millis(c.timeout).Duration())
	defer cancel()
	cl := c.target.client()
	lastShown := -1
	for {
		spread, err := cl.Spread(ctx)
		current := 0
		for _, e := range spread.Entries {
			if e.Revision >= revision {
				current++
			}
		}
		if err == nil && current != lastShown {
			fmt.Fprintf(os.Stderr, "in force at %d of %d entries\n", current, len(spread.Entries))
			lastShown = current
		}
		if err == nil && spread.Everywhere && spread.Revision >= revision {
			return spread, true
		}
		if !clock.Sleep(ctx, spreadPollInterval) {
			return spread, false
		}
	}
}
