package e2e_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/outcome"
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
