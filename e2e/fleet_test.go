package e2e_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/outcome"
	"github.com/chestnutsail/chestnutsail/token"
)

const platformName = "platform"

// fleet is a stand-in platform with workers and entries, all as separate processes. The
// entries reach the platform and each other through a network that can be cut.
type fleet struct {
	storeAddress    string
	network         *network
	entries         map[string]*entryProcess
	workerAddresses map[string]string
}

// entryProcess is one entry. The other entries reach it at meshAddress, which is a relay
// of the test's network.
type entryProcess struct {
	*os.Process
	name        string
	address     string
	meshAddress string
}

func newFleet(platformArgs ...string) *fleet {
	f := &fleet{
		storeAddress: freeAddress(), network: &network{cuts: make(map[[2]string]bool)},
		entries: make(map[string]*entryProcess), workerAddresses: make(map[string]string),
	}
	startProgram("standin", append([]string{"platform", "--listen", f.storeAddress, "--writes", "0", "--reads", "0"}, platformArgs...)...)
	eventually(respondsOK("http://" + f.storeAddress + "/calls"))
	return f
}

// startWorkers starts workers of a failure domain on successive ports and returns the
// address of the first. Their names are the domain's with a number, such as "a-1".
func (f *fleet) startWorkers(domain string, count int) string {
	address := freeSuccessiveAddresses(count)
	startProgram("standin", "worker", "--store", "http://"+f.storeAddress, "--listen", address, "--domain", domain,
		"--count", strconv.Itoa(count))
	eventually(respondsOK("http://" + address + "/v1/report"))
	f.workerAddresses[domain] = address
	return address
}

// startEntry starts an entry that reaches the store and the other entries through the
// fleet's network.
func (f *fleet) startEntry(name, domain string, args ...string) *entryProcess {
	GinkgoHelper()
	e := &entryProcess{name: name, address: freeAddress()}
	e.meshAddress = f.network.relay("", name, e.address)
	args = append([]string{
		"entry", "--name", name, "--domain", domain, "--listen", e.address, "--advertise", e.meshAddress,
		"--store", "http://" + f.network.relay(name, platformName, f.storeAddress),
	}, args...)
	for _, other := range f.entries {
		args = append(args, "--peers", other.meshAddress)
	}
	e.Process = startProgram("chestnutsail", args...)
	f.entries[name] = e
	eventually(respondsOK("http://" + e.address + "/healthz"))
	return e
}

func (f *fleet) setStoreFaults(body string) {
	GinkgoHelper()
	putBody("http://"+f.storeAddress+"/faults", body)
}

