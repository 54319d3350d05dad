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

var _ = Describe("the whole path", func() {
	It("runs a refund once, through three entries as separate processes", func() {
		store, work := freeAddress(), freeAddress()
		start("standin", "platform", "--listen", store)
		eventually(answers("http://" + store + "/calls"))
		start("standin", "worker", "--store", "http://"+store, "--listen", work, "--domain", "a")
		eventually(answers("http://" + work + "/v1/report"))

		var entries []string
		var running []*os.Process
		for i := range 3 {
			address := freeAddress()
			e := start("chestnutsail", "entry", "--name", fmt.Sprint("e", i), "--domain", "a",
				"--listen", address, "--store", "http://"+store)
			eventually(answers("http://" + address + "/healthz"))
			running = append(running, e)
			entries = append(entries, "CHESTNUTSAIL_ADDRESS=http://"+address)
		}

		operator, code := command(nil, "token", "operator", "anna")
		Expect(code).To(Equal(0))
		caller, code := command(nil, "token", "caller", "kulhar")
		Expect(code).To(Equal(0))
		out, code := command([]string{entries[0]}, "apply", "--token", operator, "../examples/small.yaml")
		Expect(code).To(Equal(0), out)
		for _, e := range entries {
			eventually(answers(e[len("CHESTNUTSAIL_ADDRESS="):] + "/ready"))
		}

		for _, e := range entries {
			out, code = command([]string{e}, "submit", "--token", caller, "refund", "r-1", "--payload", `{"echo":"paid"}`)
			Expect(code).To(Equal(0), out)
			var o outcome.Outcome
			Expect(json.Unmarshal([]byte(out), &o)).To(Succeed())
			Expect(o.Kind).To(Equal(outcome.Done))
			Expect(string(o.Body)).To(Equal("paid"))
		}
		Expect(journal(work)).To(HaveLen(1))

		for _, e := range running {
			Expect(e.Signal(syscall.SIGTERM)).To(Succeed())
			state, err := e.Wait()
			Expect(err).NotTo(HaveOccurred())
			Expect(state.ExitCode()).To(Equal(0))
		}
	})
})

func journal(work string) []workertest.Execution {
	resp, err := http.Get("http://" + work + "/journal")
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	var list []workertest.Execution
	Expect(json.Unmarshal(raw, &list)).To(Succeed())
	return list
}
