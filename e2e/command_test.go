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

// writeFile writes a file into a temporary directory of the spec and returns its path.
func writeFile(name, content string) string {
	path := filepath.Join(GinkgoT().TempDir(), name)
	Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
	return path
}

var _ = Describe("the command line", Ordered, func() {
	var entry, operator, caller string
	var env []string

	BeforeAll(func() {
		store, workerAddress := freeAddress(), freeAddress()
		startProgram("standin", "platform", "--listen", store)
		eventually(respondsOK("http://" + store + "/calls"))
		startProgram("standin", "worker", "--store", "http://"+store, "--listen", workerAddress, "--domain", "a")
		eventually(respondsOK("http://" + workerAddress + "/v1/report"))
		entry = freeAddress()
		startProgram("chestnutsail", "entry", "--name", "e1", "--domain", "a", "--listen", entry, "--store", "http://"+store)
		eventually(respondsOK("http://" + entry + "/healthz"))
		operator, _ = runCommand(nil, "token", "operator", "anna")
		caller, _ = runCommand(nil, "token", "caller", "kulhar")
		env = []string{"CHESTNUTSAIL_ADDRESS=http://" + entry}
		out, code := runCommand(env, "apply", "--token", operator, "../examples/small.yaml")
		Expect(code).To(Equal(0), out)
		eventually(respondsOK("http://" + entry + "/ready"))
		eventually(func() error {
			if out, code := runCommand(env, "status", "--token", operator); code != 0 {
				return errors.New(out)
			}
			return nil
		})
	})

	DescribeTable("exits with the code for the result and prints what helps the user to go on",
		func(code int, expectedOutput string, args ...string) {
			for i, a := range args {
				args[i] = strings.NewReplacer("OPERATOR", operator, "CALLER", caller).Replace(a)
			}
			out, got := runCommand(env, args...)
			Expect(got).To(Equal(code), out)
			Expect(out).To(ContainSubstring(expectedOutput))
		},
		Entry("0 for a valid text", 0, "ok", "check", "../examples/perth.yaml", "../examples/lahore.yaml"),
		Entry("0 for a request that ran", 0, `"outcome": "done"`, "submit", "--token", "CALLER", "refund", "c-1", "--payload", "1"),
		Entry("0 for the text in force", 0, "firm: small", "get", "--token", "OPERATOR"),
		Entry("0 for a text that is in force at every entry", 0, "in force at 1 of 1 entries", "apply", "--wait", "--token", "OPERATOR", "../examples/small.yaml"),
		Entry("0 for the status of accounts", 0, "GUARANTEE", "status", "--workers", "--token", "OPERATOR"),
		Entry("0 for a text that does not differ", 0, "", "diff", "--token", "OPERATOR", "../examples/small.yaml"),
		Entry("1 for a request that ran and failed", 1, `"outcome": "failed"`, "submit", "--token", "CALLER", "check", "c-2", "--payload", `{"fail":true}`),
		Entry("1 for a text that differs", 1, "+ firm: perth", "diff", "--token", "OPERATOR", "../examples/perth.yaml"),
		Entry("2 for an unknown command", 2, "--help", "frobnicate"),
		Entry("2 for invalid settings, all of them reported at once", 2, "--domain (CHESTNUTSAIL_DOMAIN)", "entry", "--log", "xml"),
		Entry("2 for an unknown service", 2, "unknown_service", "submit", "--token", "CALLER", "nothing", "c-3"),
		Entry("2 for a key that is not a valid name", 2, "bad_request", "submit", "--token", "CALLER", "refund", "a key"),
		Entry("2 for an unknown worker", 2, "no worker is called z-9", "drain", "--token", "OPERATOR", "worker", "z-9"),
		Entry("3 for an invalid token", 3, "unauthorized", "submit", "--token", "nobody.00", "refund", "c-4"),
		Entry("3 for a caller's token where an operator's is needed", 3, "chestnutsail token operator", "get", "--token", "CALLER"),
		Entry("4 for an entry that can not be reached", 4, "--address", "get", "--address", "http://127.0.0.1:1", "--token", "OPERATOR"),
		Entry("5 for a key that was used with another payload", 5, "key_reused", "submit", "--token", "CALLER", "refund", "c-1", "--payload", "2"),
		Entry("5 for an outdated base revision, with the change since then", 5, "+ firm: small", "apply", "--token", "OPERATOR", "--base", "0", "../examples/perth.yaml"),
	)

	It("reports every error of a text with its position and refuses to apply the text", func() {
		invalid := writeFile("bad.yaml", "firm: x\nprefer: 200\nnonsense: 1\n")
		for _, args := range [][]string{{"check", invalid}, {"apply", "--token", operator, invalid}} {
			out, code := runCommand(env, args...)
			Expect(code).To(Equal(2), out)
			Expect(out).To(ContainSubstring(invalid + `:2:9: prefer: "200": want 0 to 100`))
			Expect(out).To(ContainSubstring(invalid + `:3:1: nonsense`))
		}
	})

	It("prints JSON for programs", func() {
		for _, args := range [][]string{{"version"}, {"get", "--token", operator}, {"check", "../examples/small.yaml"}} {
			out, code := runCommand(append(env, "CHESTNUTSAIL_JSON=true"), args...)
			Expect(code).To(Equal(0), out)
			Expect(json.Valid([]byte(out))).To(BeTrue(), out)
		}
	})

	It("records a trace that replays to the same decisions, and reports a trace whose decisions differ", func() {
		out, code := runCommand(env, "submit", "--token", caller, "reconcile", "t-1")
		Expect(code).To(Equal(0), out)
		out, code = runCommand(env, "trace", "--token", operator)
		Expect(code).To(Equal(0), out)
		Expect(out).To(ContainSubstring("t-1"))
		replayed, code := runCommand(nil, "replay", writeFile("good.trace", out+"\n"))
		Expect(code).To(Equal(0), replayed)
		Expect(replayed).To(ContainSubstring("all the same"))
		lines := strings.Split(out, "\n")
		lines[len(lines)-1] = strings.TrimSuffix(lines[len(lines)-1], "}") + `,"actions":[{"kind":"place","id":"kulhar/ghost"}]}`
		replayed, code = runCommand(nil, "replay", writeFile("bad.trace", strings.Join(lines, "\n")+"\n"))
		Expect(code).To(Equal(1), replayed)
		Expect(replayed).To(ContainSubstring("actions differ"))
	})

	It("completes the names of its commands in the shell", func() {
		out, code := runCommand(nil, "--completion-bash", "")
		Expect(code).To(Equal(0))
		Expect(strings.Fields(out)).To(ContainElements("apply", "submit", "demo"))
		out, code = runCommand(nil, "completion", "bash")
		Expect(code).To(Equal(0))
		Expect(out).To(ContainSubstring("complete -F _chestnutsail"))
	})

	It("answers the example program submit, and the example program replay finds equal decisions", func() {
		example := exec.Command("go", "run", "../examples/submit")
		example.Env = append(os.Environ(), "CHESTNUTSAIL_ADDRESS=http://"+entry, "CHESTNUTSAIL_TOKEN="+caller)
		out, err := example.CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
		Expect(string(out)).To(Equal("done paid\n"))
		out, err = exec.Command("go", "run", "../examples/replay").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
		Expect(string(out)).To(ContainSubstring("all the same"))
	})

	It("runs the demo with correct answers", func() {
		out, code := runCommand(nil, "demo")
		Expect(code).To(Equal(0), out)
		Expect(out).NotTo(ContainSubstring("WRONG"))
	})
})
