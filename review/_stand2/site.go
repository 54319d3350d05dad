package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/chestnutsail/chestnutsail/board"
	"github.com/chestnutsail/chestnutsail/platform/platformtest"
)

const (
	program = "target/chestnutsail"
	host    = "jobs.example"
	// memoryMB is the memory limit of a machine, valueBytes the largest value of the store; both are those of
	// the site mdh-provision.
	memoryMB   = 284
	valueBytes = 1 << 20
	// finishTime is finish_s of the site: the time from the end of the traffic until jobs are asked for.
	finishTime = 14 * time.Second
	// restartDelay is how long the platform waits before it starts a process again.
	restartDelay = time.Second
	// heartbeat is heartbeatMs of the site.
	heartbeat = 1500 * time.Millisecond
	// firstPort and portCount are the range of the ports that instances listen on.
	firstPort = 15000
	portCount = 15000
)

// site is a small installation: a store, workers, and instances as processes.
type site struct {
	start   time.Time
	dir     string
	store   *platformtest.Store
	front   *httptest.Server
	workers []*worker
	entries []*entry
	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup

	nextPort int
	// cloud is the address of the list of machines; "" if there is none.
	cloud string

	mu     sync.Mutex
	record io.Writer
	jobs   []*ordinary
}

func newSite(record io.Writer) *site {
	ctx, stop := context.WithCancel(context.Background())
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		panic(errNotRun{err.Error()})
	}
	return &site{start: time.Now(), dir: dir, record: record, ctx: ctx, stop: stop}
}

func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
}

// open starts the store, the workers and the instances, and waits until all instances are ready.
func (s *site) open(workersPerZone int, config any) {
	if _, err := os.Stat(program); err != nil {
		panic(errNotRun{"build the project first: " + err.Error()})
	}
	s.store = platformtest.NewStore()
	target, _ := url.Parse("http://" + s.store.Address())
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.ErrorLog = log.New(io.Discard, "", 0)
	s.front = httptest.NewServer(limitValues(proxy, s))
	raw, _ := json.Marshal(config)
	s.store.Put("op/config", raw)
	for i, zone := range []string{"a", "b", "c"} {
		for k := range workersPerZone {
			id := fmt.Sprintf("i-%s%07x", zone, 0x3a91c0+k)
			w := newWorker(s, id, zone, fmt.Sprintf("r%d-%d", i+1, k/8+1))
			w.register()
			s.workers = append(s.workers, w)
		}
	}
	s.running.Go(func() {
		for s.sleep(heartbeat) {
			for _, w := range s.known() {
				w.register()
			}
		}
	})
	for i, zone := range []string{"a", "b", "c"} {
		e := &entry{site: s, name: fmt.Sprintf("e%d", i+1), zone: zone}
		e.write()
		s.entries = append(s.entries, e)
		s.running.Go(e.keepRunning)
	}
	for _, e := range s.entries {
		if !e.awaitReady(15 * time.Second) {
			panic(errNotRun{e.name + " did not become ready"})
		}
	}
	s.note("3 instances ready, %d workers", len(s.workers))
}

// known returns the workers that were started so far.
func (s *site) known() []*worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.workers)
}

// limitValues refuses transactions with a value of more than valueBytes, as the page on the store says, and
// notes each refusal.
func limitValues(next http.Handler, s *site) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/kv-txn") {
			raw, err := io.ReadAll(r.Body)
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			var body struct {
				Puts []struct {
					Key   string
					Value []byte
				}
			}
			if json.Unmarshal(raw, &body) == nil {
				for _, p := range body.Puts {
					if len(p.Value) > valueBytes {
						s.note("store: 400, the value of %s has %d bytes, in a transaction of %d puts", p.Key, len(p.Value), len(body.Puts))
						w.WriteHeader(http.StatusBadRequest)
						return
					}
				}
			}
			r.Body = io.NopCloser(bytes.NewReader(raw))
		}
		next.ServeHTTP(w, r)
	})
}

