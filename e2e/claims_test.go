package e2e_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/client"
	"github.com/chestnutsail/chestnutsail/consultest"
	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/workertest"
)

const (
	entryCount  = 3
	workerCount = 4
	callerCount = 12
)

// restartEntry starts a killed entry again under the same name and address.
func (c *cluster) restartEntry(i int) {
	GinkgoHelper()
	c.processes[i] = startProgram("chestnutsail", "entry", "--name", fmt.Sprint("e", i), "--domain", "a",
		"--listen", c.entries[i], "--store", "http://"+c.storeAddress, "--level", "error")
	eventually(respondsOK("http://" + c.entries[i] + "/healthz"))
}

// setFaults sets the faults of the stand-in store or worker at an address.
func setFaults(address string, faults any) {
	body, err := json.Marshal(faults)
	Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequest(http.MethodPut, "http://"+address+"/faults", strings.NewReader(string(body)))
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

// runs returns the number of times that each refund was started, by its key.
func (c *cluster) runs() map[string]int {
	runs := make(map[string]int)
	for _, w := range c.workers {
		for _, e := range journal(w) {
			runs[strings.TrimPrefix(e.ID, "quick/kulhar/")]++
		}
	}
	return runs
}

// refundUntilFinal submits one key through random entries until its outcome is Done or
// NotRun, or ctx ends, and returns the last outcome.
func (c *cluster) refundUntilFinal(ctx context.Context, key string, rng *rand.Rand) outcome.Outcome {
	request := client.Request{Service: "refund", Key: key, Payload: fmt.Appendf(nil, `{"echo":%q,"sleep_ms":10}`, key)}
	last := outcome.Outcome{Kind: outcome.Unknown}
	for ctx.Err() == nil {
		entry := client.New(client.Options{Address: "http://" + c.entries[rng.IntN(entryCount)], Token: c.callerToken})
		callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		o, err := entry.Submit(callCtx, request)
		cancel()
		if err == nil {
			last = o
			if o.Kind == outcome.Done || o.Kind == outcome.NotRun {
				return o
			}
		}
		request.Resubmitted = true
		time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
	}
	return last
}

var _ = Describe("refunds while entries, workers and the store fail", func() {
	It("run at most once, and never after the answer notrun", func() {
		c := newCluster(workerCount, entryCount)
		faultDuration := 8 * time.Second
		ctx, cancel := context.WithTimeout(context.Background(), faultDuration+30*time.Second)
		defer cancel()
		deadline := time.Now().Add(faultDuration)
		var mu sync.Mutex
		outcomes := make(map[string]outcome.Outcome)
		var callerGroup sync.WaitGroup
		for n := range callerCount {
			rng := rand.New(rand.NewPCG(1, uint64(n)))
			callerGroup.Go(func() {
				for i := 0; time.Now().Before(deadline); i++ {
					key := fmt.Sprintf("r-%d-%d", n, i)
					o := c.refundUntilFinal(ctx, key, rng)
					mu.Lock()
					outcomes[key] = o
					mu.Unlock()
					time.Sleep(o.Retry.Duration())
				}
			})
		}
		c.injectFaults(deadline)
		callerGroup.Wait()

		runs := c.runs()
		kinds := make(map[outcome.Kind]int)
		for key, o := range outcomes {
			kinds[o.Kind]++
			expectedRuns := map[outcome.Kind]int{outcome.Done: 1, outcome.NotRun: 0}
			if expected, ok := expectedRuns[o.Kind]; ok {
				Expect(runs[key]).To(Equal(expected), "%s: %+v", key, o)
			}
			Expect(runs[key]).To(BeNumerically("<=", 1), key)
			if o.Kind == outcome.Done {
				Expect(string(o.Body)).To(Equal(key))
			}
		}
		AddReportEntry("outcomes", kinds)
		GinkgoWriter.Println("outcomes:", kinds)
		Expect(kinds[outcome.Done]).To(BeNumerically(">", 100))
	})
})

// injectFaults kills and suspends entries, and sets faults of the store and the workers,
// until deadline.
func (c *cluster) injectFaults(deadline time.Time) {
	rng := rand.New(rand.NewPCG(1, 99))
	for step := 0; time.Now().Before(deadline); step++ {
		i := rng.IntN(entryCount)
		switch step % 5 {
		case 0:
			Expect(c.processes[i].Kill()).To(Succeed())
			_, _ = c.processes[i].Wait()
			c.restartEntry(i)
		case 1:
			Expect(c.processes[i].Signal(syscall.SIGSTOP)).To(Succeed())
			time.Sleep(800 * time.Millisecond)
			Expect(c.processes[i].Signal(syscall.SIGCONT)).To(Succeed())
		case 2:
			setFaults(c.storeAddress, consultest.Faults{LoseAnswers: 10, LateWrites: 5, LateBy: 300})
		case 3:
			setFaults(c.storeAddress, consultest.Faults{Down: true})
			time.Sleep(700 * time.Millisecond)
			setFaults(c.storeAddress, consultest.Faults{})
		case 4:
			setFaults(c.workers[rng.IntN(workerCount)], workertest.Faults{DropAnswers: 5, CutAnswers: 5})
		}
		time.Sleep(100 * time.Millisecond)
	}
}
