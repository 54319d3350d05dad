package e2e_test

import (
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// file writes a file of the spec and returns its path.
func file(name, content string) string {
	path := filepath.Join(GinkgoT().TempDir(), name)
	Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
	return path
}

var _ = Describe("the command line", Ordered, func() {
	var entry, operator, caller string
	var env []string

	BeforeAll(func() {
		store, work := freeAddress(), freeAddress()
		start("standin", "platform", "--listen", store)
		eventually(answers("http://" + store + "/calls"))
		start("standin", "worker", "--store", "http://"+store, "--listen", work, "--domain", "a")
		eventually(answers("http://" + work + "/v1/report"))
		entry = freeAddress()
		start("chestnutsail", "entry", "--name", "e1", "--domain", "a", "--listen", entry, "--store", "http://"+store)
		eventually(answers("http://" + entry + "/healthz"))
		operator, _ = command(nil, "token", "operator", "anna")
		caller, _ = command(nil, "token", "caller", "kulhar")
		env = []string{"CHESTNUTSAIL_ADDRESS=http://" + entry}
		out, code := command(env, "apply", "--token", operator, "../examples/small.yaml")
		Expect(code).To(Equal(0), out)
		eventually(answers("http://" + entry + "/ready"))
		eventually(func() error {
			if out, code := command(env, "status", "--token", operator); code != 0 {
				return errors.New(out)
			}
			return nil
		})
	})

	DescribeTable("exits with the code of what happened and says what to do next",
		func(code int, says string, args ...string) {
			for i, a := range args {
				args[i] = strings.NewReplacer("OPERATOR", operator, "CALLER", caller).Replace(a)
			}
			out, got := command(env, args...)
			Expect(got).To(Equal(code), out)
			Expect(out).To(ContainSubstring(says))
		},
		Entry("0 for a good text", 0, "ok", "check", "../examples/perth.yaml", "../examples/lahore.yaml"),
		Entry("0 for what ran", 0, `"outcome": "done"`, "submit", "--token", "CALLER", "refund", "c-1", "--payload", "1"),
		Entry("0 for the text in force", 0, "firm: small", "get", "--token", "OPERATOR"),
		Entry("0 for a text in force everywhere", 0, "in force at 1 of 1 entries", "apply", "--wait", "--token", "OPERATOR", "../examples/small.yaml"),
		Entry("0 for the status of accounts", 0, "GUARANTEE", "status", "--workers", "--token", "OPERATOR"),
		Entry("0 for a text without changes", 0, "", "diff", "--token", "OPERATOR", "../examples/small.yaml"),
		Entry("1 for work that failed", 1, `"outcome": "failed"`, "submit", "--token", "CALLER", "check", "c-2", "--payload", `{"fail":true}`),
		Entry("1 for a text with changes", 1, "+ firm: perth", "diff", "--token", "OPERATOR", "../examples/perth.yaml"),
		Entry("2 for an unknown command", 2, "--help", "frobnicate"),
		Entry("2 for settings, all at once", 2, "--domain (CHESTNUTSAIL_DOMAIN)", "entry", "--log", "xml"),
		Entry("2 for an unknown service", 2, "unknown_service", "submit", "--token", "CALLER", "nothing", "c-3"),
		Entry("2 for a key that is no name", 2, "bad_request", "submit", "--token", "CALLER", "refund", "a key"),
		Entry("2 for a worker that nobody knows", 2, "no worker is called z-9", "drain", "--token", "OPERATOR", "worker", "z-9"),
		Entry("3 for a token that is wrong", 3, "unauthorized", "submit", "--token", "nobody.00", "refund", "c-4"),
		Entry("3 for an operator's call with a caller's token", 3, "chestnutsail token operator", "get", "--token", "CALLER"),
		Entry("4 for an entry that does not answer", 4, "--address", "get", "--address", "http://127.0.0.1:1", "--token", "OPERATOR"),
		Entry("5 for a key that was used", 5, "key_reused", "submit", "--token", "CALLER", "refund", "c-1", "--payload", "2"),
		Entry("5 for a lost race, with the other's change", 5, "+ firm: small", "apply", "--token", "OPERATOR", "--base", "0", "../examples/perth.yaml"),
	)

	It("reports every fault of a text with its place and refuses to apply it", func() {
		bad := file("bad.yaml", "firm: x\nprefer: 200\nnonsense: 1\n")
		for _, args := range [][]string{{"check", bad}, {"apply", "--token", operator, bad}} {
			out, code := command(env, args...)
			Expect(code).To(Equal(2), out)
			Expect(out).To(ContainSubstring(bad + `:2:9: prefer: "200": want 0 to 100`))
			Expect(out).To(ContainSubstring(bad + `:3:1: nonsense`))
		}
	})

	It("prints JSON for programs", func() {
		for _, args := range [][]string{{"version"}, {"get", "--token", operator}, {"check", "../examples/small.yaml"}} {
			out, code := command(append(env, "CHESTNUTSAIL_JSON=true"), args...)
			Expect(code).To(Equal(0), out)
			Expect(json.Valid([]byte(out))).To(BeTrue(), out)
		}
	})

	It("records a trace that replays to the same decisions, and tells one that doesn't", func() {
		out, code := command(env, "submit", "--token", caller, "reconcile", "t-1")
		Expect(code).To(Equal(0), out)
		out, code = command(env, "trace", "--token", operator)
		Expect(code).To(Equal(0), out)
		Expect(out).To(ContainSubstring("t-1"))
		again, code := command(nil, "replay", file("good.trace", out+"\n"))
		Expect(code).To(Equal(0), again)
		Expect(again).To(ContainSubstring("all the same"))
		lines := strings.Split(out, "\n")
		lines[len(lines)-1] = strings.TrimSuffix(lines[len(lines)-1], "}") + `,"actions":[{"kind":"place","id":"kulhar/ghost"}]}`
		again, code = command(nil, "replay", file("bad.trace", strings.Join(lines, "\n")+"\n"))
		Expect(code).To(Equal(1), again)
		Expect(again).To(ContainSubstring("actions differ"))
	})

	It("completes its commands", func() {
		out, code := command(nil, "--completion-bash", "")
		Expect(code).To(Equal(0))
		Expect(strings.Fields(out)).To(ContainElements("apply", "submit", "demo"))
		out, code = command(nil, "completion", "bash")
		Expect(code).To(Equal(0))
		Expect(out).To(ContainSubstring("complete -F _chestnutsail"))
	})

	It("serves the example program, and the other example replays", func() {
		example := exec.Command("go", "run", "../examples/submit")
		example.Env = append(os.Environ(), "CHESTNUTSAIL_ADDRESS=http://"+entry, "CHESTNUTSAIL_TOKEN="+caller)
		out, err := example.CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
		Expect(string(out)).To(Equal("done paid\n"))
		out, err = exec.Command("go", "run", "../examples/replay").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
		Expect(string(out)).To(ContainSubstring("all the same"))
	})

	It("runs the demo with right answers", func() {
		out, code := command(nil, "demo")
		Expect(code).To(Equal(0), out)
		Expect(out).NotTo(ContainSubstring("WRONG"))
	})
})
