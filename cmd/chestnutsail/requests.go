package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chestnutsail/chestnutsail/client"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/outcome"
)

// waiter waits for the end of a request, for at most timeout milliseconds; 0 means no limit.
type waiter struct{ timeout int64 }

func (w *waiter) bind(cmd *kingpin.CmdClause) {
	cmd.Flag("timeout", "Longest wait for the end, in milliseconds; 0 means no limit.").Default("0").Int64Var(&w.timeout)
}

// wait waits for the end of a request, prints changes of its state on standard error and
// then its outcome, and returns the exit code.
func (w *waiter) wait(cl *client.Client, key string) int {
	ctx, stop := interruptible()
	defer stop()
	if w.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, clock.Millis(w.timeout).Duration())
		defer cancel()
	}
	c := clock.New()
	started, lastState := c.Now(), ""
	o, err := cl.Wait(ctx, key, func(o outcome.Outcome, err error) {
		state := strings.TrimSpace(string(o.Kind) + " " + o.Detail)
		if err != nil {
			state = err.Error()
		}
		if state != lastState {
			fmt.Fprintf(os.Stderr, "%s: %s after %s\n", key, state, c.Now()-started)
			lastState = state
		}
	})
	if err != nil {
		return failCall(err)
	}
	if ctx.Err() != nil && !o.Final() {
		printOutcome(o)
		return exitUnknown
	}
	return printOutcome(o)
}

type submitCommand struct {
	target  target
	waiter  waiter
	request client.Request
	class   string
	payload string
	file    string
	shape   job.Shape
	wait    bool
}

func (*submitCommand) name() string { return "submit" }

func (c *submitCommand) bind(app *kingpin.Application) {
	cmd := app.Command("submit", "Submit a request or a job and print its outcome.")
	cmd.HelpLong("  chestnutsail submit refund r-1 --payload '{\"echo\":\"paid\"}'\n" +
		"  chestnutsail submit reconcile 2026-12-04 --tasks 2 --accels 8 --adjacent rack --wait\n" +
		"Submitting the same key again prints the same answer and runs nothing.\n")
	c.target.bind(cmd)
	cmd.Flag("payload", "Payload of the request.").StringVar(&c.payload)
	cmd.Flag("file", "File with the payload.").ExistingFileVar(&c.file)
	cmd.Flag("class", "Class: urgent, quick, batch or sweep; the service's own if empty.").StringVar(&c.class)
	cmd.Flag("declared", "Estimate of the run time, in milliseconds.").Int64Var((*int64)(&c.request.Declared))
	cmd.Flag("deadline", "Time within which the answer is wanted, in milliseconds.").Int64Var((*int64)(&c.request.Deadline))
	cmd.Flag("tasks", "Number of tasks of the gang.").IntVar(&c.shape.Tasks)
	cmd.Flag("cores", "Cores of each task.").IntVar(&c.shape.Cores)
	cmd.Flag("memory", "Memory of each task in MB.").IntVar(&c.shape.Memory)
	cmd.Flag("accels", "Accelerators of each task.").IntVar(&c.shape.Accelerators)
	cmd.Flag("slots", "Slots of each task.").IntVar(&c.shape.Slots)
	cmd.Flag("adjacent", "How close the tasks run: any, rack or worker.").StringVar((*string)(&c.shape.Adjacent))
	cmd.Flag("wait", "Wait for the end of the job.").BoolVar(&c.wait)
	c.waiter.bind(cmd)
	cmd.Arg("service", "Service to call.").Required().StringVar(&c.request.Service)
	cmd.Arg("key", "Key of the request; the same key is the same request.").Required().StringVar(&c.request.Key)
}

func (c *submitCommand) run() int {
	if c.payload != "" {
		c.request.Payload = []byte(c.payload)
	}
	if c.file != "" {
		raw, err := os.ReadFile(c.file)
		if err != nil {
			return fail(exitBadInput, err)
		}
		c.request.Payload = raw
	}
	if c.shape != (job.Shape{}) {
		c.request.Shape = &c.shape
	}
	c.request.Class = job.Class(c.class)
	ctx, stop := interruptible()
	defer stop()
	cl := c.target.client()
	o, err := cl.Submit(ctx, c.request)
	if err != nil {
		fmt.Fprintf(os.Stderr, "chestnutsail: %v\nNext: submit it again with the same key, also to another entry; it runs at most once.\n", err)
		return exitUnknown
	}
	if !c.wait || o.Final() {
		return printOutcome(o)
	}
	return c.waiter.wait(cl, c.request.Key)
}

type waitCommand struct {
	target target
	waiter waiter
	key    string
}

func (*waitCommand) name() string { return "wait" }

func (c *waitCommand) bind(app *kingpin.Application) {
	cmd := app.Command("wait", "Wait for the end of a request and print its outcome.")
	cmd.HelpLong("  chestnutsail wait 2026-12-04 --timeout 60000\n")
	c.target.bind(cmd)
	c.waiter.bind(cmd)
	cmd.Arg("key", "Key of the request.").Required().StringVar(&c.key)
}

func (c *waitCommand) run() int { return c.waiter.wait(c.target.client(), c.key) }

type cancelCommand struct {
	target target
	key    string
}

func (*cancelCommand) name() string { return "cancel" }

func (c *cancelCommand) bind(app *kingpin.Application) {
	cmd := app.Command("cancel", "Cancel a job and print its outcome.")
	cmd.HelpLong("  chestnutsail cancel 2026-12-04\nExits with 0 when it is canceled or being stopped, with 5 when it had already ended.\n")
	c.target.bind(cmd)
	cmd.Arg("key", "Key of the request.").Required().StringVar(&c.key)
}

func (c *cancelCommand) run() int {
	o, err := c.target.client().Cancel(context.Background(), c.key)
	if err != nil {
		return failCall(err)
	}
	code := printOutcome(o)
	switch {
	case o.Reason == outcome.Canceled || o.Kind == outcome.Accepted:
		return exitOK
	case o.Kind == outcome.Done || o.Kind == outcome.Failed:
		return exitConflict
	default:
		return code
	}
}
