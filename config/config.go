// Package config holds the cluster text that is in force at this entry. A text is
// accepted when its compare-and-swap in the platform's store has won; its version
// there is its revision. The revision in force only ever grows.
//
// # Usage
//
//	h := config.New(config.Options{Store: store})
//	revision, err := h.Apply(ctx, base, raw)
//	now := h.Now() // the snapshot in force
package config

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/chestnutsail/chestnutsail/clock"
	"github.com/chestnutsail/chestnutsail/platform"
	"github.com/chestnutsail/chestnutsail/text"
)

// Key is where the text stands in the store.
const Key = "text"

const watchWait = 30 * clock.Second

// Store is what the holder needs of the platform's store.
type Store interface {
	Put(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
	Get(ctx context.Context, key string) (platform.Entry, error)
	Watch(ctx context.Context, prefix string, index uint64, wait clock.Millis) ([]platform.Entry, uint64, error)
}

// Snapshot is one revision of the text.
type Snapshot struct {
	// Revision is 0 before any text is in force.
	Revision uint64
	Raw      []byte
	Text     *text.Text
}

// ConflictError tells that the text was changed by somebody else first.
type ConflictError struct {
	Base    uint64
	Current Snapshot
}

// Error formats both revisions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("text has moved on from revision %d to %d", e.Base, e.Current.Revision)
}

// Options configures a Holder.
type Options struct {
	Store Store
	Log   *logrus.Entry
}

// Holder keeps the snapshot in force. It is safe for concurrent use.
type Holder struct {
	opts   Options
	now    atomic.Pointer[Snapshot]
	cancel context.CancelFunc
	done   chan struct{}
}

// stored is the value under Key. Token tells a writer's own value from others'.
type stored struct {
	Token string `json:"token"`
	Raw   []byte `json:"raw"`
}

// New returns a holder with no text in force that follows the store until Stop.
func New(opts Options) *Holder {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Holder{opts: opts, cancel: cancel, done: make(chan struct{})}
	h.now.Store(&Snapshot{Text: &text.Text{}})
	go func() {
		defer close(h.done)
		h.follow(ctx)
	}()
	return h
}

// Stop ends following the store.
func (h *Holder) Stop(context.Context) error {
	h.cancel()
	<-h.done
	return nil
}

// Now returns the snapshot in force.
func (h *Holder) Now() Snapshot { return *h.now.Load() }

// Adopt puts a snapshot in force if its revision is higher than the present one,
// and reports whether it did.
func (h *Holder) Adopt(s Snapshot) bool {
	for {
		old := h.now.Load()
		if s.Revision <= old.Revision {
			return false
		}
		if h.now.CompareAndSwap(old, &s) {
			h.opts.Log.WithField("revision", s.Revision).Info("config: text in force")
			return true
		}
	}
}

// Apply accepts a text that was made from revision base and returns its revision.
// A *ConflictError shows the text that stands instead.
func (h *Holder) Apply(ctx context.Context, base uint64, raw []byte) (uint64, error) {
	t, err := text.Parse(raw)
	if err != nil {
		return 0, err
	}
	token := rand.Text()
	value, err := json.Marshal(stored{Token: token, Raw: raw})
	if err != nil {
		return 0, err
	}
	revision, err := h.opts.Store.Put(ctx, Key, base, value)
	if kind := platform.KindOf(err); kind == platform.Conflict || kind == platform.Ambiguous {
		revision, err = h.settle(ctx, base, token, err)
	}
	if err != nil {
		return 0, err
	}
	h.Adopt(Snapshot{Revision: revision, Raw: raw, Text: t})
	return revision, nil
}

// settle reads back after a write whose fate is not known.
func (h *Holder) settle(ctx context.Context, base uint64, token string, cause error) (uint64, error) {
	entry, err := h.opts.Store.Get(ctx, Key)
	if err != nil {
		return 0, cause
	}
	s, own, err := decode(entry, token)
	if err != nil {
		return 0, err
	}
	if own {
		return s.Revision, nil
	}
	if s.Revision != base {
		return 0, &ConflictError{Base: base, Current: s}
	}
	return 0, cause
}

func decode(entry platform.Entry, token string) (s Snapshot, own bool, err error) {
	var v stored
	if err := json.Unmarshal(entry.Value, &v); err != nil {
		return Snapshot{}, false, err
	}
	t, err := text.Parse(v.Raw)
	if err != nil {
		return Snapshot{}, false, err
	}
	return Snapshot{Revision: entry.Version, Raw: v.Raw, Text: t}, v.Token == token, nil
}

// follow adopts what the store's watch shows until ctx ends.
func (h *Holder) follow(ctx context.Context) {
	var index uint64
	for ctx.Err() == nil {
		entries, next, err := h.opts.Store.Watch(ctx, Key, index, watchWait)
		if err != nil {
			clock.Sleep(ctx, clock.Second)
			continue
		}
		index = next
		for _, entry := range entries {
			s, _, err := decode(entry, "")
			if err != nil {
				h.opts.Log.WithError(err).Error("config: text in the store is unreadable")
				continue
			}
			h.Adopt(s)
		}
	}
}
