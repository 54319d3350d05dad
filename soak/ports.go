package soak

import (
	"fmt"
	"net"
	"syscall"
)

// reservation keeps a port of the loopback interface for a listener that comes and goes.
type reservation struct {
	socket int
	port   int
}

// reserve binds a socket to a free port and leaves it so. A listener can take the port beside it, since
// it has the option SO_REUSEADDR too, while the system gives the port to nobody who asks for any.
func reserve() (*reservation, error) {
	syscall.ForkLock.RLock()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err == nil {
		syscall.CloseOnExec(socket)
	}
	syscall.ForkLock.RUnlock()
	if err != nil {
		return nil, fmt.Errorf("soak: no socket: %w", err)
	}
	r := &reservation{socket: socket}
	if err := r.bind(); err != nil {
		r.release()
		return nil, fmt.Errorf("soak: no port: %w", err)
	}
	return r, nil
}

func (r *reservation) bind() error {
	if err := syscall.SetsockoptInt(r.socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	if err := syscall.Bind(r.socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return err
	}
	bound, err := syscall.Getsockname(r.socket)
	if err != nil {
		return err
	}
	r.port = bound.(*syscall.SockaddrInet4).Port
	return nil
}

// address returns the loopback address with the port.
func (r *reservation) address() string { return net.JoinHostPort("127.0.0.1", fmt.Sprint(r.port)) }

// release frees the port.
func (r *reservation) release() {
	if r.socket >= 0 {
		_ = syscall.Close(r.socket)
		r.socket = -1
	}
}
