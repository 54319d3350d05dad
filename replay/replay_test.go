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

// trace runs n short jobs, one after the other, through a recorder.
func trace(n int, opts replay.Options) *replay.Recorder {
	rec := replay.New(scheduler.New(scheduler.Options{}), opts)
	for i := range 4 {
		rec.Step(0, scheduler.Event{Kind: scheduler.WorkerUp, Node: &scheduler.Node{
			Name: fmt.Sprintf("w%d", i), Domain: "a", Rack: "r", Capacity: job.Resources{Cores: 32, Memory: 64, Accelerators: 8, Slots: 8},
		}})
	}
	for i := range n {
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

func read(rec *replay.Recorder) []replay.Step {
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
		Expect(replay.Replay(read(trace(50, replay.Options{})))).To(Succeed())
	})

	It("stays within its bound and starts with a whole state after it was cut", func() {
		const limit = 32 << 10
		rec := trace(400, replay.Options{Bytes: limit})
		steps := read(rec)
		Expect(steps[0].Event.Kind).To(Equal(scheduler.Load))
		Expect(steps[0].Event.State.Nodes).NotTo(BeEmpty())
		Expect(replay.Replay(steps)).To(Succeed())
		Expect(len(steps)).To(BeNumerically("<", 400))
	})

	It("names the first step that differs", func() {
		steps := read(trace(50, replay.Options{}))
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

	DescribeTable("names the line that is no step",
		func(in, want string) {
			_, err := replay.Read(strings.NewReader(in))
			Expect(err).To(MatchError(ContainSubstring(want)))
		},
		Entry("no JSON", "{\"now\":1,\"event\":{\"kind\":\"tick\"}}\nx\n", "line 2"),
		Entry("an unknown kind", `{"now":1,"event":{"kind":"boom"}}`, "line 1: unknown event kind"),
		Entry("a kind without its field", `{"now":1,"event":{"kind":"submit"}}`, "line 1"),
	)
})
