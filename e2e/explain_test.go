package e2e_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// explainedLog is the log of an instance with one job that was evicted and came 3 s late.
const explainedLog = `{"job":"5c0e7a21d94b36f8","time":"12:00:00.000","msg":"callers: request answered","verb":"POST","verdict":"ok","queue":"q"}
{"job":"5c0e7a21d94b36f8","time":"12:00:00.000","msg":"controller: tasks are placed","run":1,"workers":["a"],"racks":1}
{"task":"5c0e7a21d94b36f8.0.0.0","time":"12:00:01.000","msg":"controller: stopping a run","run":1,"worker":"a","reason":"urgent work takes its room","lost_core_s":9}
{"job":"5c0e7a21d94b36f8","task":"5c0e7a21d94b36f8.0.0.0","time":"12:00:01.000","msg":"controller: run has ended","run":1,"worker":"a","how":"stopped"}
{"job":"5c0e7a21d94b36f8","time":"12:00:04.000","msg":"controller: tasks are placed","run":2,"workers":["b"],"racks":1}
{"job":"5c0e7a21d94b36f8","task":"5c0e7a21d94b36f8.0.0.0","time":"12:00:06.000","msg":"controller: run has ended","run":2,"worker":"b","how":"done"}
{"job":"5c0e7a21d94b36f8","time":"12:00:06.000","msg":"controller: job is over","state":"completed","objective_ms":3000,"age_ms":6000,"queue":"q"}
`

var _ = Describe("the command explain", func() {
	DescribeTable("exits with the code for what it could read",
		func(code int, log string, expected []string, args ...string) {
			path := writeFile("e1.log", log)
			out, got := runCommand(nil, append(args, path)...)
			Expect(got).To(Equal(code), out)
			for _, text := range expected {
				Expect(out).To(ContainSubstring(text))
			}
		},
		Entry("0 for a whole log", 0, explainedLog, []string{"evicted for urgent work", "5c0e7a21d94b36f8", "3.0s"}, "explain"),
		Entry("0 for one job as JSON", 0, explainedLog, []string{`"cause": "evicted for urgent work"`, `"waited": 3000`, `"lost": 1000`, `"ran": 2000`}, "--json", "explain", "--job", "5c0e7a21d94b36f8"),
		Entry("2 for a line that is cut off, and explains the others", 2, explainedLog+`{"job":"5c0e`, []string{"e1.log:8: ", "evicted for urgent work"}, "explain"),
		Entry("2 for a job that is not in the logs", 2, explainedLog, []string{"no job ffff"}, "explain", "--job", "ffff"),
		Entry("2 for a file without logs", 2, strings.Repeat("text\n", 2), []string{"e1.log:2: no line of chestnutsail"}, "explain"),
	)
})
