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

// cluster is a store, some workers and some entries as separate processes.
type cluster struct {
	store   string
	workers []string
	entries []string
	process []*os.Process
	caller  string
}

// newCluster starts n workers and m entries of domain a with the small text in force.
func newCluster(workers, entries int) *cluster {
	GinkgoHelper()
	c := &cluster{store: freeAddress()}
	start("standin", "platform", "--listen", c.store)
	eventually(answers("http://" + c.store + "/calls"))
	first := freePorts(workers)
	start("standin", "worker", "--store", "http://"+c.store, "--listen", first, "--domain", "a", "--count", fmt.Sprint(workers))
	for i := range workers {
		c.workers = append(c.workers, shift(first, i))
		eventually(answers("http://" + c.workers[i] + "/v1/report"))
	}
	for range entries {
		c.join()
	}
	operator, code := command(nil, "token", "operator", "anna")
	Expect(code).To(Equal(0))
	c.caller, code = command(nil, "token", "caller", "kulhar")
	Expect(code).To(Equal(0))
	out, code := command([]string{c.env(0)}, "apply", "--token", operator, "../examples/small.yaml")
	Expect(code).To(Equal(0), out)
	for _, e := range c.entries {
		eventually(answers("http://" + e + "/ready"))
	}
	return c
}

// join starts one more entry.
func (c *cluster) join() {
	GinkgoHelper()
	address := freeAddress()
	name := fmt.Sprint("e", len(c.entries))
	c.process = append(c.process, start("chestnutsail", "entry", "--name", name, "--domain", "a",
		"--listen", address, "--store", "http://"+c.store))
	c.entries = append(c.entries, address)
	eventually(answers("http://" + address + "/healthz"))
}

func (c *cluster) env(entry int) string { return "CHESTNUTSAIL_ADDRESS=http://" + c.entries[entry] }

func (c *cluster) submit(entry int, service, key, payload string) outcome.Outcome {
	GinkgoHelper()
	return c.outcome("POST", entry, "", map[string]any{"service": service, "key": key, "payload": []byte(payload)})
}

func (c *cluster) ask(entry int, key string) outcome.Outcome {
	GinkgoHelper()
	return c.outcome("GET", entry, "/"+key, nil)
}

func (c *cluster) outcome(method string, entry int, path string, body any) outcome.Outcome {
	GinkgoHelper()
	raw, err := call(method, "http://"+c.entries[entry]+"/v1/requests"+path, c.caller, body)
	Expect(err).NotTo(HaveOccurred())
	var o outcome.Outcome
	Expect(json.Unmarshal(raw, &o)).To(Succeed(), string(raw))
	return o
}

// ends waits until a request has the kind of outcome at an entry.
func (c *cluster) ends(entry int, key string, kind outcome.Kind) outcome.Outcome {
	GinkgoHelper()
	var o outcome.Outcome
	eventually(func() error {
		if o = c.ask(entry, key); o.Kind != kind {
			return errors.New(string(o.Kind) + " " + string(o.Reason) + " " + o.Detail)
		}
		return nil
	})
	return o
}

var _ = Describe("a gang", func() {
	It("is submitted at one entry, runs whole and answers by key from any", func() {
		c := newCluster(2, 2)
		o := c.submit(0, "reconcile", "night", `{"sleep_ms":300,"echo":"balanced"}`)
		Expect(o.Kind).To(Equal(outcome.Accepted))
		for i := range c.entries {
			o = c.ends(i, "night", outcome.Done)
			Expect(string(o.Body)).To(ContainSubstring("YmFsYW5jZWQ="))
		}
		for _, w := range c.workers {
			Expect(journal(w)).To(HaveLen(1))
		}
		Expect(c.submit(1, "reconcile", "night", `{"sleep_ms":300,"echo":"balanced"}`).Kind).To(Equal(outcome.Done))
		Expect(c.submit(1, "reconcile", "night", `other`).Reason).To(Equal(outcome.KeyReused))
	})
})

