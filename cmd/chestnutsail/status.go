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
	cmd := app.Command("status", "Show how accounts, waiting jobs, workers and entries stand.")
	cmd.HelpLong("  chestnutsail status             # accounts, and why each waiting job waits\n  chestnutsail status --workers   # each worker too\n")
	c.target.bind(cmd)
	cmd.Flag("workers", "Show each worker too.").BoolVar(&c.workers)
}

// report is what status prints as JSON.
type report struct {
	scheduler.Status
	Instances client.Instances `json:"instances"`
}

func (c *statusCommand) run() int {
	ctx := context.Background()
	cl := c.target.client()
	i, err := cl.Instances(ctx)
	if err != nil {
		return failCall(err)
	}
	s, err := cl.Status(ctx)
	if err != nil {
		return failCall(err)
	}
	if asJSON {
		return printJSON(report{s, i})
	}
	fmt.Printf("failure domain %s, in accelerators\n", i.Domain)
	c.accounts(s)
	c.waiting(s)
	c.entries(i)
	if c.workers {
		c.each(s)
	}
	return exitOK
}

func (*statusCommand) entries(i client.Instances) {
	rows := [][]string{{"ENTRY", "DOMAIN", "ADDRESS", "STATE", "REVISION", "SCHEDULES", "HEARD"}}
	for _, e := range i.Entries {
		leads := ""
		if e.Leads {
			leads = fmt.Sprintf("term %d", e.Term)
		}
		rows = append(rows, []string{e.Name, e.Domain, e.Address, e.State, fmt.Sprint(e.Revision), leads, e.Age.String() + " ago"})
	}
	fmt.Println()
	table(rows)
}

func (*statusCommand) accounts(s scheduler.Status) {
	rows := [][]string{{"ACCOUNT", "GUARANTEE", "HELD", "BORROWED", "OWED", "SHORTFALL", "WAITING", "RUNNING"}}
	for _, a := range s.Accounts {
		row := []string{a.Name}
		for _, n := range []int{a.Guarantee, a.Held, a.Borrowed, a.Owed, a.Shortfall, a.Waiting, a.Running} {
			row = append(row, fmt.Sprint(n))
		}
		rows = append(rows, row)
	}
	table(rows)
}

func (*statusCommand) waiting(s scheduler.Status) {
	if len(s.Jobs) == 0 {
		return
	}
	rows := [][]string{{"WAITING", "ACCOUNT", "CLASS", "FOR", "WHY", "DETAIL"}}
	for _, j := range s.Jobs {
		waited := (s.Now - j.Since) / clock.Second * clock.Second
		rows = append(rows, []string{j.ID, j.Account, string(j.Class), waited.String(), string(j.Why), j.Detail})
	}
	fmt.Println()
	table(rows)
}

func (*statusCommand) each(s scheduler.Status) {
	rows := [][]string{{"WORKER", "RACK", "HEALTH", "CORES", "MEMORY", "ACCELS", "SLOTS", "JOBS"}}
	for _, w := range s.Workers {
		free := func(free, total int) string { return fmt.Sprintf("%d of %d free", free, total) }
		rows = append(rows, []string{
			w.Name, w.Rack, string(w.Health), free(w.Free.Cores, w.Total.Cores), free(w.Free.Memory, w.Total.Memory),
			free(w.Free.Accelerators, w.Total.Accelerators), free(w.Free.Slots, w.Total.Slots), fmt.Sprint(w.Jobs),
		})
	}
	fmt.Println()
	table(rows)
}
