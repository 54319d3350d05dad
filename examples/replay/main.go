// Command replay feeds a small history to the scheduler's core, prints what it
// decides, and shows that the recorded trace replays to the same decisions.
package main

import (
	"bytes"
	"fmt"
	"os"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/replay"
	"github.com/chestnutsail/chestnutsail/scheduler"
	"github.com/chestnutsail/chestnutsail/text"
)

func main() {
	rec := replay.New(scheduler.New(scheduler.Options{}), replay.Options{})
	for i, e := range history() {
		for _, a := range rec.Step(clock.Millis(i)*clock.Second, e) {
			fmt.Println(a.Kind, a.ID, a.Members)
		}
	}
	var trace bytes.Buffer
	if _, err := rec.WriteTo(&trace); err != nil {
		fail(err)
	}
	steps, err := replay.Read(&trace)
	if err != nil {
		fail(err)
	}
	if err := replay.Replay(steps); err != nil {
		fail(err)
	}
	fmt.Println(len(steps), "steps replayed, all the same")
}

// history brings two workers of one rack and a gang that needs both.
func history() []scheduler.Event {
	t := &text.Text{
		Fleet:    []text.Pool{{Domain: "a", Racks: 1, Workers: 2, Accels: 8}},
		Accounts: []text.Account{{Name: "kulhar"}},
	}
	events := []scheduler.Event{{Kind: scheduler.Text, Text: t}}
	for _, name := range []string{"a-1", "a-2"} {
		node := &scheduler.Node{Name: name, Domain: "a", Rack: "a-r1", Capacity: job.Resources{Accelerators: 8}}
		events = append(events, scheduler.Event{Kind: scheduler.WorkerUp, Node: node})
	}
	record := &job.Record{State: job.Waiting, Spec: job.Spec{
		Account: "kulhar", Service: "reconcile", Key: "2026-12-04", Class: job.Batch, Checkpoints: true,
		Shape: job.Shape{Tasks: 2, Accelerators: 8, Adjacent: job.Rack},
	}}
	return append(events, scheduler.Event{Kind: scheduler.Submit, Record: record})
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}