func putBody(url, body string) {
	GinkgoHelper()
	req, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

func (e *entryProcess) signal(s syscall.Signal) {
	GinkgoHelper()
	Expect(e.Signal(s)).To(Succeed())
}

func (e *entryProcess) ready() error { return respondsOK("http://" + e.address + "/ready")() }

// call makes one call of the entry's HTTP API and returns the status, the header and the
// body of the answer.
func (e *entryProcess) call(role token.Role, account, method, path, body string, header http.Header) (int, http.Header, []byte, error) {
	req, err := http.NewRequest(method, "http://"+e.address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, nil, nil, err
	}
	for k, v := range header {
		req.Header[k] = v
	}
	req.Header.Set("Authorization", "Bearer "+token.New(secret).Mint(role, account))
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, raw, err
}

var httpClient = &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// submit submits one request, which runs for 10 ms and returns "ok", and returns its
// outcome.
func (e *entryProcess) submit(service, key string) (outcome.Outcome, error) {
	body := fmt.Sprintf(`{"service":%q,"key":%q,"payload":"eyJzbGVlcF9tcyI6MTAsImVjaG8iOiJvayJ9"}`, service, key)
	_, _, raw, err := e.call(token.Caller, "kulhar", http.MethodPost, "/v1/requests", body, nil)
	var o outcome.Outcome
	if err == nil {
		err = json.Unmarshal(raw, &o)
	}
	return o, err
}

// checkDone returns err, or an error if err is nil and the outcome is not Done.
func checkDone(o outcome.Outcome, err error) error {
	if err == nil && o.Kind != outcome.Done {
		err = fmt.Errorf("%+v", o)
	}
	return err
}

// revision returns the revision of the text in force at the entry, or 0 if the entry does
// not answer.
func (e *entryProcess) revision() uint64 {
	_, header, _, err := e.call(token.Operator, "anna", http.MethodGet, "/v1/text", "", nil)
	if err != nil {
		return 0
	}
	r, _ := strconv.ParseUint(strings.Trim(header.Get("ETag"), `"`), 10, 64)
	return r
}

// apply replaces the text through the entry by one with another firm and returns the new
// revision.
func (e *entryProcess) apply(firm string) uint64 {
	GinkgoHelper()
	return e.applyText(textForFirm(firm))
}

func (e *entryProcess) applyText(body string) uint64 {
	GinkgoHelper()
	base := strconv.FormatUint(e.revision(), 10)
	status, _, raw, err := e.call(token.Operator, "anna", http.MethodPut, "/v1/text", body, http.Header{"If-Match": {base}})
	Expect(err).NotTo(HaveOccurred())
	Expect(status).To(Equal(http.StatusOK), string(raw))
	var out struct{ Revision uint64 }
	Expect(json.Unmarshal(raw, &out)).To(Succeed())
	return out.Revision
}

// textForFirm returns a text of a firm that has workers in three failure domains.
func textForFirm(firm string) string {
	return "firm: " + firm + `
fleet:
  - {domain: a, racks: 1, workers: 2, cores: 32, memory: 65536, accels: 8, slots: 8, conns: 64}
  - {domain: b, racks: 1, workers: 1, cores: 32, memory: 65536, accels: 8, slots: 8, conns: 64}
  - {domain: c, racks: 1, workers: 1, cores: 32, memory: 65536, accels: 8, slots: 8, conns: 64}
accounts:
  - name: kulhar
services:
  - {name: check, account: kulhar, class: quick, idempotent: true, shape: {slots: 1}}
  - {name: refund, account: kulhar, class: quick, shape: {slots: 1}}
`
}

// balancer stands for a load balancer: it distributes requests in turn to the entries that
// were ready when it last polled them.
type balancer struct {
	mu    sync.Mutex
	all   map[string]*entryProcess
	ready []*entryProcess
	next  int
}

// newBalancer returns a balancer that polls the readiness of its entries in each interval
// until the spec ends.
func newBalancer(interval time.Duration) *balancer {
	b := &balancer{all: make(map[string]*entryProcess)}
	stop := make(chan struct{})
	DeferCleanup(func() { close(stop) })
	go func() {
		for {
			b.pollReadiness()
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
		}
	}()
	return b
}

func (b *balancer) add(e *entryProcess) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.all[e.name] = e
}

func (b *balancer) pollReadiness() {
	b.mu.Lock()
	all := make([]*entryProcess, 0, len(b.all))
	for _, e := range b.all {
		all = append(all, e)
	}
	b.mu.Unlock()
	var ready []*entryProcess
	for _, e := range all {
		if e.ready() == nil {
			ready = append(ready, e)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

func (b *balancer) pick() *entryProcess {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return nil
	}
	b.next++
	return b.ready[b.next%len(b.ready)]
}

// runLoad sends requests through the balancer from a number of concurrent clients until
// stop is closed. It returns the number of requests that were done and a description of
// each that was not.
func (b *balancer) runLoad(clients int, stop <-chan struct{}) (count int, failures []string) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for c := range clients {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				service := []string{"check", "refund"}[n%2]
				e := b.pick()
				o, err := e.submit(service, fmt.Sprintf("%s-%d-%d", service, c, n))
				mu.Lock()
				if checkDone(o, err) == nil && o.Intact() {
					count++
				} else {
					failures = append(failures, fmt.Sprintf("%s at %s: %v %+v", service, e.name, err, o))
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return count, failures
}
