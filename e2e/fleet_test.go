package e2e_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
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

// fleet is a platform, workers and entries as processes.
type fleet struct {
	store   string
	network *network
	entries map[string]*entryProcess
	workers map[string]string
}

// entryProcess is one entry. Mesh is the address told to others.
type entryProcess struct {
	*os.Process
	name    string
	address string
	mesh    string
}

func newFleet(platformArgs ...string) *fleet {
	f := &fleet{
		store: freeAddress(), network: &network{cuts: make(map[[2]string]bool)},
		entries: make(map[string]*entryProcess), workers: make(map[string]string),
	}
	start("standin", append([]string{"platform", "--listen", f.store, "--writes", "0", "--reads", "0"}, platformArgs...)...)
	eventually(answers("http://" + f.store + "/calls"))
	return f
}

// work starts workers of a failure domain, which are called like "a-1", on ports that
// follow each other, and returns the address of the first.
func (f *fleet) work(domain string, count int) string {
	address := freeRange(count)
	start("standin", "worker", "--store", "http://"+f.store, "--listen", address, "--domain", domain,
		"--count", strconv.Itoa(count))
	eventually(answers("http://" + address + "/v1/report"))
	f.workers[domain] = address
	return address
}

// enter starts an entry that reaches the store and the others through the network.
func (f *fleet) enter(name, domain string, args ...string) *entryProcess {
	GinkgoHelper()
	e := &entryProcess{name: name, address: freeAddress()}
	e.mesh = f.network.relay("", name, e.address)
	args = append([]string{
		"entry", "--name", name, "--domain", domain, "--listen", e.address, "--advertise", e.mesh,
		"--store", "http://" + f.network.relay(name, platformName, f.store),
	}, args...)
	for _, o := range f.entries {
		args = append(args, "--peers", o.mesh)
	}
	e.Process = start("chestnutsail", args...)
	f.entries[name] = e
	eventually(answers("http://" + e.address + "/healthz"))
	return e
}

// freeRange returns the first of some loopback addresses, on ports that follow each
// other, that nothing listens on.
func freeRange(count int) string {
	for {
		address, free := freeAddress(), true
		for next, i := address, 0; i < count && free; next, i = after(next), i+1 {
			l, err := net.Listen("tcp", next)
			if free = err == nil; free {
				defer l.Close()
			}
		}
		if free {
			return address
		}
	}
}

// after returns the address on the next port.
func after(address string) string {
	host, port, err := net.SplitHostPort(address)
	Expect(err).NotTo(HaveOccurred())
	n, err := strconv.Atoi(port)
	Expect(err).NotTo(HaveOccurred())
	return net.JoinHostPort(host, strconv.Itoa(n+1))
}

func (f *fleet) faults(body string) {
	GinkgoHelper()
	put("http://"+f.store+"/faults", body)
}

func put(url, body string) {
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

func (e *entryProcess) ready() error { return answers("http://" + e.address + "/ready")() }

// call makes one call of the API and returns the status and the body.
func (e *entryProcess) call(role token.Role, account, method, path, body string, header http.Header) (int, http.Header, []byte, error) {
	req, err := http.NewRequest(method, "http://"+e.address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, nil, nil, err
	}
	for k, v := range header {
		req.Header[k] = v
	}
	req.Header.Set("Authorization", "Bearer "+token.New(secret).Mint(role, account))
	resp, err := balanced.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, raw, err
}

var balanced = &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// submit sends one request and returns its outcome.
func (e *entryProcess) submit(service, key string) (outcome.Outcome, error) {
	body := fmt.Sprintf(`{"service":%q,"key":%q,"payload":"eyJzbGVlcF9tcyI6MTAsImVjaG8iOiJvayJ9"}`, service, key)
	_, _, raw, err := e.call(token.Caller, "kulhar", http.MethodPost, "/v1/requests", body, nil)
	var o outcome.Outcome
	if err == nil {
		err = json.Unmarshal(raw, &o)
	}
	return o, err
}

// done returns an error unless a request was done.
func done(o outcome.Outcome, err error) error {
	if err == nil && o.Kind != outcome.Done {
		err = fmt.Errorf("%+v", o)
	}
	return err
}

// revision returns the revision in force at the entry.
func (e *entryProcess) revision() uint64 {
	_, header, _, err := e.call(token.Operator, "anna", http.MethodGet, "/v1/text", "", nil)
	if err != nil {
		return 0
	}
	r, _ := strconv.ParseUint(strings.Trim(header.Get("ETag"), `"`), 10, 64)
	return r
}

// apply replaces the text in force at the entry and returns the new revision.
func (e *entryProcess) apply(firm string) uint64 {
	GinkgoHelper()
	return e.applyText(textOf(firm))
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

// textOf returns a text for workers in three failure domains.
func textOf(firm string) string {
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

// balancer sends each request to the next entry that was ready at its last look.
type balancer struct {
	mu    sync.Mutex
	all   map[string]*entryProcess
	ready []*entryProcess
	next  int
}

// newBalancer looks at the entries each lag until the spec ends.
func newBalancer(lag time.Duration) *balancer {
	b := &balancer{all: make(map[string]*entryProcess)}
	stop := make(chan struct{})
	DeferCleanup(func() { close(stop) })
	go func() {
		for {
			b.look()
			select {
			case <-stop:
				return
			case <-time.After(lag):
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

func (b *balancer) look() {
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

// load sends requests through the balancer until stop is closed, and returns how many
// were done and what went wrong.
func (b *balancer) load(clients int, stop <-chan struct{}) (count int, wrong []string) {
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
				if done(o, err) == nil && o.Whole() {
					count++
				} else {
					wrong = append(wrong, fmt.Sprintf("%s at %s: %v %+v", service, e.name, err, o))
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return count, wrong
}
