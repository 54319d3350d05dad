package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the program of the deploy file, relative to the root of the repository.
const program = "target/chestnutsail"

// restartDelay is the time after which the platform starts a process again that has ended.
const restartDelay = 500 * time.Millisecond

// instanceOptions holds what varies between the settings files of instances.
type instanceOptions struct {
	name     string
	store    string
	zone     string
	memoryMB int
	lease    time.Duration
}

// instance is one machine with a process of the system. The platform starts the process again when it ends
// and kills it when it exceeds its memory limit.
type instance struct {
	opts    instanceOptions
	record  *record
	dir     string
	callers string
	ready   string
	ports   [2]int

	mu      sync.Mutex
	cmd     *exec.Cmd
	closing bool
	// overMemory and ownExits count the ends of the process for lack of memory and by itself.
	overMemory, ownExits int
	// peakKB is the largest anonymous memory of a process.
	peakKB int
	done   sync.WaitGroup
}

// freePorts returns n free ports of the loopback interface. They stay reserved until the program ends: a socket
// that is bound and does not listen keeps others from taking the port, and lets an instance listen there.
func freePorts(n int) []int {
	var ports []int
	for range n {
		port, err := reservePort()
		if err != nil {
			cannotRun("no free port: %v", err)
		}
		ports = append(ports, port)
	}
	return ports
}

func reservePort() (int, error) {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, err
	}
	if err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return 0, err
	}
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return 0, err
	}
	bound, err := syscall.Getsockname(socket)
	if err != nil {
		return 0, err
	}
	return bound.(*syscall.SockaddrInet4).Port, nil
}

func loopback(port int) string { return "127.0.0.1:" + strconv.Itoa(port) }

// newInstance writes the settings of an instance into dir. The figures are those of the site kulhar-sched.
func newInstance(dir string, rec *record, o instanceOptions) *instance {
	p := freePorts(4)
	if p[2] > p[3] {
		p[2], p[3] = p[3], p[2]
	}
	i := &instance{opts: o, record: rec, dir: dir, callers: loopback(p[0]), ready: loopback(p[1]), ports: [2]int{p[2], p[3]}}
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
graceS = 6
configApplyMs = 2000
holdMaxMs = %d
stopMs = 200
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remoteFactor = 3
checkpointS = 0.5
restoreMs = 600
reclaimMs = 2700
[platform]
address = %q
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`, o.name, o.zone, i.ports[0], i.ports[1], i.callers, i.ready, o.memoryMB, o.lease.Milliseconds(), o.store)
	if err := os.WriteFile(i.settings(), []byte(text), 0o600); err != nil {
		cannotRun("settings: %v", err)
	}
	return i
}

func (i *instance) settings() string { return filepath.Join(i.dir, i.opts.name+".toml") }

// start starts the process and keeps it running until stop.
func (i *instance) start() {
	i.mu.Lock()
	defer i.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(i.dir, i.opts.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("log: %v", err)
	}
	cmd := exec.Command(program, "serve")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + i.dir, "LANG=C", "CHESTNUTSAIL_CONFIG=" + i.settings()}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		cannotRun("start: %v", err)
	}
	i.cmd = cmd
	ended := make(chan struct{})
	i.done.Go(func() {
		err := cmd.Wait()
		close(ended)
		_ = log.Close()
		i.onEnd(cmd, err)
	})
	i.done.Go(func() { i.watchMemory(cmd, ended) })
}

func (i *instance) onEnd(cmd *exec.Cmd, err error) {
	i.mu.Lock()
	closing := i.closing
	i.mu.Unlock()
	if closing {
		return
	}
	i.record.printf("%s: process %d ended: %v", i.opts.name, cmd.Process.Pid, err)
	if status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus); ok && !status.Signaled() {
		i.mu.Lock()
		i.ownExits++
		i.mu.Unlock()
	}
	time.Sleep(restartDelay)
	i.mu.Lock()
	closing = i.closing
	i.mu.Unlock()
	if !closing {
		i.start()
	}
}

// watchMemory kills the process when its anonymous memory exceeds the limit of the machine.
func (i *instance) watchMemory(cmd *exec.Cmd, ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
		kb := anonymousKB(cmd.Process.Pid)
		i.mu.Lock()
		i.peakKB = max(i.peakKB, kb)
		over := kb > i.opts.memoryMB<<10 && !i.closing
		if over {
			i.overMemory++
		}
		i.mu.Unlock()
		if over {
			i.record.printf("%s: process %d uses %d MB, more than %d MB, and is killed by the platform", i.opts.name, cmd.Process.Pid, kb>>10, i.opts.memoryMB)
			_ = cmd.Process.Kill()
			return
		}
	}
}

// anonymousKB returns the anonymous memory of a process in KiB, which counts neither the program's file nor
// what is shared.
func anonymousKB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb
		}
	}
	return 0
}

// stop ends the process for good.
func (i *instance) stop() {
	i.mu.Lock()
	i.closing = true
	cmd := i.cmd
	i.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
	}
	i.done.Wait()
}

func (i *instance) ends() (overMemory, own, peakMB int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.overMemory, i.ownExits, i.peakKB >> 10
}
