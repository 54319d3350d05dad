package replay_test

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/replay"
	"github.com/chestnutsail/chestnutsail/scheduler"
	"github.com/chestnutsail/chestnutsail/suite"
)

func TestReplay(t *testing.T) { suite.Run(t, "replay") }

// recordTrace submits the given number of jobs, one per second, to a recorder with four
// workers. For two of three submissions, the jobs that the core then places finish at
// once; all other placed jobs keep running.
func recordTrace(jobs int, opts replay.Options) *replay.Recorder {
	rec := replay.New(scheduler.New(scheduler.Options{}), opts)
	for i := range 4 {
		rec.Step(0, scheduler.Event{Kind: scheduler.WorkerUp, Node: &scheduler.Node{
			Name: fmt.Sprintf("w%d", i), Domain: "a", Rack: "r", Capacity: job.Resources{Cores: 32, Memory: 64, Accelerators: 8, Slots: 8},
		}})
	}
	for i := range jobs {
		now := clock.Millis(i) * clock.Second
		spec := job.Spec{Account: "a", Service: "s", Key: fmt.Sprint(i), Class: job.Batch, Idempotent: true, Payload: []byte("secret"), Shape: job.Shape{Tasks: 1 + i%5, Accelerators: 4}}
		for _, a := range rec.Step(now, scheduler.Event{Kind: scheduler.Submit, Record: &job.Record{Spec: spec, State: job.Waiting, Submitted: now}}) {
			if a.Kind == scheduler.Place && i%3 != 0 {
				rec.Step(now, scheduler.Event{Kind: scheduler.Finished, ID: a.ID, Attempt: a.Attempt})
			}
		}
	}
	return rec
}

func readTrace(rec *replay.Recorder) []replay.Step {
	var out bytes.Buffer
	_, err := rec.WriteTo(&out)
	Expect(err).NotTo(HaveOccurred())
	Expect(out.String()).NotTo(ContainSubstring("secret"))
	steps, err := replay.Read(&out)
	Expect(err).NotTo(HaveOccurred())
	return steps
}

var _ = Describe("a trace", func() {
	It("replays to the same actions", func() {
		Expect(replay.Replay(readTrace(recordTrace(50, replay.Options{})))).To(Succeed())
	})

	It("stays within its maximum size and starts with a complete state after older steps were dropped", func() {
		const limit = 32 << 10
		rec := recordTrace(400, replay.Options{MaxBytes: limit})
		steps := readTrace(rec)
		Expect(steps[0].Event.Kind).To(Equal(scheduler.Load))
		Expect(steps[0].Event.State.Nodes).NotTo(BeEmpty())
		Expect(replay.Replay(steps)).To(Succeed())
		Expect(len(steps)).To(BeNumerically("<", 400))
	})

	It("reports the first step that differs", func() {
		steps := readTrace(recordTrace(50, replay.Options{}))
		for i := range steps {
			if len(steps[i].Actions) > 0 {
				steps[i].Actions[0].Attempt++
				err := replay.Replay(steps)
				var diff *replay.Error
				Expect(errors.As(err, &diff)).To(BeTrue())
				Expect(diff.Line).To(Equal(i + 1))
				return
			}
		}
		Fail("the trace has no action")
	})

	DescribeTable("reports the line that is not a step",
		func(in, want string) {
			_, err := replay.Read(strings.NewReader(in))
			Expect(err).To(MatchError(ContainSubstring(want)))
		},
		Entry("invalid JSON", "{\"now\":1,\"event\":{\"kind\":\"tick\"}}\nx\n", "line 2"),
		Entry("an unknown kind", `{"now":1,"event":{"kind":"boom"}}`, "line 1: unknown event kind"),
		Entry("a kind without a field that it needs", `{"now":1,"event":{"kind":"submit"}}`, "line 1"),
	)
})
