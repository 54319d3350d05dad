package e2e_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/gang"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/workertest"
)

// cluster is a stand-in store with workers and entries of one failure domain, all as
// separate processes that connect to each other directly.
type cluster struct {
	storeAddress string
	workers      []string
	entries      []string
	processes    []*os.Process
	callerToken  string
}

// newCluster starts workers and entries of domain a and applies examples/small.yaml.
func newCluster(workers, entries int) *cluster {
	GinkgoHelper()
	c := &cluster{storeAddress: freeAddress()}
	startProgram("standin", "platform", "--listen", c.storeAddress)
	eventually(respondsOK("http://" + c.storeAddress + "/calls"))
	first := freeSuccessiveAddresses(workers)
	startProgram("standin", "worker", "--store", "http://"+c.storeAddress, "--listen", first, "--domain", "a", "--count", fmt.Sprint(workers))
	for i := range workers {
		c.workers = append(c.workers, addressWithOffset(first, i))
		eventually(respondsOK("http://" + c.workers[i] + "/v1/report"))
	}
	for range entries {
		c.startEntry()
	}
	operator, code := runCommand(nil, "token", "operator", "anna")
	Expect(code).To(Equal(0))
	c.callerToken, code = runCommand(nil, "token", "caller", "kulhar")
	Expect(code).To(Equal(0))
	out, code := runCommand([]string{c.addressVariable(0)}, "apply", "--token", operator, "../examples/small.yaml")
	Expect(code).To(Equal(0), out)
	for _, e := range c.entries {
		eventually(respondsOK("http://" + e + "/ready"))
	}
	return c
}

// startEntry starts one more entry and adds it to the cluster.
func (c *cluster) startEntry() {
	GinkgoHelper()
	address := freeAddress()
	name := fmt.Sprint("e", len(c.entries))
	c.processes = append(c.processes, startProgram("chestnutsail", "entry", "--name", name, "--domain", "a",
		"--listen", address, "--store", "http://"+c.storeAddress))
	c.entries = append(c.entries, address)
	eventually(respondsOK("http://" + address + "/healthz"))
}

func (c *cluster) addressVariable(entry int) string {
	return "CHESTNUTSAIL_ADDRESS=http://" + c.entries[entry]
}

func (c *cluster) submit(entry int, key, payload string) outcome.Outcome {
	GinkgoHelper()
	return c.outcome("POST", entry, "", map[string]any{"service": "reconcile", "key": key, "payload": []byte(payload)})
}

func (c *cluster) query(entry int, key string) outcome.Outcome {
	GinkgoHelper()
	return c.outcome("GET", entry, "/"+key, nil)
}

func (c *cluster) outcome(method string, entry int, path string, body any) outcome.Outcome {
	GinkgoHelper()
	raw, err := call(method, "http://"+c.entries[entry]+"/v1/requests"+path, c.callerToken, body)
	Expect(err).NotTo(HaveOccurred())
	var o outcome.Outcome
	Expect(json.Unmarshal(raw, &o)).To(Succeed(), string(raw))
	return o
}

// awaitDone waits until an entry reports a request as done, and returns its outcome.
func (c *cluster) awaitDone(entry int, key string) outcome.Outcome {
	GinkgoHelper()
	var o outcome.Outcome
	eventually(func() error {
		if o = c.query(entry, key); o.Kind != outcome.Done {
			return errors.New(string(o.Kind) + " " + string(o.Reason) + " " + o.Detail)
		}
		return nil
	})
	return o
}

var _ = Describe("a gang", func() {
	It("is submitted to one entry, runs once on each of its workers, and its result can be read from every entry", func() {
		c := newCluster(2, 2)
		o := c.submit(0, "night", `{"sleep_ms":300,"echo":"balanced"}`)
		Expect(o.Kind).To(Equal(outcome.Accepted))
		for i := range c.entries {
			o = c.awaitDone(i, "night")
			Expect(string(o.Body)).To(ContainSubstring("YmFsYW5jZWQ="))
		}
		for _, w := range c.workers {
			Expect(journal(w)).To(HaveLen(1))
		}
		Expect(c.submit(1, "night", `{"sleep_ms":300,"echo":"balanced"}`).Kind).To(Equal(outcome.Done))
		Expect(c.submit(1, "night", `other`).Reason).To(Equal(outcome.KeyReused))
	})
})

