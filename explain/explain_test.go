package explain_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/explain"
	"github.com/chestnutsail/chestnutsail/suite"
)

func TestExplain(t *testing.T) { suite.Run(t, "explain") }

const id = "5c0e7a21d94b36f8"

// at returns a line of a log, the given number of milliseconds after noon.
func at(ms int, message string, fields string) string {
	return fmt.Sprintf(`{"job":%q,"time":"12:00:%02d.%03d","msg":%q%s}`, id, ms/1000, ms%1000, message, fields)
}

func accepted(ms int) string {
	return at(ms, "callers: request answered", `,"verb":"POST","verdict":"ok","queue":"q"`)
}

func refused(ms int) string {
	return at(ms, "callers: request answered", `,"verb":"POST","verdict":"busy"`)
}

func placed(ms, run int, workers string) string {
	return at(ms, "controller: tasks are placed", fmt.Sprintf(`,"run":%d,"workers":[%s],"racks":1`, run, workers))
}

func ended(ms, run int, worker, how string) string {
	return at(ms, "controller: run has ended", fmt.Sprintf(`,"task":"%s.0.0.0","run":%d,"worker":%q,"how":%q`, id, run, worker, how))
}

func stopped(ms, run int, worker, reason string) string {
	return at(ms, "controller: stopping a run", fmt.Sprintf(`,"task":"%s.0.0.0","run":%d,"worker":%q,"reason":%q,"lost_core_s":7`, id, run, worker, reason))
}

// over is the end of a job that was accepted age milliseconds before, with an objective of 3 s.
func over(ms, age int) string {
	return at(ms, "controller: job is over", fmt.Sprintf(`,"state":"completed","queue":"q","objective_ms":3000,"age_ms":%d`, age))
}

func explained(lines ...string) explain.Report {
	GinkgoHelper()
	r := explain.NewReader()
	Expect(r.Read("log", strings.NewReader(strings.Join(lines, "\n")))).To(Succeed())
	return explain.Explain(r.Lines())
}

