package check_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/check"
	"github.com/chestnutsail/chestnutsail/text"
)

const fleet = `firm: f
fleet:
  - {domain: a, racks: 2, workers: 8, cores: 32, memory: 65536, accels: 8, slots: 8, conns: 64}
`

// problems returns the problems of a text that consists of fleet, which takes lines 1 to 3,
// and rest.
func problems(rest string) []string {
	_, err := check.Text([]byte(fleet + rest))
	if err == nil {
		return nil
	}
	var e *check.Error
	Expect(errors.As(err, &e)).To(BeTrue())
	var list []string
	for _, p := range e.Problems {
		list = append(list, p.String())
	}
	return list
}

var _ = Describe("a cluster text", func() {
	DescribeTable("is refused with the line, the column and the value",
		func(rest string, want ...string) {
			got := problems(rest)
			Expect(got).To(HaveLen(len(want)), strings.Join(got, "\n"))
			for i, w := range want {
				Expect(got[i]).To(ContainSubstring(w))
			}
		},
		Entry("broken syntax", "accounts: [", `4:11: `),
		Entry("an unknown key", "acounts: []", `4:1: acounts: "acounts": unknown key; want one of firm, prefer, fleet, accounts, services`),
		Entry("a repeated key", "prefer: 1\nprefer: 2", `5:1: prefer: "prefer": the key stands twice`),
		Entry("text for a number", "prefer: much", `4:9: prefer: "much": want a whole number`),
		Entry("a fraction for a whole number", "prefer: 1.5", `4:9: prefer: "1.5": want a whole number`),
		Entry("a number that overflows", "prefer: 99999999999999999999", `4:9: prefer: "99999999999999999999": want a whole number`),
		Entry("a number for text", "accounts:\n  - name: 12", `5:11: accounts[0].name: "12": want text`, `accounts[0].name`),
		Entry("a value for a list", "accounts: none", `4:11: accounts: "none": want a list`),
		Entry("an alias", "accounts: &x []\nservices: *x", `anchors, aliases and tags are not read`, `anchors, aliases and tags are not read`),
		Entry("a second document", "---\nfirm: g", `a second document`),
		Entry("deep nesting", "accounts: "+strings.Repeat("[", 300000), `nested deeper than 16 levels`),
		Entry("a number out of its range", "prefer: 101", `4:9: prefer: "101": want 0 to 100`),
		Entry("a name that is taken", "accounts:\n  - {name: x}\n  - {name: x}", `6:12: accounts[1].name: "x": the name is already taken by entry 1`),
		Entry("an unknown account", "services:\n  - {name: s, account: nobody}", `5:24: services[0].account: "nobody": the text has no such account`),
		Entry("an unknown service", "accounts: [{name: x}]\nservices:\n  - {name: s, account: x, after: [t]}", `6:35: services[0].after[0]: "t": the text has no such service`),
		Entry("an unknown failure domain", "accounts: [{name: x, guarantee: [{accels: 8, count: 1, domain: z}]}]", `accounts[0].guarantee[0].domain: "z": the fleet has no such failure domain`),
		Entry("a cycle with its whole path", "accounts: [{name: x}]\nservices:\n  - {name: p, account: x, after: [q]}\n  - {name: q, account: x, after: [r]}\n  - {name: r, account: x, after: [q]}",
			`8:35: services[2].after[0]: "q": cycle: q -> r -> q`),
		Entry("a service after itself", "accounts: [{name: x}]\nservices: [{name: p, account: x, after: [p]}]", `cycle: p -> p`),
		Entry("a shape with a negative number of tasks", "accounts: [{name: x}]\nservices: [{name: p, account: x, shape: {tasks: -1}}]", `services[0].shape.tasks: "-1": want 0 to 1024`),
		Entry("a shape that no rack can hold", "accounts: [{name: x}]\nservices: [{name: p, account: x, shape: {tasks: 9, accels: 8, adjacent: rack}}]",
			`no set of workers in one failure domain can hold 9 tasks of 0 cores, 0 MB, 8 accelerators and 0 slots with adjacency rack`),
		Entry("a shape over the quota", "accounts: [{name: x, quota: {accels: 8}}]\nservices: [{name: p, account: x, shape: {tasks: 2, accels: 8}}]",
			`needs 16 accels, which is more than the quota of 8 of account x`),
		Entry("guarantees over the quota", "accounts: [{name: x, quota: {accels: 8}, guarantee: [{accels: 4, count: 3}]}]",
			`guarantees 12 accelerators, which is more than the quota of 8`),
		Entry("guarantees that can't be formed, with the sum", "accounts:\n  - {name: x, guarantee: [{accels: 64, count: 2}]}\n  - {name: y, guarantee: [{accels: 8, count: 1}]}",
			`6:27: accounts[1].guarantee[0]: account y: guarantee 1: 1 x 8 accelerators = 8 cannot be formed in any domain: only 0 of 1`),
		Entry("several problems at once", "prefer: -1\nnonsense: 1\nservices:\n  - {name: '', account: y, class: slow}",
			`4:9: prefer`, `5:1: nonsense`, `7:12: services[0].name`, `7:25: services[0].account`, `7:35: services[0].class`),
	)

	It("accepts the examples and returns the same text as text.Parse", func() {
		files, err := filepath.Glob("../examples/*.yaml")
		Expect(err).NotTo(HaveOccurred())
		Expect(len(files)).To(BeNumerically(">=", 3))
		for _, f := range files {
			raw, err := os.ReadFile(f)
			Expect(err).NotTo(HaveOccurred())
			checked, err := check.Text(raw)
			Expect(err).NotTo(HaveOccurred(), f)
			parsed, err := text.Parse(raw)
			Expect(err).NotTo(HaveOccurred(), f)
			Expect(checked).To(Equal(parsed))
		}
	})
})
