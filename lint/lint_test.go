package lint_test

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/lint"
	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/site"
	"github.com/chestnutsail/chestnutsail/suite"
)

func TestLint(t *testing.T) { suite.Run(t, "lint") }

// valid returns a configuration without faults.
func valid() site.Config {
	return site.Config{
		Version:  2,
		Queues:   []site.Queue{{Name: "recon", Host: "jobs", Prefix: "/a/", Service: "s", ObjectiveFactor: 3, Attempts: 2}},
		Accounts: []site.Account{{Name: "kulhar", Keys: []string{"secret"}, Guaranteed: 4}},
	}
}

// other returns the queue of valid with another name and prefix.
func other(name, prefix string) site.Queue {
	q := valid().Queues[0]
	q.Name, q.Prefix = name, prefix
	return q
}

var _ = Describe("Check", func() {
	DescribeTable("reports a fault with its severity and place",
		func(change func(c *site.Config), severity lint.Severity, at, message string) {
			cfg := valid()
			change(&cfg)
			Expect(lint.Check(cfg, lint.Options{Accels: 8, InForce: &site.Config{Version: 1}})).To(ConsistOf(SatisfyAll(
				HaveField("Severity", severity), HaveField("Place", at), HaveField("Message", ContainSubstring(message)))))
		},
		Entry("no version", func(c *site.Config) { *c = valid(); c.Version = 1 }, lint.Error, "version", "not above 1"),
		Entry("a queue without a name", func(c *site.Config) { c.Queues[0].Name = "" }, lint.Error, "queue at position 1", "no name"),
		Entry("queues with one name", func(c *site.Config) { c.Queues = append(c.Queues, other("recon", "/b/")) }, lint.Error, "queue recon", "same name"),
		Entry("no host", func(c *site.Config) { c.Queues[0].Host = "" }, lint.Error, "queue recon", "no host"),
		Entry("a host with a port", func(c *site.Config) { c.Queues[0].Host = "jobs:80" }, lint.Error, "queue recon", "remove :80"),
		Entry("a relative prefix", func(c *site.Config) { c.Queues[0].Prefix = "a/" }, lint.Error, "queue recon", "begin with /"),
		Entry("no service", func(c *site.Config) { c.Queues[0].Service = "" }, lint.Error, "queue recon", "no service"),
		Entry("no attempts", func(c *site.Config) { c.Queues[0].Attempts = 0 }, lint.Error, "queue recon", "0 attempts"),
		Entry("a negative target", func(c *site.Config) { c.Queues[0].Target = -1 }, lint.Error, "queue recon", "-1 ms"),
		Entry("a negative factor", func(c *site.Config) { c.Queues[0].ObjectiveFactor = -2 }, lint.Error, "queue recon", "factor is -2"),
		Entry("a negative priority", func(c *site.Config) { c.Queues = append(c.Queues, other("b", "/b/")); c.Queues[1].Priority = -1 }, lint.Error, "queue b", "priority is -1"),
		Entry("an objective below the run time", func(c *site.Config) { c.Queues[0].ObjectiveFactor = 0.5 }, lint.Warning, "queue recon", "factor 0.5"),
		Entry("a second queue with one address", func(c *site.Config) { c.Queues = append(c.Queues, other("b", "/a/")) }, lint.Error, "queue b", "queue recon comes before it"),
		Entry("a prefix that takes IDs of another", func(c *site.Config) { c.Queues = append(c.Queues, other("b", "/a/0F")) }, lint.Warning, "queue recon", `begin with "0F"`),
		Entry("an account without a name", func(c *site.Config) { c.Accounts[0].Name = "" }, lint.Error, "account at position 1", "no name"),
		Entry("accounts with one name", func(c *site.Config) { c.Accounts = append(c.Accounts, site.Account{Name: "kulhar"}) }, lint.Error, "account kulhar", "same name"),
		Entry("an empty key", func(c *site.Config) { c.Accounts[0].Keys = []string{"", "k"} }, lint.Error, "account kulhar", "empty key"),
		Entry("a key listed twice", func(c *site.Config) { c.Accounts[0].Keys = []string{"k", "k"} }, lint.Error, "account kulhar", "listed twice"),
		Entry("a key of two accounts", func(c *site.Config) {
			c.Accounts = append(c.Accounts, site.Account{Name: "b", Keys: []string{"secret"}})
		}, lint.Error, "account b", "belongs to account kulhar"),
		Entry("a negative guarantee", func(c *site.Config) { c.Accounts[0].Guaranteed = -1 }, lint.Error, "account kulhar", "guarantee is -1"),
		Entry("a guarantee without a key", func(c *site.Config) { c.Accounts[0].Keys = nil; c.Queues[0].Public = true }, lint.Warning, "account kulhar", "without a key"),
		Entry("no key at all", func(c *site.Config) { c.Accounts = nil }, lint.Error, "queue recon", "nobody can use"),
		Entry("guarantees above the accelerators", func(c *site.Config) { c.Accounts[0].Guaranteed = 9 }, lint.Error, "accounts", "9 accelerators"),
		Entry("guarantees without urgent jobs", func(c *site.Config) { c.Queues[0].Priority = 1 }, lint.Warning, "accounts", "no queue has it"),
		Entry("a negative body", func(c *site.Config) { c.Limits.Body = -1 }, lint.Error, "limits", "-1 bytes"),
		Entry("a body too small for a job", func(c *site.Config) { c.Limits.Body = len(smallestJob) - 1 }, lint.Error, "limits", "22 bytes"),
	)

	DescribeTable("accepts what works",
		func(change func(c *site.Config)) {
			cfg := valid()
			change(&cfg)
			Expect(lint.Check(cfg, lint.Options{})).To(BeEmpty())
		},
		Entry("a valid configuration", func(*site.Config) {}),
		Entry("a longer prefix that takes no ID", func(c *site.Config) { c.Queues = append(c.Queues, other("b", "/a/b/")) }),
		Entry("the same prefix at another host", func(c *site.Config) { c.Queues = append(c.Queues, other("b", "/a/")); c.Queues[1].Host = "b" }),
		Entry("the smallest body", func(c *site.Config) { c.Limits.Body = len(smallestJob) }),
	)

	It("reports version 0", func() {
		Expect(lint.Check(site.Config{}, lint.Options{})).To(ConsistOf(HaveField("Message", ContainSubstring("want 1 or more"))))
	})

	It("knows the smallest job that is accepted", func() {
		spec, err := platform.DecodeJob([]byte(smallestJob))
		Expect(err).NotTo(HaveOccurred())
		Expect(spec.Check()).To(Succeed())
	})
})

