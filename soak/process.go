package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/chestnutsail/chestnutsail/platform/platformtest"
)

// process is one instance of the system, run as a separate operating system process.
type process struct {
	opts          Options
	index         int
	callerAddress string
	readyAddress  string
	configPath    string

	mu          sync.Mutex
	cmd         *exec.Cmd
	exited      chan struct{}
	suspended   bool
	terminating bool
}

func freeAddress() (string, int, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), l.Addr().(*net.TCPAddr).Port, nil
}

func newProcess(opts Options, index int, storeAddress string) (*process, error) {
	if err := opts.makeLogDir(); err != nil {
		return nil, err
	}
	p := &process{opts: opts, index: index, configPath: filepath.Join(opts.logDir(), fmt.Sprintf("e%d.toml", index))}
	var err error
	var peerPort, metricsPort int
	if p.callerAddress, _, err = freeAddress(); err != nil {
		return nil, err
	}
	if p.readyAddress, _, err = freeAddress(); err != nil {
		return nil, err
	}
	if _, peerPort, err = freeAddress(); err != nil {
		return nil, err
	}
	if _, metricsPort, err = freeAddress(); err != nil {
		return nil, err
	}
	settings := platformtest.Instance{
		Name: fmt.Sprintf("e%d", index), Callers: p.callerAddress, Ready: p.readyAddress, Peers: peerPort, Metrics: metricsPort, Store: storeAddress, Lease: opts.Lease,
	}
	return p, settings.Write(p.configPath)
}

// start starts the process unless it is running. If it is shutting down after a SIGTERM,
// start waits for its exit first.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		select {
		case <-p.exited:
		default:
			if !p.terminating {
				return nil
			}
			// A process that is suspended by SIGSTOP exits only after SIGCONT.
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			<-p.exited
		}
	}
	log, err := os.OpenFile(filepath.Join(p.opts.logDir(), fmt.Sprintf("e%d.log", p.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.opts.Program, "serve", "--config", p.configPath)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	p.cmd, p.exited, p.suspended, p.terminating = cmd, exited, false, false
	return nil
}

// signal sends a signal to the process. It does nothing if the process was not started
// or has exited.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	select {
	case <-p.exited:
		return
	default:
	}
	switch s {
	case syscall.SIGSTOP:
		p.suspended = true
	case syscall.SIGCONT:
		p.suspended = false
	case syscall.SIGTERM:
		p.terminating = true
	}
	_ = p.cmd.Process.Signal(s)
}

func (p *process) resume() { p.signal(syscall.SIGCONT) }

// kill sends SIGKILL to the process and waits for its exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

func (p *process) awaitReady(timeout time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + p.readyAddress + "/chestnutsail/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("soak: instance %d is not ready after %s", p.index, timeout)
}
