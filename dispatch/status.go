package dispatch

import (
	"bytes"
	"context"

	"github.com/fxamacker/cbor/v2"

	"github.com/chestnutsail/chestnutsail/scheduler"
)

// Status returns the status of the domain's scheduler, which may run on another instance.
// It returns ErrNotLeading when no scheduler is known.
func (d *Dispatcher) Status(ctx context.Context) (scheduler.Status, error) {
	var out scheduler.Status
	raw, err := d.queryLeader(ctx, methodStatus, d.status)
	if err != nil {
		return out, err
	}
	return out, cbor.Unmarshal(raw, &out)
}

// Trace returns the latest steps of the domain's scheduler as JSON lines. It returns
// ErrNotLeading when no scheduler is known.
func (d *Dispatcher) Trace(ctx context.Context) ([]byte, error) {
	return d.queryLeader(ctx, methodTrace, d.trace)
}

// queryLeader calls a method of the domain's scheduler and returns the response. When this
// instance is the scheduler, it calls handleLocally instead.
func (d *Dispatcher) queryLeader(ctx context.Context, method string, handleLocally func() ([]byte, error)) ([]byte, error) {
	name := d.leaderOf(d.opts.Domain)
	switch {
	case name == d.opts.Name:
		return handleLocally()
	case name == "" || d.opts.Mesh == nil:
		return nil, ErrNotLeading
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout.Duration())
	defer cancel()
	return d.opts.Mesh.Call(ctx, name, method, nil)
}

func (d *Dispatcher) status() ([]byte, error) {
	s := d.currentSession()
	if s == nil {
		return nil, ErrNotLeading
	}
	return cbor.Marshal(s.core.Status())
}

func (d *Dispatcher) trace() ([]byte, error) {
	s := d.currentSession()
	if s == nil {
		return nil, ErrNotLeading
	}
	var out bytes.Buffer
	if _, err := s.core.WriteTo(&out); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}