const smallestJob = `{"steps":[{"count":1}]}`

var _ = Describe("Compare", func() {
	It("returns what is added, removed and changed, and no key", func() {
		after := valid()
		after.Version, after.Limits.Body, after.Queues[0].Priority = 3, 99, 1
		after.Queues = append(after.Queues, other("b", "/b/"))
		after.Accounts = []site.Account{{Name: "anna", Keys: []string{"secret"}, Guaranteed: 1}}
		differences := lint.Compare(valid(), after)
		Expect(differences).To(Equal([]lint.Difference{
			{Change: lint.Changed, Place: "configuration", Field: "version", Before: "2", After: "3"},
			{Change: lint.Changed, Place: "configuration", Field: "largest body", Before: "0", After: "99"},
			{Change: lint.Changed, Place: "queue recon", Field: "priority", Before: "0", After: "1"},
			{Change: lint.Added, Place: "queue b", After: "host jobs, prefix /b/, service s, target in ms 0, objective factor 3, priority 0, attempts 2, public false"},
			{Change: lint.Removed, Place: "account kulhar", Before: "guarantee 4"},
			{Change: lint.Added, Place: "account anna", After: "guarantee 1"},
			{Change: lint.Removed, Place: "account kulhar", Field: "key", Before: "2bb80d53"},
			{Change: lint.Added, Place: "account anna", Field: "key", After: "2bb80d53"},
		}))
		Expect(json.Marshal(differences)).NotTo(ContainSubstring("secret"))
		Expect(lint.Compare(after, after)).To(BeEmpty())
	})
})
