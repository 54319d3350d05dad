package e2e_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/workertest"
)

var _ = Describe("a request through all components", func() {
	It("runs a refund once although it is submitted to three entries", func() {
		store, workerAddress := freeAddress(), freeAddress()
		startProgram("standin", "platform", "--listen", store)
		eventually(respondsOK("http://" + store + "/calls"))
		startProgram("standin", "worker", "--store", "http://"+store, "--listen", workerAddress, "--domain", "a")
		eventually(respondsOK("http://" + workerAddress + "/v1/report"))

		var entries []string
		var processes []*os.Process
		for i := range 3 {
			address := freeAddress()
			e := startProgram("chestnutsail", "entry", "--name", fmt.Sprint("e", i), "--domain", "a",
				"--listen", address, "--store", "http://"+store)
			eventually(respondsOK("http://" + address + "/healthz"))
			processes = append(processes, e)
			entries = append(entries, "CHESTNUTSAIL_ADDRESS=http://"+address)
		}

		operator, code := runCommand(nil, "token", "operator", "anna")
		Expect(code).To(Equal(0))
		caller, code := runCommand(nil, "token", "caller", "kulhar")
		Expect(code).To(Equal(0))
		out, code := runCommand([]string{entries[0]}, "apply", "--token", operator, "../examples/small.yaml")
		Expect(code).To(Equal(0), out)
		for _, e := range entries {
			eventually(respondsOK(e[len("CHESTNUTSAIL_ADDRESS="):] + "/ready"))
		}

		for _, e := range entries {
			out, code = runCommand([]string{e}, "submit", "--token", caller, "refund", "r-1", "--payload", `{"echo":"paid"}`)
			Expect(code).To(Equal(0), out)
			var o outcome.Outcome
			Expect(json.Unmarshal([]byte(out), &o)).To(Succeed())
			Expect(o.Kind).To(Equal(outcome.Done))
			Expect(string(o.Body)).To(Equal("paid"))
		}
		Expect(journal(workerAddress)).To(HaveLen(1))

		for _, e := range processes {
			Expect(e.Signal(syscall.SIGTERM)).To(Succeed())
			state, err := e.Wait()
			Expect(err).NotTo(HaveOccurred())
			Expect(state.ExitCode()).To(Equal(0))
		}
	})
})

func journal(workerAddress string) []workertest.Execution {
	resp, err := http.Get("http://" + workerAddress + "/journal")
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	var executions []workertest.Execution
	Expect(json.Unmarshal(raw, &executions)).To(Succeed())
	return executions
}
