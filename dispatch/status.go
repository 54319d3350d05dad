package dispatch

import (
	"bytes"
	"context"

	"github.com/fxamacker/cbor/v2"

	"github.com/chestnutsail/chestnutsail/scheduler"
)

// Status returns how the scheduler of the domain stands, wherever it runs.
// ErrNotLeading means that no scheduler is known.
func (d *Dispatcher) Status(ctx context.Context) (scheduler.Status, error) {
	var out scheduler.Status
	raw, err := d.fetch(ctx, methodStatus, d.status)
	if err != nil {
		return out, err
	}
	return out, cbor.Unmarshal(raw, &out)
}

// Trace returns the latest steps of the scheduler of the domain as JSON lines.
func (d *Dispatcher) Trace(ctx context.Context) ([]byte, error) {
	return d.fetch(ctx, methodTrace, d.trace)
}

// fetch asks the scheduler of the domain, which may be this entry.
func (d *Dispatcher) fetch(ctx context.Context, method string, own func() ([]byte, error)) ([]byte, error) {
	name := d.leader(d.opts.Domain)
	switch {
	case name == d.opts.Name:
		return own()
	case name == "" || d.opts.Mesh == nil:
		return nil, ErrNotLeading
	}
	ctx, cancel := context.WithTimeout(ctx, callTime.Duration())
	defer cancel()
	return d.opts.Mesh.Call(ctx, name, method, nil)
}

func (d *Dispatcher) status() ([]byte, error) {
	s := d.leading()
	if s == nil {
		return nil, ErrNotLeading
	}
	return cbor.Marshal(s.core.Status())
}

func (d *Dispatcher) trace() ([]byte, error) {
	s := d.leading()
	if s == nil {
		return nil, ErrNotLeading
	}
	var out bytes.Buffer
	if _, err := s.core.WriteTo(&out); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}
