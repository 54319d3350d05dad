package main

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/chestnutsail/chestnutsail/client"
	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/scheduler"
)

type statusCommand struct {
	target  target
	workers bool
}

func (*statusCommand) name() string { return "status" }

func (c *statusCommand) bind(app *kingpin.Application) {
	cmd := app.Command("status", "Show the state of accounts, waiting jobs, workers and entries.")
	cmd.HelpLong("  chestnutsail status             # accounts, and why each waiting job waits\n  chestnutsail status --workers   # also each worker\n")
	c.target.bind(cmd)
	cmd.Flag("workers", "Also show each worker.").BoolVar(&c.workers)
}

// statusOutput is the JSON output of the status command.
type statusOutput struct {
	scheduler.Status
	Instances client.Instances `json:"instances"`
}

func (c *statusCommand) run() int {
	ctx := context.Background()
	cl := c.target.client()
	instances, err := cl.Instances(ctx)
	if err != nil {
		return failCall(err)
	}
	s, err := cl.Status(ctx)
	if err != nil {
		return failCall(err)
	}
	if outputJSON {
		return printJSON(statusOutput{s, instances})
	}
	fmt.Printf("failure domain %s, in accelerators\n", instances.Domain)
	c.printAccounts(s)
	c.printWaitingJobs(s)
	c.printEntries(instances)
	if c.workers {
		c.printWorkers(s)
	}
	return exitOK
}

func (*statusCommand) printEntries(instances client.Instances) {
	rows := [][]string{{"ENTRY", "DOMAIN", "ADDRESS", "STATE", "REVISION", "SCHEDULES", "HEARD"}}
	for _, e := range instances.Entries {
		leaderTerm := ""
		if e.Leads {
			leaderTerm = fmt.Sprintf("term %d", e.Term)
		}
		rows = append(rows, []string{e.Name, e.Domain, e.Address, e.State, fmt.Sprint(e.Revision), leaderTerm, e.Age.String() + " ago"})
	}
	fmt.Println()
	printTable(rows)
}

func (*statusCommand) printAccounts(s scheduler.Status) {
	rows := [][]string{{"ACCOUNT", "GUARANTEE", "HELD", "BORROWED", "OWED", "SHORTFALL", "WAITING", "RUNNING"}}
	for _, a := range s.Accounts {
		row := []string{a.Name}
		for _, n := range []int{a.Guarantee, a.Held, a.Borrowed, a.Owed, a.Shortfall, a.Waiting, a.Running} {
			row = append(row, fmt.Sprint(n))
		}
		rows = append(rows, row)
	}
	printTable(rows)
}

func (*statusCommand) printWaitingJobs(s scheduler.Status) {
	if len(s.Jobs) == 0 {
		return
	}
	rows := [][]string{{"WAITING", "ACCOUNT", "CLASS", "FOR", "WHY", "DETAIL"}}
	for _, j := range s.Jobs {
		waited := (s.Now - j.WaitingSince) / clock.Second * clock.Second
		rows = append(rows, []string{j.ID, j.Account, string(j.Class), waited.String(), string(j.Why), j.Detail})
	}
	fmt.Println()
	printTable(rows)
}

func (*statusCommand) printWorkers(s scheduler.Status) {
	rows := [][]string{{"WORKER", "RACK", "HEALTH", "CORES", "MEMORY", "ACCELS", "SLOTS", "JOBS"}}
	for _, w := range s.Workers {
		free := func(free, total int) string { return fmt.Sprintf("%d of %d free", free, total) }
		rows = append(rows, []string{
			w.Name, w.Rack, string(w.Health), free(w.Free.Cores, w.Total.Cores), free(w.Free.Memory, w.Total.Memory),
			free(w.Free.Accelerators, w.Total.Accelerators), free(w.Free.Slots, w.Total.Slots), fmt.Sprint(w.Jobs),
		})
	}
	fmt.Println()
	printTable(rows)
}
