package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chestnutsail/chestnutsail/client"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/load"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/worker"
)

type loadCommand struct {
	target        target
	opts          load.Options
	service       string
	class         string
	payload       string
	directAddress string
}

func (*loadCommand) name() string { return "load" }

func (c *loadCommand) bind(app *kingpin.Application) {
	cmd := app.Command("load", "Submit many quick requests and report the answers and their times.")
	cmd.HelpLong("  chestnutsail load check --callers 16 --span 10000\n" +
		"  chestnutsail load check --rate 200 --direct 127.0.0.1:9000\n")
	c.target.bind(cmd)
	cmd.Flag("callers", "Number of concurrent callers; each waits for its answer.").Default("16").IntVar(&c.opts.Callers)
	cmd.Flag("rate", "Requests per second of all callers; 0 means no bound.").Default("0").IntVar(&c.opts.Rate)
	cmd.Flag("span", "Length of the run in milliseconds.").Default("10000").Int64Var((*int64)(&c.opts.Span))
	cmd.Flag("class", "Class: urgent, quick or sweep; the service's own if empty.").StringVar(&c.class)
	cmd.Flag("payload", "Payload of each request.").StringVar(&c.payload)
	cmd.Flag("direct", "Host and port of a worker to call alternately with the entry.").StringVar(&c.directAddress)
	cmd.Arg("service", "Service to call.").Required().StringVar(&c.service)
}

func (c *loadCommand) run() int {
	ctx, stop := interruptible()
	defer stop()
	transport := &http.Transport{MaxIdleConnsPerHost: c.opts.Callers}
	cl := client.New(client.Options{Address: c.target.address, Token: c.target.token, Transport: transport})
	c.opts.Submit = func(ctx context.Context, key string) (outcome.Outcome, error) {
		return cl.Submit(ctx, client.Request{
			Service: c.service, Key: key, Class: job.Class(c.class), Payload: []byte(c.payload),
		})
	}
	if c.directAddress != "" {
		c.opts.Direct = c.directCall(worker.New(worker.Config{Address: c.directAddress, Transport: transport}))
	}
	r := load.Run(ctx, c.opts)
	if outputJSON {
		return printJSON(r)
	}
	c.printReport(r)
	return exitOK
}

// directCall returns a function that calls a worker directly with the same task that an entry
// would send.
func (c *loadCommand) directCall(agent *worker.Client) load.Call {
	return func(ctx context.Context, _ string) (outcome.Outcome, error) {
		_, err := agent.Run(ctx, worker.Task{
			ID: "load/" + rand.Text(), Attempt: 1, Tasks: 1, Needs: job.Resources{Slots: 1}, Payload: []byte(c.payload),
		})
		return outcome.Outcome{Kind: outcome.Done}, err
	}
}

func (c *loadCommand) printReport(r load.Report) {
	rows := [][]string{{"ANSWERS", "MEAN µs", "P50", "P90", "P99", "MAX"}}
	addRow := func(name string, t load.Latencies) {
		row := []string{name}
		for _, v := range []int64{t.Mean, t.P50, t.P90, t.P99, t.Max} {
			row = append(row, strconv.FormatInt(v, 10))
		}
		rows = append(rows, row)
	}
	addRow("done", r.DoneLatencies)
	addRow("others", r.OtherLatencies)
	if c.directAddress != "" {
		addRow("direct", r.DirectLatencies)
	}
	printTable(rows)
	fmt.Printf("%d requests, %.0f done per second, %d without an outcome\n", r.Requests, r.DonePerSecond, r.Errors)
	for kind, n := range r.Kinds {
		fmt.Printf("%s: %d\n", kind, n)
	}
	for reason, n := range r.Reasons {
		fmt.Printf("reason %s: %d\n", reason, n)
	}
}
