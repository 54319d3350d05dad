// Command replay passes a few events to the scheduler, prints the resulting decisions, and
// shows that a replay of the recorded trace makes the same decisions.
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
	recorder := replay.New(scheduler.New(scheduler.Options{}), replay.Options{})
	for i, e := range exampleEvents() {
		for _, a := range recorder.Step(clock.Millis(i)*clock.Second, e) {
			fmt.Println(a.Kind, a.ID, a.Members)
		}
	}
	var trace bytes.Buffer
	if _, err := recorder.WriteTo(&trace); err != nil {
		exitWithError(err)
	}
	steps, err := replay.Read(&trace)
	if err != nil {
		exitWithError(err)
	}
	if err := replay.Replay(steps); err != nil {
		exitWithError(err)
	}
	fmt.Println(len(steps), "steps replayed, all the same")
}

// exampleEvents returns events that add two workers of one rack and submit a gang that needs
// both of them.
func exampleEvents() []scheduler.Event {
	configuration := &text.Text{
		Fleet:    []text.Pool{{Domain: "a", Racks: 1, Workers: 2, Accels: 8}},
		Accounts: []text.Account{{Name: "kulhar"}},
	}
	events := []scheduler.Event{{Kind: scheduler.Text, Text: configuration}}
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

func exitWithError(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}
