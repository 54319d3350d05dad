// Package kernel is a registry of the services of one process. It starts and stops them in
// order and returns them by name.
//
// # Usage
//
//	k := kernel.New()
//	k.Add("store", store)
//	k.Add("caller", caller)
//	if err := k.Start(ctx); err != nil { ... }
//	store, ok := kernel.Find[*consul.Client](k, "store")
//	k.Stop(ctx) // in reverse order
package kernel

import (
	"context"
	"errors"
	"fmt"
	"sync"
)

// Starter is implemented by services that have to be started.
type Starter interface {
	Start(ctx context.Context) error
}

// Stopper is implemented by services that have to be stopped before the process ends.
type Stopper interface {
	Stop(ctx context.Context) error
}

// Resigner is implemented by services with tasks, such as leadership, that other entries should
// take over as soon as this process begins to shut down.
type Resigner interface {
	Resign(ctx context.Context)
}

// Error is the failure of a service to start or stop. Op is "start" or "stop".
type Error struct {
	Service string
	Op      string
	Err     error
}

// Error returns the operation, the name of the service and the cause.
func (e *Error) Error() string { return fmt.Sprintf("kernel: %s %s: %v", e.Op, e.Service, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Kernel is an ordered registry of named services. It is safe for concurrent use.
type Kernel struct {
	mu       sync.RWMutex
	names    []string
	services map[string]any
	started  int
}

// New returns an empty kernel.
func New() *Kernel { return &Kernel{services: make(map[string]any)} }

// Add registers a service under a name. It panics if the name is already in use.
func (k *Kernel) Add(name string, service any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, taken := k.services[name]; taken {
		panic(fmt.Sprintf("kernel: service %q added twice", name))
	}
	k.services[name] = service
	k.names = append(k.names, name)
}

// Find returns the service registered under name. It returns false if there is none or if it
// is not of type T.
func Find[T any](k *Kernel, name string) (T, bool) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	service, ok := k.services[name].(T)
	return service, ok
}

// Start starts the services in the order in which they were added. If one fails, it stops those
// already started and returns the failure as an *Error, joined with failures to stop.
func (k *Kernel) Start(ctx context.Context) error {
	for _, name := range k.serviceNames() {
		s, ok := Find[Starter](k, name)
		if ok {
			if err := s.Start(ctx); err != nil {
				return errors.Join(&Error{Service: name, Op: "start", Err: err}, k.Stop(ctx))
			}
		}
		k.mu.Lock()
		k.started++
		k.mu.Unlock()
	}
	return nil
}

// Resign calls Resign of the services that implement Resigner, in reverse order.
func (k *Kernel) Resign(ctx context.Context) {
	names := k.serviceNames()
	for i := len(names) - 1; i >= 0; i-- {
		if s, ok := Find[Resigner](k, names[i]); ok {
			s.Resign(ctx)
		}
	}
}

// Stop stops the started services in reverse order and returns all failures, each an *Error.
// Further calls have no effect.
func (k *Kernel) Stop(ctx context.Context) error {
	k.mu.Lock()
	names := k.names[:k.started]
	k.started = 0
	k.mu.Unlock()
	var errs []error
	for i := len(names) - 1; i >= 0; i-- {
		s, ok := Find[Stopper](k, names[i])
		if !ok {
			continue
		}
		if err := s.Stop(ctx); err != nil {
			errs = append(errs, &Error{Service: names[i], Op: "stop", Err: err})
		}
	}
	return errors.Join(errs...)
}

func (k *Kernel) serviceNames() []string {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return append([]string(nil), k.names...)
}
