package overload_test

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/platform/platformtest"
)

const (
	// memoryMB is the memory limit of an instance under test in megabytes, descriptors the largest number
	// of its open descriptors, of which reservedFiles are not for sockets.
	memoryMB      = 40
	descriptors   = 400
	reservedFiles = 200
	// hangTimeout ends a test whose instance hangs.
	hangTimeout = 20 * time.Second
)

// instance is the program under test, run as a process of its own.
type instance struct {
	settings platformtest.Instance
	cmd      *exec.Cmd
	exited   chan struct{}
}

// program builds the program without the race detector, whose memory would count as the instance's.
func program() string {
	GinkgoHelper()
	path := filepath.Join(GinkgoT().TempDir(), "chestnutsail")
	out, err := exec.Command("go", "build", "-race=false", "-o", path, "../cmd/chestnutsail").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	return path
}

func freePort(ip string) int {
	GinkgoHelper()
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	Expect(err).NotTo(HaveOccurred())
	defer func() { Expect(l.Close()).To(Succeed()) }()
	return l.Addr().(*net.TCPAddr).Port
}

// startInstance starts an instance that has a store and one queue "q", and waits until it is ready.
func startInstance() *instance {
	GinkgoHelper()
	store := platformtest.NewStore()
	DeferCleanup(store.Close)
	store.Put(platform.ConfigKey, platformtest.Config(1, platformtest.Queue{Name: "q", Attempts: 1}))
	// No outgoing connection takes a port of an IP address of its own.
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.N(254), rand.N(255), 1+rand.N(254))
	address := func() string { return net.JoinHostPort(ip, strconv.Itoa(freePort(ip))) }
	i := &instance{exited: make(chan struct{}), settings: platformtest.Instance{
		Name: "e1", Callers: address(), Ready: address(), Peers: freePort("127.0.0.1"), Metrics: freePort("127.0.0.1"),
		Store: store.Address(), Lease: 5 * time.Second, MemoryMB: memoryMB, Descriptors: descriptors,
	}}
	config := filepath.Join(GinkgoT().TempDir(), "e1.toml")
	Expect(i.settings.Write(config)).To(Succeed())
	i.cmd = exec.Command(program(), "serve", "--config", config)
	i.cmd.Stdout, i.cmd.Stderr = GinkgoWriter, GinkgoWriter
	Expect(i.cmd.Start()).To(Succeed())
	go func() {
		_ = i.cmd.Wait()
		close(i.exited)
	}()
	DeferCleanup(func() {
		_ = i.cmd.Process.Signal(syscall.SIGKILL)
		<-i.exited
	})
	Eventually(i.ready, hangTimeout).Should(Equal(http.StatusOK))
	return i
}

func (i *instance) peers() string { return fmt.Sprintf("127.0.0.1:%d", i.settings.Peers) }

func (i *instance) metrics() string { return fmt.Sprintf("127.0.0.1:%d", i.settings.Metrics) }

func (i *instance) ready() int {
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + i.settings.Ready + platform.ReadyPath)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// statusLine sends a request to the callers' address, in pieces as they come on a link of 10 Mbit/s, and
// returns the first line of the answer, or "" if there is none.
func (i *instance) statusLine(request string) string {
	const piece = 4 << 10
	conn, err := net.DialTimeout("tcp", i.settings.Callers, hangTimeout)
	if err != nil {
		return ""
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(hangTimeout))
	for len(request) > 0 {
		n := min(piece, len(request))
		if _, err := conn.Write([]byte(request[:n])); err != nil {
			return ""
		}
		request = request[n:]
		time.Sleep(3 * time.Millisecond)
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return ""
	}
	return line
}

// peakMemory returns the largest resident memory of the process so far, in megabytes.
func (i *instance) peakMemory() int {
	GinkgoHelper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.cmd.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			Expect(err).NotTo(HaveOccurred())
			return kilobytes >> 10
		}
	}
	Fail("no VmHWM")
	return 0
}

// sockets returns the number of the process's open sockets.
func (i *instance) sockets() int {
	GinkgoHelper()
	dir := fmt.Sprintf("/proc/%d/fd", i.cmd.Process.Pid)
	entries, err := os.ReadDir(dir)
	Expect(err).NotTo(HaveOccurred())
	count := 0
	for _, e := range entries {
		// A descriptor may be closed meanwhile.
		if target, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && strings.HasPrefix(target, "socket:") {
			count++
		}
	}
	return count
}

// expectSound checks that the process lives within its limits and serves callers and the health check.
func (i *instance) expectSound() {
	GinkgoHelper()
	ctx, caller := context.Background(), platformtest.NewCaller(2*time.Second)
	const id = "5c0e7a21d94b36f8"
	Expect(i.exited).NotTo(BeClosed(), "the process has ended")
	Expect(i.sockets()).To(BeNumerically("<=", descriptors-reservedFiles), "sockets")
	Eventually(func() int {
		return caller.Submit(ctx, i.settings.Callers, "q", id, platformtest.Job{Spec: "ms=50", Count: 1})
	}, hangTimeout).Should(Equal(http.StatusOK), "a job is accepted")
	Eventually(func() int {
		_, status := caller.State(ctx, i.settings.Callers, "q", id)
		return status
	}, hangTimeout).Should(Equal(http.StatusOK), "its state is told")
	Eventually(i.ready, hangTimeout).Should(Equal(http.StatusOK), "the health check is answered")
	peak := i.peakMemory()
	AddReportEntry("peak memory in MB, sockets", fmt.Sprint(peak, " ", i.sockets()))
	Expect(peak).To(BeNumerically("<=", memoryMB), "peak memory in MB")
	Expect(i.exited).NotTo(BeClosed(), "the process has ended")
}
