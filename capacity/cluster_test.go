package capacity_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chestnutsail/chestnutsail/client"
	"github.com/chestnutsail/chestnutsail/consul"
	"github.com/chestnutsail/chestnutsail/consultest"
	"github.com/chestnutsail/chestnutsail/job"
	"github.com/chestnutsail/chestnutsail/token"
	"github.com/chestnutsail/chestnutsail/workertest"
)

const secret = "a-secret-for-measuring-only"

// cluster consists of a stand-in store and stand-in workers in this process, and of
// entries, each a process of its own. The field entries holds the addresses of the
// entries.
type cluster struct {
	b        *testing.B
	store    *consultest.Server
	storeURL string
	tokens   *token.Secrets
	// storeBytes and workerBytes count the bytes that the entries exchange with the store
	// and with the workers, in both directions.
	storeBytes  atomic.Int64
	workerBytes atomic.Int64
	entries     []string
	workers     []*workertest.Server
}

// newCluster starts the stand-ins and registers the workers in the store. All workers
// are in one failure domain, eight to a rack.
func newCluster(b *testing.B, workers int) *cluster {
	c := &cluster{b: b, store: consultest.New(consultest.Options{}), tokens: token.New(secret)}
	c.storeURL = "http://" + c.serve(c.store, &c.storeBytes)
	for i := range workers {
		instance := consul.Instance{
			Name: fmt.Sprintf("a-%04d", i), Domain: "a", Rack: fmt.Sprintf("a-r%03d", i/8), Conns: 64,
			Capacity: job.Resources{Cores: 32, Memory: 65536, Accelerators: 8, Slots: 8},
		}
		worker := workertest.New(workertest.Options{Name: instance.Name, Capacity: instance.Capacity, Conns: instance.Conns})
		instance.Address = c.serve(worker, &c.workerBytes)
		c.workers = append(c.workers, worker)
		if err := consul.New(consul.Config{Address: c.storeURL}).Register(context.Background(), consul.RoleWorker, instance); err != nil {
			b.Fatal(err)
		}
	}
	return c
}

// startEntries starts the given number of entries of the domain, each a peer of all
// others, applies a cluster text for the given number of workers, and waits until all
// entries are ready.
func (c *cluster) startEntries(count, workers int) {
	for range count {
		c.entries = append(c.entries, freeAddress(c.b))
	}
	for i, address := range c.entries {
		args := []string{"entry", "--name", fmt.Sprint("e", i), "--domain", "a", "--listen", address, "--store", c.storeURL, "--level", "error"}
		for _, peer := range c.entries {
			if peer != address {
				args = append(args, "--peers", peer)
			}
		}
		cmd := exec.Command(binaryPath(c.b), args...)
		cmd.Env = append(os.Environ(), "CHESTNUTSAIL_SECRET="+secret)
		cmd.Stderr = os.Stderr
		if err := cmd.Start(); err != nil {
			c.b.Fatal(err)
		}
		c.b.Cleanup(func() {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		})
		c.waitUntilOK("http://" + address + "/healthz")
	}
	text := fmt.Sprintf(`firm: capacity
fleet:
  - {domain: a, racks: %d, workers: 8, cores: 32, memory: 65536, accels: 8, slots: 8, conns: 64}
accounts: [{name: x}]
services:
  - {name: check, account: x, class: quick, idempotent: true, shape: {slots: 1}}
  - {name: refund, account: x, class: quick, shape: {slots: 1}}
  - {name: train, account: x, class: batch, checkpoints: true, shape: {tasks: 1, accels: 2}}
`, (workers+7)/8)
	if _, err := c.client(0, token.Operator).Apply(context.Background(), 0, []byte(text)); err != nil {
		c.b.Fatal(err)
	}
	for _, e := range c.entries {
		c.waitUntilOK("http://" + e + "/ready")
	}
}

// waitForTasks waits until the workers have started the given number of tasks.
func (c *cluster) waitForTasks(tasks int) {
	deadline := time.Now().Add(2 * time.Minute)
	for time.Now().Before(deadline) {
		started := 0
		for _, w := range c.workers {
			started += len(w.Journal())
		}
		if started >= tasks {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.b.Fatalf("the workers have not started %d tasks in time", tasks)
}

func (c *cluster) client(entryIndex int, role token.Role) *client.Client {
	return client.New(client.Options{Address: "http://" + c.entries[entryIndex], Token: c.tokens.Mint(role, "x")})
}

// usage holds cumulative totals: the CPU seconds of the first entry, the bytes that it
// has exchanged with its peers, the bytes that all entries have exchanged with the store
// and the workers, and the requests that the store has served. Only the memory of the
// first entry is a present value, in bytes.
type usage struct {
	at                      time.Time
	cpu, memory, peers      float64
	store, workers          float64
	storeReads, storeWrites float64
}

func (c *cluster) usage() usage {
	metrics := scrapeMetrics(c.b, "http://"+c.entries[0]+"/metrics")
	total := usage{
		at: time.Now(), cpu: metrics["process_cpu_seconds_total"], memory: metrics["process_resident_memory_bytes"],
		store: float64(c.storeBytes.Load()), workers: float64(c.workerBytes.Load()),
	}
	for name, v := range metrics {
		if strings.HasPrefix(name, "chestnutsail_peer_bytes_total") {
			total.peers += v
		}
	}
	for _, calls := range c.store.Calls() {
		total.storeReads += float64(calls.Reads)
		total.storeWrites += float64(calls.Writes)
	}
	return total
}

// report reports what the first entry and the cluster used per second between two
// totals; the bytes for store and workers are per entry.
func (c *cluster) report(before, after usage) {
	seconds := after.at.Sub(before.at).Seconds()
	entryCount := float64(len(c.entries))
	c.b.ReportMetric((after.cpu-before.cpu)/seconds*100, "%core")
	c.b.ReportMetric(after.memory/1e6, "MB")
	c.b.ReportMetric((after.peers-before.peers)/seconds, "peerB/s")
	c.b.ReportMetric((after.store-before.store)/seconds/entryCount, "storeB/s")
	c.b.ReportMetric((after.workers-before.workers)/seconds/entryCount, "workerB/s")
	c.b.ReportMetric((after.storeReads-before.storeReads)/seconds, "reads/s")
	c.b.ReportMetric((after.storeWrites-before.storeWrites)/seconds, "writes/s")
	c.b.ReportMetric(0, "ns/op")
}

func (c *cluster) serve(handler http.Handler, bytes *atomic.Int64) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.b.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(&countingListener{listener, bytes}) }()
	c.b.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func (c *cluster) waitUntilOK(url string) {
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		resp, err := http.Get(url)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.b.Fatalf("%s did not answer with status 200 in time", url)
}

// countingListener adds the bytes that its connections read and write to bytes.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{c, l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func scrapeMetrics(b *testing.B, url string) map[string]float64 {
	resp, err := http.Get(url)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	values := make(map[string]float64)
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		name, value, _ := strings.Cut(lines.Text(), " ")
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			values[name] = v
		}
	}
	return values
}

func freeAddress(b *testing.B) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

var buildBinary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "chestnutsail")
	return path, exec.Command("go", "build", "-o", path, "../cmd/chestnutsail").Run()
})

func binaryPath(b *testing.B) string {
	path, err := buildBinary()
	if err != nil {
		b.Fatal(err)
	}
	return path
}