// sleep waits and reports whether the site is still open.
func (s *site) sleep(d time.Duration) bool {
	select {
	case <-s.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (s *site) close() {
	s.stop()
	s.running.Wait()
	for _, w := range s.workers {
		_ = w.listener.Close()
	}
	if s.front != nil {
		s.front.CloseClientConnections()
		s.front.Close()
		s.store.Close()
	}
	_ = os.RemoveAll(s.dir)
}

// entry is one machine with an instance.
type entry struct {
	site                         *site
	name, zone, callers, ready   string
	config                       string
	mu                           sync.Mutex
	memoryEnds, ownEnds, largest int
	cmd                          *exec.Cmd
}

// freePort returns a free port below those that the system gives to outgoing connections, and never the same one
// twice.
func (s *site) freePort() int {
	for range 2000 {
		s.nextPort++
		port := firstPort + (os.Getpid()*37+s.nextPort)%portCount
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = l.Close()
		return port
	}
	panic(errNotRun{"no free port"})
}

// write writes the settings file, with the names and figures of the page on settings.
func (e *entry) write() {
	e.callers, e.ready = fmt.Sprintf("127.0.0.1:%d", e.site.freePort()), fmt.Sprintf("127.0.0.1:%d", e.site.freePort())
	e.config = filepath.Join(e.site.dir, e.name+".toml")
	text := fmt.Sprintf(`nodeName = %q
role = "entry"
machineClass = "frontend"
serves = ["frontend"]
ip = "127.0.0.1"
zone = %q
region = "r"
internalPorts = [%d,%d]
bootstrap = true
heartbeatMs = 1500
controlMode = "call"
[listenAddrs]
frontend = %q
ready = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = %d
maxFds = 4100
linkMbps = 1000.0
[bounds]
contactMs = 3000
ackTimeoutMs = 4000
drainMs = 2000
graceS = 6
configApplyMs = 2000
strictRevocation = false
holdMaxMs = 10000
stopMs = 200
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
remoteFactor = 3
checkpointS = 0.5
restoreMs = 100
fencingRequired = false
leaseMs = 3000
reclaimMs = 2700
[platform]
address = %q
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = %d
ttlMinMs = 1000
%s`, e.name, e.zone, e.site.freePort(), e.site.freePort(), e.callers, e.ready, memoryMB, strings.TrimPrefix(e.site.front.URL, "http://"), valueBytes, e.site.cloudSection())
	if err := os.WriteFile(e.config, []byte(text), 0o600); err != nil {
		panic(errNotRun{err.Error()})
	}
}

// cloudSection returns the settings of the list of machines, if there is one.
func (s *site) cloudSection() string {
	if s.cloud == "" {
		return ""
	}
	return fmt.Sprintf("[cloud]\naddress = %q\nratePerS = 60.0\nduties = []\ndutyPerS = 60.0\n", s.cloud)
}

func (e *entry) signal(sig os.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd != nil {
		_ = e.cmd.Process.Signal(sig)
	}
}

// leads reports whether the instance holds the leader's key.
func (e *entry) leads() bool {
	return strings.HasPrefix(string(e.site.store.Value(board.LeaderKey)), e.name+"/")
}

// keepRunning runs the process as the platform does: it kills a process that exceeds the memory of its machine,
// and starts a process that has ended again.
func (e *entry) keepRunning() {
	// The kernel kills the process with the thread that has started it.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for {
		cmd := exec.Command(program, "serve")
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHESTNUTSAIL_CONFIG=" + e.config}
		output, err := os.OpenFile(filepath.Join(e.site.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return
		}
		cmd.Stdout, cmd.Stderr = output, output
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := cmd.Start(); err != nil {
			return
		}
		e.mu.Lock()
		e.cmd = cmd
		e.mu.Unlock()
		exited := make(chan struct{})
		go func() { _ = cmd.Wait(); close(exited) }()
		killed := e.watchMemory(cmd.Process.Pid, exited)
		if killed {
			_ = cmd.Process.Kill()
		}
		if e.site.ctx.Err() != nil {
			_ = cmd.Process.Kill()
			<-exited
			_ = output.Close()
			return
		}
		<-exited
		_ = output.Close()
		if !killed {
			e.mu.Lock()
			e.ownEnds++
			e.mu.Unlock()
			e.site.note("%s: the process has ended by itself: %v", e.name, cmd.ProcessState)
		}
		if !e.site.sleep(restartDelay) {
			return
		}
	}
}

// watchMemory returns true once the process exceeds its memory, and false once it has exited or the site closes.
func (e *entry) watchMemory(pid int, exited chan struct{}) bool {
	for {
		select {
		case <-exited:
			return false
		case <-e.site.ctx.Done():
			return false
		case <-time.After(25 * time.Millisecond):
		}
		mb := residentMB(pid)
		e.mu.Lock()
		e.largest = max(e.largest, mb)
		over := mb > memoryMB
		if over {
			e.memoryEnds++
		}
		e.mu.Unlock()
		if over {
			e.site.note("%s: killed, %d MB of memory in use, the machine has %d MB", e.name, mb, memoryMB)
			return true
		}
	}
}

// residentMB returns the memory in use by a process.
func residentMB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb / 1024
		}
	}
	return 0
}

func (e *entry) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + e.ready + "/chestnutsail/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (e *entry) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if e.isReady() {
			return true
		}
	}
	return false
}