var _ = Describe("the explanation of a job", func() {
	DescribeTable("names the cause and divides its time",
		func(cause explain.Cause, waited, lost, ran int, lines ...string) {
			report := explained(lines...)
			Expect(report.Jobs).To(HaveLen(1))
			j := report.Jobs[0]
			Expect(j.Cause).To(Equal(cause))
			Expect([]clock.Millis{j.Waited, j.Lost, j.Ran}).To(Equal([]clock.Millis{clock.Millis(waited), clock.Millis(lost), clock.Millis(ran)}))
			Expect(report.Classes).To(HaveLen(1))
			Expect(report.Classes[0].Causes).To(Equal(map[explain.Cause]int{cause: 1}))
		},
		Entry("in time", explain.InTime, 100, 0, 2000, accepted(0), placed(100, 1, `"a"`), ended(2100, 1, "a", "done"), over(2100, 2100)),
		Entry("waited for room", explain.Waited, 4000, 0, 2000, accepted(0), placed(4000, 1, `"a"`), ended(6000, 1, "a", "done"), over(6000, 6000)),
		Entry("evicted, and waited for that reason", explain.Evicted, 3500, 500, 2000, accepted(0), placed(0, 1, `"a","b"`),
			stopped(500, 1, "a", "urgent work takes its room"), stopped(500, 1, "b", "urgent work takes its room"), ended(500, 1, "a", "stopped"), ended(500, 1, "b", "stopped"),
			placed(4000, 2, `"a","b"`), ended(6000, 2, "a", "done"), stopped(6000, 2, "b", "its job is over"), over(6000, 6000)),
		Entry("a failed run", explain.TaskFailed, 0, 3000, 2000, accepted(0), placed(0, 1, `"a"`), ended(3000, 1, "a", "failed"), placed(3000, 2, `"b"`), ended(5000, 2, "b", "done"), over(5000, 5000)),
		Entry("a worker that was cut off", explain.WorkerGone, 0, 6000, 2000, accepted(0), placed(0, 1, `"a"`), ended(6000, 1, "a", "lapsed"), placed(6000, 2, `"b"`), ended(8000, 2, "b", "done"), over(8000, 8000)),
		Entry("a run that stood still", explain.Stalled, 0, 3000, 2000, accepted(0), placed(0, 1, `"a"`), stopped(2800, 1, "a", "a run stands still on its worker"), ended(3000, 1, "a", "stopped"),
			placed(3000, 2, `"b"`), ended(5000, 2, "b", "done"), over(5000, 5000)),
		Entry("an end that was recorded by the next leader", explain.Unrecorded, 0, 0, 2000, accepted(0), placed(0, 1, `"a"`), ended(2000, 1, "a", "done"), over(2000, 2000), over(8000, 8000)),
		Entry("a caller that was refused at first", explain.Refused, 0, 0, 2000, refused(0), accepted(2500), placed(2500, 1, `"a"`), ended(4500, 1, "a", "done"), over(4500, 2000)),
		Entry("a gang over two racks", explain.ManyRacks, 0, 0, 5000, accepted(0), at(0, "controller: tasks are placed", `,"run":1,"workers":["a","b"],"racks":2,"same_rack":true`),
			ended(5000, 1, "a", "done"), over(5000, 5000)),
		Entry("a long run", explain.RanLong, 0, 0, 5000, accepted(0), placed(0, 1, `"a"`), ended(5000, 1, "a", "done"), over(5000, 5000)),
		Entry("not over", explain.NotOver, 0, 0, 0, accepted(1), placed(100, 1, `"a"`)),
		Entry("a job that ran beside a run that was lost", explain.RanLong, 0, 0, 5000, accepted(0), placed(0, 1, `"a","b"`), ended(1000, 1, "b", "failed"), ended(5000, 1, "a", "done"), over(5000, 5000)),
	)

	// Guards against runs of one job on one worker that are taken for each other.
	It("tells the runs of one job on one worker apart by their tasks", func() {
		stop := func(task int) string {
			return fmt.Sprintf(`{"time":"12:00:00.500","msg":"controller: stopping a run","task":"%s.0.0.%d","run":1,"worker":"a","reason":"urgent work takes its room"}`, id, task)
		}
		end := func(task int) string {
			return fmt.Sprintf(`{"job":%q,"time":"12:00:00.600","msg":"controller: run has ended","task":"%s.0.0.%d","run":1,"worker":"a","how":"stopped"}`, id, id, task)
		}
		j := explained(accepted(0), placed(0, 1, `"a","a","a"`), stop(0), stop(1), end(1), end(0), placed(4000, 2, `"b","b"`), over(6000, 6000)).Jobs[0]
		Expect(j.LostRuns).To(Equal(map[explain.Cause]int{explain.Evicted: 2}))
	})

	It("counts the time until a later leader took over an end that was not recorded", func() {
		j := explained(accepted(0), placed(0, 1, `"a"`), ended(2000, 1, "a", "done"), over(2000, 2000),
			at(2800, "controller: taking over an end that is not recorded", `,"state":"completed"`)).Jobs[0]
		Expect(j.Cause).To(Equal(explain.InTime))
		Expect(j.Recording).To(Equal(800 * clock.Millisecond))
	})

	It("sums up the work thrown away and what the job waited for", func() {
		report := explained(accepted(0), at(3000, "controller: tasks wait although there is room", `,"headroom":3,"reserved":9`),
			placed(4000, 1, `"a"`), stopped(5000, 1, "a", "urgent work takes its room"), over(9000, 9000))
		Expect(report.LostWork).To(Equal(map[string]int64{"urgent work takes its room": 7}))
		Expect(report.Jobs[0].WaitedFor).To(Equal(map[string]int{"reservations": 1}))
	})

	It("puts the logs of several instances in order, also over midnight", func() {
		r := explain.NewReader()
		Expect(r.Read("e1", strings.NewReader(strings.ReplaceAll(accepted(500), "12:00:00", "23:59:59")))).To(Succeed())
		Expect(r.Read("e2", strings.NewReader("text of another program\n12.5 e2 "+strings.ReplaceAll(over(1500, 2000), "12:00:01", "00:00:01")))).To(Succeed())
		report := explain.Explain(r.Lines())
		Expect(report.Jobs[0].End - report.Jobs[0].Begin).To(Equal(2 * clock.Second))
	})
})

var _ = Describe("a log that can't be read whole", func() {
	DescribeTable("is an error with its name and line",
		func(text, message string) {
			err := explain.NewReader().Read("e1.log", strings.NewReader(text))
			var lineErr *explain.LineError
			Expect(errors.As(err, &lineErr)).To(BeTrue())
			Expect(err).To(MatchError(ContainSubstring(message)))
		},
		Entry("empty", "", "e1.log:0: no line of chestnutsail"),
		Entry("of another program", "hello\n", "e1.log:1: no line of chestnutsail"),
		Entry("cut off", accepted(0)+"\n"+over(5, 5)[:40], "e1.log:2: "),
		Entry("without a time", `{"msg":"fleet: started"}`, "e1.log:1: "),
		Entry("with a field of another type", `{"msg":"x","time":"12:00:00.000","run":"one"}`, "e1.log:1: "),
	)

	It("adds the other lines nevertheless", func() {
		r := explain.NewReader()
		Expect(r.Read("log", strings.NewReader(accepted(1)+"\n"+over(5, 5)[:40]+"\n"+over(2100, 2099)))).NotTo(Succeed())
		Expect(explain.Explain(r.Lines()).Jobs[0].Cause).To(Equal(explain.InTime))
	})
})