var _ = Describe("jobs", func() {
	It("are not lost when all entries are killed at once, and are completed by a new entry", func() {
		c := newCluster(2, 3)
		for i := range 6 {
			o := c.submit(0, fmt.Sprint("n", i), `{"sleep_ms":200,"echo":"ok"}`)
			Expect(o.Kind).To(Equal(outcome.Accepted))
		}
		for _, p := range c.processes {
			Expect(p.Signal(syscall.SIGKILL)).To(Succeed())
		}
		c.startEntry()
		for i := range 6 {
			c.awaitDone(3, fmt.Sprint("n", i))
		}
		for i, runs := range c.attempts() {
			Expect(runs.partialTime).To(BeNumerically("<=", gang.DefaultStartLease+machineTolerance), i)
		}
	})

	It("go on while the entry that schedules them is suspended, and are not run again after it resumes", func() {
		c := newCluster(2, 2)
		Expect(c.submit(0, "first", `{"sleep_ms":100,"echo":"ok"}`).Kind).To(Equal(outcome.Accepted))
		c.awaitDone(0, "first")
		Expect(c.submit(0, "night", `{"sleep_ms":8000,"echo":"ok"}`).Kind).To(Equal(outcome.Accepted))
		eventually(func() error {
			if c.attempts()["kulhar/night/1"].members < 2 {
				return errors.New("not started")
			}
			return nil
		})
		Expect(c.processes[0].Signal(syscall.SIGSTOP)).To(Succeed())
		Expect(c.submit(1, "after", `{"sleep_ms":100,"echo":"ok"}`).Kind).To(Equal(outcome.Accepted))
		c.awaitDone(1, "night")
		c.awaitDone(1, "after")
		Expect(c.processes[0].Signal(syscall.SIGCONT)).To(Succeed())
		time.Sleep(time.Second)
		for id, runs := range c.attempts() {
			Expect(id).To(HaveSuffix("/1"), "the job was started more than once")
			Expect(runs.members).To(Equal(2))
			Expect(runs.partialTime).To(BeNumerically("<=", gang.DefaultStartLease+machineTolerance), id)
		}
		Expect(c.query(0, "night").Kind).To(Equal(outcome.Done))
	})
})

// urgentBound is the longest allowed time in milliseconds from the submission of an urgent
// job to its start.
const urgentBound = 6200 * clock.Millisecond

// leader returns the index of the entry that the store lists as the leader of domain a.
func (c *cluster) leader() int {
	GinkgoHelper()
	raw, err := call("GET", "http://"+c.storeAddress+"/v1/kv/term/a", "", nil)
	Expect(err).NotTo(HaveOccurred())
	var pairs []struct{ Value []byte }
	Expect(json.Unmarshal(raw, &pairs)).To(Succeed())
	var v struct{ Holder string }
	Expect(json.Unmarshal(pairs[0].Value, &v)).To(Succeed())
	n, err := strconv.Atoi(strings.TrimPrefix(v.Holder, "e"))
	Expect(err).NotTo(HaveOccurred())
	return n
}

var _ = Describe("urgent work", func() {
	DescribeTable("starts within 6.2 s", func(stopSignal os.Signal) {
		c := newCluster(2, 3)
		Expect(c.submit(0, "first", `{"sleep_ms":50}`).Kind).To(Equal(outcome.Accepted))
		c.awaitDone(0, "first")
		leader := c.leader()
		if stopSignal != nil {
			Expect(c.processes[leader].Signal(stopSignal)).To(Succeed())
		}
		submittedAt := clock.New().Now()
		o := c.outcome("POST", (leader+1)%3, "", map[string]any{
			"service": "reconcile", "key": "urgent", "class": "urgent", "payload": []byte(`{"sleep_ms":50}`),
		})
		Expect(o.Kind).To(Equal(outcome.Accepted))
		c.awaitDone((leader+1)%3, "urgent")
		var startedAt clock.Millis
		for _, w := range c.workers {
			for _, execution := range journal(w) {
				if execution.ID == "kulhar/urgent" {
					startedAt = max(startedAt, execution.Start)
				}
			}
		}
		AddReportEntry("milliseconds to the start", int64(startedAt-submittedAt))
		Expect(startedAt - submittedAt).To(BeNumerically("<=", urgentBound))
	},
		Entry("while the leader works", nil),
		Entry("after the leader was killed", syscall.SIGKILL),
		Entry("after the leader was suspended", syscall.SIGSTOP),
		Entry("after the leader was asked to shut down", syscall.SIGTERM),
	)
})

// machineTolerance is the additional time that a busy test machine may take.
const machineTolerance = 500 * clock.Millisecond

// attempt is one attempt of a gang according to the workers' journals: the number of its
// members that were started, and the time in milliseconds in which only some of them ran.
type attempt struct {
	members     int
	partialTime clock.Millis
}

// attempts returns every attempt of which a member was started. The keys consist of the ID
// of the job and the number of the attempt. partialTime is the time between the starts of
// the two members; if only one member was started and has ended, it is the time for which
// that member ran.
func (c *cluster) attempts() map[string]attempt {
	GinkgoHelper()
	members := make(map[string][]workertest.Execution)
	for _, w := range c.workers {
		for _, execution := range journal(w) {
			id := fmt.Sprintf("%s/%d", execution.ID, execution.Attempt)
			members[id] = append(members[id], execution)
		}
	}
	out := make(map[string]attempt)
	for id, executions := range members {
		result := attempt{members: len(executions)}
		for _, execution := range executions {
			result.partialTime = max(result.partialTime, execution.Start-executions[0].Start, executions[0].Start-execution.Start)
			if len(executions) < 2 && execution.End > 0 {
				result.partialTime = execution.End - execution.Start
			}
		}
		out[id] = result
	}
	return out
}
