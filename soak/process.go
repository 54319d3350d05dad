package soak

import (
	"fmt"
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
	ports         []*reservation

	mu          sync.Mutex
	cmd         *exec.Cmd
	exited      chan struct{}
	suspended   bool
	terminating bool
}

func newProcess(opts Options, index int, storeAddress string) (*process, error) {
	if err := opts.makeLogDir(); err != nil {
		return nil, err
	}
	p := &process{opts: opts, index: index, configPath: filepath.Join(opts.logDir(), fmt.Sprintf("e%d.toml", index))}
	// One port each for callers, the health check, peers and metrics.
	for range 4 {
		port, err := reserve()
		if err != nil {
			p.releasePorts()
			return nil, err
		}
		p.ports = append(p.ports, port)
	}
	p.callerAddress, p.readyAddress = p.ports[0].address(), p.ports[1].address()
	settings := platformtest.Instance{
		Name: fmt.Sprintf("e%d", index), Callers: p.callerAddress, Ready: p.readyAddress, Peers: p.ports[2].port, Metrics: p.ports[3].port, Store: storeAddress, Lease: opts.Lease, EvacuationTime: evacuationTime,
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

// processID returns the ID of the process that was started last, which tells its restarts apart.
func (p *process) processID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
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

// releasePorts frees the ports of the process.
func (p *process) releasePorts() {
	for _, port := range p.ports {
		port.release()
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