var _ = Describe("jobs", func() {
	It("are not lost when every entry is killed at once, and end at the entry that replaces them", func() {
		c := newCluster(2, 3)
		for i := range 6 {
			o := c.submit(0, "reconcile", fmt.Sprint("n", i), `{"sleep_ms":200,"echo":"ok"}`)
			Expect(o.Kind).To(Equal(outcome.Accepted))
		}
		for _, p := range c.process {
			Expect(p.Signal(syscall.SIGKILL)).To(Succeed())
		}
		c.join()
		for i := range 6 {
			c.ends(3, fmt.Sprint("n", i), outcome.Done)
		}
		for i, runs := range c.attempts() {
			Expect(runs.partial).To(BeNumerically("<=", gang.DefaultShort+busy), i)
		}
	})

	It("go on while their scheduler is frozen, and it does no harm when it wakes", func() {
		c := newCluster(2, 2)
		Expect(c.submit(0, "reconcile", "first", `{"sleep_ms":100,"echo":"ok"}`).Kind).To(Equal(outcome.Accepted))
		c.ends(0, "first", outcome.Done)
		Expect(c.submit(0, "reconcile", "night", `{"sleep_ms":8000,"echo":"ok"}`).Kind).To(Equal(outcome.Accepted))
		eventually(func() error {
			if c.attempts()["kulhar/night/1"].parts < 2 {
				return errors.New("not started")
			}
			return nil
		})
		Expect(c.process[0].Signal(syscall.SIGSTOP)).To(Succeed())
		Expect(c.submit(1, "reconcile", "after", `{"sleep_ms":100,"echo":"ok"}`).Kind).To(Equal(outcome.Accepted))
		c.ends(1, "night", outcome.Done)
		c.ends(1, "after", outcome.Done)
		Expect(c.process[0].Signal(syscall.SIGCONT)).To(Succeed())
		time.Sleep(time.Second)
		for id, runs := range c.attempts() {
			Expect(id).To(HaveSuffix("/1"), "a job ran again")
			Expect(runs.parts).To(Equal(2))
			Expect(runs.partial).To(BeNumerically("<=", gang.DefaultShort+busy), id)
		}
		Expect(c.ask(0, "night").Kind).To(Equal(outcome.Done))
	})
})

// urgentBound is the time within which urgent work has to start.
const urgentBound = 6200 * clock.Millisecond

// leader returns the index of the entry that schedules the domain.
func (c *cluster) leader() int {
	GinkgoHelper()
	raw, err := call("GET", "http://"+c.store+"/v1/kv/term/a", "", nil)
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
	DescribeTable("starts within 6.2 s", func(end os.Signal) {
		c := newCluster(2, 3)
		Expect(c.submit(0, "reconcile", "first", `{"sleep_ms":50}`).Kind).To(Equal(outcome.Accepted))
		c.ends(0, "first", outcome.Done)
		leader := c.leader()
		if end != nil {
			Expect(c.process[leader].Signal(end)).To(Succeed())
		}
		begun := clock.New().Now()
		o := c.outcome("POST", (leader+1)%3, "", map[string]any{
			"service": "reconcile", "key": "urgent", "class": "urgent", "payload": []byte(`{"sleep_ms":50}`),
		})
		Expect(o.Kind).To(Equal(outcome.Accepted))
		c.ends((leader+1)%3, "urgent", outcome.Done)
		var started clock.Millis
		for _, w := range c.workers {
			for _, x := range journal(w) {
				if x.ID == "kulhar/urgent" {
					started = max(started, x.Start)
				}
			}
		}
		AddReportEntry("milliseconds to the start", int64(started-begun))
		Expect(started - begun).To(BeNumerically("<=", urgentBound))
	},
		Entry("with its scheduler at work", nil),
		Entry("with its scheduler just killed", syscall.SIGKILL),
		Entry("with its scheduler just frozen", syscall.SIGSTOP),
		Entry("with its scheduler leaving", syscall.SIGTERM),
	)
})

// busy allows for a busy computer.
const busy = 500 * clock.Millisecond

// attempt is what the workers' journals tell of one attempt of a job.
type attempt struct {
	parts   int
	partial clock.Millis
}

// attempts returns every attempt that had an effect, by its job and number. The
// span in which one of two parts ran alone is the distance of their starts, and
// of their ends unless the part that ended first had finished.
func (c *cluster) attempts() map[string]attempt {
	GinkgoHelper()
	parts := make(map[string][]workertest.Execution)
	for _, w := range c.workers {
		for _, x := range journal(w) {
			id := fmt.Sprintf("%s/%d", x.ID, x.Attempt)
			parts[id] = append(parts[id], x)
		}
	}
	out := make(map[string]attempt)
	for id, p := range parts {
		a := attempt{parts: len(p)}
		for _, x := range p {
			a.partial = max(a.partial, x.Start-p[0].Start, p[0].Start-x.Start)
			if len(p) < 2 && x.End > 0 {
				a.partial = x.End - x.Start
			}
		}
		out[id] = a
	}
	return out
}
