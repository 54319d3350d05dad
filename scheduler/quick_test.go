package scheduler_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/scheduler"
	"github.com/chestnutsail/chestnutsail/text"
)

var _ = DescribeTable("a quick job while sweeps occupy every accelerator",
	func(owner string, stops bool) {
		core := scheduler.New(scheduler.Options{Domain: "a"})
		step := func(e scheduler.Event) []scheduler.Action { return core.Step(clock.Second, e) }
		submit := func(account, key string, class job.Class, accels int) []scheduler.Action {
			spec := job.Spec{
				Account: account, Service: string(class), Key: key, Class: class, Idempotent: true,
				Declared: 10 * clock.Second, Shape: job.Shape{Accelerators: accels},
			}
			return step(scheduler.Event{Kind: scheduler.Submit, Record: &job.Record{Spec: spec, State: job.Waiting}})
		}
		step(scheduler.Event{Kind: scheduler.Text, Text: &text.Text{
			Fleet:    []text.Pool{{Domain: "a", Racks: 1, Workers: 2, Accels: 8}},
			Accounts: []text.Account{{Name: "kulhar"}, {Name: "perth"}},
		}})
		for i := range 2 {
			step(scheduler.Event{Kind: scheduler.WorkerUp, Node: &scheduler.Node{
				Name: fmt.Sprint("a-", i), Domain: "a", Rack: "r", Capacity: job.Resources{Accelerators: 8},
			}})
			key := fmt.Sprint("s", i)
			Expect(submit(owner, key, job.Sweep, 8)).To(HaveLen(1))
			step(scheduler.Event{Kind: scheduler.Started, ID: owner + "/" + key, Attempt: 1})
		}
		actions := submit("kulhar", "check", job.Quick, 1)
		if !stops {
			Expect(actions).To(BeEmpty())
			return
		}
		Expect(actions).To(HaveLen(1))
		Expect(actions[0].Kind).To(Equal(scheduler.Stop))
		actions = step(scheduler.Event{Kind: scheduler.Stopped, ID: actions[0].ID, Attempt: 1})
		Expect(actions).To(ContainElement(And(
			HaveField("Kind", scheduler.Place), HaveField("ID", "kulhar/check"),
		)))
	},
	Entry("starts in place of a sweep of its own account", "kulhar", true),
	Entry("waits if the sweeps are of another account", "perth", false),
)
