// Package speeds keeps in the store what a leader has measured of the workers' speeds, so that the next
// leader does not start without it. It is one key of a few kilobytes that only leaders read and write: the
// other instances don't follow it.
//
// The measurements are a hint. A record that is lost, old or of another process of a worker costs a few
// runs on workers that are too slow, and nothing else, so writes are not repeated.
//
// # Usage
//
//	a := speeds.New(speeds.Options{Store: store, LeaderKey: board.LeaderKey})
//	rows, err := a.Load(ctx)
//	err = a.Save(ctx, term, rows)
package speeds

import (
	"context"
	"errors"
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/kv"
	"github.com/chestnutsail/chestnutsail/speed"
)

// Key is the key in the store. It is not under the prefix that all instances follow.
const Key = "cs-speeds"

const (
	// maxRows bounds the size of the value, which is about 20 bytes a worker.
	maxRows = 10000
	// weightScale and logScale are the factors by which the numbers of a row are multiplied before they
	// are rounded.
	weightScale = 10
	logScale    = 100
)

// ErrUnreadable means that the key holds something else than measurements.
var ErrUnreadable = errors.New("speeds: unreadable record")

// Store is the part of the store's API that an Archive uses.
type Store interface {
	Get(ctx context.Context, key string) (kv.Entry, error)
	Commit(ctx context.Context, ops []kv.Op) (uint64, error)
}

// Row is what is measured of one worker.
type Row struct {
	Worker string
	// StartedAt is when the worker's process started, in Unix milliseconds; 0 if that is not known. It is
	// stored in whole seconds.
	StartedAt clock.Millis
	Measured  speed.Mean
}

// Options configures an Archive.
type Options struct {
	Store Store
	// LeaderKey is the key that the leader holds. Save succeeds only while it has the leader's term as
	// its version.
	LeaderKey string
}

// Archive reads and writes the measurements. It is not safe for concurrent use.
type Archive struct {
	opts    Options
	version uint64
}

// New returns an Archive.
func New(opts Options) *Archive { return &Archive{opts: opts} }

// Load returns what the last leader has saved; no rows and no error if nothing was. After ErrUnreadable, Save
// replaces what is there.
func (a *Archive) Load(ctx context.Context) ([]Row, error) {
	entry, err := a.opts.Store.Get(ctx, Key)
	if kv.KindOf(err) == kv.Missing {
		a.version = 0
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	a.version = entry.Version
	rows, err := decode(entry.Value)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	return rows, nil
}

// Save replaces what is stored by the rows, as the leader of a term. After an error, Load has to be called
// before the next Save.
func (a *Archive) Save(ctx context.Context, term uint64, rows []Row) error {
	value, err := encode(rows)
	if err != nil {
		return err
	}
	version, err := a.opts.Store.Commit(ctx, []kv.Op{
		{Key: a.opts.LeaderKey, Version: term, RequireVersion: true},
		{Key: Key, Version: a.version, Value: value},
	})
	if err != nil {
		return err
	}
	a.version = version
	return nil
}

// wireRow is the stored form of a Row. It is encoded as an array.
type wireRow struct {
	_         struct{} `cbor:",toarray"`
	Worker    string
	StartedAt int64
	Weight    int
	Log       int
}

func encode(rows []Row) ([]byte, error) {
	list := make([]wireRow, 0, len(rows))
	for _, r := range rows[:min(len(rows), maxRows)] {
		weight, log := r.Measured.Parts()
		list = append(list, wireRow{
			Worker: r.Worker, StartedAt: int64(r.StartedAt / clock.Second),
			Weight: int(math.Round(weight * weightScale)), Log: int(math.Round(log * logScale)),
		})
	}
	return cbor.Marshal(list)
}

func decode(raw []byte) ([]Row, error) {
	var list []wireRow
	if err := cbor.Unmarshal(raw, &list); err != nil {
		return nil, err
	}
	rows := make([]Row, 0, len(list))
	for _, w := range list[:min(len(list), maxRows)] {
		rows = append(rows, Row{
			Worker: w.Worker, StartedAt: clock.Millis(w.StartedAt) * clock.Second,
			Measured: speed.MeanOf(float64(w.Weight)/weightScale, float64(w.Log)/logScale),
		})
	}
	return rows, nil
}
